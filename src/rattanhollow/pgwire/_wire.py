"""A stream of frames over a trio stream."""

import socket
from collections import deque

import trio

from rattanhollow.pgwire._frames import Frame, FrameReader

RECEIVE_BYTES = 65_536
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 20_000


class ConnectionLost(Exception):
    """The connection ended, or broke, before the awaited frame came."""


def tune_socket(stream: trio.SocketStream) -> None:
    """Set keepalive and user timeout, so that a vanished peer is noticed."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Wire:
    """A connection that carries frames both ways.

    ``limit_bytes`` bounds one received frame. Used by one task at a time in
    each direction.
    """

    def __init__(self, stream: trio.abc.Stream, limit_bytes: int) -> None:
        self.stream = stream
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
        return self._ready.popleft()

    async def read_frames(self) -> list[Frame]:
        """Return all frames at hand, at least one; errors as `read_frame`."""
        if self._ready:
            frames = list(self._ready)
            self._ready.clear()
            return frames
        while True:
            frames = await self._receive()
            if frames:
                return frames

    def push_back(self, frames: list[Frame]) -> None:
        """Give back frames that were read too far."""
        self._ready.extendleft(reversed(frames))

    @property
    def has_frames(self) -> bool:
        """Whether a whole frame waits to be read."""
        return bool(self._ready)

    async def _receive(self) -> list[Frame]:
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLost(str(error)) from error
        if not data:
            raise ConnectionLost("closed by the other side")
        return self._reader.feed(bytes(data))

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            ConnectionLost: the connection broke; some bytes may have left.

        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLost(str(error)) from error

    async def aclose(self) -> None:
        """Close at once, without a farewell."""
        await trio.aclose_forcefully(self.stream)
