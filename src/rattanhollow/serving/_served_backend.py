"""Runs work at one backend server on behalf of all hosts of the fleet."""

from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Err, Result

from rattanhollow.coordination import Position
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
from rattanhollow.serving._connections import (
    ConnectionPool,
    PoolCounts,
    ServerConnection,
)
from rattanhollow.serving._health import Health
from rattanhollow.serving._slots import LOWEST_PRIORITY, SlotQueue
from rattanhollow.serving._work import (
    Blocker,
    ProofAnswer,
    Scope,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    not_run,
    unknown,
)
from rattanhollow.statements import Reason, SessionState

# A connection idle for longer than this may be dead without notice, so it is
# probed before use.
PROBE_AFTER_IDLE_S = 1.0
PROBE_TIMEOUT_S = 0.25
# Opening a connection waits for a slot of the server and then occupies it for tens
# of milliseconds.
OPEN_TIMEOUT_S = 0.8
# A server that is suspected to be silent gets less: nothing is known to keep its slots
# busy, and until the probe ends all work for it waits.
PROBE_OPEN_TIMEOUT_S = 0.5
# An open connection may be the only part that is silent, so a new one is tried as well.
NEW_PROBE_DELAY_S = 0.1
CONNECTION_POLL_INTERVAL_S = 0.02
# A server that sends nothing for this long while an exchange is pending is probed.
SILENT_AFTER_S = 0.4
SILENCE_CHECK_INTERVAL_S = 0.1
UNREACHABLE_PROBE_INTERVAL_S = 0.25
# How often more connections are tried after the server reported its limit: hosts that
# served it previously may hold connections for a while longer.
CONNECTION_LIMIT_RETRY_S = 0.1
# Connections left for hosts that check the server without serving it.
RESERVED_CONNECTIONS = 2
# Connections for each slot of the server that are left for a successor: it needs some
# while those of a host that lost power still count.
SUCCESSOR_CONNECTIONS_PER_SLOT = 3
# How long a position that the log lacked is assumed to be missing still: replicas
# lag for seconds at a time, and each attempt occupies one of their slots.
LAG_RETRY_INTERVAL_S = 0.1
# The organisation sent to a backend server for commands of the proxy itself.
NO_ORGANISATION = "-"

_BEGIN_COMMANDS = {
    Scope.PROVEN: CommandKind.BEGIN,
    Scope.BEGIN: CommandKind.BEGIN,
    Scope.BEGIN_READ_ONLY: CommandKind.BEGIN_READ_ONLY,
}
_STATEMENT_COMMANDS = {
    WorkKind.READ: CommandKind.READ,
    WorkKind.WRITE: CommandKind.WRITE,
    WorkKind.EXECUTE: CommandKind.EXECUTE,
    WorkKind.COMMIT: CommandKind.COMMIT,
}


class ServingParts(NamedTuple):
    """Dependencies of serving; ``clock()`` returns seconds."""

    backend: BackendAdapter
    nursery: trio.Nursery
    clock: Callable[[], float]
    meter: Meter


class _SlotRequest:
    """A task that waits for a slot.

    ``granted`` is set once it has one. ``resumed`` is also set without a slot where
    the server became unreachable.
    """

    def __init__(self) -> None:
        self.resumed = trio.Event()
        self.granted = False


class _Transaction:
    """A caller's open transaction, which has a connection to itself."""

    def __init__(self, connection: ServerConnection, read_only: bool) -> None:
        self.connection = connection
        self.read_only = read_only
        self.wrote = False
        self.running = False
        self.used_at_s = 0.0


class _SessionPlan(NamedTuple):
    """Commands that set a session's state on a connection, and the resulting state."""

    commands: list[Command]
    values: dict[str, str]
    prepared: dict[tuple[bool, str], str]


class _WorkStopped(Exception):
    """Ends work that has no reply of the server; carries its result."""

    def __init__(self, result: WorkResult) -> None:
        super().__init__(result.detail)
        self.result = result


class _ServerFull(_WorkStopped):
    """The server has no room for another connection."""


class ServedBackend:
    """Runs work at one backend server.

    ``reachable`` is set while the server responds. ``switching`` is set while it is
    being replaced as the primary: no work is started that it could no longer
    acknowledge.
    """

    def __init__(
        self, server: BackendServer, connections: int, parts: ServingParts
    ) -> None:
        self.server = server
        self.reachable = True
        self.switching = False
        self._unreachable_since_s = 0.0
        self._lagging_since_s: float | None = None
        self._missing_position: tuple[Position, float] | None = None
        self._parts = parts
        limit = max(1, connections - RESERVED_CONNECTIONS)
        successor = SUCCESSOR_CONNECTIONS_PER_SLOT * server.slots
        self._pool = ConnectionPool(limit, kept=max(1, limit // 2, limit - successor))
        self._slots: SlotQueue[_SlotRequest] = SlotQueue(server.slots)
        self._health = Health()
        self._transactions: dict[str, _Transaction] = {}
        self._exchanges_started_at_s: dict[ServerConnection, float] = {}
        self._writes_started_at_s: dict[ServerConnection, float] = {}
        self._watch_needed = trio.Event()
        self._last_reply_at_s = parts.clock()
        self._watch_scope = trio.CancelScope()
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether no work runs or waits and no transaction is open."""
        return not (
            self._transactions or self._exchanges_started_at_s or self._slots.waiting
        )

    @property
    def counts(self) -> PoolCounts:
        """The number of pooled connections in each state."""
        return self._pool.counts

    @property
    def wait_ms(self) -> int:
        """The estimated wait of new work of the lowest priority."""
        return int(self._slots.wait_ms(LOWEST_PRIORITY))

    async def run(self, work: Work) -> WorkResult:
        """Run one unit of work and return its result."""
        if work.kind is WorkKind.ROLLBACK:
            return self._roll_back(work.transaction)
        if not self.reachable or self._closed:
            return not_run(Blocker.NOT_SERVED, f"{self.server.id} is unreachable")
        if self.switching and _requires_leader(work):
            return not_run(Blocker.SWITCHING, "the primary is being replaced")
        if self._recently_lacked_floor(work):
            detail = (
                f"{self.server.id} lacked the required log position at the last check"
            )
            return WorkResult(WorkOutcome.REFUSED, reason=Reason.BEHIND, detail=detail)
        if work.movable and self._health.should_divert(self._parts.clock()):
            return not_run(Blocker.FAILING, f"{self.server.id} fails too many requests")
        transaction = None
        if work.scope is Scope.WITHIN:
            transaction = self._transactions.get(work.transaction)
            if transaction is None or transaction.running:
                return not_run(
                    Blocker.NO_TRANSACTION, "the transaction is not open at this host"
                )
            transaction.running = True
        try:
            result = await self._run(work, transaction)
        except _WorkStopped as stopped:
            result = stopped.result
        finally:
            if transaction is not None:
                transaction.running = False
                transaction.used_at_s = self._parts.clock()
        self._record_health(result)
        # Reads refused because the log lags are too common to log: the lag lasts
        # milliseconds and affects most reads.
        if (
            result.outcome is not WorkOutcome.DONE
            and result.reason is not Reason.BEHIND
        ):
            log_event(
                "work.failed",
                request=work.request_id,
                server=self.server.id,
                scope=work.scope.value,
                fate=result.outcome.value,
                reason=result.reason.name if result.reason else "",
                obstacle=result.blocker.value,
                detail=result.detail,
                busy=self._slots.busy,
                waiting=self._slots.waiting,
                transactions=len(self._transactions),
                budget_ms=work.budget_ms,
            )
        return result._replace(wait_ms=self.wait_ms)

    @property
    def unreachable_s(self) -> float:
        """Seconds since the server became unreachable, 0 while it is reachable."""
        if self.reachable:
            return 0.0
        return self._parts.clock() - self._unreachable_since_s

    @property
    def failure_ratio(self) -> float:
        """The fraction of recent work that the server failed."""
        return self._health.failure_ratio(self._parts.clock())

    @property
    def lagging_s(self) -> float:
        """Seconds for which the server has lacked every position required of it."""
        if self._lagging_since_s is None:
            return 0.0
        return self._parts.clock() - self._lagging_since_s

    @property
    def stuck_s(self) -> float:
        """Seconds since the oldest pending write or commit was sent, 0 if none is."""
        started_at_s = min(self._writes_started_at_s.values(), default=None)
        return 0.0 if started_at_s is None else self._parts.clock() - started_at_s

    async def command(self, command: Command, timeout_s: float) -> Reply | None:
        """Run a command of the proxy itself; None if no reply arrived."""
        connection = self._pool.lend_most_recent()
        if connection is None:
            try:
                connection = await self._open_connection(NO_ORGANISATION, timeout_s)
            except _WorkStopped:
                return None
        exchanged = await self._exchange(connection, [command], timeout_s)
        if exchanged.is_err():
            return None
        self._return_connection(connection)
        return exchanged.unwrap()[0]

    async def check_reachable(self) -> bool:
        """Probe the server and return whether it responds."""
        return await self._probe_server()

    async def prove(self) -> ProofAnswer:
        """Return the end of the log, proven by beginning a read-write transaction."""
        if not self.reachable or self._closed:
            return ProofAnswer(None, f"{self.server.id} is unreachable")
        connection = self._pool.lend_most_recent()
        if connection is None:
            try:
                connection = await self._open_connection(
                    NO_ORGANISATION, OPEN_TIMEOUT_S
                )
            except _WorkStopped as stopped:
                return ProofAnswer(None, stopped.result.detail)
        begun = await self._exchange(
            connection, [Command(CommandKind.BEGIN)], PROBE_TIMEOUT_S
        )
        if begun.is_err():
            return ProofAnswer(None, begun.unwrap_err().reason)
        self._start_rollback(connection)
        reply = begun.unwrap()[0]
        if reply.reason is not None:
            denied = reply.reason is Reason.NOT_LEADER
            return ProofAnswer(None, f"{reply.reason.name} {reply.detail}", denied)
        return ProofAnswer(reply.position)

    async def watch(self) -> None:
        """Detect when the server stops responding and when it responds again."""
        with self._watch_scope:
            while True:
                if self.reachable and not self._exchanges_started_at_s:
                    self._watch_needed = trio.Event()
                    await self._watch_needed.wait()
                await trio.sleep(
                    SILENCE_CHECK_INTERVAL_S
                    if self.reachable
                    else UNREACHABLE_PROBE_INTERVAL_S
                )
                await self._check_silence()

    def trim(self, idle_s: float) -> None:
        """Close connections idle for longer than ``idle_s`` to make room for others."""
        self._pool.close_idle_since(self._parts.clock() - idle_s)

    def expire(self, idle_s: float) -> None:
        """Roll back transactions idle for longer than ``idle_s``."""
        now_s = self._parts.clock()
        for name, transaction in list(self._transactions.items()):
            idle = not transaction.running
            if idle and now_s - transaction.used_at_s > idle_s:
                log_event("transaction.expired", transaction=name)
                self._roll_back(name)

    def close(self) -> None:
        """Close all connections; exchanges under way fail."""
        self._closed = True
        self._watch_scope.cancel()
        self._pool.close_all()
        self._transactions.clear()

    async def _run(self, work: Work, transaction: _Transaction | None) -> WorkResult:
        deadline_s = self._parts.clock() + work.budget_ms / 1000
        while True:
            await self._await_slot(work, deadline_s)
            if transaction is None and not self._connection_available():
                self._free_slot(None)
                await self._wait_for_connection(work, deadline_s)
                continue
            try:
                return await self._run_in_slot(work, transaction, deadline_s)
            except _ServerFull:
                if work.movable:
                    raise

    async def _await_slot(self, work: Work, deadline_s: float) -> None:
        queued_at_s = self._parts.clock()
        estimate_ms = self._slots.wait_ms(work.priority)
        await self._take_slot(work, deadline_s)
        waited_ms = (self._parts.clock() - queued_at_s) * 1000
        self._parts.meter.time(kinds.QUEUE_WAIT_MS, waited_ms, self.server.id)
        self._parts.meter.time(kinds.QUEUE_ESTIMATE_MS, estimate_ms, self.server.id)

    async def _run_in_slot(
        self, work: Work, transaction: _Transaction | None, deadline_s: float
    ) -> WorkResult:
        """Run work that has a slot, and free the slot."""
        started_at_s = self._parts.clock()
        replied = False
        try:
            if transaction is not None:
                connection = transaction.connection
            else:
                connection = await self._lend_connection(work)
            reply = await self._run_on(connection, work, transaction, deadline_s)
            replied = True
        finally:
            cost_ms = (self._parts.clock() - started_at_s) * 1000
            self._free_slot(cost_ms if replied else None)
            self._parts.meter.time(kinds.SERVER_MS, cost_ms, self.server.id)
        return self._settle(work, connection, transaction, reply)

    def _recently_lacked_floor(self, work: Work) -> bool:
        """Whether the log recently lacked a position that the work requires."""
        if self._missing_position is None or work.floor is None or not work.movable:
            return False
        floor, at_s = self._missing_position
        return work.floor >= floor and self._parts.clock() - at_s < LAG_RETRY_INTERVAL_S

    def _record_health(self, result: WorkResult) -> None:
        failed = result.reason is Reason.FAILED or result.blocker is Blocker.LOST
        if failed or result.outcome is WorkOutcome.DONE:
            self._health.record_outcome(failed, self._parts.clock())

    async def _take_slot(self, work: Work, deadline_s: float) -> None:
        if self._slots.try_acquire():
            return
        wait_ms = self._slots.wait_ms(work.priority)
        if self._parts.clock() + wait_ms / 1000 > deadline_s:
            raise _WorkStopped(
                not_run(
                    Blocker.OVERLOADED, "the queue for slots is too long", int(wait_ms)
                )
            )
        slot_request = _SlotRequest()
        self._slots.enqueue(slot_request, work.organisation, work.priority)
        try:
            with trio.move_on_at(self._trio_deadline(deadline_s)):
                await slot_request.resumed.wait()
        except trio.Cancelled:
            self._leave_queue(slot_request, work)
            raise
        if not slot_request.resumed.is_set():
            self._leave_queue(slot_request, work)
            raise _WorkStopped(
                not_run(
                    Blocker.OVERLOADED,
                    "no slot was free before the deadline",
                    int(wait_ms),
                )
            )
        if not slot_request.granted:
            raise _WorkStopped(
                not_run(
                    Blocker.NOT_SERVED,
                    "the server became unreachable while the work was queued",
                )
            )
        if self._remaining_s(deadline_s) < self._slots.cost_ms / 1000:
            self._free_slot(None)
            raise _WorkStopped(
                not_run(
                    Blocker.OVERLOADED,
                    "too little time was left after queueing",
                    int(wait_ms),
                )
            )

    def _leave_queue(self, slot_request: _SlotRequest, work: Work) -> None:
        if slot_request.granted:
            self._free_slot(None)
        elif not slot_request.resumed.is_set():
            self._slots.cancel_wait(slot_request, work.organisation, work.priority)

    def _free_slot(self, cost_ms: float | None) -> None:
        self._slots.release(cost_ms)
        slot_request = self._slots.acquire_next()
        if slot_request is not None:
            slot_request.granted = True
            slot_request.resumed.set()

    def _trio_deadline(self, deadline_s: float) -> float:
        return trio.current_time() + self._remaining_s(deadline_s)

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._parts.clock())

    def _connection_available(self) -> bool:
        return self._pool.can_provide(self._parts.clock())

    async def _wait_for_connection(self, work: Work, deadline_s: float) -> None:
        while not self._connection_available():
            movable = work.movable and self._pool.at_server_limit
            if movable or self._parts.clock() >= deadline_s:
                counts = self._pool.counts
                detail = (
                    f"no connection is free: idle={counts.idle} lent={counts.lent}"
                    f" opening={counts.opening}"
                )
                raise _WorkStopped(not_run(Blocker.OVERLOADED, detail))
            await trio.sleep(CONNECTION_POLL_INTERVAL_S)

    async def _lend_connection(self, work: Work) -> ServerConnection:
        """Lend a connection of the organisation, opening one if necessary."""
        while True:
            connection = self._pool.lend_best_match(
                work.organisation, dict(work.values)
            )
            if connection is None:
                return await self._open_connection(
                    work.organisation or NO_ORGANISATION, OPEN_TIMEOUT_S
                )
            if await self._is_usable(connection):
                return connection

    async def _is_usable(self, connection: ServerConnection) -> bool:
        """Whether an idle connection still works; closes it otherwise."""
        if not connection.link.quiet:
            self._pool.close(connection)
            return False
        idle_s = self._parts.clock() - connection.idle_since_s
        if idle_s < PROBE_AFTER_IDLE_S:
            return True
        return await self._is_responsive(connection)

    async def _is_responsive(self, connection: ServerConnection) -> bool:
        """Whether the server responds on a lent connection; closes it otherwise."""
        probe = [Command(CommandKind.BEGIN_READ_ONLY), Command(CommandKind.ROLLBACK)]
        return (await self._exchange(connection, probe, PROBE_TIMEOUT_S)).is_ok()

    async def _open_connection(
        self, organisation: str, timeout_s: float
    ) -> ServerConnection:
        started_at_s = self._parts.clock()
        self._pool.reserve_opening(started_at_s)
        opened = None
        connection = None
        try:
            with trio.move_on_after(timeout_s):
                opened = await self._parts.backend.open(self.server, organisation)
            if opened is not None and opened.is_ok():
                connection = ServerConnection(opened.unwrap(), organisation)
        finally:
            self._pool.finish_opening(connection)
        outcome = "no answer"
        if opened is not None:
            outcome = "opened" if opened.is_ok() else opened.unwrap_err().value
        self._parts.meter.count(kinds.CONNECTIONS_OPENED, self.server.id, outcome)
        if connection is not None and self._closed:
            self._pool.close(connection)
            raise _WorkStopped(
                not_run(
                    Blocker.NOT_SERVED,
                    f"{self.server.id} is no longer served by this host",
                )
            )
        if connection is not None:
            self._last_reply_at_s = self._parts.clock()
            return connection
        failure = OpenFailure.UNREACHABLE if opened is None else opened.unwrap_err()
        log_event("server.not_opened", server=self.server.id, reason=failure.value)
        if failure is OpenFailure.TOO_MANY:
            self._pool.record_refusal(self._parts.clock() + CONNECTION_LIMIT_RETRY_S)
            raise _ServerFull(not_run(Blocker.OVERLOADED, failure.value))
        if failure is OpenFailure.UNREACHABLE:
            self._note_failed_opening(started_at_s)
        overloaded = failure is OpenFailure.BUSY
        blocker = Blocker.OVERLOADED if overloaded else Blocker.NOT_SERVED
        raise _WorkStopped(not_run(blocker, failure.value))

    def _note_failed_opening(self, started_at_s: float) -> None:
        """Stop using a server to which no connection exists or can be opened.

        Otherwise each opening would occupy a slot until its timeout, and all other
        work would wait for these slots until its deadline.
        """
        counts = self._pool.counts
        connected = counts.idle + counts.lent > 0
        if not connected and self.reachable and self._last_reply_at_s <= started_at_s:
            self._mark_unreachable()

    async def _exchange(
        self, connection: ServerConnection, commands: list[Command], timeout_s: float
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands; on an ``Err`` the connection has been closed."""
        self._exchanges_started_at_s[connection] = self._parts.clock()
        self._watch_needed.set()
        exchanged: Result[list[Reply], ExchangeFailure] = Err(
            ExchangeFailure("no response in time")
        )
        try:
            with trio.move_on_after(timeout_s):
                exchanged = await connection.link.run_all(commands)
        finally:
            del self._exchanges_started_at_s[connection]
            if exchanged.is_err():
                self._pool.close(connection)
        if exchanged.is_ok():
            self._last_reply_at_s = self._parts.clock()
        return exchanged

    async def _run_on(
        self,
        connection: ServerConnection,
        work: Work,
        transaction: _Transaction | None,
        deadline_s: float,
    ) -> Reply:
        """Set the session's state on the connection and run the statement.

        If BEGIN is refused, its reply is returned as the statement's reply.
        """
        plan = _plan_session(connection, work)
        commands = plan.commands
        if work.scope in _BEGIN_COMMANDS:
            read_only = work.scope is Scope.BEGIN_READ_ONLY
            floor = work.floor if read_only else None
            commands.append(Command(_BEGIN_COMMANDS[work.scope], floor=floor))
        if commands:
            remaining_s = self._remaining_s(deadline_s)
            prepared = await self._exchange(connection, commands, remaining_s)
            if prepared.is_err():
                detail = (
                    f"before the statement was sent: {prepared.unwrap_err().reason}"
                )
                self._drop_transaction(work)
                raise _WorkStopped(not_run(Blocker.LOST, detail))
            replies = prepared.unwrap()
            begun = replies.pop() if work.scope in _BEGIN_COMMANDS else None
            if any(reply.reason is not None for reply in replies):
                self._pool.close(connection)
                self._drop_transaction(work)
                raise _WorkStopped(
                    not_run(
                        Blocker.LOST,
                        "the server refused to set the session's state",
                    )
                )
            connection.values = plan.values
            connection.prepared = plan.prepared
            if begun is not None and begun.reason is not None:
                return begun
        remaining_s = self._remaining_s(deadline_s)
        if not remaining_s:
            self._drop_transaction(work)
            self._start_rollback(connection)
            raise _WorkStopped(
                not_run(
                    Blocker.OVERLOADED,
                    "the deadline passed before the statement could be sent",
                )
            )
        command = _statement_command(connection, work)
        if work.kind is WorkKind.COMMIT or _writes(work):
            self._writes_started_at_s[connection] = self._parts.clock()
        try:
            exchanged = await self._exchange(connection, [command], remaining_s)
        finally:
            self._writes_started_at_s.pop(connection, None)
        if exchanged.is_err():
            self._drop_transaction(work)
            failure = exchanged.unwrap_err()
            if not failure.sent:
                raise _WorkStopped(not_run(Blocker.LOST, failure.reason))
            raise _WorkStopped(unknown(Blocker.LOST, failure.reason))
        return exchanged.unwrap()[0]

    def _settle(
        self,
        work: Work,
        connection: ServerConnection,
        transaction: _Transaction | None,
        reply: Reply,
    ) -> WorkResult:
        """Release or keep connection and transaction, and build the result."""
        success = reply.reason is None
        if reply.reason is Reason.BEHIND:
            if work.floor is not None:
                self._missing_position = (work.floor, self._parts.clock())
            if self._lagging_since_s is None:
                self._lagging_since_s = self._parts.clock()
        elif success and work.floor is not None:
            self._lagging_since_s = None
        writes = _writes(work)
        still_open = False
        if work.scope in (Scope.ALONE, Scope.PROVEN):
            led = success and (work.scope is Scope.PROVEN or writes)
        else:
            if transaction is None:
                read_only = work.scope is Scope.BEGIN_READ_ONLY
                transaction = _Transaction(connection, read_only)
            transaction.wrote = transaction.wrote or (success and writes)
            still_open = success and reply.state is SessionState.OPEN
            # A deposed primary also accepts a commit that wrote nothing, so such a
            # commit is no proof of leading.
            proves = work.kind is not WorkKind.COMMIT or transaction.wrote
            led = success and proves and not transaction.read_only
        if work.scope in (Scope.BEGIN, Scope.BEGIN_READ_ONLY, Scope.WITHIN):
            self._update_transaction(work.transaction, transaction, still_open)
        if not still_open:
            if reply.state is SessionState.IDLE:
                self._return_connection(connection)
            else:
                self._start_rollback(connection)
        if reply.reason is Reason.NO_STATEMENT:
            connection.prepared.clear()
        return WorkResult(
            WorkOutcome.DONE if success else WorkOutcome.REFUSED,
            rows=reply.rows,
            proof=reply.proof,
            reason=reply.reason,
            detail=reply.detail,
            position=reply.position,
            led=led,
            open=still_open,
        )

    def _update_transaction(
        self, name: str, transaction: _Transaction | None, still_open: bool
    ) -> None:
        kept = transaction if still_open else None
        if kept is not None and self._pool.is_lent(kept.connection):
            kept.used_at_s = self._parts.clock()
            self._transactions[name] = kept
        else:
            self._transactions.pop(name, None)

    def _drop_transaction(self, work: Work) -> None:
        """Remove the transaction whose connection was closed."""
        self._transactions.pop(work.transaction, None)

    def _roll_back(self, name: str) -> WorkResult:
        transaction = self._transactions.pop(name, None)
        if transaction is None:
            return WorkResult(WorkOutcome.DONE)
        if transaction.running:
            # Its statement may still be queued for a slot that it won't get in time,
            # so the connection is closed instead of waiting for the statement.
            self._pool.close(transaction.connection)
        else:
            self._start_rollback(transaction.connection)
        return WorkResult(WorkOutcome.DONE)

    def _start_rollback(self, connection: ServerConnection) -> None:
        """Roll back a connection's transaction in the background."""
        self._parts.nursery.start_soon(self._roll_back_connection, connection)

    async def _roll_back_connection(self, connection: ServerConnection) -> None:
        rollback = [Command(CommandKind.ROLLBACK)]
        ended = await self._exchange(connection, rollback, OPEN_TIMEOUT_S)
        if ended.is_err():
            return
        if ended.unwrap()[0].state is SessionState.IDLE:
            self._return_connection(connection)
        else:
            self._pool.close(connection)

    def _return_connection(self, connection: ServerConnection) -> None:
        self._pool.return_idle(connection, self._parts.clock())

    async def _check_silence(self) -> None:
        """Probe a silent or unreachable server and update ``reachable``."""
        now_s = self._parts.clock()
        if self.reachable:
            oldest_s = min(self._exchanges_started_at_s.values(), default=now_s)
            if now_s - max(oldest_s, self._last_reply_at_s) < SILENT_AFTER_S:
                return
        responds = await self._probe_server()
        if responds and not self.reachable:
            self.reachable = True
            log_event("server.back", server=self.server.id)
        elif not responds and self.reachable:
            self._mark_unreachable()

    async def _probe_server(self) -> bool:
        """Whether the server responds, on an open connection or on a new one."""
        connection = self._pool.lend_most_recent()
        if connection is None:
            return await self._probe_new_connection()
        responds = False

        async def probe_open() -> None:
            nonlocal responds
            if await self._is_responsive(connection):
                self._return_connection(connection)
                responds = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_open)
            await trio.sleep(NEW_PROBE_DELAY_S)
            if await self._probe_new_connection():
                responds = True
                nursery.cancel_scope.cancel()
        return responds

    async def _probe_new_connection(self) -> bool:
        try:
            connection = await self._open_connection(
                NO_ORGANISATION, PROBE_OPEN_TIMEOUT_S
            )
        except _WorkStopped as stopped:
            return stopped.result.blocker is Blocker.OVERLOADED
        self._return_connection(connection)
        return True

    def _mark_unreachable(self) -> None:
        """Stop using a server that does not respond, until a probe succeeds."""
        self.reachable = False
        self._watch_needed.set()
        self._unreachable_since_s = self._parts.clock()
        log_event(
            "server.unreachable",
            server=self.server.id,
            exchanges=len(self._exchanges_started_at_s),
            transactions=len(self._transactions),
        )
        self._pool.close_all()
        self._transactions.clear()
        for slot_request in self._slots.drain():
            slot_request.resumed.set()


def _plan_session(connection: ServerConnection, work: Work) -> _SessionPlan:
    """Return the commands that set the session's state on a connection."""
    values = dict(work.values)
    current, prepared = connection.values, dict(connection.prepared)
    commands = []
    if not current.keys() <= values.keys():
        commands.append(Command(CommandKind.FORGET_SESSION))
        current, prepared = {}, {}
    commands += [
        Command(CommandKind.SET, text=value, name=name)
        for name, value in values.items()
        if current.get(name) != value
    ]
    key = (work.shape_writes, work.shape)
    if work.kind is WorkKind.EXECUTE and key not in prepared:
        kind = CommandKind.PREPARE_READ
        if work.shape_writes:
            kind = CommandKind.PREPARE_WRITE
        name = prepared[key] = connection.new_name()
        commands.append(Command(kind, text=work.shape, name=name))
    return _SessionPlan(commands, values, prepared)


def _statement_command(connection: ServerConnection, work: Work) -> Command:
    name, floor = "", None
    if work.kind is WorkKind.EXECUTE:
        name = connection.prepared[(work.shape_writes, work.shape)]
    if work.scope is Scope.ALONE and not _writes(work):
        floor = work.floor
    return Command(
        _STATEMENT_COMMANDS[work.kind], work.text, name, work.request_id, floor
    )


def _requires_leader(work: Work) -> bool:
    """Whether work fails if the server stops leading before the work ends."""
    if work.scope is Scope.BEGIN or work.kind is WorkKind.COMMIT:
        return True
    return work.scope is Scope.ALONE and _writes(work)


def _writes(work: Work) -> bool:
    return work.kind is WorkKind.WRITE or work.shape_writes
