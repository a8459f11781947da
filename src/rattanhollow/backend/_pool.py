"""A bounded pool of connections to one backend server."""

import time
from collections import deque
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from rattanhollow.backend._connection import BackendConnection
from rattanhollow.serving import FairQueue

PROBE_TIMEOUT_MS = 500

Open = Callable[[], Awaitable[Result[BackendConnection, str]]]


class _Waiter:
    """A task that waits: woken with a connection, a refusal, or leave to open one."""

    def __init__(self) -> None:
        self.turn = trio.Event()
        self.connection: BackendConnection | None = None
        self.refusal = ""


class Pool:
    """At most ``limit`` connections, each lent to one task at a time.

    Tasks that wait are served by organisation in turn. A connection idle for
    ``probe_after_idle_ms`` is probed before it is lent, since it may have gone
    silent meanwhile.
    """

    def __init__(self, open_one: Open, limit: int, probe_after_idle_ms: int) -> None:
        self._open = open_one
        self._limit = limit
        self._probe_after_idle_s = probe_after_idle_ms / 1000
        self._idle: deque[BackendConnection] = deque()
        self._waiting: FairQueue[_Waiter] = FairQueue()
        self._lent: set[BackendConnection] = set()
        self._open_count = 0
        self._closed = False
        self.opened = 0

    @property
    def in_use(self) -> int:
        """How many connections are lent or being opened."""
        return self._open_count - len(self._idle)

    @property
    def outstanding(self) -> int:
        """How much work there is: connections in use, and tasks that wait."""
        return self.in_use + len(self._waiting)

    def take_idle(self) -> BackendConnection | None:
        """Return a connection that needs no waiting and no probe, if there is one."""
        if not self._idle:
            return None
        newest = self._idle[-1]
        if not (newest.quiet and self._fresh(newest)):
            return None
        return self._lend(self._idle.pop())

    async def take_within(self, timeout_ms: int) -> Result[BackendConnection, str]:
        """Return a connection as `take` does, but wait for ``timeout_ms`` at most."""
        with trio.move_on_after(timeout_ms / 1000):
            return await self.take()
        return Err(f"no connection became free in {timeout_ms} ms")

    async def take(self, organisation: str = "") -> Result[BackendConnection, str]:
        """Return a connection; waits while all are in use.

        The caller bounds the wait by its own deadline, and gives the
        connection back with `give_back`.
        """
        while self._idle:
            connection = self._lend(self._idle.pop())
            if await self._is_sound(connection):
                return Ok(connection)
        if self._closed:
            return Err("the backend server was withdrawn")
        if self._open_count < self._limit:
            self._open_count += 1
            return await self._open_new()
        return await self._wait(organisation)

    async def give_back(self, connection: BackendConnection) -> None:
        """Return a connection that is idle; one in doubt is closed instead."""
        if not connection.usable or self._closed:
            await self.discard(connection)
            return
        connection.idle_since_s = time.monotonic()
        self.put_back(connection)

    def put_back(self, connection: BackendConnection) -> None:
        """Return a connection that was not used at all."""
        if self._waiting:
            waiter = self._waiting.pop()
            waiter.connection = connection
            waiter.turn.set()
            return
        self._lent.discard(connection)
        self._idle.append(connection)

    async def discard(self, connection: BackendConnection) -> None:
        """Close a connection that was lent."""
        self._lent.discard(connection)
        self._free_place()
        await connection.close()

    async def close(self) -> None:
        """Close the idle connections; those in use are closed when given back."""
        self._closed = True
        self._turn_away("the backend server was withdrawn")
        while self._idle:
            connection = self._idle.pop()
            self._free_place()
            await connection.close()

    def abort(self, reason: str) -> None:
        """Break all connections, and turn away all who wait."""
        for connection in [*self._lent, *self._idle]:
            connection.wire.abort(reason)
        self._turn_away(reason)

    def _turn_away(self, reason: str) -> None:
        while self._waiting:
            waiter = self._waiting.pop()
            waiter.refusal = reason
            waiter.turn.set()

    def _free_place(self) -> None:
        """Hand the place of a closed connection on, or free it."""
        if self._waiting and not self._closed:
            self._waiting.pop().turn.set()
        else:
            self._open_count -= 1

    def _lend(self, connection: BackendConnection) -> BackendConnection:
        self._lent.add(connection)
        return connection

    def _fresh(self, connection: BackendConnection) -> bool:
        return time.monotonic() - connection.idle_since_s < self._probe_after_idle_s

    async def _is_sound(self, connection: BackendConnection) -> bool:
        """Whether a lent connection still works; one that doesn't is closed."""
        if connection.quiet and self._fresh(connection):
            return True
        answered = False
        try:
            if connection.quiet:
                answer = await connection.command("", PROBE_TIMEOUT_MS)
                answered = answer.is_ok()
        finally:
            if not answered:
                await self.discard(connection)
        return answered

    async def _open_new(self) -> Result[BackendConnection, str]:
        """Open a connection for a place that is already counted."""
        opened: Result[BackendConnection, str] = Err("cancelled")
        try:
            opened = await self._open()
        finally:
            if opened.is_err():
                self._free_place()
        if opened.is_ok():
            self.opened += 1
            self._lend(opened.unwrap())
        return opened

    async def _wait(self, organisation: str) -> Result[BackendConnection, str]:
        waiter = _Waiter()
        self._waiting.add(organisation, waiter)
        try:
            await waiter.turn.wait()
        except trio.Cancelled:
            self._stop_waiting(organisation, waiter)
            raise
        if waiter.refusal:
            return Err(waiter.refusal)
        if waiter.connection is not None:
            return Ok(waiter.connection)
        return await self._open_new()

    def _stop_waiting(self, organisation: str, waiter: _Waiter) -> None:
        """Hand on what a cancelled waiter was given."""
        if not waiter.turn.is_set():
            self._waiting.remove(organisation, waiter)
        elif waiter.connection is not None:
            self.put_back(waiter.connection)
        elif not waiter.refusal:
            self._free_place()
