"""Connection counts of the pool while a backend server fails and recovers under load.

Statements of open transactions wait for slots while the server stops responding or
their callers leave. Each connection must then be closed or lendable again: a
connection that stays counted as lent blocks later work for good. Uses stand-in
databases in memory and simulated time, no network.
"""

import random
from functools import partial

import pytest
import trio

from rattanhollow.serving import Scope, WorkKind, WorkOutcome
from test_serving import Stage, on_stage, work


async def _fill_slots(stage: Stage, nursery: trio.Nursery) -> None:
    """Occupy all slots for some seconds, so that later work has to wait."""
    stage.databases[0].work_s = 3.0
    for _ in range(stage.databases[0].slot_count):
        nursery.start_soon(stage.primary.run, work(budget_ms=5_000))
    await trio.sleep(0.01)


async def _open_transactions(stage: Stage, count: int) -> None:
    for number in range(count):
        begin = work(scope=Scope.BEGIN, transaction=f"t{number}")
        assert (await stage.primary.run(begin)).open


def _assert_all_counted(stage: Stage) -> None:
    """Assert that the pool counts exactly the connections that the database has."""
    counts = stage.primary.counts
    assert counts.lent == counts.opening == 0
    assert counts.idle == stage.databases[0].connections


def test_a_silent_server_frees_transactions_that_wait_for_a_slot() -> None:
    """The server becomes unreachable before their statements start."""

    async def scenario(stage: Stage) -> None:
        await _open_transactions(stage, 4)
        async with trio.open_nursery() as nursery:
            await _fill_slots(stage, nursery)
            for number in range(4):
                within = work(
                    scope=Scope.WITHIN, transaction=f"t{number}", budget_ms=5_000
                )
                nursery.start_soon(stage.primary.run, within)
            await trio.sleep(0.01)
            stage.databases[0].dark = True
        stage.databases[0].dark, stage.databases[0].work_s = False, 0.0
        await trio.sleep(5)
        assert stage.primary.reachable
        _assert_all_counted(stage)
        assert (await stage.primary.run(work())).outcome is WorkOutcome.DONE

    on_stage(scenario)


def test_a_caller_that_leaves_frees_a_transaction_that_waits_for_a_slot() -> None:
    """Its statement's deadline passes before a slot is free."""

    async def scenario(stage: Stage) -> None:
        await _open_transactions(stage, 4)
        async with trio.open_nursery() as nursery:
            await _fill_slots(stage, nursery)
            for number in range(4):
                within = partial(work, transaction=f"t{number}")
                nursery.start_soon(
                    stage.primary.run, within(scope=Scope.WITHIN, budget_ms=500)
                )
                await trio.sleep(0.01)
                await stage.primary.run(within(WorkKind.ROLLBACK))
        await trio.sleep(1)
        _assert_all_counted(stage)

    on_stage(scenario)


async def _transact(stage: Stage, rng: random.Random, number: int) -> None:
    """Run one transaction whose caller may leave at any time."""
    name = f"t{number}"
    budget_ms = rng.randrange(50, 2_000)
    build_work = partial(
        work, organisation=f"o{number % 5}", transaction=name, budget_ms=budget_ms
    )
    with trio.move_on_after(rng.uniform(0.05, 4.0)):
        opened = await stage.primary.run(build_work(scope=Scope.BEGIN))
        while opened.open and rng.random() < 0.7:
            await trio.sleep(rng.uniform(0, 0.2))
            opened = await stage.primary.run(build_work(scope=Scope.WITHIN))
    await stage.primary.run(build_work(WorkKind.ROLLBACK))


@pytest.mark.parametrize("seed", range(12))
def test_no_connection_stays_counted_after_a_flood(seed: int) -> None:
    """The server hangs and slows down, work is cancelled and rolled back, at random."""

    async def scenario(stage: Stage) -> None:
        rng = random.Random(seed)
        database = stage.databases[0]
        async with trio.open_nursery() as nursery:
            for number in range(120):
                nursery.start_soon(_transact, stage, rng, number)
                await trio.sleep(rng.uniform(0, 0.05))
                if rng.random() < 0.1:
                    database.dark = not database.dark
                database.work_s = rng.choice([0.0, 0.02, 0.3])
        database.dark, database.work_s = False, 0.0
        await trio.sleep(5)
        stage.primary.expire(1.0)
        await trio.sleep(1)
        assert stage.primary.idle
        _assert_all_counted(stage)

    on_stage(scenario)
