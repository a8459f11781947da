"""Routing of statements: runs each at a server, and retries it where that is safe."""

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Consistency
from rattanhollow.coordination import Position
from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.routing._agents import DispatchResult, WorkDispatcher
from rattanhollow.routing._choose_server import ChooserParts, ServerChooser
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._floors import FloorCache
from rattanhollow.routing._hedging import HedgedReads
from rattanhollow.routing._requests import (
    MIN_ATTEMPT_MS,
    RETRY_PAUSE_S,
    Outcome,
    Placement,
    StatementRequest,
    remaining_ms,
)
from rattanhollow.routing._required_position import RequiredPositions
from rattanhollow.routing._retries import (
    MAX_PRIMARY_READ_RETRIES,
    busy_refusal,
    completed,
    may_retry,
    outside_homes,
    queue_exceeds,
    standalone_refusal,
    transaction_refusal,
    without_position,
)
from rattanhollow.routing._zone_overflow import CrossingCosts
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
from rattanhollow.statements import Reason


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
    crossing: Callable[[], CrossingCosts] = CrossingCosts


class Router:
    """Routes statements of sessions to backend servers and retries them where safe."""

    def __init__(self, dependencies: RouterDependencies) -> None:
        self._dependencies = dependencies
        self._attempt_numbers = itertools.count(1)
        clock, nursery = dependencies.clock, dependencies.nursery
        self._chooser = ServerChooser(
            ChooserParts(
                directory=dependencies.directory,
                topology=dependencies.topology,
                clock=clock,
                rng=random.Random(dependencies.name),
                meter=dependencies.meter,
                crossing=dependencies.crossing,
            )
        )
        self._hedged_reads = HedgedReads(self._attempt, clock, nursery)
        self._positions = RequiredPositions(
            dependencies.floors, clock, nursery, self._chooser.primary_must_stop
        )

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
        self._chooser.record_start(placement.server, is_read=False)
        try:
            result = await self._dependencies.dispatcher.run_on_host(
                placement.host, work
            )
        finally:
            self._chooser.record_end(placement.server)
        self._record_result(placement.server, result, requested_at_s)
        if result.outcome is WorkOutcome.DONE:
            committed = result.position if work.kind is WorkKind.COMMIT else None
            return Outcome(completed(result), placement, committed, result.open)
        return Outcome(transaction_refusal(work, result))

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
        reads = _is_read(statement.work)
        skipped: set[str] = set()
        last: WorkResult | None = None
        failures = 0
        while True:
            server = self._chooser.select_primary(statement, skipped)
            budget_ms = self._budget_ms(statement)
            if budget_ms < MIN_ATTEMPT_MS:
                return Outcome(busy_refusal(last))
            if server is not None and not self._chooser.is_home(server, statement):
                return Outcome(outside_homes(server))
            if server is None:
                unservable = self._chooser.refuse_unservable(statement)
                if unservable is not None:
                    return Outcome(unservable)
                skipped.clear()
                await self._dependencies.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            if scope is Scope.PROVEN:
                # The primary itself is asked again: one answer may have been lost.
                dispatched, _ = await self._hedged_reads.read(
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
                return Outcome(completed(result), placement, committed, result.open)
            if result.reason is Reason.NOT_LEADER:
                self._dependencies.directory.record_leader_denial(server.id)
                skipped.add(server.id)
                continue
            if result.reason is Reason.FAILED and reads:
                failures += 1
                if failures <= MAX_PRIMARY_READ_RETRIES:
                    continue
            if may_retry(result, reads or scope is Scope.BEGIN):
                if result.blocker is Blocker.OVERLOADED or result.retry_after_ms:
                    return Outcome(busy_refusal(result))
                await self._dependencies.directory.wait_for_change(RETRY_PAUSE_S)
                continue
            return Outcome(standalone_refusal(result, reads or scope is Scope.BEGIN))

    async def _run_on_any_server(
        self, statement: StatementRequest, scope: Scope
    ) -> Outcome:
        """Run a read on any server whose log has reached the required position.

        It is refused at once if the queues of all servers exceed its deadline.
        """
        unservable = self._chooser.refuse_unservable(statement)
        if unservable is not None:
            return Outcome(unservable)
        floor = await self._positions.find(statement)
        if floor is None:
            stopped = self._chooser.primary_must_stop(statement.route.service)
            return Outcome(without_position(stopped))
        skipped: set[str] = set()
        last: WorkResult | None = None
        hopeless = True
        while True:
            budget_ms = self._budget_ms(statement)
            if budget_ms < MIN_ATTEMPT_MS:
                return Outcome(busy_refusal(last))
            spares_primary = bool(skipped) and hopeless
            server = self._chooser.select_reader(statement, skipped, spares_primary)
            if server is None and skipped and hopeless:
                return Outcome(busy_refusal(last))
            if server is None:
                unservable = self._chooser.refuse_unservable(statement)
                if unservable is not None:
                    return Outcome(unservable)
                skipped.clear()
                hopeless = True
                await trio.sleep(RETRY_PAUSE_S)
                continue
            other = self._chooser.select_reader(statement, {*skipped, server.id})
            movable = other is not None
            dispatched, server = await self._hedged_reads.read(
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
                return Outcome(completed(result), placement, None, result.open)
            if result.reason is Reason.FAILED and movable:
                # The read had no effect; another server may succeed.
                skipped.add(server.id)
                hopeless = False
                continue
            if not may_retry(result, repeatable=True):
                return Outcome(standalone_refusal(result, reads=True))
            if result.reason is Reason.BEHIND and floor != statement.floor:
                # No penalty if only this session's own writes are missing there.
                self._chooser.record_lag(server)
            skipped.add(server.id)
            hopeless = hopeless and queue_exceeds(result, budget_ms)

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
        is_read = scope in (Scope.ALONE, Scope.BEGIN_READ_ONLY) and _is_read(work)
        self._chooser.record_start(server, is_read)
        try:
            dispatched = await self._dependencies.dispatcher.run(
                server, work, statement.homes
            )
        finally:
            self._chooser.record_end(server)
        self._record_result(server, dispatched.result, requested_at_s, is_read)
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
        self,
        server: BackendServer,
        result: WorkResult,
        requested_at_s: float,
        is_read: bool = False,
    ) -> None:
        if result.led and result.position is not None:
            self._dependencies.floors.record_position(
                server.service, requested_at_s, result.position
            )
            self._dependencies.directory.record_leader_proof(server.service, server.id)
        took_ms = (self._dependencies.clock() - requested_at_s) * 1000
        self._chooser.record_result(server, result, took_ms if is_read else None)

    def _budget_ms(self, statement: StatementRequest) -> int:
        return remaining_ms(statement, self._dependencies.clock)


def _is_read(work: Work) -> bool:
    prepared_read = work.kind is WorkKind.EXECUTE and not work.shape_writes
    return work.kind is WorkKind.READ or prepared_read
