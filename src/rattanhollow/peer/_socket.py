"""ZeroMQ sockets on trio."""

import trio
import zmq


class TrioSocket:
    """A socket that one task reads and any task writes.

    The socket's descriptor is edge-triggered, and sending may consume an edge
    that the reader waits for: after each send the reader is woken if there is
    something to read.
    """

    def __init__(self, socket: zmq.Socket) -> None:
        self.raw = socket
        self._reading: trio.CancelScope | None = None

    async def receive(self) -> list[bytes]:
        """Return the parts of the next message."""
        while True:
            try:
                return self.raw.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()

    def send(self, parts: list[bytes]) -> bool:
        """Send a message; False where the queue is full and it was dropped."""
        try:
            self.raw.send_multipart(parts, zmq.NOBLOCK)
        except (zmq.Again, zmq.ZMQError):
            return False
        if self._reading is not None and self._readable():
            self._reading.cancel()
        return True

    def close(self) -> None:
        """Close at once; what is queued is dropped."""
        self.raw.close(linger=0)

    def _readable(self) -> bool:
        return bool(int(self.raw.get(zmq.EVENTS)) & zmq.POLLIN)

    async def _wait_readable(self) -> None:
        if self._readable():
            return
        self._reading = trio.CancelScope()
        try:
            with self._reading:
                await trio.lowlevel.wait_readable(self.raw.FD)
        finally:
            self._reading = None
