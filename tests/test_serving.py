"""Serving a backend server: slots, connections, transactions and unresponsive servers.

Uses stand-in databases in memory and simulated time, no network.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from jumping import run_jumping
from rattanhollow.coordination import Position
from rattanhollow.observe import Meter
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    Scope,
    ServedBackend,
    ServingParts,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.serving._connections import ConnectionPool, ServerConnection
from rattanhollow.serving._slots import SlotQueue
from rattanhollow.statements import Reason
from rattanhollow_standins.platform import DatabaseServer, ServiceGroup, memory_end
from rattanhollow_standins.platform._memory import MemoryConnection

SERVICE = "bookings"


class Stage:
    """A group of three databases whose primary is served."""

    def __init__(self, nursery: trio.Nursery, connections: int = 8) -> None:
        self.databases = [DatabaseServer(f"i-{n}", f"z{n}") for n in range(3)]
        self.group = ServiceGroup(SERVICE, self.databases, nursery)
        self.opened: list[MemoryConnection] = []
        self.parts = ServingParts(
            memory_end([self.group], self.opened),
            nursery,
            trio.current_time,
            Meter(),
        )
        self.primary = self.serve(0, connections)
        self._nursery = nursery

    def serve(self, number: int, connections: int = 8) -> ServedBackend:
        """Serve one of the databases."""
        database = self.databases[number]
        server = BackendServer(
            id=database.id,
            service=SERVICE,
            address="10.0.0.1",
            port=1,
            zone=database.zone,
            slots=database.slot_count,
            draining=False,
            leads=database.leads,
            cold_ms=0,
            born_ms=1,
        )
        served = ServedBackend(server, connections + 2, self.parts)
        self.parts.nursery.start_soon(served.watch)
        return served

    def runs(self) -> list[str]:
        """Return the texts of the statements that the primary ran, in order."""
        return [run.text for run in self.databases[0].runs]


def on_stage(scenario: Callable[[Stage], Awaitable[Any]], connections: int = 8) -> None:
    """Run a scenario in simulated time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(Stage(nursery, connections))
            nursery.cancel_scope.cancel()

    run_jumping(main)


def work(kind: WorkKind = WorkKind.READ, **changes: Any) -> Work:
    """Return work for the primary, a read by default."""
    texts = {WorkKind.READ: "READ a", WorkKind.WRITE: "WRITE a 1"}
    default = Work(
        server="i-0",
        organisation="kirk",
        request_id="r",
        kind=kind,
        scope=Scope.ALONE,
        text=texts.get(kind, ""),
        budget_ms=1_000,
    )
    return default._replace(**changes)


def test_concurrent_statements_never_exceed_the_slots() -> None:
    """Forty statements at once keep three slots busy, and none is refused."""

    async def scenario(stage: Stage) -> None:
        stage.databases[0].work_s = 0.02
        results: list[WorkResult] = []

        async def send_work(number: int) -> None:
            item = work(organisation=f"o{number % 4}", budget_ms=5_000)
            results.append(await stage.primary.run(item))

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(send_work, number)
        assert all(each.outcome is WorkOutcome.DONE for each in results)
        assert stage.databases[0].most_at_once == 3

    on_stage(scenario)


def test_connections_stay_within_the_limit_and_make_room() -> None:
    """Ten organisations share four connections; the longest idle one is closed."""

    async def scenario(stage: Stage) -> None:
        stage.databases[0].max_connections = 4
        for number in range(30):
            item = work(organisation=f"o{number % 10}")
            assert (await stage.primary.run(item)).outcome is WorkOutcome.DONE
        assert stage.databases[0].connections <= 4

    on_stage(scenario, connections=4)


def test_a_refused_begin_leaves_the_session_values_known() -> None:
    """Values set before a refused BEGIN do not leak into the next session."""

    async def scenario(stage: Stage) -> None:
        replica = stage.serve(1)
        unreached = Position(9, 9)
        begin = work(
            server="i-1",
            scope=Scope.BEGIN_READ_ONLY,
            transaction="t",
            floor=unreached,
            values=(("v1", "theirs"),),
        )
        assert (await replica.run(begin)).reason is Reason.BEHIND
        assert (await replica.run(work(server="i-1"))).outcome is WorkOutcome.DONE
        assert stage.databases[1].runs[-1].values == {}

    on_stage(scenario)


def test_prepared_shapes_are_prepared_once_a_connection() -> None:
    """Each shape has one name per connection, so callers' names cannot collide."""

    async def scenario(stage: Stage) -> None:
        for writes in (False, True, False, True):
            item = work(WorkKind.EXECUTE, text="a 1", shape="q1", shape_writes=writes)
            assert (await stage.primary.run(item)).outcome is WorkOutcome.DONE
        kinds = [text.split(" ")[0] for text in stage.runs()]
        assert kinds == ["READ", "WRITE", "READ", "WRITE"]
        assert len(stage.opened[0].session.prepared) == 2

    on_stage(scenario)


def test_a_transaction_stays_on_its_connection() -> None:
    """Its statements run in it, others outside it, and its end frees the connection."""

    async def scenario(stage: Stage) -> None:
        run = stage.primary.run
        begin = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t")
        assert (await run(begin)).open
        assert (await run(work())).outcome is WorkOutcome.DONE
        within = partial(work, scope=Scope.WITHIN, transaction="t")
        assert (await run(within(WorkKind.READ))).open
        result = await run(within(WorkKind.COMMIT))
        assert result.outcome is WorkOutcome.DONE and result.led and not result.open
        inside = [r.in_transaction for r in stage.databases[0].runs]
        assert inside == [True, False, True, True]
        after_commit = await run(within(WorkKind.READ))
        assert after_commit.blocker is Blocker.NO_TRANSACTION

    on_stage(scenario)


def test_idle_transactions_are_rolled_back() -> None:
    """A transaction without further statements expires, and nothing is committed."""

    async def scenario(stage: Stage) -> None:
        begin = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t")
        await stage.primary.run(begin)
        await trio.sleep(0.9)
        stage.primary.expire(1.0)
        assert not stage.primary.idle
        await trio.sleep(0.2)
        stage.primary.expire(1.0)
        await trio.sleep(0.1)
        assert stage.primary.idle and not stage.group.acknowledged

    on_stage(scenario)


def test_a_proven_read_is_refused_by_a_deposed_primary() -> None:
    """A server that no longer leads serves no read that must see the newest data."""

    async def scenario(stage: Stage) -> None:
        assert (await stage.primary.run(work(scope=Scope.PROVEN))).led
        stage.group.promote_now(stage.databases[1])
        result = await stage.primary.run(work(scope=Scope.PROVEN))
        assert (
            result.outcome is WorkOutcome.REFUSED and result.reason is Reason.NOT_LEADER
        )
        assert (await stage.primary.run(work())).outcome is WorkOutcome.DONE
        proof = await stage.primary.prove()
        assert proof.position is None and proof.denied

    on_stage(scenario)


def test_a_write_whose_reply_is_lost_has_an_unknown_outcome() -> None:
    """The write ran, so it must not be reported as not run."""

    async def scenario(stage: Stage) -> None:
        stage.databases[0].lose_answers = 1
        result = await stage.primary.run(work(WorkKind.WRITE, budget_ms=300))
        assert result.outcome is WorkOutcome.UNKNOWN
        assert len(stage.group.acknowledged) == 1

    on_stage(scenario)


def test_work_without_time_left_does_not_run() -> None:
    """The deadline passes while the connection is being opened."""

    async def scenario(stage: Stage) -> None:
        stage.databases[0].open_s = 0.2
        result = await stage.primary.run(work(WorkKind.WRITE, budget_ms=100))
        assert result.outcome is WorkOutcome.NOT_RUN
        await trio.sleep(1)
        assert not stage.runs()

    on_stage(scenario)


def test_an_unresponsive_server_is_unreachable_until_it_responds() -> None:
    """Work under way ends as unknown, and new work is refused until it responds."""

    async def scenario(stage: Stage) -> None:
        await stage.primary.run(work())
        stage.databases[0].dark = True
        result = await stage.primary.run(work(WorkKind.WRITE, budget_ms=5_000))
        assert result.outcome is WorkOutcome.UNKNOWN and not stage.primary.reachable
        refused = await stage.primary.run(work())
        assert (refused.outcome, refused.blocker) == (
            WorkOutcome.NOT_RUN,
            Blocker.NOT_SERVED,
        )
        stage.databases[0].dark = False
        await trio.sleep(1.5)
        assert stage.primary.reachable
        assert (await stage.primary.run(work())).outcome is WorkOutcome.DONE

    on_stage(scenario)


def test_one_dead_connection_does_not_make_the_server_unreachable() -> None:
    """The dead connection is replaced; the server stays reachable."""

    async def scenario(stage: Stage) -> None:
        await stage.primary.run(work())
        stage.opened[0].silent = True
        await trio.sleep(2)
        assert (await stage.primary.run(work())).outcome is WorkOutcome.DONE
        assert stage.primary.reachable

    on_stage(scenario)


def test_an_overlong_queue_refuses_at_once() -> None:
    """Work that cannot run in time is refused on arrival, with a retry delay."""

    async def scenario(stage: Stage) -> None:
        stage.databases[0].work_s = 0.1
        refused: list[tuple[float, WorkResult]] = []
        served = 0

        async def send_work() -> None:
            nonlocal served
            sent_at_s = trio.current_time()
            result = await stage.primary.run(work(budget_ms=500))
            if result.outcome is WorkOutcome.DONE:
                served += 1
            else:
                refused.append((trio.current_time() - sent_at_s, result))

        for _ in range(3):
            await send_work()
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(send_work)
        assert served >= 12
        assert any(took_s == 0 and result.retry_after_ms for took_s, result in refused)
        assert all(result.blocker is Blocker.OVERLOADED for _, result in refused)

    on_stage(scenario)


def test_switching_begins_nothing_that_could_be_lost() -> None:
    """While the primary is being replaced, reads continue and writes do not start."""

    async def scenario(stage: Stage) -> None:
        stage.primary.switching = True
        for item in (
            work(WorkKind.WRITE),
            work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t"),
        ):
            result = await stage.primary.run(item)
            assert (result.outcome, result.blocker) == (
                WorkOutcome.NOT_RUN,
                Blocker.SWITCHING,
            )
        assert (
            await stage.primary.run(work(scope=Scope.PROVEN))
        ).outcome is WorkOutcome.DONE

    on_stage(scenario)


def test_idle_connections_are_trimmed() -> None:
    """Connections that have been idle for long enough are closed."""

    async def scenario(stage: Stage) -> None:
        await stage.primary.run(work())
        assert stage.databases[0].connections == 1
        await trio.sleep(0.5)
        stage.primary.trim(1.0)
        assert stage.databases[0].connections == 1
        stage.primary.trim(0.5)
        assert stage.databases[0].connections == 0
        assert (await stage.primary.run(work())).outcome is WorkOutcome.DONE

    on_stage(scenario)


def test_slots_serve_organisations_in_turn_by_priority() -> None:
    """A flood from one organisation does not delay another's work until its end."""
    queue: SlotQueue[str] = SlotQueue(1)
    assert queue.try_acquire()
    for number in range(5):
        queue.enqueue(f"flood-{number}", "flood", 2)
    queue.enqueue("small", "small", 2)
    queue.enqueue("urgent", "flood", 1)
    order = []
    for _ in range(7):
        queue.release(10.0)
        order.append(queue.acquire_next())
    assert order[0] == "urgent" and order.index("small") <= 2
    assert queue.acquire_next() is None and queue.busy == 1


def test_a_pool_prefers_the_connection_that_fits() -> None:
    """Equal values are preferred, then values that only need additions."""
    pool = ConnectionPool(4, kept=4)
    session: Any = None
    for values in ({}, {"v": "1"}, {"w": "2"}):
        pool.reserve_opening(0.0)
        connection = ServerConnection(session, "kirk")
        connection.values = values
        pool.finish_opening(connection)
        pool.return_idle(connection, 0.0)
    taken = [pool.lend_best_match("kirk", {"v": "1"}) for _ in range(3)]
    assert [c.values if c else None for c in taken] == [{"v": "1"}, {}, {"w": "2"}]
    assert pool.lend_best_match("kirk", {}) is None


def test_a_lagging_replica_receives_few_reads() -> None:
    """Of a flood of reads that its log cannot serve, it receives ten a second."""

    async def scenario(stage: Stage) -> None:
        replica = stage.serve(1)
        floor = Position(9, 9)
        read = work(server="i-1", floor=floor, movable=True)
        for _ in range(100):
            result = await replica.run(read)
            assert (result.outcome, result.reason) == (
                WorkOutcome.REFUSED,
                Reason.BEHIND,
            )
            await trio.sleep(0.01)
        metered = stage.parts.meter.exposition()
        assert b"rattanhollow_server_ms_count" in metered
        read_count = float(metered.split(b"rattanhollow_server_ms_count")[1].split()[1])
        assert read_count <= 12

    on_stage(scenario)
