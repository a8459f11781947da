"""Lines of the platform's protocol: split from a stream of bytes, and built."""

import re

from rattanhollow.platform._words import LINE_BYTES_AT_MOST, LINE_END

# Other digits and thousands of them make `int` raise, and messages between hosts hold
# 64 bits.
_WHOLE = re.compile(r"[0-9]{1,18}")


class LineTooLong(ValueError):
    """More bytes than a line may have, without an end: framing is lost."""


class LineReader:
    """Splits bytes into lines, however they are cut into pieces.

    A line that isn't UTF-8, or holds a control character, is returned as an empty
    text, which no rule of the protocol accepts: nothing may be smuggled past this
    reader to one that takes a lone line feed for a line's end.
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """How many bytes of an unfinished line were received."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[str]:
        """Take bytes and return the lines that they complete; errors as `feed_raw`."""
        return [text_of(line) for line in self.feed_raw(data)]

    def feed_raw(self, data: bytes) -> list[bytearray]:
        """Take bytes and return the lines that they complete, undecoded.

        Raises:
            LineTooLong: a line is longer than the protocol allows.

        """
        # The end may be cut in two; bytes before that were searched already.
        start = max(len(self._pending) - len(LINE_END) + 1, 0)
        self._pending += data
        if self._pending.find(LINE_END, start) < 0:
            self._check_length(len(self._pending))
            return []
        *lines, rest = self._pending.split(LINE_END)
        self._pending = rest
        for line in lines:
            self._check_length(len(line))
        return lines

    def _check_length(self, length: int) -> None:
        if length > LINE_BYTES_AT_MOST:
            raise LineTooLong(f"{length} bytes without a line's end")


def text_of(line: bytearray) -> str:
    """Return a line's text, an empty one where it can't be a line of the protocol."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        return ""
    return text if text.isprintable() else ""


def is_whole(text: str) -> bool:
    """Whether a text is a whole number of at most 64 bits, in ASCII digits."""
    return _WHOLE.fullmatch(text) is not None


def line(*fields: str) -> bytes:
    """Return one line of ``fields``, separated by blanks."""
    return " ".join(fields).encode() + LINE_END
