"""One backend server that this host serves to the fleet."""

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

# A connection idle for longer may have gone silent: it is tried before use.
PROBE_AFTER_IDLE_S = 1.0
PROBE_TIMEOUT_S = 0.25
# A new connection waits for a slot of the server and occupies it for tens of ms.
OPEN_TIMEOUT_S = 0.8
# Work that waits for a connection looks again this often.
CONNECTION_WAIT_S = 0.02
# A server that says nothing for this long while work is due is looked at.
SILENT_AFTER_S = 0.4
LOOK_INTERVAL_S = 0.1
RETRY_UNREACHABLE_S = 0.25
# Other hosts may hold connections for a while: those that served it before.
TOO_MANY_PAUSE_S = 1.0
# Connections left to hosts that look at the server without serving it.
CONNECTIONS_SPARED = 2
# How long what a log lacked is taken as lacking: replicas that are behind are so
# for seconds, and each question occupies one of their slots.
LACKED_FOR_S = 0.1
# Whom a backend server is told of where no organisation's work is done.
NOBODY = "-"

_BEGINNING = {
    Scope.PROVEN: CommandKind.BEGIN,
    Scope.BEGIN: CommandKind.BEGIN,
    Scope.BEGIN_READ_ONLY: CommandKind.BEGIN_READ_ONLY,
}
_KINDS = {
    WorkKind.READ: CommandKind.READ,
    WorkKind.WRITE: CommandKind.WRITE,
    WorkKind.EXECUTE: CommandKind.EXECUTE,
    WorkKind.COMMIT: CommandKind.COMMIT,
}


class ServingParts(NamedTuple):
    """What serving needs of the rest of the host; ``clock`` gives seconds."""

    end: BackendAdapter
    nursery: trio.Nursery
    clock: Callable[[], float]
    meter: Meter


class _Ticket:
    """A task that waits for a slot; ``granted`` once it has one."""

    def __init__(self) -> None:
        self.turn = trio.Event()
        self.granted = False


class _Transaction:
    """A caller's open transaction, on a connection of its own."""

    def __init__(self, connection: ServerConnection, read_only: bool) -> None:
        self.connection = connection
        self.read_only = read_only
        self.wrote = False
        self.running = False
        self.used_at_s = 0.0


class _SessionPlan(NamedTuple):
    """Commands that bring a connection into a session's state, and that state."""

    commands: list[Command]
    values: dict[str, str]
    prepared: dict[tuple[bool, str], str]


class _Stop(Exception):
    """Work that ends before the server replied to it."""

    def __init__(self, done: WorkResult) -> None:
        super().__init__(done.detail)
        self.done = done


class ServedBackend:
    """Runs work at one backend server.

    ``reachable`` while it answers. ``switching`` while it is being replaced as
    the primary: nothing is begun that could not be acknowledged any more.
    """

    def __init__(
        self, server: BackendServer, connections: int, parts: ServingParts
    ) -> None:
        self.server = server
        self.reachable = True
        self.switching = False
        self._unreachable_since_s = 0.0
        self._behind_since_s: float | None = None
        self._lacked: tuple[Position, float] | None = None
        self._parts = parts
        self._pool = ConnectionPool(max(1, connections - CONNECTIONS_SPARED))
        self._slots: SlotQueue[_Ticket] = SlotQueue(server.slots)
        self._health = Health()
        self._transactions: dict[str, _Transaction] = {}
        self._exchanges: dict[ServerConnection, float] = {}
        self._commits: dict[ServerConnection, float] = {}
        self._due = trio.Event()
        self._heard_at_s = parts.clock()
        self._scope = trio.CancelScope()
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether nothing runs, waits or is open here."""
        return not (self._transactions or self._exchanges or self._slots.waiting)

    @property
    def counts(self) -> PoolCounts:
        """How many connections the pool counts, and as what."""
        return self._pool.counts

    @property
    def wait_ms(self) -> int:
        """How long new work of the lowest priority would wait now."""
        return int(self._slots.wait_ms(LOWEST_PRIORITY))

    async def run(self, work: Work) -> WorkResult:
        """Run one piece of work."""
        if work.kind is WorkKind.ROLLBACK:
            return self._roll_back(work.transaction)
        if not self.reachable or self._closed:
            return not_run(Blocker.NOT_SERVED, f"{self.server.id} is unreachable")
        if self.switching and _must_lead(work):
            return not_run(Blocker.SWITCHING, "the primary is being replaced")
        if self._surely_lacks(work):
            detail = f"{self.server.id} was behind just now"
            return WorkResult(WorkOutcome.REFUSED, reason=Reason.BEHIND, detail=detail)
        if work.movable and self._health.turns_away(self._parts.clock()):
            return not_run(Blocker.FAILING, f"{self.server.id} fails its work")
        transaction = None
        if work.scope is Scope.WITHIN:
            transaction = self._transactions.get(work.transaction)
            if transaction is None or transaction.running:
                return not_run(Blocker.NO_TRANSACTION, "it is not open here")
            transaction.running = True
        try:
            done = await self._run(work, transaction)
        except _Stop as stop:
            done = stop.done
        finally:
            if transaction is not None:
                transaction.running = False
                transaction.used_at_s = self._parts.clock()
        self._note_health(done)
        # A log that is behind is a matter of milliseconds, and of most reads.
        if done.outcome is not WorkOutcome.DONE and done.reason is not Reason.BEHIND:
            log_event(
                "work.failed",
                request=work.request_id,
                server=self.server.id,
                scope=work.scope.value,
                fate=done.outcome.value,
                reason=done.reason.name if done.reason else "",
                obstacle=done.blocker.value,
                detail=done.detail,
                busy=self._slots.busy,
                waiting=self._slots.waiting,
                transactions=len(self._transactions),
                budget_ms=work.budget_ms,
            )
        return done._replace(wait_ms=self.wait_ms)

    @property
    def unreachable_s(self) -> float:
        """For how long the server hasn't answered, 0 while it does."""
        if self.reachable:
            return 0.0
        return self._parts.clock() - self._unreachable_since_s

    @property
    def failing_part(self) -> float:
        """The part of the last work that the server failed."""
        return self._health.failing_part(self._parts.clock())

    @property
    def lagging_s(self) -> float:
        """For how long the server lacked every position that was asked of it."""
        if self._behind_since_s is None:
            return 0.0
        return self._parts.clock() - self._behind_since_s

    @property
    def stuck_s(self) -> float:
        """For how long the oldest commit under way has not been answered."""
        began_s = min(self._commits.values(), default=None)
        return 0.0 if began_s is None else self._parts.clock() - began_s

    async def command(self, command: Command, timeout_s: float) -> Reply | None:
        """Run a command that is nobody's work; None where no answer came."""
        connection = self._pool.take_any()
        if connection is None:
            try:
                connection = await self._open(NOBODY, timeout_s)
            except _Stop:
                return None
        answered = await self._exchange(connection, [command], timeout_s)
        if answered.is_err():
            return None
        self._give_back(connection)
        return answered.unwrap()[0]

    async def check_reachable(self) -> bool:
        """Find out whether the server answers now."""
        return await self._answers()

    async def prove(self) -> ProofAnswer:
        """Return the log's end, proven by a plain transaction that began."""
        if not self.reachable or self._closed:
            return ProofAnswer(None, f"{self.server.id} is unreachable")
        connection = self._pool.take_any()
        if connection is None:
            try:
                connection = await self._open(NOBODY, OPEN_TIMEOUT_S)
            except _Stop as stop:
                return ProofAnswer(None, stop.done.detail)
        begun = await self._exchange(
            connection, [Command(CommandKind.BEGIN)], PROBE_TIMEOUT_S
        )
        if begun.is_err():
            return ProofAnswer(None, begun.unwrap_err().reason)
        self._finish(connection)
        reply = begun.unwrap()[0]
        if reply.reason is not None:
            denied = reply.reason is Reason.NOT_LEADER
            return ProofAnswer(None, f"{reply.reason.name} {reply.detail}", denied)
        return ProofAnswer(reply.position)

    async def watch(self) -> None:
        """Notice that the server has gone silent, and that it is back."""
        with self._scope:
            while True:
                if self.reachable and not self._exchanges:
                    self._due = trio.Event()
                    await self._due.wait()
                await trio.sleep(
                    LOOK_INTERVAL_S if self.reachable else RETRY_UNREACHABLE_S
                )
                await self._look()

    def trim(self, idle_s: float) -> None:
        """Close connections that were idle for longer: others may need the room."""
        self._pool.close_idle_since(self._parts.clock() - idle_s)

    def expire(self, idle_s: float) -> None:
        """Roll back transactions that were idle for longer."""
        now_s = self._parts.clock()
        for name, transaction in list(self._transactions.items()):
            idle = not transaction.running
            if idle and now_s - transaction.used_at_s > idle_s:
                log_event("transaction.expired", transaction=name)
                self._roll_back(name)

    def close(self) -> None:
        """Give all connections up; what runs ends as lost."""
        self._closed = True
        self._scope.cancel()
        self._pool.close_all()
        self._transactions.clear()

    async def _run(self, work: Work, transaction: _Transaction | None) -> WorkResult:
        deadline_s = self._parts.clock() + work.budget_ms / 1000
        while True:
            came_s = self._parts.clock()
            estimate_ms = self._slots.wait_ms(work.priority)
            await self._take_slot(work, deadline_s)
            waited_ms = (self._parts.clock() - came_s) * 1000
            self._parts.meter.time(kinds.QUEUE_WAIT_MS, waited_ms, self.server.id)
            self._parts.meter.time(kinds.QUEUE_ESTIMATE_MS, estimate_ms, self.server.id)
            if transaction is not None or self._can_lend():
                break
            self._free_slot(None)
            await self._wait_for_connection(deadline_s)
        began_s = self._parts.clock()
        replied = False
        try:
            if transaction is not None:
                connection = transaction.connection
            else:
                connection = await self._connection(work)
            reply = await self._run_on(connection, work, transaction, deadline_s)
            replied = True
        finally:
            cost_ms = (self._parts.clock() - began_s) * 1000
            self._free_slot(cost_ms if replied else None)
            self._parts.meter.time(kinds.SERVER_MS, cost_ms, self.server.id)
        return self._settle(work, connection, transaction, reply)

    def _surely_lacks(self, work: Work) -> bool:
        """Whether the server's log lacked no more than work needs, just now."""
        if self._lacked is None or work.floor is None or not work.movable:
            return False
        floor, at_s = self._lacked
        return work.floor >= floor and self._parts.clock() - at_s < LACKED_FOR_S

    def _note_health(self, done: WorkResult) -> None:
        failed = done.reason is Reason.FAILED or done.blocker is Blocker.LOST
        if failed or done.outcome is WorkOutcome.DONE:
            self._health.note(failed, self._parts.clock())

    async def _take_slot(self, work: Work, deadline_s: float) -> None:
        if self._slots.take():
            return
        wait_ms = self._slots.wait_ms(work.priority)
        if self._parts.clock() + wait_ms / 1000 > deadline_s:
            raise _Stop(not_run(Blocker.OVERLOADED, "the queue", int(wait_ms)))
        ticket = _Ticket()
        self._slots.wait(ticket, work.organisation, work.priority)
        try:
            with trio.move_on_at(self._at(deadline_s)):
                await ticket.turn.wait()
        except trio.Cancelled:
            self._leave_queue(ticket, work)
            raise
        if not ticket.turn.is_set():
            self._leave_queue(ticket, work)
            raise _Stop(not_run(Blocker.OVERLOADED, "the queue", int(wait_ms)))
        if not ticket.granted:
            raise _Stop(not_run(Blocker.NOT_SERVED, "it became unreachable"))
        if self._remaining_s(deadline_s) < self._slots.cost_ms / 1000:
            self._free_slot(None)
            raise _Stop(not_run(Blocker.OVERLOADED, "the queue", int(wait_ms)))

    def _leave_queue(self, ticket: _Ticket, work: Work) -> None:
        if ticket.granted:
            self._free_slot(None)
        elif not ticket.turn.is_set():
            self._slots.give_up(ticket, work.organisation, work.priority)

    def _free_slot(self, cost_ms: float | None) -> None:
        self._slots.release(cost_ms)
        ticket = self._slots.next()
        if ticket is not None:
            ticket.granted = True
            ticket.turn.set()

    def _at(self, deadline_s: float) -> float:
        return trio.current_time() + self._remaining_s(deadline_s)

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._parts.clock())

    def _can_lend(self) -> bool:
        return self._pool.can_lend(self._parts.clock())

    async def _wait_for_connection(self, deadline_s: float) -> None:
        while not self._can_lend():
            if self._parts.clock() >= deadline_s:
                counts = self._pool.counts
                detail = (
                    f"no connection is free: idle={counts.idle} lent={counts.lent}"
                    f" opening={counts.opening}"
                )
                raise _Stop(not_run(Blocker.OVERLOADED, detail))
            await trio.sleep(CONNECTION_WAIT_S)

    async def _connection(self, work: Work) -> ServerConnection:
        """Return a connection of the organisation; opens one if need be."""
        while True:
            connection = self._pool.take(work.organisation, dict(work.values))
            if connection is None:
                return await self._open(work.organisation or NOBODY, OPEN_TIMEOUT_S)
            if await self._is_sound(connection):
                return connection

    async def _is_sound(self, connection: ServerConnection) -> bool:
        """Whether an idle connection still works; one that doesn't is dropped."""
        if not connection.link.quiet:
            self._pool.close(connection)
            return False
        idle_s = self._parts.clock() - connection.idle_since_s
        if idle_s < PROBE_AFTER_IDLE_S:
            return True
        probe = [Command(CommandKind.BEGIN_READ_ONLY), Command(CommandKind.ROLLBACK)]
        return (await self._exchange(connection, probe, PROBE_TIMEOUT_S)).is_ok()

    async def _open(self, organisation: str, timeout_s: float) -> ServerConnection:
        self._pool.begin_opening()
        opened = None
        connection = None
        try:
            with trio.move_on_after(timeout_s):
                opened = await self._parts.end.open(self.server, organisation)
            if opened is not None and opened.is_ok():
                connection = ServerConnection(opened.unwrap(), organisation)
        finally:
            self._pool.end_opening(connection)
        outcome = "no answer"
        if opened is not None:
            outcome = "opened" if opened.is_ok() else opened.unwrap_err().value
        self._parts.meter.count(kinds.CONNECTIONS_OPENED, self.server.id, outcome)
        if connection is not None and self._closed:
            self._pool.close(connection)
            raise _Stop(not_run(Blocker.NOT_SERVED, f"{self.server.id} was given up"))
        if connection is not None:
            self._heard_at_s = self._parts.clock()
            return connection
        failure = OpenFailure.UNREACHABLE if opened is None else opened.unwrap_err()
        log_event("server.not_opened", server=self.server.id, reason=failure.value)
        if failure is OpenFailure.TOO_MANY:
            self._pool.limit_for_now(self._parts.clock() + TOO_MANY_PAUSE_S)
        overloaded = failure in (OpenFailure.TOO_MANY, OpenFailure.BUSY)
        obstacle = Blocker.OVERLOADED if overloaded else Blocker.NOT_SERVED
        raise _Stop(not_run(obstacle, failure.value))

    async def _exchange(
        self, connection: ServerConnection, commands: list[Command], timeout_s: float
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands; after an ``Err`` the connection is gone."""
        self._exchanges[connection] = self._parts.clock()
        self._due.set()
        answered: Result[list[Reply], ExchangeFailure] = Err(
            ExchangeFailure("no answer in time")
        )
        try:
            with trio.move_on_after(timeout_s):
                answered = await connection.link.run_all(commands)
        finally:
            del self._exchanges[connection]
            if answered.is_err():
                self._pool.close(connection)
        if answered.is_ok():
            self._heard_at_s = self._parts.clock()
        return answered

    async def _run_on(
        self,
        connection: ServerConnection,
        work: Work,
        transaction: _Transaction | None,
        deadline_s: float,
    ) -> Reply:
        """Bring the connection into the session's state and run the statement.

        A reply to BEGIN that refuses stands for the reply to the statement.
        """
        plan = _plan_session(connection, work)
        commands = plan.commands
        if work.scope in _BEGINNING:
            read_only = work.scope is Scope.BEGIN_READ_ONLY
            floor = work.floor if read_only else None
            commands.append(Command(_BEGINNING[work.scope], floor=floor))
        if commands:
            remaining_s = self._remaining_s(deadline_s)
            prepared = await self._exchange(connection, commands, remaining_s)
            if prepared.is_err():
                detail = f"before the statement: {prepared.unwrap_err().reason}"
                self._forget(work)
                raise _Stop(not_run(Blocker.LOST, detail))
            replies = prepared.unwrap()
            begun = replies.pop() if work.scope in _BEGINNING else None
            if any(reply.reason is not None for reply in replies):
                self._pool.close(connection)
                self._forget(work)
                raise _Stop(not_run(Blocker.LOST, "the session's state was refused"))
            connection.values = plan.values
            connection.prepared = plan.prepared
            if begun is not None and begun.reason is not None:
                return begun
        remaining_s = self._remaining_s(deadline_s)
        if not remaining_s:
            self._forget(work)
            self._finish(connection)
            raise _Stop(not_run(Blocker.OVERLOADED, "no time was left for it"))
        command = _statement_command(connection, work)
        if work.kind is WorkKind.COMMIT or _writes(work):
            self._commits[connection] = self._parts.clock()
        try:
            answered = await self._exchange(connection, [command], remaining_s)
        finally:
            self._commits.pop(connection, None)
        if answered.is_err():
            self._forget(work)
            lost = answered.unwrap_err()
            if not lost.sent:
                raise _Stop(not_run(Blocker.LOST, lost.reason))
            raise _Stop(unknown(Blocker.LOST, lost.reason))
        return answered.unwrap()[0]

    def _settle(
        self,
        work: Work,
        connection: ServerConnection,
        transaction: _Transaction | None,
        reply: Reply,
    ) -> WorkResult:
        """Decide what becomes of connection and transaction, and answer."""
        success = reply.reason is None
        if reply.reason is Reason.BEHIND:
            if work.floor is not None:
                self._lacked = (work.floor, self._parts.clock())
            if self._behind_since_s is None:
                self._behind_since_s = self._parts.clock()
        elif success and work.floor is not None:
            self._behind_since_s = None
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
            # A commit that wrote nothing is accepted by a deposed primary too.
            proves = work.kind is not WorkKind.COMMIT or transaction.wrote
            led = success and proves and not transaction.read_only
        if work.scope in (Scope.BEGIN, Scope.BEGIN_READ_ONLY, Scope.WITHIN):
            self._keep(work.transaction, transaction, still_open)
        if not still_open:
            if reply.state is SessionState.IDLE:
                self._give_back(connection)
            else:
                self._finish(connection)
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

    def _keep(
        self, name: str, transaction: _Transaction | None, still_open: bool
    ) -> None:
        kept = transaction if still_open else None
        if kept is not None and self._pool.lends(kept.connection):
            kept.used_at_s = self._parts.clock()
            self._transactions[name] = kept
        else:
            self._transactions.pop(name, None)

    def _forget(self, work: Work) -> None:
        """Forget the transaction whose connection was lost."""
        self._transactions.pop(work.transaction, None)

    def _roll_back(self, name: str) -> WorkResult:
        transaction = self._transactions.pop(name, None)
        if transaction is None:
            return WorkResult(WorkOutcome.DONE)
        if transaction.running:
            # Its statement may wait for a slot that it won't get in time.
            self._pool.close(transaction.connection)
        else:
            self._finish(transaction.connection)
        return WorkResult(WorkOutcome.DONE)

    def _finish(self, connection: ServerConnection) -> None:
        """Roll back what is open on a connection, in the background."""
        self._parts.nursery.start_soon(self._end_transaction, connection)

    async def _end_transaction(self, connection: ServerConnection) -> None:
        rollback = [Command(CommandKind.ROLLBACK)]
        ended = await self._exchange(connection, rollback, OPEN_TIMEOUT_S)
        if ended.is_err():
            return
        if ended.unwrap()[0].state is SessionState.IDLE:
            self._give_back(connection)
        else:
            self._pool.close(connection)

    def _give_back(self, connection: ServerConnection) -> None:
        self._pool.give_back(connection, self._parts.clock())

    async def _look(self) -> None:
        """Find out whether a server that says nothing still answers."""
        now_s = self._parts.clock()
        if self.reachable:
            oldest_s = min(self._exchanges.values(), default=now_s)
            if now_s - max(oldest_s, self._heard_at_s) < SILENT_AFTER_S:
                return
        answers = await self._answers()
        if answers and not self.reachable:
            self.reachable = True
            log_event("server.back", server=self.server.id)
        elif not answers and self.reachable:
            self._lose()

    async def _answers(self) -> bool:
        connection = self._pool.take_any()
        if connection is not None:
            probe = [
                Command(CommandKind.BEGIN_READ_ONLY),
                Command(CommandKind.ROLLBACK),
            ]
            answered = await self._exchange(connection, probe, PROBE_TIMEOUT_S)
            if answered.is_ok():
                self._give_back(connection)
                return True
        try:
            connection = await self._open(NOBODY, OPEN_TIMEOUT_S)
        except _Stop as stop:
            return stop.done.blocker is Blocker.OVERLOADED
        self._give_back(connection)
        return True

    def _lose(self) -> None:
        """Give up on a server that doesn't answer, until it does again."""
        self.reachable = False
        self._unreachable_since_s = self._parts.clock()
        log_event(
            "server.unreachable",
            server=self.server.id,
            exchanges=len(self._exchanges),
            transactions=len(self._transactions),
        )
        self._pool.close_all()
        self._transactions.clear()
        for ticket in self._slots.drain():
            ticket.turn.set()


def _plan_session(connection: ServerConnection, work: Work) -> _SessionPlan:
    """Return what brings a connection into the session's state."""
    values = dict(work.values)
    held, prepared = connection.values, dict(connection.prepared)
    commands = []
    if not held.keys() <= values.keys():
        commands.append(Command(CommandKind.FORGET_SESSION))
        held, prepared = {}, {}
    commands += [
        Command(CommandKind.SET, text=value, name=name)
        for name, value in values.items()
        if held.get(name) != value
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
    return Command(_KINDS[work.kind], work.text, name, work.request_id, floor)


def _must_lead(work: Work) -> bool:
    """Whether work is lost where the server stops leading before it ends."""
    if work.scope is Scope.BEGIN or work.kind is WorkKind.COMMIT:
        return True
    return work.scope is Scope.ALONE and _writes(work)


def _writes(work: Work) -> bool:
    return work.kind is WorkKind.WRITE or work.shape_writes
