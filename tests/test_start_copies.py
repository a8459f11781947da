"""A host that starts uses no copy that is older than the store was at its start.

The load: restarts beside a fleet whose relays hear nothing new, a reader that is gone
or silent, and a store that fails. No network, simulated time.
"""

from collections.abc import Awaitable, Callable

import pytest
import trio
from result import Err, Result

from jumping import run_jumping
from memory_fleet import MemoryFleet, MemoryHost
from rattanhollow.membership._start_copies import UNPROVEN_AFTER_S
from rattanhollow.store import Listing, StoreFailure, Trouble

HOSTS = 24
# Neither a reader of its region nor a relay of its zone.
JOINING = 25
SETTLED_S = 20.0


class Joined:
    """A host that starts beside a fleet, and how long it took."""

    def __init__(self, fleet: MemoryFleet) -> None:
        self.fleet = fleet
        self.took_s = 0.0
        self.versions: dict[str, int] = {}

    @property
    def host(self) -> MemoryHost:
        """The host that started."""
        return self.fleet.hosts[f"h{JOINING}"]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start it, and wait until it may serve."""
        began_s = trio.current_time()
        nursery.start_soon(self.fleet.start, JOINING, 0.0, False)
        while f"h{JOINING}" not in self.fleet.hosts:
            await trio.sleep(0.001)
        await self.host.start_copies.finished.wait()
        self.took_s = trio.current_time() - began_s
        self.versions = {
            item.name: item.version.number
            for follower in self.host.followers
            for item in follower.items.values()
        }


Scenario = Callable[[Joined, trio.Nursery], Awaitable[None]]


def beside_a_fleet(scenario: Scenario) -> None:
    """Run a scenario beside a fleet that has settled, and whose watches are silent."""

    async def main() -> None:
        fleet = MemoryFleet()
        async with trio.open_nursery() as nursery:
            for number in range(HOSTS):
                nursery.start_soon(fleet.start, number, 0.0, False)
            await trio.sleep(SETTLED_S)
            fleet.table.faults.silent_watch = True
            await scenario(Joined(fleet), nursery)
            nursery.cancel_scope.cancel()

    run_jumping(main)


def readers(fleet: MemoryFleet) -> list[str]:
    """Return the readers of the region of the host that joins."""
    region = f"h{JOINING % 6}"
    return [r.name for r in fleet.hosts[region].start_copies._readers()]


def withdraw(fleet: MemoryFleet) -> int:
    """Replace the configuration, as for a withdrawn key; return its version."""
    entry = fleet.table.get("config", "main")
    assert entry is not None
    fleet.table.replace("config", "main", {"version": 2}, entry.version)
    newest = fleet.table.get("config", "main")
    assert newest is not None
    return newest.version


def test_a_key_that_was_withdrawn_before_the_start_is_unknown_behind_it() -> None:
    """The copy of a relay that heard nothing of it was used."""

    async def scenario(joined: Joined, nursery: trio.Nursery) -> None:
        newest = withdraw(joined.fleet)
        joined.fleet.table.calls.clear()
        await joined.start(nursery)
        assert not joined.host.gossip.is_relay()
        assert joined.host.record not in joined.host.start_copies._readers()
        assert joined.versions["main"] == newest
        assert joined.took_s < 1.0
        assert joined.fleet.table.calls["list"] <= 3

    beside_a_fleet(scenario)


@pytest.mark.parametrize("gone", [1, 2])
@pytest.mark.parametrize("silent", [True, False])
def test_a_lost_reader_or_a_cut_link_to_it_delays_a_start_only(
    gone: int, silent: bool
) -> None:
    """The next reader is asked, or the host lists by itself."""

    async def scenario(joined: Joined, nursery: trio.Nursery) -> None:
        newest = withdraw(joined.fleet)
        for name in readers(joined.fleet)[:gone]:
            if silent:
                joined.fleet.silent.add(name)
            else:
                del joined.fleet.hosts[name]
        await joined.start(nursery)
        assert joined.versions["main"] == newest
        assert joined.took_s < 3.0

    beside_a_fleet(scenario)


def test_a_reader_that_the_store_turns_away_proves_nothing() -> None:
    """Its own copy was passed off as new; the host lists by itself in the end."""

    async def scenario(joined: Joined, nursery: trio.Nursery) -> None:
        newest = withdraw(joined.fleet)

        async def turn_away(kind: str) -> Result[Listing, StoreFailure]:
            return Err(StoreFailure(Trouble.TURNED_AWAY, "not now"))

        for name in readers(joined.fleet):
            lists = joined.fleet.hosts[name].start_copies.lists
            lists._store = lists._store._replace(list=turn_away)
        await joined.start(nursery)
        assert joined.versions["main"] == newest
        assert joined.took_s < 3.0

    beside_a_fleet(scenario)


def test_without_the_store_the_copies_of_others_count_after_a_while() -> None:
    """A host must serve during an outage of the store, as it did before."""

    async def scenario(joined: Joined, nursery: trio.Nursery) -> None:
        known = await joined.fleet.hosts["h0"].store.list("hosts")
        joined.fleet.table.faults.down = True
        nursery.start_soon(joined.start, nursery)
        await trio.sleep(0.1)
        joined.host.directory.follower.take_copy(known.unwrap())
        await trio.sleep(UNPROVEN_AFTER_S - 0.2)
        assert not joined.host.start_copies.finished.is_set()
        await trio.sleep(6.0)
        assert joined.host.start_copies.finished.is_set()
        assert all(follower.items for follower in joined.host.followers)

    beside_a_fleet(scenario)


def test_a_store_that_comes_back_proves_the_copies_that_were_taken() -> None:
    """A copy from before the outage must not be used once the store answers."""

    async def scenario(joined: Joined, nursery: trio.Nursery) -> None:
        newest = withdraw(joined.fleet)
        joined.fleet.table.faults.down = True
        nursery.start_soon(joined.start, nursery)
        await trio.sleep(1.5)
        joined.fleet.table.faults.down = False
        await joined.host.start_copies.finished.wait()
        await trio.sleep(0.01)
        assert joined.versions["main"] == newest

    beside_a_fleet(scenario)


@pytest.mark.parametrize("lost", [0, 1])
def test_a_known_record_is_replaced_by_one_call(lost: int) -> None:
    """It is no first registration, also where the answer was lost."""

    async def main() -> None:
        fleet = MemoryFleet()
        first = MemoryHost("h0", fleet, 1)
        with trio.move_on_after(5):
            await first.registration.run()
        again = MemoryHost("h0", fleet, 2)
        again.first_start = False
        again.directory.follower.take_copy((await again.store.list("hosts")).unwrap())
        fleet.table.calls.clear()
        fleet.table.faults.lose_answers = lost
        with trio.move_on_after(5):
            await again.registration.run()
        assert again.registration.is_first_registration is False
        assert fleet.table.calls.total() == 1 + lost

    run_jumping(main)
