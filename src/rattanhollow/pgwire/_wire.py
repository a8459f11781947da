"""A stream of frames over a trio stream."""

import math
import time
from collections import deque

import trio

from rattanhollow.limits import Account, Purpose
from rattanhollow.pgwire._frames import Frame, FrameReader

RECEIVE_BYTES = 65_536
# The objects of a frame beside its bytes.
FRAME_HEAD_BYTES = 120
LOST = (trio.BrokenResourceError, trio.ClosedResourceError)


class ConnectionLost(Exception):
    """The connection ended, or broke, before the awaited frame came."""


class Wire:
    """A connection that carries frames both ways.

    ``limit_bytes`` bounds one received frame. Used by one task at a time in
    each direction. An ``account`` counts what was received and not taken.
    ``expires_at_s`` is when a `Watchdog` closes it, monotonic.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        limit_bytes: int,
        account: Account | None = None,
    ) -> None:
        self.stream = stream
        self._account = account
        self._received_bytes = 0
        self.expires_at_s = math.inf
        self.closed = False
        self._aborted_for = ""
        self._reader = FrameReader(limit_bytes)
        self._ready: deque[Frame] = deque()

    async def read_frame(self) -> Frame:
        """Return the next frame.

        Raises:
            ConnectionLost: the connection ended.
            ProtocolViolation: the bytes are no frame.

        """
        while not self._ready:
            self._ready.extend(await self._receive())
        frame = self._ready.popleft()
        self._take(-_held_bytes(frame))
        return frame

    async def read_frames(self) -> list[Frame]:
        """Return all frames at hand, at least one; errors as `read_frame`."""
        if self._ready:
            frames = list(self._ready)
            self._ready.clear()
            self._take(-sum(map(_held_bytes, frames)))
            return frames
        while True:
            frames = await self._receive()
            if frames:
                self._take(-sum(map(_held_bytes, frames)))
                return frames

    def push_back(self, frames: list[Frame]) -> None:
        """Give back frames that were read too far."""
        self._ready.extendleft(reversed(frames))
        self._take(sum(map(_held_bytes, frames)))

    @property
    def has_frames(self) -> bool:
        """Whether a whole frame waits to be read."""
        return bool(self._ready)

    def expire_in(self, timeout_ms: int) -> None:
        """Let the watchdog close the wire in ``timeout_ms``, unless called again."""
        self.expires_at_s = time.monotonic() + timeout_ms / 1000

    def expire_never(self) -> None:
        """Undo `expire_in`."""
        self.expires_at_s = math.inf

    def abort(self, reason: str) -> None:
        """Close at once; whoever waits for the wire gets ``ConnectionLost``."""
        self._aborted_for = reason
        self.closed = True
        _socket_of(self.stream).close()

    @property
    def mid_frame(self) -> bool:
        """Whether a frame has begun to arrive, or waits to be read."""
        return bool(self._ready) or self._reader.pending_bytes > 0

    def _take(self, growth_bytes: int) -> None:
        self._received_bytes += growth_bytes
        if self._account is not None:
            held_bytes = self._received_bytes + self._reader.pending_bytes
            self._account.hold(Purpose.RECEIVED, held_bytes)

    async def _receive(self) -> list[Frame]:
        if self._account is not None:
            await self._account.wait_for_room()
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except LOST as error:
            raise ConnectionLost(self._aborted_for or str(error)) from error
        if not data:
            raise ConnectionLost("closed by the other side")
        frames = self._reader.feed(bytes(data))
        self._take(sum(map(_held_bytes, frames)))
        return frames

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            ConnectionLost: the connection broke; some bytes may have left.

        """
        try:
            await self.stream.send_all(data)
        except LOST as error:
            raise ConnectionLost(self._aborted_for or str(error)) from error

    async def aclose(self) -> None:
        """Close at once, without a farewell."""
        self.closed = True
        await trio.aclose_forcefully(self.stream)


def _held_bytes(frame: Frame) -> int:
    return FRAME_HEAD_BYTES + len(frame.raw)


def _socket_of(stream: trio.abc.Stream) -> trio.socket.SocketType:
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    assert isinstance(stream, trio.SocketStream)
    return stream.socket
