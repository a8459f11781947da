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
        self._pending = b""

    @property
    def pending_bytes(self) -> int:
        """How many bytes wait for the rest of their frame."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[Frame]:
        """Add ``data`` and return the frames that are now whole.

        Raises:
            ProtocolViolation: a length below four bytes or above the limit.

        """
        buffer = self._pending + data if self._pending else data
        frames: list[Frame] = []
        start = 0
        size = len(buffer)
        while size - start >= HEADER_BYTES:
            kind, length = HEADER.unpack_from(buffer, start)
            if length < LENGTH_FIELD_BYTES or length >= self._limit_bytes:
                raise ProtocolViolation(f"frame length {length} out of bounds")
            end = start + 1 + length
            if end > size:
                break
            frames.append(Frame(kind, buffer[start:end]))
            start = end
        self._pending = buffer[start:] if start else buffer
        return frames
