"""The store comes back from an older copy of itself (review/7, issue 32).

What was written since that copy is lost, revisions are given out again, and the header
of all answers tells so. No network; a fleet's time is simulated.
"""

import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
import pytest
import trio
from result import Err, Ok, Result

from config_fleet import ConfigFleet, run_with
from jumping import run_jumping
from memory_fleet import PROPAGATION_DEADLINE_S, ZONES, MemoryFleet
from rattanhollow.coordination import ranked
from rattanhollow.host._restored import order_configurations, order_descriptions
from rattanhollow.net import HttpAnswer
from rattanhollow.peer import CopyNews, CopyQuestion, CopyState
from rattanhollow.peer._messages import decode, encode
from rattanhollow.platform import object_store, read_routes, read_server
from rattanhollow.store import (
    NO_REVISION,
    Event,
    EventType,
    Follower,
    Listing,
    Revision,
    Stored,
    StoreFailure,
    Trouble,
    follow,
)
from rattanhollow.store._follow import REWRITE_GRACE_S
from rattanhollow_standins.platform._cluster import configuration
from rattanhollow_standins.store import ObjectTable, local_store
from test_entries import SERVER

HOSTS = 12
ROUTES = 400
SETTLED_S = 20.0
ANSWER_S = 0.004
# A store of 2,000 reads a second, 195 hosts that follow four kinds each.
MOST_CALLS_PER_S = 2_000 / 195 / 4


class Restored(MemoryFleet):
    """A fleet whose store can come back from a copy."""

    def configure(self, version: int) -> None:
        """Write a configuration, as operators do."""
        entry = self.table.get("config", "main")
        assert entry is not None
        self.table.replace("config", "main", {"version": version}, entry.version)

    def in_force(self) -> set[int]:
        """Return the versions of the configuration that hosts have in force."""
        return {host.in_force for host in self.hosts.values()}

    async def until_in_force(self, version: int) -> float:
        """Return when all hosts had a version in force, in seconds from now."""
        began_s = trio.current_time()
        with trio.move_on_after(3 * PROPAGATION_DEADLINE_S):
            while self.in_force() != {version}:
                await trio.sleep(0.05)
        return trio.current_time() - began_s


def run_restored(
    scenario: Callable[[Restored, trio.Nursery], Awaitable[None]], seed: int = 0
) -> None:
    """Run a scenario with a fleet that has settled."""

    async def main() -> None:
        fleet = Restored(seed)
        async with trio.open_nursery() as nursery:
            for number in range(HOSTS):
                nursery.start_soon(fleet.start, number, 0.0)
            await trio.sleep(SETTLED_S)
            await scenario(fleet, nursery)
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


@pytest.mark.parametrize("seed", range(4))
def test_hosts_learn_what_is_written_after_a_restore(seed: int) -> None:
    """Hosts went on with an older configuration, and asked 300 times a second.

    The later configuration has a revision that the lost one had.
    """

    async def scenario(fleet: Restored, nursery: trio.Nursery) -> None:
        saved = fleet.table.save()
        for version in (2, 3, 4):
            fleet.configure(version)
            await trio.sleep(1.0)
        await fleet.until_in_force(4)
        lost = fleet.table.version
        fleet.table.come_back_from(saved)
        assert fleet.table.version < lost
        fleet.configure(4)
        fleet.configure(5)
        assert fleet.table.version <= lost
        calls = sum(fleet.table.calls.values())
        assert await fleet.until_in_force(5) < PROPAGATION_DEADLINE_S
        await trio.sleep(10.0)
        made = sum(fleet.table.calls.values()) - calls
        assert made < HOSTS * 4 * MOST_CALLS_PER_S * 10.0

    run_restored(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_nothing_in_force_goes_back_with_the_store(seed: int) -> None:
    """A host that starts on the older copy brings back no withdrawn key."""

    async def scenario(fleet: Restored, nursery: trio.Nursery) -> None:
        saved = fleet.table.save()
        fleet.configure(2)
        await fleet.until_in_force(2)
        fleet.table.come_back_from(saved)
        await trio.sleep(PROPAGATION_DEADLINE_S)
        assert fleet.in_force() == {2}
        for number in range(HOSTS, 2 * HOSTS):
            nursery.start_soon(fleet.start, number, 0.0, False)
            await trio.sleep(0.01)
            host = fleet.hosts[f"h{number}"]
            await host.start_copies.finished.wait()
            assert host.in_force == 2
        # The store still holds the older one, and a host that heard of the lost one
        # last is asked as well as any other.
        entry = fleet.table.get("config", "main")
        assert entry is not None and entry.spec == {"version": 1}
        fleet.configure(3)
        assert await fleet.until_in_force(3) < PROPAGATION_DEADLINE_S
        followers = [host.followers[0] for host in fleet.hosts.values()]
        assert not any(follower.unrestored for follower in followers)

    run_restored(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_hosts_write_again_what_the_store_has_lost_of_their_records(seed: int) -> None:
    """Nobody takes a host for dead, or for its previous start, after a restore."""

    async def scenario(fleet: Restored, nursery: trio.Nursery) -> None:
        saved = fleet.table.save()
        nursery.start_soon(fleet.start, HOSTS, 0.0, False)
        await trio.sleep(PROPAGATION_DEADLINE_S)
        changed = fleet.hosts["h3"].registration
        await changed.announce_leaving()
        await trio.sleep(1.0)
        fleet.table.come_back_from(saved)
        seen = set()
        with trio.move_on_after(2 * REWRITE_GRACE_S):
            while True:
                await trio.sleep(0.02)
                seen |= {host.directory.count for host in fleet.hosts.values()}
        assert seen == {len(fleet.hosts)}
        records = fleet.table.items("hosts")
        assert len(records) == len(fleet.hosts) and records["h3"].spec["leaving"]

    run_restored(scenario, seed)


def first_reader(fleet: Restored) -> int:
    """Return the number of a host that would list for its region, and starts."""
    for number in itertools.count(HOSTS):
        region = [name for name in fleet.hosts if _in_first_region(name)]
        joining = f"h{number}"
        if _in_first_region(joining):
            if ranked("reader", [joining, *region])[0] == joining:
                return number
    raise AssertionError


def _in_first_region(name: str) -> bool:
    return int(name[1:]) % len(ZONES) < len(ZONES) // 2


@pytest.mark.parametrize("seed", range(4))
def test_a_host_that_lists_by_itself_asks_what_the_store_has_lost(seed: int) -> None:
    """It starts on the older copy, and is told nothing unless it asks."""

    async def scenario(fleet: Restored, nursery: trio.Nursery) -> None:
        saved = fleet.table.save()
        fleet.configure(2)
        await fleet.until_in_force(2)
        fleet.table.come_back_from(saved)
        await trio.sleep(PROPAGATION_DEADLINE_S)
        number = first_reader(fleet)
        nursery.start_soon(fleet.start, number, 0.0, False)
        await trio.sleep(0.01)
        host = fleet.hosts[f"h{number}"]
        await host.start_copies.finished.wait()
        assert host.in_force == 2

    run_restored(scenario, seed)


def test_a_large_configuration_is_fetched_anew_in_a_new_era() -> None:
    """Its steps and pieces are of one era, and hosts that start get the lost one."""
    fleet = ConfigFleet(ROUTES)
    fleet.shares_start = False

    def write(version: int) -> None:
        def edit(spec: dict[str, Any]) -> None:
            spec["version"] = version
            spec["routes"][version]["timeout_ms"] = version

        fleet.change(edit)

    def in_force() -> set[int]:
        return {host.in_force for host in fleet.hosts.values()}

    async def main() -> None:
        saved = fleet.table.save()
        for version in (101, 102, 103):
            write(version)
            await trio.sleep(PROPAGATION_DEADLINE_S)
        assert in_force() == {103}
        fleet.table.come_back_from(saved)
        await trio.sleep(PROPAGATION_DEADLINE_S)
        assert in_force() == {103}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.start, HOSTS, 0.0, False)
            await trio.sleep(PROPAGATION_DEADLINE_S)
            assert in_force() == {103}
            write(103)
            write(104)
            await trio.sleep(PROPAGATION_DEADLINE_S)
            assert in_force() == {104}
            write(105)
            await trio.sleep(PROPAGATION_DEADLINE_S)
            assert in_force() == {105}
            nursery.cancel_scope.cancel()

    run_with(fleet, HOSTS, main)


def test_a_watch_that_cannot_go_on_is_not_repeated_without_a_pause() -> None:
    """A store that answers each watch with 410 gets no call after the other."""
    calls: list[str] = []

    async def main() -> None:
        table = ObjectTable()
        table.create("things", "a", {})
        store = local_store(table)

        async def watch(
            kind: str, version: Revision
        ) -> AsyncIterator[Result[Event, StoreFailure]]:
            calls.append("watch")
            await trio.sleep(ANSWER_S)
            yield Err(StoreFailure(Trouble.GONE, str(version)))

        follower = Follower("things", lambda stored, name: None)
        with trio.move_on_after(20.0):
            await follow(store._replace(watch=watch), follower, random.Random(1))
        assert follower.listed.is_set()
        assert len(calls) + table.calls["list"] < MOST_CALLS_PER_S * 20.0

    run_jumping(main)


def thing(number: int, era: int, **spec: Any) -> Stored:
    """Return an object of one kind."""
    return Stored("things", spec.pop("name", "a"), Revision(number, era), spec)


def list_of(number: int, era: int, *items: Stored) -> Listing:
    """Return a list as the store answers it."""
    return Listing(Revision(number, era), list(items))


def written(item: Stored) -> Event:
    """Return the report of a change."""
    return Event(EventType.CHANGED, item)


class Seen:
    """What a follower reports, by name."""

    def __init__(self, is_newer: Callable[..., bool | None] | None = None) -> None:
        options = {} if is_newer is None else {"is_newer": is_newer}
        self.follower = Follower("things", self._note, **options)
        self.reports: list[tuple[str, Any]] = []

    def _note(self, item: Stored | None, name: str) -> None:
        self.reports.append((name, item.spec if item is not None else None))

    def take(self) -> list[tuple[str, Any]]:
        """Return the reports since the last call."""
        reports, self.reports = self.reports, []
        return reports


def test_what_a_restore_changes_is_reported_once_it_may_not_be_written_again() -> None:
    """A server that leaves must not look ready, nor a zone be in use, for a moment."""

    async def main() -> None:
        seen = Seen()
        follower = seen.follower
        follower.take_list(
            list_of(9, 1, thing(7, 1, state=2), thing(8, 1, name="b", state=1))
        )
        seen.take()
        async with trio.open_nursery() as nursery:
            store = local_store(ObjectTable())
            nursery.start_soon(follow, store, follower, random.Random(1), lambda: False)
            await trio.sleep(0.01)
            follower.take_list(list_of(4, 2, thing(3, 2, state=1)))
            assert seen.take() == [] and follower.items["a"].spec == {"state": 1}
            await trio.sleep(REWRITE_GRACE_S / 2)
            follower.take_event(written(thing(5, 2, state=2)))
            assert seen.take() == [("a", {"state": 2})]
            await trio.sleep(REWRITE_GRACE_S)
            assert seen.take() == [("b", None)]
            nursery.cancel_scope.cancel()

    run_jumping(main)


@pytest.mark.parametrize(
    ("before", "after", "is_newer"),
    [
        ({"born": 5}, {"born": 6}, True),
        ({"born": 6}, {"born": 5}, None),
        ({"state": "ready"}, {"state": "draining"}, True),
        ({"state": "draining"}, {"state": "ready"}, None),
        ({"state": "draining", "born": 5}, {"state": "ready", "born": 6}, True),
        ({"state": "ready", "born": 6}, {"state": "draining", "born": 5}, None),
        ({"db_role": "primary"}, {"db_role": "replica"}, None),
        ({}, {"slots": "many"}, None),
    ],
)
def test_descriptions_are_ordered_by_what_can_have_happened(
    before: dict[str, Any], after: dict[str, Any], is_newer: bool | None
) -> None:
    """A server that leaves must not look ready in a copy from before its leave."""
    known, listed = (
        Stored("servers", "i-0", Revision(1, era), {**SERVER, **changes})
        for era, changes in enumerate((before, after))
    )
    assert order_descriptions(read_server)(known, listed) is is_newer


def test_configurations_are_ordered_by_their_versions() -> None:
    """One that can't be read says nothing of its time."""

    def order(before: dict[str, Any], after: dict[str, Any]) -> bool | None:
        known, listed = (
            Stored("config", "main", Revision(1, era), spec)
            for era, spec in enumerate((before, after))
        )
        return order_configurations(read_routes)(known, listed)

    five, six = configuration(5), configuration(6)
    assert order(five, six) is True and order(five, five) is True
    assert order(six, five) is False
    assert order(six, {}) is None and order({}, six) is None


def test_a_lost_object_is_kept_until_it_is_written_again() -> None:
    """Older content is not reported, whatever revision the store gives it."""
    seen = Seen(lambda known, listed: listed.spec["n"] >= known.spec["n"])
    follower = seen.follower
    follower.take_list(list_of(9, 1, thing(9, 1, n=5)))
    follower.take_list(list_of(4, 2, thing(3, 2, n=1)))
    follower.take_event(written(thing(12, 2, n=4)))
    assert seen.take() == [("a", {"n": 5})]
    assert follower.unrestored["a"].spec == {"n": 5}
    follower.take_event(written(thing(13, 2, n=6)))
    assert seen.take() == [("a", {"n": 6})] and not follower.unrestored
    starting = Seen(lambda known, listed: listed.spec["n"] >= known.spec["n"])
    starting.follower.take_list(list_of(14, 2, thing(3, 2, n=1)))
    assert starting.follower.offer_unrestored([thing(9, 1, n=5)])
    assert not starting.follower.offer_unrestored([thing(9, 1, n=5)])
    assert not starting.follower.offer_unrestored([thing(99, 2, n=9)])
    assert starting.take() == [("a", {"n": 1}), ("a", {"n": 5})]


def test_changes_of_an_earlier_era_are_not_known_by_revisions_of_the_next() -> None:
    """Steps and names that went in one era mean nothing in another."""
    seen = Seen()
    follower = seen.follower
    follower.take_list(list_of(9, 1, thing(7, 1, n=1), thing(8, 1, name="b", n=1)))
    follower.take_event(Event(EventType.DELETED, thing(10, 1, name="b")))
    follower.take_list(list_of(10, 2, thing(7, 2, n=2)))
    assert follower.changes_since(Revision(9, 1)) is None
    changes = follower.changes_since(Revision(10, 2))
    assert changes is not None and not changes.items and not changes.gone
    follower.take_event(written(thing(99, 1, n=3)))
    assert follower.must_list and follower.items["a"].spec == {"n": 2}


def test_revisions_are_ordered_by_era_and_travel_with_it() -> None:
    """A message of era 0 is as before; one of a later era has both parts."""
    assert Revision(9, 1) < Revision(1, 2) and Revision(1, 2) > Revision(9, 1)
    assert Revision(1, 2) <= Revision(1, 2) >= Revision(1, 2) != Revision(1, 3)
    for revision in (NO_REVISION, Revision(7), Revision(7, 3)):
        news = CopyNews(())
        state = CopyState("config", revision, 5)
        assert decode(encode(1, news)) == (1, news)
        question = encode(1, CopyQuestion((state,)))
        assert decode(question)[1].states == (state,)


class Answers:
    """An HTTP client that gives prepared answers; ``calls`` are those it got."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.answer = HttpAnswer(200, b"")
        self.wait_s = 0.0

    def give(self, era: str | None, body: Any, status: int = 200) -> None:
        """Prepare the next answers."""
        headers = {} if era is None else {"store-era": era}
        self.answer = HttpAnswer(status, msgspec.json.encode(body), headers)

    async def call(self, method: str, path: str, *rest: Any) -> Result[HttpAnswer, str]:
        """Answer a call."""
        self.calls.append((method, path))
        if "watch=" in path:
            await trio.sleep(self.wait_s)
        return Ok(self.answer)


def one(revision: int) -> dict[str, Any]:
    """Return an object as the store encodes it."""
    return {"meta": {"name": "a", "revision": revision}, "spec": {}}


def test_a_condition_holds_in_its_own_era_only() -> None:
    """The same number may be another change of the object after a restore."""
    answers, changes = Answers(), []
    store = object_store(answers, on_era_change=lambda: changes.append(1))  # type: ignore[arg-type]

    async def main() -> None:
        answers.give("3", one(7))
        read = (await store.get("things", "a")).unwrap()
        assert read.version == Revision(7, 3) and store.era() == 3
        # Met by chance in an era that began after the call was sent.
        answers.give("4", one(8))
        put = await store.put("things", "a", {}, read.version)
        assert put.unwrap_err().trouble is Trouble.CONFLICT and store.era() == 4
        calls = len(answers.calls)
        for failed in (
            await store.put("things", "a", {}, read.version),
            await store.delete("things", "a", read.version),
        ):
            assert failed.unwrap_err().trouble is Trouble.CONFLICT
        async for event in store.watch("things", read.version):
            assert event.unwrap_err().trouble is Trouble.GONE
        assert len(answers.calls) == calls
        created = await store.put("things", "b", {}, NO_REVISION)
        assert created.unwrap().version == Revision(8, 4)

    trio.run(main)
    assert changes == [1]


@pytest.mark.parametrize("era", ["2", "", "x", "-1", "4.0", "9" * 400])
def test_an_era_that_goes_back_or_cannot_be_read_makes_an_answer_unusable(
    era: str,
) -> None:
    """It may be a late answer; what it was about may have been done."""
    answers = Answers()
    store = object_store(answers)  # type: ignore[arg-type]

    async def main() -> None:
        answers.give("3", one(7))
        known = (await store.get("things", "a")).unwrap()
        answers.give(era, one(9))
        for failed in (
            await store.get("things", "a"),
            await store.put("things", "a", {}, known.version),
            await store.list("things"),
        ):
            assert failed.unwrap_err().trouble is Trouble.UNREACHABLE
        assert store.era() == 3
        answers.give(None, one(9))
        assert (await store.get("things", "a")).unwrap().version == Revision(9, 3)

    trio.run(main)


def test_a_list_whose_pages_are_of_two_eras_is_none() -> None:
    """Half of it is lost, and the other half has revisions of another time."""
    answers = Answers()
    store = object_store(answers)  # type: ignore[arg-type]

    async def next_page(method: str, path: str, *rest: Any) -> Result[HttpAnswer, str]:
        answered = await Answers.call(answers, method, path, *rest)
        answers.give("4", {"items": [one(2)], "more": False, "at": 3})
        return answered

    answers.call = next_page  # type: ignore[method-assign]

    async def main() -> None:
        answers.give("3", {"items": [one(7)], "more": True, "at": 9})
        failed = await store.list("things")
        assert failed.unwrap_err().trouble is Trouble.UNREACHABLE
        assert (await store.list("things")).unwrap().version == Revision(3, 4)

    trio.run(main)


def test_a_silent_watch_ends_when_another_call_hears_of_a_new_era() -> None:
    """Nothing of the new era reaches a watch that the store has forgotten."""
    answers = Answers()
    store = object_store(answers)  # type: ignore[arg-type]

    async def main() -> None:
        answers.give("3", one(7))
        known = (await store.get("things", "a")).unwrap()
        answers.wait_s = 15.0
        failures: list[StoreFailure] = []

        async def watch() -> None:
            async for event in store.watch("things", known.version):
                failures.append(event.unwrap_err())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(1.0)
            answers.give("4", one(2))
            await store.get("things", "a")
        assert [failure.trouble for failure in failures] == [Trouble.GONE]
        assert trio.current_time() < 15.0

    run_jumping(main)
