"""A bounded pool of connections to one backend server."""

import time
from collections import deque
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from rattanhollow.backend._connection import BackendConnection

RESET_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 500

Open = Callable[[], Awaitable[Result[BackendConnection, str]]]


class Pool:
    """At most ``limit`` connections, handed out one task each, first come first.

    A connection idle for ``probe_after_idle_ms`` is probed before it is handed
    out, since it may have gone silent meanwhile.
    """

    def __init__(self, open_one: Open, limit: int, probe_after_idle_ms: int) -> None:
        self._open = open_one
        self._limit = limit
        self._probe_after_idle_s = probe_after_idle_ms / 1000
        self._idle: deque[BackendConnection] = deque()
        self._waiting: deque[trio.Event] = deque()
        self._lent: set[BackendConnection] = set()
        self._generation = 0
        self._open_count = 0
        self._closed = False
        self.opened = 0

    @property
    def in_use(self) -> int:
        """How many connections are handed out or being opened."""
        return self._open_count - len(self._idle)

    @property
    def outstanding(self) -> int:
        """How much work there is: connections in use, and tasks that wait."""
        return self.in_use + len(self._waiting)

    def take_idle(self) -> BackendConnection | None:
        """Return a connection that needs no waiting and no probe, if there is one."""
        if self._waiting or not self._idle:
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

    async def take(self) -> Result[BackendConnection, str]:
        """Return a connection; waits while all are in use.

        The caller bounds the wait by its own deadline, and gives the
        connection back with `give_back`.
        """
        connection = self.take_idle()
        if connection is not None:
            return Ok(connection)
        generation = self._generation
        while True:
            if generation != self._generation:
                return Err("the primary was replaced")
            if self._closed:
                return Err("the backend server was withdrawn")
            if self._idle:
                connection = self._idle.pop()
                if not connection.quiet:
                    await self.discard(connection)
                    continue
                if self._fresh(connection) or await self._alive(connection):
                    return Ok(self._lend(connection))
                continue
            if self._open_count < self._limit:
                return await self._open_new()
            await self._wait()

    async def give_back(self, connection: BackendConnection) -> None:
        """Return a connection that is idle; one in doubt is closed instead."""
        if not connection.usable or self._closed:
            await self.discard(connection)
            return
        connection.idle_since_s = time.monotonic()
        self.put_back(connection)

    def put_back(self, connection: BackendConnection) -> None:
        """Return a connection that was not used at all."""
        self._lent.discard(connection)
        self._idle.append(connection)
        self._wake_one()

    async def discard(self, connection: BackendConnection) -> None:
        """Close a connection that was taken."""
        self._lent.discard(connection)
        self._open_count -= 1
        self._wake_one()
        await connection.close()

    async def close(self) -> None:
        """Close the idle connections; those in use are closed when given back."""
        self._closed = True
        while self._idle:
            await self.discard(self._idle.pop())
        while self._waiting:
            self._waiting.popleft().set()

    def abort(self, reason: str) -> None:
        """Break all connections, and turn away all who wait."""
        self._generation += 1
        for connection in [*self._lent, *self._idle]:
            connection.wire.abort(reason)
        while self._waiting:
            self._waiting.popleft().set()

    def _lend(self, connection: BackendConnection) -> BackendConnection:
        self._lent.add(connection)
        return connection

    def _fresh(self, connection: BackendConnection) -> bool:
        return time.monotonic() - connection.idle_since_s < self._probe_after_idle_s

    async def _alive(self, connection: BackendConnection) -> bool:
        answered = False
        try:
            answer = await connection.command("", PROBE_TIMEOUT_MS)
            answered = answer.is_ok()
        finally:
            if not answered:
                await self.discard(connection)
        return answered

    async def _open_new(self) -> Result[BackendConnection, str]:
        self._open_count += 1
        opened: Result[BackendConnection, str] = Err("cancelled")
        try:
            opened = await self._open()
        finally:
            if opened.is_err():
                self._open_count -= 1
                self._wake_one()
        if opened.is_ok():
            self.opened += 1
            self._lend(opened.unwrap())
        return opened

    async def _wait(self) -> None:
        turn = trio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self._wake_one()
            else:
                self._waiting.remove(turn)
            raise

    def _wake_one(self) -> None:
        if self._waiting:
            self._waiting.popleft().set()
