"""Log positions of a database group."""

import re
from typing import NamedTuple

# ASCII digits of 64 bits: `int` takes others, and raises for thousands of them.
_POSITION = re.compile(r"([0-9]{1,18})/([0-9]{1,18})")


class Position(NamedTuple):
    """A log position; ordered by ``term``, then by ``offset`` within the log."""

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}/{self.offset}"


ORIGIN = Position(0, 0)


def parse_position(text: str) -> Position:
    """Parse a position of the form ``term/offset``.

    Raises:
        ValueError: the text is not a position.

    """
    parts = _POSITION.fullmatch(text)
    if parts is None:
        raise ValueError(f"invalid position {text[:40]!r}: expected term/offset")
    return Position(int(parts[1]), int(parts[2]))
