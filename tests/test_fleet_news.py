"""One host of hundreds comes or goes, and all others hear of it.

What is told has to grow with the change, not with what was known before. No
network: hosts tell one another directly, and the store is in memory; time that
jumps.
"""

import random

import pytest
import trio

from jumping import run_jumping
from memory_fleet import IN_FORCE_S, STARTED_S, MemoryFleet

HOSTS = 195
# Of all hosts together, when one comes or goes.
LARGEST_CHANGE_BYTES = 100_000


async def _start_all(fleet: MemoryFleet, nursery: trio.Nursery, count: int) -> None:
    rng = random.Random(fleet.seed)
    for number in range(count):
        nursery.start_soon(fleet.start, number, rng.uniform(0.2, 1.1))
    await trio.sleep(STARTED_S + IN_FORCE_S)


def _knowing(fleet: MemoryFleet, name: str) -> int:
    """Return how many hosts know a host."""
    return sum(h.directory.find(name) is not None for h in fleet.hosts.values())


@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_comes_or_goes_costs_the_fleet_little(seed: int) -> None:
    """Comparisons of copies that are alike, during the same time, are left out."""
    fleet = MemoryFleet(seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, HOSTS)
            fleet.sent_bytes = 0
            await trio.sleep(2.0)
            idle_bytes, fleet.sent_bytes = fleet.sent_bytes, 0
            fleet.table.create("hosts", "new", fleet.hosts["h0"].record._asdict())
            await trio.sleep(2.0)
            assert _knowing(fleet, "new") == HOSTS
            assert fleet.sent_bytes - idle_bytes <= LARGEST_CHANGE_BYTES
            fleet.sent_bytes = 0
            entry = fleet.table.get("hosts", "new")
            assert entry is not None
            fleet.table.delete("hosts", "new", entry.version)
            await trio.sleep(2.0)
            assert _knowing(fleet, "new") == 0
            assert fleet.sent_bytes - idle_bytes <= LARGEST_CHANGE_BYTES
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_missed_news_hears_all_of_it(seed: int) -> None:
    """The next news shows that something is missing; then it asks for the whole."""
    fleet = MemoryFleet(seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, 30)
            record = fleet.hosts["h0"].record._asdict()
            fleet.deaf = set(fleet.hosts)
            for name in ("gone", "missed"):
                fleet.table.create("hosts", name, record)
                await trio.sleep(1.0)
            entry = fleet.table.get("hosts", "gone")
            assert entry is not None
            fleet.table.delete("hosts", "gone", entry.version)
            await trio.sleep(1.0)
            fleet.deaf = set()
            fleet.table.create("hosts", "heard", record)
            await trio.sleep(1.0)
            assert _knowing(fleet, "heard") == _knowing(fleet, "missed") == 30
            assert _knowing(fleet, "gone") == 0
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


def test_changes_that_give_another_copy_are_not_taken() -> None:
    """Whoever lost an object unseen asks for the whole, and has it again."""
    fleet = MemoryFleet(0)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, 30)
            host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
            lost = next(n for n in fleet.hosts if n != host.record.name)
            del host.directory.follower.items[lost]
            record = host.record._asdict()
            fleet.table.create("hosts", "new", record)
            await trio.sleep(1.0)
            known = host.directory.follower.items
            assert {"new", lost} <= known.keys()
            nursery.cancel_scope.cancel()

    run_jumping(main)
