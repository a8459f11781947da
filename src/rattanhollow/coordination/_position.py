"""Log positions of a database group."""

from typing import NamedTuple


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
    term, separator, offset = text.partition("/")
    if not separator or not (term.isdigit() and offset.isdigit()):
        raise ValueError(f"invalid position {text!r}: expected term/offset")
    return Position(int(term), int(offset))
