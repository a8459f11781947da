"""The pool: bounded, fair, and nothing lost where waits are cancelled."""

import random
from typing import Any

import pytest
import trio
from result import Ok, Result

from conftest import run_trio
from rattanhollow.backend import Pool
from rattanhollow.proxy import ALL_GUARDS, Guards
from rattanhollow.serving import FairQueue
from rattanhollow_standins.client import connect
from rattanhollow_standins.fleet import Fleet

LIMIT = 3


class FakeWire:
    """The wire of a fake connection."""

    def abort(self, reason: str) -> None:
        """Forget about it."""


class FakeConnection:
    """A connection that only counts."""

    open_now = 0
    most = 0

    def __init__(self) -> None:
        self.usable = True
        self.quiet = True
        self.idle_since_s = float("inf")
        self.wire = FakeWire()
        FakeConnection.open_now += 1
        FakeConnection.most = max(FakeConnection.most, FakeConnection.open_now)

    async def close(self) -> None:
        """Count it as closed."""
        FakeConnection.open_now -= 1


def fake_pool() -> Pool:
    """Return a pool of fake connections that take a moment to open."""

    async def open_one() -> Result[Any, str]:
        await trio.sleep(0.001)
        return Ok(FakeConnection())

    FakeConnection.open_now = FakeConnection.most = 0
    return Pool(open_one, LIMIT, 1_000)


@pytest.mark.parametrize("seed", range(5))
def test_no_place_is_lost(seed: int) -> None:
    """Through cancelled waits and broken connections, all places come back."""

    async def main() -> None:
        rng = random.Random(seed)
        pool = fake_pool()

        async def borrow() -> None:
            with trio.move_on_after(rng.uniform(0, 0.02)):
                taken = await pool.take(rng.choice("abc"))
                connection = taken.unwrap()
                try:
                    await trio.sleep(rng.uniform(0, 0.004))
                finally:
                    connection.usable = rng.random() < 0.7
                    with trio.CancelScope(shield=True):
                        await pool.give_back(connection)

        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(borrow)
                await trio.sleep(rng.uniform(0, 0.001))
        assert FakeConnection.most <= LIMIT
        assert pool.outstanding == 0
        taken = [(await pool.take()).unwrap() for _ in range(LIMIT)]
        assert len(set(taken)) == LIMIT

    run_trio(main)


def test_organisations_take_turns() -> None:
    """One organisation's many items do not keep another's waiting."""
    queue: FairQueue[int] = FairQueue()
    for item in range(5):
        queue.add("large", item)
    queue.add("small", 100)
    queue.add("tiny", 200)
    queue.remove("tiny", 200)
    assert [queue.pop() for _ in range(len(queue))] == [0, 100, 1, 2, 3, 4]
    with pytest.raises(IndexError):
        queue.pop()


def waits(guards: Guards, with_fleet: Any) -> float:
    """Flood a pool; how many of the flood's answers one stranger's wait took."""

    async def scenario(fleet: Fleet) -> float:
        answered = 0
        done = trio.Event()

        async def flood() -> None:
            nonlocal answered
            client = await connect(fleet.place(0))
            while not done.is_set():
                await client.run("SELECT pg_sleep(0.005)")
                answered += 1

        proxy = fleet.proxies[0]
        known = proxy.configuration.organisations["kirk"]
        organisations = {"kirk": known, "abbey": known._replace(name="abbey")}
        stranger_at = fleet.place(0)._replace(user="abbey")
        proxy.configuration = proxy.configuration._replace(organisations=organisations)
        stranger = await connect(stranger_at)
        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(flood)
            await trio.sleep(0.5)
            before = answered
            for _ in range(10):
                assert (await stranger.run("SELECT pg_sleep(0.005)")).error is None
            took = (answered - before) / 10
            done.set()
        return took

    overrides = {"backend": {"connections": "1"}, "reads": {"replica_wait_ms": "0"}}
    return with_fleet(scenario, guards=guards, overrides=overrides)


def test_a_flood_keeps_no_stranger_waiting(with_fleet: Any) -> None:
    """A stranger waits for few of another organisation's thirty callers."""
    assert waits(ALL_GUARDS, with_fleet) < 12


def test_a_flood_keeps_strangers_waiting_without_turns(with_fleet: Any) -> None:
    """First come, first served, a stranger waits for most of them."""
    assert waits(ALL_GUARDS._replace(fairness=False), with_fleet) > 20
