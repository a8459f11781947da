"""Routing of statements: choice of server, retries, and responses to callers."""

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Consistency, Route
from rattanhollow.coordination import Position
from rattanhollow.flow import TokenBucket
from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.routing._agents import DispatchResult, WorkDispatcher
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._floors import FloorCache
from rattanhollow.routing._home_regions import HomeRegions, is_allowed
from rattanhollow.routing._zone_topology import ZoneTopology
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    Scope,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.statements import Answer, Completed, Reason, Refused

# Pause before a statement that no server could accept is retried.
RETRY_PAUSE_S = 0.1
# A cached position is refreshed once it is older than this fraction of the maximum
# age of reads; the remaining time lets reads continue while no primary responds.
REFRESH_AT_FRACTION = 0.4
# Added to the cost of a server that fails its work. Like all wait estimates, it
# expires within a second.
FAILURE_PENALTY_MS = 1_000.0
# Added to the cost of a server that no host reaches; expires likewise.
UNREACHABLE_PENALTY_MS = 1_000.0
# Cost of a server whose log lags the position that all readers must see; expires
# likewise.
LAG_PENALTY_MS = 400.0
# Added to the cost of the primary, which alone can do other work. Reads go there while
# all replicas lag, are out of reach, or have queues so much longer.
PRIMARY_PENALTY_MS = 300.0
# Retries of a failed read that only the primary may serve.
MAX_PRIMARY_READ_RETRIES = 2
# A read without a response after this fraction of the latency that its caller expects
# is hedged: also sent to another server. At most this fraction of a host's reads is
# hedged, after a burst of a few, so that hedging does not aggravate an overload.
HEDGE_AFTER_FRACTION = 0.35
HEDGED_READ_RATIO = 0.1
HEDGED_READ_BURST = 4.0
# A primary comes back into the home regions by a replacement, which takes seconds.
OUTSIDE_HOMES_RETRY_MS = 1_000
# A zone that is evacuated has a primary elsewhere within seconds, if there can be one.
EVACUATED_RETRY_MS = 1_000
# With less time left before the deadline, another attempt is not worthwhile.
MIN_ATTEMPT_MS = 20

_FORWARDED_REASONS = {
    Reason.FAILED: Reason.FAILED,
    Reason.TIMED_OUT: Reason.TIMED_OUT,
    Reason.MALFORMED: Reason.MALFORMED,
    Reason.IN_DOUBT: Reason.IN_DOUBT,
}
# The server refused before running anything, so a retry is safe.
_NOT_RUN_REASONS = frozenset(
    {Reason.BUSY, Reason.NOT_LEADER, Reason.BEHIND, Reason.NO_STATEMENT}
)


class RouterDependencies(NamedTuple):
    """The components of the host that `Router` uses.

    ``name`` identifies this run of the host uniquely in the fleet.
    """

    directory: ServerDirectory
    dispatcher: WorkDispatcher
    floors: FloorCache
    topology: ZoneTopology
    clock: Callable[[], float]
    nursery: trio.Nursery
    name: str
    meter: Meter


class StatementRequest(NamedTuple):
    """The request of a session to run one statement.

    ``floor`` is the position of the session's own last commit. ``work`` is
    complete except for server, scope, floor, budget and transaction. ``homes`` are
    the regions that may see it, None for all.
    """

    route: Route
    work: Work
    floor: Position | None
    deadline_s: float
    homes: HomeRegions | None = None


class Placement(NamedTuple):
    """Where a transaction runs; ``transaction`` identifies it uniquely in the fleet."""

    server: BackendServer
    host: str
    transaction: str


class Outcome(NamedTuple):
    """The outcome of a statement.

    ``committed`` is the position that later reads of the session must see.
    ``open`` is whether the transaction is still open.
    """

    answer: Answer
    placement: Placement | None = None
    committed: Position | None = None
    open: bool = False


class _PendingRead:
    """A read in progress."""

    def __init__(self) -> None:
        self.finished = trio.Event()
        self.dispatched: DispatchResult | None = None


async def _first_success(
    first: _PendingRead,
    server: BackendServer,
    second: _PendingRead,
    other: BackendServer,
) -> tuple[DispatchResult, BackendServer]:
    """Return the first successful result, or the last failed one, and its server."""
    pending = [(first, server), (second, other)]
    results: list[tuple[DispatchResult, BackendServer]] = []
    ready = trio.Event()

    async def wait(read: _PendingRead, at: BackendServer) -> None:
        await read.finished.wait()
        assert read.dispatched is not None
        results.append((read.dispatched, at))
        if read.dispatched.result.outcome is WorkOutcome.DONE or len(results) == len(
            pending
        ):
            ready.set()

    async with trio.open_nursery() as nursery:
        for read, at in pending:
            nursery.start_soon(wait, read, at)
        await ready.wait()
        nursery.cancel_scope.cancel()
    # Both may have finished by now; a successful result takes precedence.
    successful = [
        pair for pair in results if pair[0].result.outcome is WorkOutcome.DONE
    ]
    return successful[0] if successful else results[-1]


class Router:
    """Routes statements of sessions to backend servers and retries them where safe."""

    def __init__(self, dependencies: RouterDependencies) -> None:
        self._dependencies = dependencies
        self._recent_wait_ms: dict[str, tuple[float, float]] = {}
        self._refreshing: set[str] = set()
        self._attempt_numbers = itertools.count(1)
        self._rng = random.Random(dependencies.name)
        self._hedge_bucket = TokenBucket(dependencies.clock)
        self._hedge_bucket.resize(0.0, HEDGED_READ_BURST)
        self._hedge_bucket.set_initial_tokens(HEDGED_READ_BURST)

    async def read(self, statement: StatementRequest) -> Outcome:
        """Run a read outside a transaction."""
        if statement.route.consistency is Consistency.NEWEST:
            return await self._run_on_primary(statement, Scope.PROVEN)
        return await self._run_on_any_server(statement, Scope.ALONE)

    async def write(self, statement: StatementRequest) -> Outcome:
        """Run a write outside a transaction."""
        return await self._run_on_primary(statement, Scope.ALONE)

    async def begin(self, statement: StatementRequest, read_only: bool) -> Outcome:
        """Run the first statement of a transaction."""
        if read_only and statement.route.consistency is not Consistency.NEWEST:
            return await self._run_on_any_server(statement, Scope.BEGIN_READ_ONLY)
        return await self._run_on_primary(statement, Scope.BEGIN)

    async def run_in_transaction(
        self, statement: StatementRequest, placement: Placement
    ) -> Outcome:
        """Run a subsequent statement of a transaction, or its commit or rollback."""
        requested_at_s = self._dependencies.clock()
        work = statement.work._replace(
            server=placement.server.id,
            scope=Scope.WITHIN,
            transaction=placement.transaction,
            budget_ms=self._budget_ms(statement),
        )
        result = await self._dependencies.dispatcher.run_on_host(placement.host, work)
        self._record_result(placement.server, result, requested_at_s)
        if result.outcome is WorkOutcome.DONE:
            committed = result.position if work.kind is WorkKind.COMMIT else None
            return Outcome(_completed(result), placement, committed, result.open)
        return Outcome(_transaction_refusal(work, result))

    def roll_back_abandoned(self, work: Work, placement: Placement) -> None:
        """Roll back, in the background, a transaction that no caller waits for."""
        rollback = work._replace(
            server=placement.server.id,
            kind=WorkKind.ROLLBACK,
            scope=Scope.WITHIN,
            transaction=placement.transaction,
            budget_ms=1_000,
        )
        self._dependencies.nursery.start_soon(
            self._dependencies.dispatcher.run_on_host, placement.host, rollback
        )

    async def _run_on_primary(
        self, statement: StatementRequest, scope: Scope
    ) -> Outcome:
        """Run a statement on the primary; retry it only if that cannot run it twice.

        Reads and statements that begin a transaction are also retried after an unknown
        outcome.
        """
        reads = statement.work.kind is WorkKind.READ or (
            statement.work.kind is WorkKind.EXECUTE and not statement.work.shape_writes
        )
        skipped: set[str] = set()
        last: WorkResult | None = None
        failures = 0
        while True:
            server = self._select_primary(statement, skipped)
            budget_ms = self._budget_ms(statement)
            if budget_ms < MIN_ATTEMPT_MS:
                return Outcome(_busy_refusal(last))
            if server is not None and not self._is_home(server, statement):
                return Outcome(_outside_homes(server))
            if server is None:
                unservable = self._refuse_unservable(statement)
                if unservable is not None:
                    return Outcome(unservable)
                skipped.clear()
                await self._dependencies.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            if scope is Scope.PROVEN:
                # The primary itself is asked again: one answer may have been lost.
                dispatched, _ = await self._hedged_read(
                    statement, server, server, scope, None, budget_ms
                )
            else:
                dispatched = await self._attempt(
                    statement, server, scope, None, budget_ms
                )
            result = last = dispatched.result
            if result.outcome is WorkOutcome.DONE:
                committed = result.position if scope is Scope.ALONE else None
                placement = Placement(server, dispatched.host, dispatched.transaction)
                return Outcome(_completed(result), placement, committed, result.open)
            if result.reason is Reason.NOT_LEADER:
                self._dependencies.directory.record_leader_denial(server.id)
                skipped.add(server.id)
                continue
            if result.reason is Reason.FAILED and reads:
                failures += 1
                if failures <= MAX_PRIMARY_READ_RETRIES:
                    continue
            if _may_retry(result, reads or scope is Scope.BEGIN):
                if result.blocker is Blocker.OVERLOADED or result.retry_after_ms:
                    return Outcome(_busy_refusal(result))
                await self._dependencies.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            return Outcome(_standalone_refusal(result, reads or scope is Scope.BEGIN))

    async def _run_on_any_server(
        self, statement: StatementRequest, scope: Scope
    ) -> Outcome:
        """Run a read on any server whose log has reached the required position.

        It is refused at once if the queues of all servers exceed its deadline.
        """
        unservable = self._refuse_unservable(statement)
        if unservable is not None:
            return Outcome(unservable)
        floor = await self._required_position(statement)
        if floor is None:
            detail = "no primary proved its current log position"
            stopped = self._primary_must_stop(statement.route.service)
            retry_after_ms = EVACUATED_RETRY_MS if stopped else 0
            return Outcome(Refused(Reason.BUSY, detail, retry_after_ms))
        skipped: set[str] = set()
        last: WorkResult | None = None
        hopeless = True
        while True:
            budget_ms = self._budget_ms(statement)
            if budget_ms < MIN_ATTEMPT_MS:
                return Outcome(_busy_refusal(last))
            server = self._select_reader(statement, skipped)
            if server is None and skipped and hopeless:
                return Outcome(_busy_refusal(last))
            if server is None:
                unservable = self._refuse_unservable(statement)
                if unservable is not None:
                    return Outcome(unservable)
                skipped.clear()
                hopeless = True
                await trio.sleep(RETRY_PAUSE_S)
                continue
            other = self._select_reader(statement, {*skipped, server.id})
            movable = other is not None
            dispatched, server = await self._hedged_read(
                statement, server, other, scope, floor, budget_ms
            )
            result = last = dispatched.result
            if result.outcome is WorkOutcome.DONE:
                leader = self._dependencies.directory.leader(server.service)
                leads = leader is not None and leader.id == server.id
                self._dependencies.meter.count(
                    kinds.READS, "primary" if leads else "replica"
                )
                placement = Placement(server, dispatched.host, dispatched.transaction)
                return Outcome(_completed(result), placement, None, result.open)
            if result.reason is Reason.FAILED and movable:
                # The read had no effect; another server may succeed.
                skipped.add(server.id)
                hopeless = False
                continue
            if not _may_retry(result, repeatable=True):
                return Outcome(_standalone_refusal(result, reads=True))
            if result.reason is Reason.BEHIND and floor != statement.floor:
                # No penalty if only this session's own writes are missing there.
                self._recent_wait_ms[server.id] = (
                    self._dependencies.clock(),
                    LAG_PENALTY_MS,
                )
            skipped.add(server.id)
            hopeless = hopeless and _queue_exceeds(result, budget_ms)

    async def _hedged_read(
        self,
        statement: StatementRequest,
        server: BackendServer,
        other: BackendServer | None,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
    ) -> tuple[DispatchResult, BackendServer]:
        """Read from a server, and from ``other`` too if the first is slow to respond.

        Returns the result to use and the server that it came from.
        """
        movable = other is not None and other.id != server.id
        if other is None or scope is Scope.BEGIN_READ_ONLY:
            dispatched = await self._attempt(
                statement, server, scope, floor, budget_ms, movable
            )
            return dispatched, server

        def start(at: BackendServer, within_ms: int) -> _PendingRead:
            return self._start_read(statement, at, scope, floor, within_ms, movable)

        self._hedge_bucket.add(HEDGED_READ_RATIO)
        first = start(server, budget_ms)
        with trio.move_on_after(
            statement.route.target_ms / 1000 * HEDGE_AFTER_FRACTION
        ):
            await first.finished.wait()
        left_ms = self._budget_ms(statement)
        late = first.dispatched is None and left_ms >= MIN_ATTEMPT_MS
        if not late or not self._hedge_bucket.take():
            await first.finished.wait()
            assert first.dispatched is not None
            return first.dispatched, server
        second = start(other, left_ms)
        return await _first_success(first, server, second, other)

    def _start_read(
        self,
        statement: StatementRequest,
        server: BackendServer,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
        movable: bool,
    ) -> _PendingRead:
        """Start a read that continues even if no caller waits for it any longer.

        The slower of two reads is not cancelled, as that would cost a connection.
        """
        read = _PendingRead()

        async def run() -> None:
            read.dispatched = await self._attempt(
                statement, server, scope, floor, budget_ms, movable
            )
            read.finished.set()

        self._dependencies.nursery.start_soon(run)
        return read

    async def _attempt(
        self,
        statement: StatementRequest,
        server: BackendServer,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
        movable: bool = False,
    ) -> DispatchResult:
        requested_at_s = self._dependencies.clock()
        # Each attempt has its own transaction identifier, so that a transaction left
        # open by a previous attempt of unknown outcome is not mistaken for it.
        work = statement.work._replace(
            server=server.id,
            scope=scope,
            floor=floor,
            budget_ms=budget_ms,
            movable=movable,
            transaction=f"{self._dependencies.name}-{next(self._attempt_numbers)}",
        )
        dispatched = await self._dependencies.dispatcher.run(
            server, work, statement.homes
        )
        self._record_result(server, dispatched.result, requested_at_s)
        result = dispatched.result
        reason = result.reason.name if result.reason else result.blocker.name
        self._dependencies.meter.count(kinds.ATTEMPTS, result.outcome.name, reason)
        if dispatched.result.outcome is not WorkOutcome.DONE:
            log_event(
                "attempt.failed",
                request=work.request_id,
                service=server.service,
                server=server.id,
                host=dispatched.host,
                scope=scope.value,
                fate=dispatched.result.outcome.value,
                reason=dispatched.result.reason.name
                if dispatched.result.reason
                else "",
                obstacle=dispatched.result.blocker.value,
                detail=dispatched.result.detail,
                floor=floor,
                budget_ms=budget_ms,
                took_ms=int((self._dependencies.clock() - requested_at_s) * 1000),
            )
        return dispatched

    def _record_result(
        self, server: BackendServer, result: WorkResult, requested_at_s: float
    ) -> None:
        if result.led and result.position is not None:
            self._dependencies.floors.record_position(
                server.service, requested_at_s, result.position
            )
            self._dependencies.directory.record_leader_proof(server.service, server.id)
        wait_ms = float(result.wait_ms)
        if result.reason is Reason.FAILED or result.blocker is Blocker.FAILING:
            wait_ms += FAILURE_PENALTY_MS
        if result.blocker is Blocker.NOT_SERVED:
            wait_ms += UNREACHABLE_PENALTY_MS
        self._recent_wait_ms[server.id] = (self._dependencies.clock(), wait_ms)

    async def _required_position(self, statement: StatementRequest) -> Position | None:
        """Return the position that a read must see, or None if none is proven."""
        now_s = self._dependencies.clock()
        age_s = statement.route.max_age_ms / 1000
        service = statement.route.service
        position = self._dependencies.floors.cached_position(service, now_s - age_s)
        if position is None:
            position = await self._await_proof(statement, now_s - age_s)
            if position is None:
                return None
        elif (
            self._dependencies.floors.cached_position(
                service, now_s - age_s * REFRESH_AT_FRACTION
            )
            is None
        ):
            self._start_refresh(service)
        return (
            max(position, statement.floor) if statement.floor is not None else position
        )

    async def _await_proof(
        self, statement: StatementRequest, since_s: float
    ) -> Position | None:
        service, floors = statement.route.service, self._dependencies.floors
        await floors.refresh_position(service)
        position = floors.cached_position(service, since_s)
        while position is None and self._budget_ms(statement) >= MIN_ATTEMPT_MS:
            response = await floors.request_proof(service)
            if response.is_ok():
                return response.unwrap()
            if self._primary_must_stop(service):
                return None
            await trio.sleep(RETRY_PAUSE_S)
            position = floors.cached_position(service, since_s)
        return position

    def _start_refresh(self, service: str) -> None:
        if service in self._refreshing:
            return
        self._refreshing.add(service)
        self._dependencies.nursery.start_soon(self._refresh_position, service)

    async def _refresh_position(self, service: str) -> None:
        try:
            await self._dependencies.floors.refresh_position(service)
        finally:
            self._refreshing.discard(service)

    def _select_primary(
        self, statement: StatementRequest, skipped: set[str]
    ) -> BackendServer | None:
        """Return the server to try as the primary, or None without a candidate."""
        service = statement.route.service
        leader = self._dependencies.directory.leader(service)
        if leader is not None and leader.id not in skipped:
            return leader
        # No leader is known; a server that leads accepts the work, others refuse it.
        others = [
            s
            for s in self._dependencies.directory.list_servers(service)
            if not self._is_leaving(s) and self._is_home(s, statement)
        ]
        others = [s for s in others if s.id not in skipped]
        return min(others, key=lambda server: server.id, default=None)

    def _is_leaving(self, server: BackendServer) -> bool:
        return server.draining or self._dependencies.directory.is_missing(server.id)

    def _is_home(self, server: BackendServer, statement: StatementRequest) -> bool:
        region = self._dependencies.topology.region(server.zone)
        return is_allowed(region, statement.homes)

    def _refuse_unservable(self, statement: StatementRequest) -> Refused | None:
        """Return the response to a statement that no known server may run."""
        directory = self._dependencies.directory
        servers = directory.list_servers(statement.route.service)
        if not servers:
            return None
        homes = [server for server in servers if self._is_home(server, statement)]
        if not homes:
            return _outside_homes(None)
        if all(directory.evacuations.is_evacuated(server.zone) for server in homes):
            return _evacuated()
        return None

    def _primary_must_stop(self, service: str) -> bool:
        """Whether the primary can prove nothing, as its zone is evacuated."""
        leader = self._dependencies.directory.leader(service)
        return leader is not None and self._dependencies.directory.must_stop(leader)

    def _without_returning(
        self, usable: list[BackendServer], leader_id: str
    ) -> list[BackendServer]:
        """Leave out servers whose zone returns from an evacuation, by its share.

        They stay where no other replica is left.
        """
        evacuations = self._dependencies.directory.evacuations
        kept = []
        for server in usable:
            share = evacuations.returning_share(server.zone)
            if share >= 1.0 or self._rng.random() < share:
                kept.append(server)
        return kept if any(s.id != leader_id for s in kept) else usable

    def _select_reader(
        self, statement: StatementRequest, skipped: set[str]
    ) -> BackendServer | None:
        """Return the server with the lowest expected cost of a read, or None.

        The cost is the distance of the server and its recent wait, which fades out
        within a second; the leader has an additional cost.
        """
        service = statement.route.service
        leader = self._dependencies.directory.leader(service)
        leader_id = leader.id if leader is not None else ""
        usable = [
            server
            for server in self._dependencies.directory.list_servers(service)
            if server.id not in skipped
            and not self._is_leaving(server)
            and self._is_home(server, statement)
        ]
        usable = self._without_returning(usable, leader_id)

        def cost(server: BackendServer) -> tuple[float, str]:
            topology = self._dependencies.topology
            distance_ms = 20 * topology.distance(topology.zone, server.zone)
            seen_s, wait_ms = self._recent_wait_ms.get(server.id, (0.0, 0.0))
            faded = max(0.0, 1.0 - (self._dependencies.clock() - seen_s))
            penalty_ms = PRIMARY_PENALTY_MS if server.id == leader_id else 0.0
            return distance_ms + wait_ms * faded + penalty_ms, server.id

        return min(usable, key=cost, default=None)

    def _budget_ms(self, statement: StatementRequest) -> int:
        return int((statement.deadline_s - self._dependencies.clock()) * 1000)


def _completed(result: WorkResult) -> Completed:
    return Completed(result.rows, result.proof)


def _may_retry(result: WorkResult, repeatable: bool) -> bool:
    """Whether a retry is safe: the statement did not run, or may run twice."""
    if result.outcome is WorkOutcome.NOT_RUN:
        return True
    if result.outcome is WorkOutcome.REFUSED:
        return result.reason in _NOT_RUN_REASONS
    return repeatable


def _queue_exceeds(result: WorkResult, budget_ms: int) -> bool:
    """Whether the server has more work queued than it can do in the budget."""
    return result.blocker is Blocker.OVERLOADED and result.retry_after_ms >= budget_ms


def _outside_homes(server: BackendServer | None) -> Refused:
    """Return the response to a statement that no server in its home regions can run."""
    where = "every server" if server is None else f"the primary {server.id}"
    detail = f"{where} is outside the home regions of the route and organisation"
    return Refused(Reason.BUSY, detail, OUTSIDE_HOMES_RETRY_MS)


def _evacuated() -> Refused:
    """Return the response to a statement whose servers are all evacuated."""
    detail = "all servers that may be used are in zones that are evacuated"
    return Refused(Reason.BUSY, detail, EVACUATED_RETRY_MS)


def _busy_refusal(last: WorkResult | None) -> Refused:
    detail = last.detail if last is not None else "no backend server available"
    retry_after_ms = last.retry_after_ms if last is not None else 0
    return Refused(Reason.BUSY, detail, retry_after_ms)


def _standalone_refusal(result: WorkResult, reads: bool) -> Refused:
    """Return the response to a failed statement outside a transaction."""
    if result.outcome is WorkOutcome.REFUSED and result.reason is not None:
        if result.reason in _FORWARDED_REASONS:
            return Refused(result.reason, result.detail)
        return Refused(Reason.BUSY, result.detail)
    if result.outcome is WorkOutcome.NOT_RUN or reads:
        return Refused(Reason.BUSY, result.detail, result.retry_after_ms)
    return Refused(Reason.IN_DOUBT, result.detail)


def _transaction_refusal(work: Work, result: WorkResult) -> Refused:
    """Return the response to a failed statement within a transaction."""
    commits = work.kind is WorkKind.COMMIT
    if result.outcome is WorkOutcome.REFUSED and result.reason is not None:
        if result.reason in _NOT_RUN_REASONS or result.reason is Reason.ABORTED:
            return Refused(Reason.ABORTED, result.detail)
        return Refused(
            _FORWARDED_REASONS.get(result.reason, Reason.IN_DOUBT), result.detail
        )
    if result.outcome is WorkOutcome.UNKNOWN and commits:
        return Refused(Reason.IN_DOUBT, result.detail)
    return Refused(Reason.ABORTED, result.detail)
