"""The questions to one other host, and whether it still answers."""

import itertools
import struct
import time
from collections.abc import Callable
from typing import NamedTuple

import trio
import zmq
from result import Err, Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.peer._messages import Message, MessageRefused, Ping, decode, encode
from rattanhollow.peer._socket import TrioSocket

# A host that answers does so in milliseconds. These leave room for a starved one
# and for a region's distance; a dark one costs its callers the second.
PING_AFTER_S = 0.2
LOOK_INTERVAL_S = 0.1
DARK_AFTER_S = 0.7
# How often a host that is dark is tried again.
RETRY_DARK_S = 0.3
# How long one connection to a dark host is tried: a packet that was lost while it
# opened is sent again after a second.
CONNECT_ANEW_S = 2.5
# How long a question waits for the connection to come up.
CONNECT_WAIT_S = 0.4
PING_NUMBER = 0

# ZeroMQ's own reader of these loads asyncio, a tenth of what a start costs.
_MONITOR_EVENT = struct.Struct("=HI")
_UP = zmq.EVENT_HANDSHAKE_SUCCEEDED
_DOWN = zmq.EVENT_DISCONNECTED


class AskFailure(NamedTuple):
    """Why a question got no answer; ``sent`` whether the host may have heard it."""

    reason: str
    sent: bool


class _Pending:
    """A question under way."""

    def __init__(self, asked_at_s: float) -> None:
        self.asked_at_s = asked_at_s
        self.done = trio.Event()
        self.answer: Result[Message, AskFailure] | None = None

    def end(self, answer: Result[Message, AskFailure]) -> None:
        self.answer = answer
        self.done.set()


class PeerLink:
    """A connection to one host; ``dark`` while it leaves questions unanswered.

    ``on_asked()`` is called when a question was sent: from then on `look` has to
    be called every `LOOK_INTERVAL_S` while the link is ``watched``.
    """

    def __init__(
        self,
        name: str,
        socket: TrioSocket,
        endpoint: str,
        on_asked: Callable[[], None],
    ) -> None:
        self.name = name
        self.dark = False
        self._socket = socket
        self._endpoint = endpoint
        self._connected_at_s = time.monotonic()
        self._monitor = TrioSocket(socket.raw.get_monitor_socket(_UP | _DOWN))
        self._scope = trio.CancelScope()
        self._numbers = itertools.count(PING_NUMBER + 1)
        self._pending: dict[int, _Pending] = {}
        self._heard_at_s = 0.0
        self._pinged_at_s = 0.0
        self._connected = trio.Event()
        self._on_asked = on_asked

    async def run(self) -> None:
        """Hand out answers until closed."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive)
                    nursery.start_soon(self._follow_connection)
        finally:
            self._fail_all("the link was closed")
            self._socket.raw.disable_monitor()
            self._monitor.close()
            self._socket.close()

    def close(self) -> None:
        """Give the link up."""
        self._scope.cancel()

    async def tell(self, news: Message) -> None:
        """Send something that needs no answer."""
        if not self._connected.is_set() and not self.dark:
            with trio.move_on_after(CONNECT_WAIT_S):
                await self._connected.wait()
        try:
            data = encode(next(self._numbers), news)
        except MessageRefused as error:
            log_event("peer.not_sent", peer=self.name, reason=error)
            return
        self._socket.send([data])

    async def ask(
        self, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Send a question and wait for its answer."""
        until_s = time.monotonic() + timeout_ms / 1000
        if not self._connected.is_set():
            if self.dark:
                return Err(AskFailure(f"{self.name} is dark", sent=False))
            with trio.move_on_after(min(CONNECT_WAIT_S, timeout_ms / 1000)):
                await self._connected.wait()
        number = next(self._numbers)
        try:
            data = encode(number, question)
        except MessageRefused as error:
            log_event("peer.not_sent", peer=self.name, reason=error)
            return Err(AskFailure(str(error), sent=False))
        pending = _Pending(time.monotonic())
        if not self._socket.send([data]):
            self.dark = self.dark or not self._connected.is_set()
            self._on_asked()
            return Err(AskFailure(f"no connection to {self.name}", sent=False))
        self._pending[number] = pending
        self._on_asked()
        try:
            with trio.move_on_at(trio.current_time() + until_s - time.monotonic()):
                await pending.done.wait()
        finally:
            del self._pending[number]
        if pending.answer is not None:
            return pending.answer
        return Err(AskFailure(f"{self.name} didn't answer in {timeout_ms} ms", True))

    async def _receive(self) -> None:
        while True:
            data = (await self._socket.receive())[0]
            self._heard()
            try:
                number, answer = decode(data)
            except MessageRefused as error:
                log_event("peer.refused", peer=self.name, reason=error)
                continue
            pending = self._pending.get(number)
            if pending is not None:
                pending.end(Ok(answer))

    async def _follow_connection(self) -> None:
        while True:
            event, _ = _MONITOR_EVENT.unpack((await self._monitor.receive())[0])
            if event == _UP:
                self._connected.set()
                self._heard()
            elif event == _DOWN:
                self._connected = trio.Event()
                self._fail_all(f"the connection to {self.name} ended")

    @property
    def watched(self) -> bool:
        """Whether answers are due, or the host is to be tried again."""
        return bool(self._pending) or self.dark

    def look(self) -> None:
        """Ping while answers are due, and find the host dark without a sign."""
        now_s = time.monotonic()
        if self.dark:
            if now_s - self._connected_at_s >= CONNECT_ANEW_S:
                self._connect_anew(now_s)
            elif now_s - self._pinged_at_s >= RETRY_DARK_S:
                self._ping(now_s)
            return
        oldest_s = min((p.asked_at_s for p in self._pending.values()), default=now_s)
        silent_s = now_s - max(oldest_s, self._heard_at_s)
        if silent_s >= DARK_AFTER_S:
            self.dark = True
            log_event("peer.dark", peer=self.name, silent_ms=int(silent_s * 1000))
            self._fail_all(f"{self.name} is dark")
            self._connect_anew(now_s)
        elif silent_s >= PING_AFTER_S and now_s - self._pinged_at_s >= PING_AFTER_S:
            self._ping(now_s)

    def _connect_anew(self, now_s: float) -> None:
        """Leave a connection that may have gone silent while new ones work."""
        self._connected_at_s = now_s
        self._connected = trio.Event()
        try:
            self._socket.raw.disconnect(self._endpoint)
            self._socket.raw.connect(self._endpoint)
        except zmq.ZMQError as error:
            log_event("peer.not_connected", peer=self.name, reason=error)

    def _ping(self, now_s: float) -> None:
        self._pinged_at_s = now_s
        self._socket.send([encode(PING_NUMBER, Ping())])

    def _heard(self) -> None:
        self._heard_at_s = time.monotonic()
        # The end of a connection that was left may be reported behind this one's
        # beginning.
        self._connected.set()
        if self.dark:
            self.dark = False
            log_event("peer.back", peer=self.name)

    def _fail_all(self, reason: str) -> None:
        for pending in self._pending.values():
            pending.end(Err(AskFailure(reason, sent=True)))
