"""From a request's identifier to its cause, out of the logs of many hosts."""

from rattanhollow.explain._cause import cause_of
from rattanhollow.explain._lines import LogLine, parse_line, read_lines
from rattanhollow.explain._story import explain

__all__ = ["LogLine", "cause_of", "explain", "parse_line", "read_lines"]
