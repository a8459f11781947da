"""Where statements go, what is repeated, and what the caller is told."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Consistency, Route
from rattanhollow.coordination import Position
from rattanhollow.flow import TokenBucket
from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.routing._agents import Agents, Ran
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._floors import Floors
from rattanhollow.routing._places import Places
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

# A statement that no server could take is tried again this often.
RETRY_PAUSE_S = 0.1
# A proof of the primary is renewed when it is older than this part of the age
# that reads may have: reads then go on for the rest while no primary answers.
RENEW_AT_PART = 0.4
# What a server that fails its work is held to cost more than others; as all that
# is known of waits, it is forgotten within a second.
FAILING_COSTS_MS = 1_000.0
# The same for a server whose log is behind what all readers must see.
BEHIND_COSTS_MS = 400.0
# How often a read that only the primary may answer is repeated where it fails.
FAILURES_REPEATED = 2
# A read that is unanswered for this part of the time within which its caller
# expects the answer is asked of another server, so many times a second: at most a
# tenth of a busy host's reads.
SECOND_ASKED_PART = 0.35
SECOND_READS_PER_S = 4.0
# Below this rest of a statement's time another attempt is no use.
LEAST_ATTEMPT_MS = 20

_PASSED_ON = {
    Reason.FAILED: Reason.FAILED,
    Reason.TIMED_OUT: Reason.TIMED_OUT,
    Reason.MALFORMED: Reason.MALFORMED,
    Reason.IN_DOUBT: Reason.IN_DOUBT,
}
# The server refused before it ran anything: another attempt may be made.
_NOT_RUN = frozenset(
    {Reason.BUSY, Reason.NOT_LEADER, Reason.BEHIND, Reason.NO_STATEMENT}
)


class RouterParts(NamedTuple):
    """What routing needs of the rest of the host.

    ``name`` is unique to this start of the host, over the fleet.
    """

    directory: ServerDirectory
    agents: Agents
    floors: Floors
    places: Places
    clock: Callable[[], float]
    nursery: trio.Nursery
    name: str
    meter: Meter


class Demand(NamedTuple):
    """What a session wants of one statement.

    ``floor`` is the position of the session's own last commit. ``work`` is
    complete but for server, scope and floor.
    """

    route: Route
    work: Work
    floor: Position | None
    deadline_s: float


class Placement(NamedTuple):
    """Where a transaction runs; ``transaction`` identifies it over the fleet."""

    server: BackendServer
    host: str
    transaction: str


class Outcome(NamedTuple):
    """What became of a statement.

    ``committed`` is the position that the session must see from now on.
    """

    answer: Answer
    placement: Placement | None = None
    committed: Position | None = None
    open: bool = False


class _Pending:
    """A read under way."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.ran: Ran | None = None


async def _first_done(
    first: _Pending, server: BackendServer, second: _Pending, other: BackendServer
) -> tuple[Ran, BackendServer]:
    """Return the first answer that succeeded, or the last that did not."""
    pending = [(first, server), (second, other)]
    ended: list[tuple[Ran, BackendServer]] = []
    ready = trio.Event()

    async def wait(read: _Pending, at: BackendServer) -> None:
        await read.done.wait()
        assert read.ran is not None
        ended.append((read.ran, at))
        if read.ran.done.outcome is WorkOutcome.DONE or len(ended) == len(pending):
            ready.set()

    async with trio.open_nursery() as nursery:
        for read, at in pending:
            nursery.start_soon(wait, read, at)
        await ready.wait()
        nursery.cancel_scope.cancel()
    # Both may have ended by now: the one that succeeded counts.
    done = [pair for pair in ended if pair[0].done.outcome is WorkOutcome.DONE]
    return done[0] if done else ended[-1]


class Router:
    """Runs the statements of sessions."""

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts
        self._wait_ms: dict[str, tuple[float, float]] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._renewing: set[str] = set()
        self._numbers = itertools.count(1)
        # An overload must not grow by reads that are asked twice.
        self._second_reads = TokenBucket(parts.clock)
        self._second_reads.resize(SECOND_READS_PER_S, SECOND_READS_PER_S)

    async def read(self, demand: Demand) -> Outcome:
        """Run a read outside a transaction."""
        if demand.route.consistency is Consistency.NEWEST:
            return await self._at_primary(demand, Scope.PROVEN)
        return await self._at_any(demand, Scope.ALONE)

    async def write(self, demand: Demand) -> Outcome:
        """Run a write outside a transaction."""
        return await self._at_primary(demand, Scope.ALONE)

    async def begin(self, demand: Demand, read_only: bool) -> Outcome:
        """Run the first statement of a transaction."""
        if read_only and demand.route.consistency is not Consistency.NEWEST:
            return await self._at_any(demand, Scope.BEGIN_READ_ONLY)
        return await self._at_primary(demand, Scope.BEGIN)

    async def within(self, demand: Demand, placement: Placement) -> Outcome:
        """Run a later statement of a transaction, or its end."""
        asked_at_s = self._parts.clock()
        work = demand.work._replace(
            server=placement.server.id,
            scope=Scope.WITHIN,
            transaction=placement.transaction,
            budget_ms=self._budget_ms(demand),
        )
        done = await self._parts.agents.run_at(placement.host, work)
        self._learn(placement.server, done, asked_at_s)
        if done.outcome is WorkOutcome.DONE:
            committed = done.position if work.kind is WorkKind.COMMIT else None
            return Outcome(_completed(done), placement, committed, done.open)
        return Outcome(_refusal_within(work, done))

    def abandon(self, work: Work, placement: Placement) -> None:
        """Roll a transaction back that nobody waits for, in the background."""
        rollback = work._replace(
            server=placement.server.id,
            kind=WorkKind.ROLLBACK,
            scope=Scope.WITHIN,
            transaction=placement.transaction,
            budget_ms=1_000,
        )
        self._parts.nursery.start_soon(
            self._parts.agents.run_at, placement.host, rollback
        )

    async def _at_primary(self, demand: Demand, scope: Scope) -> Outcome:
        """Run a statement at the primary; repeated only where it did not run."""
        reads = demand.work.kind is WorkKind.READ or (
            demand.work.kind is WorkKind.EXECUTE and not demand.work.shape_writes
        )
        passed_over: set[str] = set()
        last: WorkResult | None = None
        failures = 0
        while True:
            server = self._primary(demand.route.service, passed_over)
            budget_ms = self._budget_ms(demand)
            if budget_ms < LEAST_ATTEMPT_MS:
                return Outcome(_given_up(last))
            if server is None:
                passed_over.clear()
                await self._parts.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            ran = await self._attempt(demand, server, scope, None, budget_ms)
            done = last = ran.done
            if done.outcome is WorkOutcome.DONE:
                committed = done.position if scope is Scope.ALONE else None
                placement = Placement(server, ran.host, ran.transaction)
                return Outcome(_completed(done), placement, committed, done.open)
            if done.reason is Reason.NOT_LEADER:
                self._parts.directory.saw_no_leader(server.id)
                passed_over.add(server.id)
                continue
            if done.reason is Reason.FAILED and reads:
                failures += 1
                if failures <= FAILURES_REPEATED:
                    continue
            if _may_repeat(done, reads or scope is Scope.BEGIN):
                if done.blocker is Blocker.OVERLOADED:
                    return Outcome(_given_up(done))
                await self._parts.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            return Outcome(_refusal(done, reads or scope is Scope.BEGIN))

    async def _at_any(self, demand: Demand, scope: Scope) -> Outcome:
        """Run a read at any server that has what the session must see."""
        floor = await self._floor(demand)
        if floor is None:
            detail = "no primary proved how far its log reaches"
            return Outcome(Refused(Reason.BUSY, detail))
        passed_over: set[str] = set()
        last: WorkResult | None = None
        while True:
            budget_ms = self._budget_ms(demand)
            if budget_ms < LEAST_ATTEMPT_MS:
                return Outcome(_given_up(last))
            server = self._reader(demand.route.service, passed_over)
            if server is None:
                passed_over.clear()
                await trio.sleep(RETRY_PAUSE_S)
                continue
            other = self._reader(demand.route.service, {*passed_over, server.id})
            movable = other is not None
            ran, server = await self._read_once(
                demand, server, other, scope, floor, budget_ms
            )
            done = last = ran.done
            if done.outcome is WorkOutcome.DONE:
                leader = self._parts.directory.leader(server.service)
                leads = leader is not None and leader.id == server.id
                self._parts.meter.count(kinds.READS, "primary" if leads else "replica")
                placement = Placement(server, ran.host, ran.transaction)
                return Outcome(_completed(done), placement, None, done.open)
            if done.reason is Reason.FAILED and movable:
                # It read nothing: another server may do better.
                passed_over.add(server.id)
                continue
            if not _may_repeat(done, repeatable=True):
                return Outcome(_refusal(done, reads=True))
            if done.reason is Reason.BEHIND and floor != demand.floor:
                # Not for what this session alone has just written.
                self._wait_ms[server.id] = (self._parts.clock(), BEHIND_COSTS_MS)
            passed_over.add(server.id)

    async def _read_once(
        self,
        demand: Demand,
        server: BackendServer,
        other: BackendServer | None,
        scope: Scope,
        floor: Position,
        budget_ms: int,
    ) -> tuple[Ran, BackendServer]:
        """Read at a server, and at the ``other`` where the first says nothing.

        Returns the answer that counts, and whose it is.
        """
        movable = other is not None
        if other is None or scope is not Scope.ALONE:
            ran = await self._attempt(demand, server, scope, floor, budget_ms, movable)
            return ran, server
        first = self._start_read(demand, server, floor, budget_ms)
        with trio.move_on_after(demand.route.target_ms / 1000 * SECOND_ASKED_PART):
            await first.done.wait()
        left_ms = self._budget_ms(demand)
        late = first.ran is None and left_ms >= LEAST_ATTEMPT_MS
        if not late or not self._second_reads.take():
            await first.done.wait()
            assert first.ran is not None
            return first.ran, server
        second = self._start_read(demand, other, floor, left_ms)
        return await _first_done(first, server, second, other)

    def _start_read(
        self, demand: Demand, server: BackendServer, floor: Position, budget_ms: int
    ) -> _Pending:
        """Begin a read that goes on though nobody waits for it any more.

        The slower of two is let come in: breaking it off costs a connection.
        """
        read = _Pending()

        async def run() -> None:
            read.ran = await self._attempt(
                demand, server, Scope.ALONE, floor, budget_ms, movable=True
            )
            read.done.set()

        self._parts.nursery.start_soon(run)
        return read

    async def _attempt(
        self,
        demand: Demand,
        server: BackendServer,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
        movable: bool = False,
    ) -> Ran:
        asked_at_s = self._parts.clock()
        # Each attempt opens a transaction of its own: what an earlier one left
        # open, where its fate is unknown, must not be taken for it.
        work = demand.work._replace(
            server=server.id,
            scope=scope,
            floor=floor,
            budget_ms=budget_ms,
            movable=movable,
            transaction=f"{self._parts.name}-{next(self._numbers)}",
        )
        ran = await self._parts.agents.run(server, work)
        self._learn(server, ran.done, asked_at_s)
        done = ran.done
        reason = done.reason.name if done.reason else done.blocker.name
        self._parts.meter.count(kinds.ATTEMPTS, done.outcome.name, reason)
        if ran.done.outcome is not WorkOutcome.DONE:
            log_event(
                "attempt.failed",
                request=work.request_id,
                service=server.service,
                server=server.id,
                host=ran.host,
                scope=scope.value,
                fate=ran.done.outcome.value,
                reason=ran.done.reason.name if ran.done.reason else "",
                obstacle=ran.done.blocker.value,
                detail=ran.done.detail,
                floor=floor,
                budget_ms=budget_ms,
                took_ms=int((self._parts.clock() - asked_at_s) * 1000),
            )
        return ran

    def _learn(
        self, server: BackendServer, done: WorkResult, asked_at_s: float
    ) -> None:
        if done.led and done.position is not None:
            self._parts.floors.saw(server.service, asked_at_s, done.position)
            self._parts.directory.saw_leader(server.service, server.id)
        wait_ms = float(done.wait_ms)
        if done.reason is Reason.FAILED or done.blocker is Blocker.FAILING:
            wait_ms += FAILING_COSTS_MS
        self._wait_ms[server.id] = (self._parts.clock(), wait_ms)

    async def _floor(self, demand: Demand) -> Position | None:
        """Return the position that a read must see, None where none is proven."""
        now_s = self._parts.clock()
        age_s = demand.route.max_age_ms / 1000
        service = demand.route.service
        known = self._parts.floors.known(service, now_s - age_s)
        if known is None:
            known = await self._proven_since(demand, now_s - age_s)
            if known is None:
                return None
        elif self._parts.floors.known(service, now_s - age_s * RENEW_AT_PART) is None:
            self._renew(service)
        return max(known, demand.floor) if demand.floor is not None else known

    async def _proven_since(self, demand: Demand, since_s: float) -> Position | None:
        service, floors = demand.route.service, self._parts.floors
        await floors.renew(service)
        known = floors.known(service, since_s)
        while known is None and self._budget_ms(demand) >= LEAST_ATTEMPT_MS:
            answer = await floors.newest(service)
            if answer.is_ok():
                return answer.unwrap()
            await trio.sleep(RETRY_PAUSE_S)
            known = floors.known(service, since_s)
        return known

    def _renew(self, service: str) -> None:
        if service in self._renewing:
            return
        self._renewing.add(service)
        self._parts.nursery.start_soon(self._renew_now, service)

    async def _renew_now(self, service: str) -> None:
        try:
            await self._parts.floors.renew(service)
        finally:
            self._renewing.discard(service)

    def _primary(self, service: str, passed_over: set[str]) -> BackendServer | None:
        """Return the server to try as the primary."""
        leader = self._parts.directory.leader(service)
        if leader is not None and leader.id not in passed_over:
            return leader
        # None is known to lead: any of them says so if it does.
        others = [s for s in self._parts.directory.of(service) if not self._leaves(s)]
        others = [s for s in others if s.id not in passed_over]
        return min(others, key=lambda server: server.id, default=None)

    def _leaves(self, server: BackendServer) -> bool:
        return server.draining or self._parts.directory.is_missing(server.id)

    def _reader(self, service: str, passed_over: set[str]) -> BackendServer | None:
        """Return the server to read from: the nearest in time, replicas first."""
        leader = self._parts.directory.leader(service)
        leader_id = leader.id if leader is not None else ""
        usable = [
            server
            for server in self._parts.directory.of(service)
            if server.id not in passed_over and not self._leaves(server)
        ]

        def cost(server: BackendServer) -> tuple[bool, float, str]:
            distance = self._parts.places.distance(self._parts.places.zone, server.zone)
            seen_s, wait_ms = self._wait_ms.get(server.id, (0.0, 0.0))
            faded = max(0.0, 1.0 - (self._parts.clock() - seen_s))
            return server.id == leader_id, distance * 20 + wait_ms * faded, server.id

        return min(usable, key=cost, default=None)

    def _budget_ms(self, demand: Demand) -> int:
        return int((demand.deadline_s - self._parts.clock()) * 1000)


def _completed(done: WorkResult) -> Completed:
    return Completed(done.rows, done.proof)


def _may_repeat(done: WorkResult, repeatable: bool) -> bool:
    """Whether another attempt can't make the statement run twice."""
    if done.outcome is WorkOutcome.NOT_RUN:
        return True
    if done.outcome is WorkOutcome.REFUSED:
        return done.reason in _NOT_RUN
    return repeatable


def _given_up(last: WorkResult | None) -> Refused:
    detail = last.detail if last is not None else "no backend server"
    retry_after_ms = last.retry_after_ms if last is not None else 0
    return Refused(Reason.BUSY, detail, retry_after_ms)


def _refusal(done: WorkResult, reads: bool) -> Refused:
    """Return what a caller is told of a statement outside a transaction."""
    if done.outcome is WorkOutcome.REFUSED and done.reason is not None:
        if done.reason in _PASSED_ON:
            return Refused(done.reason, done.detail)
        return Refused(Reason.BUSY, done.detail)
    if done.outcome is WorkOutcome.NOT_RUN or reads:
        return Refused(Reason.BUSY, done.detail, done.retry_after_ms)
    return Refused(Reason.IN_DOUBT, done.detail)


def _refusal_within(work: Work, done: WorkResult) -> Refused:
    """Return what a caller is told of a statement in its transaction."""
    commits = work.kind is WorkKind.COMMIT
    if done.outcome is WorkOutcome.REFUSED and done.reason is not None:
        if done.reason in _NOT_RUN or done.reason is Reason.ABORTED:
            return Refused(Reason.ABORTED, done.detail)
        return Refused(_PASSED_ON.get(done.reason, Reason.IN_DOUBT), done.detail)
    if done.outcome is WorkOutcome.UNKNOWN and commits:
        return Refused(Reason.IN_DOUBT, done.detail)
    return Refused(Reason.ABORTED, done.detail)
