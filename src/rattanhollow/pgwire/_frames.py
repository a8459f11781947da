"""Splitting a byte stream into protocol frames."""

import struct
from typing import NamedTuple

HEADER = struct.Struct("!BI")
LENGTH_FIELD_BYTES = 4
HEADER_BYTES = HEADER.size


class ProtocolViolation(Exception):
    """The other side sent bytes that are no frame of the protocol."""


class Frame(NamedTuple):
    """One message: ``kind`` is its type byte, ``raw`` all bytes with the header."""

    kind: int
    raw: bytes

    @property
    def payload(self) -> bytes:
        """The bytes behind the header."""
        return self.raw[HEADER_BYTES:]


class FrameReader:
    """Collects bytes and gives back whole frames.

    ``limit_bytes`` bounds one frame, header included.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._pending = bytearray()
        self._needed_bytes = HEADER_BYTES

    @property
    def pending_bytes(self) -> int:
        """How many bytes wait for the rest of their frame."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[Frame]:
        """Add ``data`` and return the frames that are now whole.

        Raises:
            ProtocolViolation: a length below four bytes or above the limit.

        """
        if self._pending:
            self._pending += data
            # Joining the pieces of a large frame at each one takes quadratic time.
            if len(self._pending) < self._needed_bytes:
                return []
            data = bytes(self._pending)
            self._pending.clear()
        buffer = data
        frames: list[Frame] = []
        start = 0
        size = len(buffer)
        self._needed_bytes = HEADER_BYTES
        while size - start >= HEADER_BYTES:
            kind, length = HEADER.unpack_from(buffer, start)
            if length < LENGTH_FIELD_BYTES or length >= self._limit_bytes:
                raise ProtocolViolation(f"frame length {length} out of bounds")
            end = start + 1 + length
            if end > size:
                self._needed_bytes = end - start
                break
            frames.append(Frame(kind, buffer[start:end]))
            start = end
        self._pending += buffer[start:] if start else buffer
        return frames
