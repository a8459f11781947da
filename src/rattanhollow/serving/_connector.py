"""Opening, lending and closing the connections to one backend server."""

import time
from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Err, Result

from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.serving._backend_protocol import (
    BackendAdapter,
    BackendServer,
    Command,
    CommandKind,
    ExchangeFailure,
    OpenFailure,
    Reply,
)
from rattanhollow.serving._cold_limit import NO_COLD_BOUND, ColdBound
from rattanhollow.serving._connections import (
    ConnectionPool,
    PoolCounts,
    ServerConnection,
)
from rattanhollow.serving._leader_use import CheckLeaderUse, always_allowed
from rattanhollow.serving._stopped import ServerFull, WorkStopped
from rattanhollow.serving._work import Blocker, Work, not_run
from rattanhollow.statements import SessionState

# A connection idle for longer than this may be dead without notice, so it is
# probed before use.
PROBE_AFTER_IDLE_S = 1.0
PROBE_TIMEOUT_S = 0.25
# Opening a connection waits for a slot of the server and then occupies it for tens
# of milliseconds.
OPEN_TIMEOUT_S = 0.8
CONNECTION_POLL_INTERVAL_S = 0.02
# How often more connections are tried after the server reported its limit: hosts that
# served it previously may hold connections for a while longer.
CONNECTION_LIMIT_RETRY_S = 0.1
# Connections left for hosts that check the server without serving it.
RESERVED_CONNECTIONS = 2
# Connections for each slot of the server that are left for a successor: it needs some
# while those of a host that lost power still count.
SUCCESSOR_CONNECTIONS_PER_SLOT = 3
# The organisation sent to a backend server for commands of the proxy itself.
NO_ORGANISATION = "-"
PROBE_COMMANDS = (Command(CommandKind.BEGIN_READ_ONLY), Command(CommandKind.ROLLBACK))


class ServingParts(NamedTuple):
    """Dependencies of serving; ``clock()`` returns seconds.

    ``check_leader_use(server)`` returns whether a server may be used as the primary,
    ``may_begin_work(server_id)`` whether it may get work that it does not run yet: a
    leaving server may not for long. ``cold_bound(service)`` is what the operators
    allow a server of the service while it is cold, and ``is_first_host(server)``
    whether this host is its first serving host. ``unix_clock()`` is the time of day.
    ``must_stop(server)`` is whether a server must get nothing more at all.
    ``scarce_slots`` is whether queues for slots refuse what they can't do in time.
    """

    backend: BackendAdapter
    nursery: trio.Nursery
    clock: Callable[[], float]
    meter: Meter
    check_leader_use: CheckLeaderUse = always_allowed
    may_begin_work: Callable[[str], bool] = lambda server_id: True
    cold_bound: Callable[[str], ColdBound] = lambda service: NO_COLD_BOUND
    is_first_host: Callable[[BackendServer], bool] = lambda server: True
    unix_clock: Callable[[], float] = time.time
    must_stop: Callable[[BackendServer], bool] = lambda server: False
    scarce_slots: bool = False


class Connector:
    """The connections of this host to one backend server.

    ``on_request()`` is called when a reply begins to be awaited, and
    ``on_no_answer(since_s)`` when an attempt to open a connection, begun at
    ``since_s``, got no answer.
    """

    def __init__(
        self,
        server: BackendServer,
        connections: int,
        parts: ServingParts,
        on_request: Callable[[], None],
        on_no_answer: Callable[[float], None],
    ) -> None:
        self.server = server
        self.closed = False
        self.last_reply_at_s = parts.clock()
        self._parts = parts
        self._on_request = on_request
        self._on_no_answer = on_no_answer
        self._pool = ConnectionPool(*_pool_sizes(connections, server.slots))
        self._exchanges_started_at_s: dict[ServerConnection, float] = {}
        self._openings_started_at_s: list[float] = []

    def set_limit(self, connections: int) -> None:
        """Use at most so many of the server's connections as the operators allow."""
        self._pool.resize(*_pool_sizes(connections, self.server.slots))

    @property
    def counts(self) -> PoolCounts:
        """The number of connections in each state."""
        return self._pool.counts

    @property
    def exchanges(self) -> int:
        """The number of exchanges under way."""
        return len(self._exchanges_started_at_s)

    @property
    def silent_s(self) -> float:
        """Seconds for which the server has left exchanges or openings unanswered."""
        started_at_s = [*self._exchanges_started_at_s.values()]
        started_at_s += self._openings_started_at_s
        if not started_at_s:
            return 0.0
        return self._parts.clock() - max(min(started_at_s), self.last_reply_at_s)

    @property
    def pending(self) -> bool:
        """Whether a reply of the server is awaited."""
        return bool(self._exchanges_started_at_s or self._openings_started_at_s)

    def is_lent(self, connection: ServerConnection) -> bool:
        """Whether a connection is lent and has not been closed since."""
        return self._pool.is_lent(connection)

    def can_provide(self) -> bool:
        """Whether a connection is idle or another one may be opened."""
        return self._pool.can_provide(self._parts.clock())

    async def wait_until_available(
        self,
        work: Work,
        deadline_s: float,
        is_withdrawn: Callable[[], bool] = lambda: False,
    ) -> None:
        """Wait until a connection is idle or another one may be opened.

        Ends also once ``is_withdrawn()`` is true.

        Raises:
            WorkStopped: not before the deadline, or another server can do the work
                while this one has no room.

        """
        while not (self.can_provide() or is_withdrawn()):
            movable = work.movable and self._pool.at_server_limit
            if movable or self._parts.clock() >= deadline_s:
                counts = self._pool.counts
                detail = (
                    f"no connection is free: idle={counts.idle} lent={counts.lent}"
                    f" opening={counts.opening}"
                )
                raise WorkStopped(not_run(Blocker.OVERLOADED, detail))
            await trio.sleep(CONNECTION_POLL_INTERVAL_S)

    async def lend(self, work: Work) -> ServerConnection:
        """Lend a connection of the work's organisation, opening one if necessary.

        Raises:
            WorkStopped: none can be opened.

        """
        while True:
            connection = self._pool.lend_best_match(
                work.organisation, dict(work.values)
            )
            if connection is None:
                return await self.open(
                    work.organisation or NO_ORGANISATION, OPEN_TIMEOUT_S
                )
            if await self._is_usable(connection):
                return connection

    def lend_most_recent(self) -> ServerConnection | None:
        """Lend the most recently used idle connection of any organisation."""
        return self._pool.lend_most_recent()

    async def lend_any(self, timeout_s: float = OPEN_TIMEOUT_S) -> ServerConnection:
        """Lend a connection for commands of the proxy itself.

        Raises:
            WorkStopped: none is idle and none can be opened.

        """
        connection = self.lend_most_recent()
        if connection is not None:
            return connection
        return await self.open(NO_ORGANISATION, timeout_s)

    async def open(self, organisation: str, timeout_s: float) -> ServerConnection:
        """Open a connection and lend it.

        Raises:
            WorkStopped: the server refused it or did not answer.

        """
        started_at_s = self._parts.clock()
        self._pool.reserve_opening(started_at_s)
        self._openings_started_at_s.append(started_at_s)
        self._on_request()
        opened = None
        connection = None
        try:
            with trio.move_on_after(timeout_s):
                opened = await self._parts.backend.open(self.server, organisation)
            if opened is not None and opened.is_ok():
                connection = ServerConnection(opened.unwrap(), organisation)
        finally:
            self._openings_started_at_s.remove(started_at_s)
            self._pool.finish_opening(connection)
        outcome = "no answer"
        if opened is not None:
            outcome = "opened" if opened.is_ok() else opened.unwrap_err().value
        self._parts.meter.count(kinds.CONNECTIONS_OPENED, self.server.id, outcome)
        if connection is None:
            failure = OpenFailure.UNREACHABLE if opened is None else opened.unwrap_err()
            raise self._stop_opening(failure, started_at_s)
        if self.closed:
            self.close(connection)
            detail = f"{self.server.id} is no longer served by this host"
            raise WorkStopped(not_run(Blocker.NOT_SERVED, detail))
        self.last_reply_at_s = self._parts.clock()
        return connection

    def _stop_opening(self, failure: OpenFailure, started_at_s: float) -> WorkStopped:
        """Record that no connection was opened; return what ends the work."""
        log_event("server.not_opened", server=self.server.id, reason=failure.value)
        if failure is OpenFailure.TOO_MANY:
            self._pool.record_refusal(self._parts.clock() + CONNECTION_LIMIT_RETRY_S)
            return ServerFull(not_run(Blocker.OVERLOADED, failure.value))
        if failure is OpenFailure.UNREACHABLE:
            self._on_no_answer(started_at_s)
        overloaded = failure is OpenFailure.BUSY
        blocker = Blocker.OVERLOADED if overloaded else Blocker.NOT_SERVED
        return WorkStopped(not_run(blocker, failure.value))

    async def exchange(
        self, connection: ServerConnection, commands: list[Command], timeout_s: float
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands; on an ``Err`` the connection has been closed."""
        self._exchanges_started_at_s[connection] = self._parts.clock()
        self._on_request()
        exchanged: Result[list[Reply], ExchangeFailure] = Err(
            ExchangeFailure("no response in time")
        )
        try:
            with trio.move_on_after(timeout_s):
                exchanged = await connection.link.run_all(commands)
        finally:
            del self._exchanges_started_at_s[connection]
            if exchanged.is_err():
                self.close(connection)
        if exchanged.is_ok():
            self.last_reply_at_s = self._parts.clock()
        return exchanged

    async def is_responsive(self, connection: ServerConnection) -> bool:
        """Whether the server responds on a lent connection; closes it otherwise."""
        probed = await self.exchange(connection, list(PROBE_COMMANDS), PROBE_TIMEOUT_S)
        return probed.is_ok()

    def give_back(self, connection: ServerConnection) -> None:
        """Return a lent connection as idle."""
        self._pool.return_idle(connection, self._parts.clock())

    def start_rollback(self, connection: ServerConnection) -> None:
        """Roll back a lent connection's transaction in the background."""
        self._parts.nursery.start_soon(self._roll_back, connection)

    async def _roll_back(self, connection: ServerConnection) -> None:
        rollback = [Command(CommandKind.ROLLBACK)]
        ended = await self.exchange(connection, rollback, OPEN_TIMEOUT_S)
        if ended.is_err():
            return
        if ended.unwrap()[0].state is SessionState.IDLE:
            self.give_back(connection)
        else:
            self.close(connection)

    def close(self, connection: ServerConnection) -> None:
        """Close a connection at once."""
        self._pool.close(connection)

    def close_idle(self, idle_s: float) -> None:
        """Close the connections that have been idle for longer."""
        self._pool.close_idle_since(self._parts.clock() - idle_s)

    def close_all(self) -> None:
        """Close all connections; exchanges under way fail."""
        self._pool.close_all()

    async def _is_usable(self, connection: ServerConnection) -> bool:
        """Whether an idle connection still works; closes it otherwise."""
        if not connection.link.quiet:
            self.close(connection)
            return False
        idle_s = self._parts.clock() - connection.idle_since_s
        return idle_s < PROBE_AFTER_IDLE_S or await self.is_responsive(connection)


def _pool_sizes(connections: int, slots: int) -> tuple[int, int]:
    """Return the pool's limit and how many connections it keeps."""
    limit = max(1, connections - RESERVED_CONNECTIONS)
    successor = SUCCESSOR_CONNECTIONS_PER_SLOT * slots
    return limit, max(1, limit // 2, limit - successor)
