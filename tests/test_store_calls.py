"""Store calls of a large fleet that starts at once and is then idle.

Each call to the platform's store has a price: the calls of the whole fleet should
grow with availability zones and changes, not with hosts. The hosts call one another
directly, the store is in memory, and time is simulated.
"""

from typing import Any

import pytest
import trio

from jumping import run_jumping
from memory_fleet import (
    LAGGING_LIST_COST,
    PROPAGATION_DEADLINE_S,
    WATCH_DURATION_S,
    ZONES,
    MemoryFleet,
    MemoryHost,
    run_fleet,
)


@pytest.mark.parametrize("seed", range(3))
def test_a_host_of_a_new_fleet_needs_few_calls_besides_its_creation(
    seed: int,
) -> None:
    """All hosts know all objects, for at most half a call each besides creation."""
    fleet, (start, _) = run_fleet(195, seed, idle_s=0.1)
    for host in fleet.hosts.values():
        assert all(f.listed.is_set() and f.items for f in host.followers)
        assert host.directory.count == len(fleet.hosts)
        assert host.registration.is_first_registration
    assert start <= 1.5 * len(fleet.hosts)


def test_an_idle_fleet_calls_as_often_whatever_its_size() -> None:
    """Two relays per zone renew three watches; two calls per deadline are polls."""
    renewed = 2 * 3 * 60 / WATCH_DURATION_S
    polled = 2 * 60 / PROPAGATION_DEADLINE_S
    for count in (18, 195):
        _, (_, idle) = run_fleet(count, 0, idle_s=60.0)
        assert idle <= len(ZONES) * (renewed + polled)


def test_a_host_that_joins_later_reads_the_configuration_itself() -> None:
    """The cached copy of a relay may still have a key that was withdrawn.

    Where hosts share the lists of a start, `test_start_copies` guards against that.
    """
    fleet, _ = run_fleet(12, 0, idle_s=0.1, first_start=False, shares_start=False)
    for host in fleet.hosts.values():
        assert host.followers[0].heard_at_s > 0


@pytest.mark.parametrize("count", [18, 195])
def test_a_restart_of_the_whole_fleet_costs_few_calls_a_host(count: int) -> None:
    """Each host created its record in vain, read it, and listed everything itself."""
    fleet, _ = run_fleet(count, 0, idle_s=0.1, restarts=True)
    calls = fleet.start_calls
    assert all(h.start_copies.finished.is_set() for h in fleet.hosts.values())
    assert all(
        h.registration.is_first_registration is False for h in fleet.hosts.values()
    )
    assert calls["put"] == count and calls["get"] == 0
    lagging = LAGGING_LIST_COST * calls["list lagging"]
    assert calls["put"] + calls["list"] + lagging < 2.2 * count


def test_a_restart_of_the_whole_fleet_does_not_burst_the_store() -> None:
    """With 20 calls at once, 598 lists of 195 hosts failed, each tried again."""
    fleet, _ = run_fleet(195, 0, idle_s=0.1, restarts=True, most_calls=20)
    assert all(f.listed.is_set() for h in fleet.hosts.values() for f in h.followers)
    assert fleet.failed["list"] <= 5 and fleet.failed.total() <= 20


def test_a_creation_without_a_response_is_a_first_registration() -> None:
    """The record found is its own: no other host has counted a previous start."""

    async def main() -> None:
        fleet = MemoryFleet()
        fleet.table.faults.lose_answers = 1
        host = MemoryHost("h0", fleet, 0)
        with trio.move_on_after(5):
            await host.registration.run()
        assert (
            host.registration.written.is_set()
            and host.registration.is_first_registration
        )

    run_jumping(main)


def test_a_host_that_starts_again_finds_its_previous_record() -> None:
    """The record of its previous start is replaced."""

    async def main() -> None:
        fleet = MemoryFleet()
        for seed in (1, 2):
            host = MemoryHost("h0", fleet, seed)
            with trio.move_on_after(5):
                await host.registration.run()
            assert host.registration.is_first_registration is (seed == 1)
        entry = fleet.table.get("hosts", "h0")
        assert entry is not None and entry.spec["incarnation"] == "h0-2"

    run_jumping(main)


def test_lagging_lists_restore_nothing_after_a_restart() -> None:
    """A withdrawn key, or a server that left, must not be in use again."""

    async def main() -> None:
        fleet = MemoryFleet()
        lagging = await MemoryHost("h0", fleet, 0).store.list("config")
        left = await MemoryHost("h0", fleet, 0).store.list("servers")
        old = {"config": lagging, "servers": left}
        fleet.table.replace("config", "main", {"version": 2}, 1)
        fleet.table.delete("servers", "i-1", 2)
        seen: list[tuple[str, int]] = []

        async def list_lagging(kind: str) -> Any:
            return old.get(kind) or await host.store.list(kind)

        host = MemoryHost("h0", fleet, 0)
        host.store = host.store._replace(list_lagging=list_lagging)
        for follower in host.followers:
            follower._on_change = lambda stored, name: seen.append(
                (name, stored.version.number if stored else 0)
            )
        with trio.move_on_after(60):
            await host.run(first_start=False)
        assert seen == [("main", 3)]

    run_jumping(main)
