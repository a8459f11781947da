"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

import enum
import socket
import struct

import trio

RECEIVE_BYTES = 65_536
LOOK_S = 0.02
LOST = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class LinkFault(enum.Enum):
    """What happens to bytes on their way.

    ``SILENT`` holds them both ways, new connections included. ``ONE_WAY`` holds
    the answers. ``DELAY`` takes a while. ``STALE`` silences the connections that
    are open, while new ones work.
    """

    NONE = "none"
    SILENT = "silent"
    ONE_WAY = "one way"
    DELAY = "delay"
    STALE = "stale"


class FaultyLink:
    """Forwards connections from one address to another.

    Bytes from and to the addresses ``cut_off`` are held, whatever the fault.
    ``released_s`` is when bytes went on to the target that were held before.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.fault = LinkFault.NONE
        self.cut_off: set[str] = set()
        self.delay_s = 0.15
        self.released_s: list[float] = []
        self._listen = listen
        self._target = target
        self._open: set[trio.SocketStream] = set()
        self._stale: set[trio.SocketStream] = set()

    def set(self, fault: LinkFault) -> None:
        """Begin a fault, or end the one there is."""
        self.fault = fault
        if fault is LinkFault.STALE:
            self._stale |= self._open

    def reset(self) -> None:
        """Reset all connections that are open."""
        for stream in list(self._open):
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            stream.socket.close()
        self._open.clear()
        self._stale.clear()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled."""
        address, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=address)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        self._open |= {near, far}
        caller = near.socket.getpeername()[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, near, far, caller, False, nursery)
            nursery.start_soon(self._pump, far, near, caller, True, nursery)
        self._open -= {near, far}
        self._stale -= {near, far}
        for stream in (near, far):
            await trio.aclose_forcefully(stream)

    async def _pump(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        caller: str,
        answers: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                was_held = False
                while self._held(source, caller, answers):
                    was_held = True
                    await trio.sleep(LOOK_S)
                if was_held and not answers:
                    self.released_s.append(trio.current_time())
                if self.fault is LinkFault.DELAY:
                    await trio.sleep(self.delay_s)
                await target.send_all(data)
        except LOST:
            pass
        # Either end's close ends the connection, once it is not held.
        while self._held(source, caller, answers):
            await trio.sleep(LOOK_S)
        nursery.cancel_scope.cancel()

    def _held(self, source: trio.SocketStream, caller: str, answers: bool) -> bool:
        if caller in self.cut_off:
            return True
        if source in self._stale or self.fault is LinkFault.SILENT:
            return True
        return self.fault is LinkFault.ONE_WAY and answers
