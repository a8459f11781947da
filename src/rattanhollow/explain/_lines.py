"""Reading log lines of key=value pairs."""

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import NamedTuple

ESCAPES = {"n": "\n", "t": "\t"}


class LogLine(NamedTuple):
    """One line; ``host`` is where it was written, as far as is known.

    ``order`` is its place among all lines that were read.
    """

    at_s: float
    event: str
    fields: dict[str, str]
    host: str
    order: int
    text: str

    def get(self, name: str) -> str:
        """Return a field, empty where it is missing."""
        return self.fields.get(name, "")


def read_lines(texts: Iterable[str], host: str = "") -> Iterator[LogLine]:
    """Return the log lines among ``texts``; others are passed over.

    What stands before ``time=`` is kept as the host's name, as collectors write
    it there. A host's first line names it, too.
    """
    for order, text in enumerate(texts):
        line = parse_line(text, host, order)
        if line is not None:
            yield line


def parse_line(text: str, host: str = "", order: int = 0) -> LogLine | None:
    """Return what a line says, None where it is no log line."""
    at = text.find("time=")
    if at < 0:
        return None
    fields = _fields(text[at:].rstrip("\r\n"))
    event = fields.pop("event", "")
    try:
        at_s = datetime.fromisoformat(fields.pop("time", "")).timestamp()
    except ValueError:
        return None
    if not event:
        return None
    before = text[:at].split()
    return LogLine(at_s, event, fields, before[-1] if before else host, order, text)


def _fields(text: str) -> dict[str, str]:
    found = {}
    at = 0
    while at < len(text):
        name, separator, _ = text[at:].partition("=")
        if not separator:
            break
        at += len(name) + 1
        value, at = _value(text, at)
        found[name.strip()] = value
    return found


def _value(text: str, at: int) -> tuple[str, int]:
    if not text.startswith('"', at):
        end = text.find(" ", at)
        end = len(text) if end < 0 else end
        return text[at:end], end + 1
    parts = []
    at += 1
    while at < len(text) and text[at] != '"':
        if text[at] == "\\" and at + 1 < len(text):
            at += 1
            parts.append(ESCAPES.get(text[at], text[at]))
        else:
            parts.append(text[at])
        at += 1
    return "".join(parts), at + 2
