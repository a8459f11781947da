"""The command that explains a request from logs."""

import sys
from collections.abc import Iterator
from pathlib import Path

from rattanhollow.explain import LogLine, explain, read_lines

EXIT_BAD_INPUT = 2


def explain_request(request_id: str, files: list[Path]) -> None:
    """Print a request's story, from ``files`` or from standard input."""
    for line in explain(request_id, _read(files)):
        print(line)


def _read(files: list[Path]) -> Iterator[LogLine]:
    if not files:
        yield from read_lines(sys.stdin)
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as texts:
                yield from read_lines(texts, file.stem)
        except OSError as error:
            print(f"{file}: {error}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT) from None
