"""Hundreds of hosts that start at once, and then have nothing to do.

Each call to the platform's store has its price: over the whole fleet they should
grow with availability zones and changes, not with hosts. No network: hosts tell one
another directly, and the store is in memory; time that jumps.
"""

from typing import Any

import pytest
import trio

from jumping import run_jumping
from memory_fleet import (
    IN_FORCE_S,
    WATCH_WAIT_S,
    ZONES,
    MemoryFleet,
    MemoryHost,
    run_fleet,
)


@pytest.mark.parametrize("seed", range(3))
def test_a_host_of_a_new_fleet_costs_the_store_little_more_than_its_record(
    seed: int,
) -> None:
    """All hosts know everything; no more than half a call each beside creation."""
    fleet, (start, _) = run_fleet(195, seed, idle_s=0.1)
    for host in fleet.hosts.values():
        assert all(f.listed.is_set() and f.items for f in host.followers)
        assert host.directory.count == len(fleet.hosts)
        assert host.registration.is_first_registration
    assert start <= 1.5 * len(fleet.hosts)


def test_an_idle_fleet_calls_as_often_whatever_its_size() -> None:
    """Two relays a zone renew three watches; two calls in the time are polls."""
    renewed = 2 * 3 * 60 / WATCH_WAIT_S
    polled = 2 * 60 / IN_FORCE_S
    for count in (18, 195):
        _, (_, idle) = run_fleet(count, 0, idle_s=60.0)
        assert idle <= len(ZONES) * (renewed + polled)


def test_a_host_that_joins_later_reads_the_configuration_itself() -> None:
    """A relay's copy may lack that a key was withdrawn."""
    fleet, _ = run_fleet(12, 0, idle_s=0.1, first_start=False)
    for host in fleet.hosts.values():
        assert host.followers[0].heard_at_s > 0


def test_a_creation_without_an_answer_is_ones_own() -> None:
    """Nobody has counted an earlier start of a host that found only itself."""

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


def test_a_host_that_starts_again_knows_that_it_was_counted() -> None:
    """Its record of an earlier start is replaced."""

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


def test_lists_that_lag_bring_nothing_back_behind_a_restart() -> None:
    """A key that was withdrawn, or a server that left, is never in use again."""

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
                (name, stored.version if stored else 0)
            )
        with trio.move_on_after(60):
            await host.run(first_start=False)
        assert seen == [("main", 3)]

    run_jumping(main)
