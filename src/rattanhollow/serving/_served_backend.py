"""Runs work at one backend server on behalf of all hosts of the fleet."""

from contextlib import AbstractAsyncContextManager
from functools import partial

import trio

from rattanhollow.observe import kinds, log_event
from rattanhollow.serving._backend_protocol import (
    BackendServer,
    Command,
    CommandKind,
    Reply,
)
from rattanhollow.serving._cold_turns import ColdTurns
from rattanhollow.serving._commands import (
    begin_command,
    plan_session,
    requires_leader,
    statement_command,
    writes_data,
)
from rattanhollow.serving._connections import PoolCounts, ServerConnection
from rattanhollow.serving._connector import PROBE_TIMEOUT_S, Connector, ServingParts
from rattanhollow.serving._health import Health
from rattanhollow.serving._lag import Lag
from rattanhollow.serving._leader_use import LeaderUse, LeaderUseGuard
from rattanhollow.serving._reachability import SILENT_AFTER_S, Reachability
from rattanhollow.serving._scarce_slot_waits import (
    ScarceSlotWaits,
    work_of_left_caller,
)
from rattanhollow.serving._slot_waits import SlotWaits
from rattanhollow.serving._stopped import ServerFull, WorkStopped
from rattanhollow.serving._transactions import Transaction, Transactions
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

WRITES_CHECK_INTERVAL_S = 0.1
# How long the replacement of a leaving primary takes if it takes long.
SUCCESSOR_EXPECTED_MS = 1_000


class ServedBackend:
    """Runs work at one backend server.

    ``switching`` is set while the server is being replaced as the primary: no work is
    started that it could no longer acknowledge.
    """

    def __init__(
        self, server: BackendServer, connections: int, parts: ServingParts
    ) -> None:
        self.switching = False
        self._parts = parts
        self._reachability = Reachability(parts.clock, self._leave)
        self._connector = Connector(
            server,
            connections,
            parts,
            self._reachability.note_request,
            self._note_failed_opening,
        )
        self._slots = _slot_waits(server, parts)
        # The work in hand, and that for which nobody waits, by its transaction.
        self._in_hand: set[str] = set()
        self._withdrawn: set[str] = set()
        self._transactions = Transactions(self._connector, parts.clock)
        self._health = Health()
        self._cold_turns = ColdTurns(server, parts)
        # Units of work that wait or run.
        self._works = 0
        self._lag = Lag()
        self._writes_started_at_s: dict[ServerConnection, float] = {}
        self._watches_writes = False
        self._leader_use = LeaderUseGuard(
            parts.check_leader_use, parts.nursery, parts.clock
        )

    @property
    def server(self) -> BackendServer:
        """The server's newest description."""
        return self._connector.server

    def update(self, server: BackendServer, connections: int) -> None:
        """Use a newer description and connection limit of the same server."""
        if server.leads and not self._connector.server.leads:
            self._leader_use.reset()
        self._connector.server = server
        self._connector.set_limit(connections)
        self._cold_turns.update(server)

    @property
    def reachable(self) -> bool:
        """Whether the server responds."""
        return self._reachability.reachable

    @property
    def idle(self) -> bool:
        """Whether no work runs or waits and no transaction is open."""
        return not (
            self._transactions or self._connector.exchanges or self._slots.waiting
        )

    @property
    def counts(self) -> PoolCounts:
        """The number of pooled connections in each state."""
        return self._connector.counts

    @property
    def wait_ms(self) -> int:
        """The estimated wait of new work of the lowest priority."""
        return self._slots.wait_ms

    @property
    def unreachable_s(self) -> float:
        """Seconds since the server became unreachable, 0 while it is reachable."""
        return self._reachability.unreachable_s

    @property
    def suspected_s(self) -> float:
        """Seconds since the server is suspected of not responding, 0 if it is not.

        It is unreachable only once a probe has failed.
        """
        if not self.reachable:
            return self.unreachable_s
        return max(0.0, self._connector.silent_s - SILENT_AFTER_S)

    @property
    def lagging_s(self) -> float:
        """Seconds for which the server has lacked every position required of it."""
        return self._lag.lagging_s(self._parts.clock())

    @property
    def leader_pending_s(self) -> float:
        """Seconds for which work was refused for a promotion in the server's place.

        0 if none is pending, or no work has met that lately.
        """
        return self._leader_use.pending_s

    @property
    def stuck_s(self) -> float:
        """Seconds since the oldest pending write or commit was sent, 0 if none is."""
        started_at_s = min(self._writes_started_at_s.values(), default=None)
        return 0.0 if started_at_s is None else self._parts.clock() - started_at_s

    async def run(self, work: Work) -> WorkResult:
        """Run one unit of work and return its result."""
        if work.kind is WorkKind.ROLLBACK:
            if self._parts.must_stop(self.server):
                self._transactions.end_idle()
            self._transactions.roll_back(work.transaction)
            return WorkResult(WorkOutcome.DONE)
        turned_away = self._turn_away(work)
        if turned_away is not None:
            return turned_away
        deadline_s = self._parts.clock() + work.budget_ms / 1000
        transaction = None
        if work.scope is Scope.WITHIN:
            transaction = self._transactions.start_statement(work.transaction)
            if transaction is None:
                detail = "the transaction is not open at this host"
                return not_run(Blocker.NO_TRANSACTION, detail)
        self._works += 1
        self._in_hand.add(work.transaction)
        try:
            result = await self._run(work, transaction, deadline_s)
        except WorkStopped as stopped:
            result = stopped.result
        finally:
            self._works -= 1
            self._in_hand.discard(work.transaction)
            self._withdrawn.discard(work.transaction)
            if transaction is not None:
                self._transactions.end_statement(transaction)
        if self._parts.scarce_slots and result.blocker is Blocker.OVERLOADED:
            # The caller is told that its transaction is aborted, and sends no rollback.
            self._transactions.roll_back(work.transaction)
        self._record_health(result)
        self._log_failure(work, result)
        return result._replace(wait_ms=self.wait_ms)

    def withdraw(self, transaction: str) -> None:
        """Drop work for which nobody waits, unless its statement has been sent."""
        if transaction not in self._in_hand:
            return
        self._withdrawn.add(transaction)
        if isinstance(self._slots, ScarceSlotWaits):
            self._slots.withdraw(transaction)

    async def command(self, command: Command, timeout_s: float) -> Reply | None:
        """Run a command of the proxy itself; None if no reply arrived."""
        try:
            connection = await self._connector.lend_any(timeout_s)
        except WorkStopped:
            return None
        exchanged = await self._connector.exchange(connection, [command], timeout_s)
        if exchanged.is_err():
            return None
        self._connector.give_back(connection)
        return exchanged.unwrap()[0]

    async def check_reachable(self) -> bool:
        """Probe the server and return whether it responds."""
        return await self._reachability.probe(self._connector)

    async def prove(self) -> ProofAnswer:
        """Return the end of the log, proven by beginning a read-write transaction."""
        if not self.reachable or self._connector.closed:
            return ProofAnswer(None, f"{self.server.id} is unreachable")
        if self._parts.must_stop(self.server):
            return ProofAnswer(None, f"{self.server.id} is in an evacuated zone")
        try:
            connection = await self._connector.lend_any()
        except WorkStopped as stopped:
            return ProofAnswer(None, stopped.result.detail)
        begun = await self._connector.exchange(
            connection, [Command(CommandKind.BEGIN)], PROBE_TIMEOUT_S
        )
        if begun.is_err():
            return ProofAnswer(None, begun.unwrap_err().reason)
        self._connector.start_rollback(connection)
        reply = begun.unwrap()[0]
        if reply.reason is not None:
            denied = reply.reason is Reason.NOT_LEADER
            return ProofAnswer(None, f"{reply.reason.name} {reply.detail}", denied)
        return ProofAnswer(reply.position)

    async def watch(self) -> None:
        """Detect when the server stops responding and when it responds again."""
        await self._reachability.watch(self._connector)

    def trim(self, idle_s: float) -> None:
        """Close connections idle for longer than ``idle_s`` to make room for others."""
        self._connector.close_idle(idle_s)

    def expire(self, idle_s: float) -> None:
        """Roll back transactions idle for longer than ``idle_s``."""
        self._transactions.expire(idle_s)

    def end_transactions(self) -> None:
        """End open transactions, but for a statement that the server runs now."""
        self._transactions.end_idle()

    def close(self) -> None:
        """Close all connections; exchanges under way fail."""
        self._connector.closed = True
        self._reachability.stop()
        self._connector.close_all()
        self._transactions.clear()

    def stop_leader_use(self) -> None:
        """Send the server nothing more as to the primary before a new check."""
        self._leader_use.reset()

    def give_up_writes(self) -> None:
        """Wait for pending writes and commits no longer; their outcome is unknown.

        What the server acknowledges later reaches nobody.
        """
        for connection in list(self._writes_started_at_s):
            self._connector.close(connection)

    def _turn_away(self, work: Work) -> WorkResult | None:
        """Return the result of work that is not to be tried at all."""
        if not self.reachable or self._connector.closed:
            return not_run(Blocker.NOT_SERVED, f"{self.server.id} is unreachable")
        if self._leaves(work):
            return _leaving(self.server)
        if work.scope is Scope.WITHIN and self._parts.must_stop(self.server):
            self._transactions.end_idle()
            return _leaving(self.server)
        if self.switching and requires_leader(work):
            return not_run(Blocker.SWITCHING, "the primary is being replaced")
        now_s = self._parts.clock()
        if work.movable and work.floor is not None:
            if self._lag.lacked_recently(work.floor, now_s):
                detail = (
                    f"{self.server.id} lacked the required log position at the last"
                    " check"
                )
                return WorkResult(
                    WorkOutcome.REFUSED, reason=Reason.BEHIND, detail=detail
                )
        if work.movable and self._health.should_divert(now_s):
            return not_run(Blocker.FAILING, f"{self.server.id} fails too many requests")
        unsent = max(0, self._works - self._connector.exchanges)
        return self._cold_turns.turn_away(work, unsent)

    def _take_cold_turn(
        self,
        work: Work,
        connection: ServerConnection,
        deadline_s: float,
        begun: bool,
        commands: int = 1,
    ) -> AbstractAsyncContextManager[None]:
        """Wait for the turn of commands; ``begun`` is whether a transaction is open."""
        release = partial(self._release, work, connection, begun)
        can_move = work.movable and not begun
        return self._cold_turns.take(deadline_s, can_move, release, commands)

    def _release(self, work: Work, connection: ServerConnection, begun: bool) -> None:
        """Give up work that was not sent, and its transaction if one is open."""
        if begun:
            self._give_up_transaction(work, connection)
        else:
            self._connector.give_back(connection)

    def _leaves(self, work: Work) -> bool:
        """Whether work is new to a server that must get no new work any longer."""
        if work.scope is Scope.WITHIN:
            return False
        may_begin = self._parts.may_begin_work(self.server.id)
        return not may_begin or self._parts.must_stop(self.server)

    def _uses_leader(self, work: Work, transaction: Transaction | None) -> bool:
        """Whether the server acknowledges work, or what it begins, as the primary."""
        if work.kind is WorkKind.COMMIT:
            return transaction is not None and transaction.wrote
        return requires_leader(work)

    async def _check_leader_use(
        self, work: Work, connection: ServerConnection | None, deadline_s: float
    ) -> None:
        """Find out whether the server may be used as the primary.

        Raises:
            WorkStopped: it may not, or that isn't known before the deadline.

        """
        use = LeaderUse.UNKNOWN
        with trio.move_on_after(self._remaining_s(deadline_s)):
            use = await self._leader_use.check(self.server)
        if use in (LeaderUse.ALLOWED, LeaderUse.ASSUMED):
            return
        if connection is not None:
            self._give_up_transaction(work, connection)
        if use is LeaderUse.PENDING:
            detail = "the promotion of another server may be pending"
            raise WorkStopped(not_run(Blocker.SWITCHING, detail))
        detail = f"nobody tells this host whether {self.server.id} may lead"
        raise WorkStopped(not_run(Blocker.NOT_SERVED, detail))

    async def _watch_writes(self) -> None:
        """Give pending writes up in time if the server may no longer be used."""
        while self._writes_started_at_s:
            self._leader_use.renew(self.server)
            await trio.sleep(WRITES_CHECK_INTERVAL_S)
            if self._leader_use.must_give_up:
                self.give_up_writes()
        self._watches_writes = False

    def _give_up_transaction(self, work: Work, connection: ServerConnection) -> None:
        self._transactions.drop(work.transaction)
        self._connector.start_rollback(connection)

    async def _run(
        self, work: Work, transaction: Transaction | None, deadline_s: float
    ) -> WorkResult:
        if self._uses_leader(work, transaction):
            connection = transaction.connection if transaction is not None else None
            await self._check_leader_use(work, connection, deadline_s)
        while True:
            if work.transaction in self._withdrawn:
                raise WorkStopped(work_of_left_caller(work))
            await self._slots.take(work, deadline_s)
            if transaction is None and not self._connector.can_provide():
                self._slots.free(None)
                await self._connector.wait_until_available(
                    work, deadline_s, lambda: work.transaction in self._withdrawn
                )
                continue
            try:
                return await self._run_in_slot(work, transaction, deadline_s)
            except ServerFull:
                if work.movable:
                    raise

    async def _run_in_slot(
        self, work: Work, transaction: Transaction | None, deadline_s: float
    ) -> WorkResult:
        """Run work that has a slot, and free the slot."""
        started_at_s = self._parts.clock()
        replied = False
        try:
            if transaction is not None:
                connection = transaction.connection
            else:
                connection = await self._connector.lend(work)
            uses_leader = self._uses_leader(work, transaction)
            reply = await self._run_on(connection, work, uses_leader, deadline_s)
            replied = True
        finally:
            cost_ms = (self._parts.clock() - started_at_s) * 1000
            self._slots.free(cost_ms if replied else None)
            self._parts.meter.time(kinds.SERVER_MS, cost_ms, self.server.id)
        return self._settle(work, connection, transaction, reply)

    async def _run_on(
        self,
        connection: ServerConnection,
        work: Work,
        uses_leader: bool,
        deadline_s: float,
    ) -> Reply:
        """Set the session's state on the connection and run the statement.

        If BEGIN is refused, its reply is returned as the statement's reply.
        """
        refused_begin = await self._prepare(connection, work, deadline_s)
        if refused_begin is not None:
            return refused_begin
        begun = work.scope is not Scope.ALONE
        async with self._take_cold_turn(work, connection, deadline_s, begun):
            if uses_leader:
                # It may have waited for longer than what was found holds.
                await self._check_leader_use(work, connection, deadline_s)
            self._check_before_sending(work, connection, deadline_s, begun)
        remaining_s = self._remaining_s(deadline_s)
        if work.transaction in self._withdrawn:
            self._release(work, connection, begun)
            raise WorkStopped(work_of_left_caller(work))
        command = statement_command(connection, work)
        is_commit = work.kind is WorkKind.COMMIT and uses_leader
        if is_commit or writes_data(work):
            if not self._watches_writes:
                self._watches_writes = True
                self._parts.nursery.start_soon(self._watch_writes)
            self._writes_started_at_s[connection] = self._parts.clock()
        try:
            exchanged = await self._connector.exchange(
                connection, [command], remaining_s
            )
        finally:
            is_write = self._writes_started_at_s.pop(connection, None) is not None
        if is_write and self._leader_use.must_give_up:
            # This host was suspended, and the primary may have been replaced meanwhile.
            self._transactions.drop(work.transaction)
            self._connector.close(connection)
            raise WorkStopped(unknown(Blocker.LOST, "the reply came too late"))
        if exchanged.is_ok():
            return exchanged.unwrap()[0]
        self._transactions.drop(work.transaction)
        failure = exchanged.unwrap_err()
        if not failure.sent:
            raise WorkStopped(not_run(Blocker.LOST, failure.reason))
        raise WorkStopped(unknown(Blocker.LOST, failure.reason))

    def _check_before_sending(
        self, work: Work, connection: ServerConnection, deadline_s: float, begun: bool
    ) -> None:
        """Check again what may have changed while the work waited.

        Raises:
            WorkStopped: nothing may be sent any longer.

        """
        if self._parts.must_stop(self.server):
            # A connection that is closed is rolled back, and nothing more is sent.
            self._transactions.drop(work.transaction)
            self._connector.close(connection)
            raise WorkStopped(_leaving(self.server))
        if self._leaves(work):
            self._release(work, connection, begun)
            raise WorkStopped(_leaving(self.server))
        if not self._remaining_s(deadline_s):
            self._release(work, connection, begun)
            detail = "the deadline passed before the statement could be sent"
            raise WorkStopped(not_run(Blocker.OVERLOADED, detail))

    async def _prepare(
        self, connection: ServerConnection, work: Work, deadline_s: float
    ) -> Reply | None:
        """Set the session's state and begin the transaction that the work begins.

        Returns the reply to BEGIN if it was refused.
        """
        plan = plan_session(connection, work)
        commands = plan.commands
        begin = begin_command(work)
        if begin is not None:
            commands.append(begin)
        if not commands:
            return None
        is_open = work.scope is Scope.WITHIN
        async with self._take_cold_turn(
            work, connection, deadline_s, is_open, len(commands)
        ):
            self._check_before_sending(work, connection, deadline_s, is_open)
        remaining_s = self._remaining_s(deadline_s)
        prepared = await self._connector.exchange(connection, commands, remaining_s)
        if prepared.is_err():
            self._transactions.drop(work.transaction)
            detail = f"before the statement was sent: {prepared.unwrap_err().reason}"
            raise WorkStopped(not_run(Blocker.LOST, detail))
        replies = prepared.unwrap()
        begun = replies.pop() if begin is not None else None
        if any(reply.reason is not None for reply in replies):
            self._connector.close(connection)
            self._transactions.drop(work.transaction)
            detail = "the server refused to set the session's state"
            raise WorkStopped(not_run(Blocker.LOST, detail))
        connection.values = plan.values
        connection.prepared = plan.prepared
        return begun if begun is not None and begun.reason is not None else None

    def _settle(
        self,
        work: Work,
        connection: ServerConnection,
        transaction: Transaction | None,
        reply: Reply,
    ) -> WorkResult:
        """Release or keep connection and transaction, and build the result."""
        success = reply.reason is None
        if reply.reason is Reason.BEHIND:
            self._lag.record_missing(work.floor, self._parts.clock())
        elif success and work.floor is not None:
            self._lag.record_present()
        if work.scope in (Scope.ALONE, Scope.PROVEN):
            still_open = False
            led = success and (work.scope is Scope.PROVEN or writes_data(work))
        else:
            still_open = success and reply.state is SessionState.OPEN
            led = self._settle_transaction(
                work, connection, transaction, success, still_open
            )
        if not still_open:
            if reply.state is SessionState.IDLE:
                self._connector.give_back(connection)
            else:
                self._connector.start_rollback(connection)
        if reply.reason is Reason.NOT_LEADER:
            self._leader_use.reset()
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

    def _settle_transaction(
        self,
        work: Work,
        connection: ServerConnection,
        transaction: Transaction | None,
        success: bool,
        still_open: bool,
    ) -> bool:
        """Keep or drop a transaction; return whether the server proved that it leads.

        A deposed primary also accepts a commit that wrote nothing, so such a commit is
        no proof of leading.
        """
        if transaction is None:
            read_only = work.scope is Scope.BEGIN_READ_ONLY
            transaction = Transaction(connection, read_only)
        transaction.wrote = transaction.wrote or (success and writes_data(work))
        if still_open:
            self._transactions.keep(work.transaction, transaction)
        else:
            self._transactions.drop(work.transaction)
        proves = work.kind is not WorkKind.COMMIT or transaction.wrote
        return success and proves and not transaction.read_only

    def _record_health(self, result: WorkResult) -> None:
        failed = result.reason is Reason.FAILED or result.blocker is Blocker.LOST
        if failed or result.outcome is WorkOutcome.DONE:
            self._health.record_outcome(failed, self._parts.clock())

    def _log_failure(self, work: Work, result: WorkResult) -> None:
        # Reads refused because the log lags are too common to log: the lag lasts
        # milliseconds and affects most reads.
        if result.outcome is WorkOutcome.DONE or result.reason is Reason.BEHIND:
            return
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

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._parts.clock())

    def _note_failed_opening(self, started_at_s: float) -> None:
        self._reachability.note_failed_opening(self._connector, started_at_s)

    def _leave(self) -> None:
        """End what waits for a server that stopped responding."""
        log_event(
            "server.unreachable",
            server=self.server.id,
            exchanges=self._connector.exchanges,
            transactions=len(self._transactions),
        )
        self._leader_use.reset()
        self._connector.close_all()
        self._transactions.clear()
        self._slots.turn_away_all()


def _slot_waits(
    server: BackendServer, parts: ServingParts
) -> SlotWaits | ScarceSlotWaits:
    if not parts.scarce_slots:
        return SlotWaits(server.slots, server.id, parts.clock, parts.meter)
    return ScarceSlotWaits(
        server.slots, server.id, parts.clock, parts.meter, parts.nursery
    )


def _leaving(server: BackendServer) -> WorkResult:
    detail = f"{server.id} leaves, and gets no new work"
    return not_run(Blocker.SWITCHING, detail, SUCCESSOR_EXPECTED_MS)
