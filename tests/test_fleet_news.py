"""Notification of a large fleet when one host joins or leaves.

The bytes sent must grow with the change, not with the number of known objects. The
hosts call one another directly, the store is in memory, and time is simulated.
"""

import random

import pytest
import trio

from jumping import run_jumping
from memory_fleet import PROPAGATION_DEADLINE_S, START_DURATION_S, MemoryFleet

HOSTS = 195
# Sent by all hosts together when one joins or leaves.
LARGEST_CHANGE_BYTES = 100_000


async def _start_all(fleet: MemoryFleet, nursery: trio.Nursery, count: int) -> None:
    rng = random.Random(fleet.seed)
    for number in range(count):
        nursery.start_soon(fleet.start, number, rng.uniform(0.2, 1.1))
    await trio.sleep(START_DURATION_S + PROPAGATION_DEADLINE_S)


def _count_hosts_that_know(fleet: MemoryFleet, name: str) -> int:
    """Return the number of hosts that know the host ``name``."""
    return sum(h.directory.find(name) is not None for h in fleet.hosts.values())


@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_joins_or_leaves_costs_few_bytes(seed: int) -> None:
    """Hosts send few bytes beyond those that an idle fleet sends in the same time."""
    fleet = MemoryFleet(seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, HOSTS)
            fleet.sent_bytes = 0
            await trio.sleep(2.0)
            idle_bytes, fleet.sent_bytes = fleet.sent_bytes, 0
            record = fleet.hosts["h0"].record._replace(name="new")
            fleet.table.create("hosts", "new", record._asdict())
            await trio.sleep(2.0)
            assert _count_hosts_that_know(fleet, "new") == HOSTS
            assert fleet.sent_bytes - idle_bytes <= LARGEST_CHANGE_BYTES
            fleet.sent_bytes = 0
            entry = fleet.table.get("hosts", "new")
            assert entry is not None
            fleet.table.delete("hosts", "new", entry.version)
            await trio.sleep(2.0)
            assert _count_hosts_that_know(fleet, "new") == 0
            assert fleet.sent_bytes - idle_bytes <= LARGEST_CHANGE_BYTES
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_missed_notifications_catches_up(seed: int) -> None:
    """The next notification reveals the gap, and the host fetches what it missed."""
    fleet = MemoryFleet(seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, 30)
            record = fleet.hosts["h0"].record._asdict()
            fleet.unnotified = set(fleet.hosts)
            for name in ("gone", "missed"):
                fleet.table.create("hosts", name, {**record, "name": name})
                await trio.sleep(1.0)
            entry = fleet.table.get("hosts", "gone")
            assert entry is not None
            fleet.table.delete("hosts", "gone", entry.version)
            await trio.sleep(1.0)
            fleet.unnotified = set()
            fleet.table.create("hosts", "heard", {**record, "name": "heard"})
            await trio.sleep(1.0)
            assert (
                _count_hosts_that_know(fleet, "heard")
                == _count_hosts_that_know(fleet, "missed")
                == 30
            )
            assert _count_hosts_that_know(fleet, "gone") == 0
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


def test_changes_with_a_different_digest_are_not_applied() -> None:
    """A host whose copy lacks an object unnoticed fetches the full copy."""
    fleet = MemoryFleet(0)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, 30)
            host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
            lacking = next(n for n in fleet.hosts if n != host.record.name)
            del host.directory.follower.items[lacking]
            record = host.record._replace(name="new")._asdict()
            fleet.table.create("hosts", "new", record)
            await trio.sleep(1.0)
            known = host.directory.follower.items
            assert {"new", lacking} <= known.keys()
            nursery.cancel_scope.cancel()

    run_jumping(main)


def test_a_host_knows_when_others_last_answered() -> None:
    """A host that was cut off took news for new that had been told for long."""
    fleet = MemoryFleet()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await _start_all(fleet, nursery, 12)
            for host in fleet.hosts.values():
                age_s = trio.current_time() - host.gossip.compared_at_s
                assert age_s < PROPAGATION_DEADLINE_S / 2
            fleet.silent = set(fleet.hosts)
            await trio.sleep(10.0)
            for host in fleet.hosts.values():
                assert trio.current_time() - host.gossip.compared_at_s >= 10.0
            nursery.cancel_scope.cancel()

    run_jumping(main)
