"""The store's adapter, conditional updates and the followed copy."""

import random
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from conftest import run_trio
from jumping import run_jumping
from rattanhollow.store import (
    NO_REVISION,
    Follower,
    Listing,
    Revision,
    Stored,
    Trouble,
    follow,
    http_store,
    update,
)
from rattanhollow.store._follow import RETRY_LOW_S
from rattanhollow_standins.store import ObjectTable, local_store, serve_store

ADDRESS = "127.81.0.1"
PORT = 7_070
TIMEOUT_MS = 300


def count_up(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
    """Add one to a counter."""
    return Ok({"count": (spec or {"count": 0})["count"] + 1})


def test_http_store_follows_the_conventions() -> None:
    """Create, replace at a version, conflict, delete and list over HTTP."""

    async def main() -> None:
        table = ObjectTable()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_store, table, ADDRESS, PORT)
            store = http_store(f"http://{ADDRESS}:{PORT}", TIMEOUT_MS)
            missing = await store.get("things", "a")
            assert missing.unwrap_err().trouble is Trouble.NOT_FOUND
            created = (await store.put("things", "a", {"x": 1}, NO_REVISION)).unwrap()
            again = await store.put("things", "a", {"x": 1}, NO_REVISION)
            assert again.unwrap_err().trouble is Trouble.CONFLICT
            newer = (await store.put("things", "a", {"x": 2}, created.version)).unwrap()
            stale = await store.put("things", "a", {"x": 3}, created.version)
            assert stale.unwrap_err().trouble is Trouble.CONFLICT
            assert (await store.get("things", "a")).unwrap().spec == {"x": 2}
            listing = (await store.list("things")).unwrap()
            assert [item.name for item in listing.items] == ["a"]
            assert (await store.delete("things", "a", newer.version)).is_ok()
            table.faults.down = True
            silent = await store.get("things", "a")
            assert silent.unwrap_err().trouble is Trouble.UNREACHABLE
            nursery.cancel_scope.cancel()

    run_trio(main)


def test_racing_updates_are_all_counted() -> None:
    """Many who change one object at once lose no change."""

    async def main() -> None:
        table = ObjectTable()
        store = local_store(table)
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(update, store, "things", "a", count_up, 50)
        entry = table.get("things", "a")
        assert entry is not None
        assert entry.spec == {"count": 5}

    run_trio(main)


def test_a_refused_change_is_handed_on() -> None:
    """What the change itself refuses is not tried again."""

    async def main() -> None:
        store = local_store(ObjectTable())
        refused = await update(store, "things", "a", lambda spec: Err("no"))
        assert refused == Err("no")

    run_trio(main)


def stored(version: int, count: int) -> Stored:
    """Return one version of an object."""
    return Stored("things", "a", Revision(version), {"count": count})


def test_a_followed_copy_never_goes_back() -> None:
    """A stale list, or a stale read, changes nothing."""
    seen: list[int] = []

    def note(item: Stored | None, name: str) -> None:
        seen.append(item.version.number if item else 0)

    follower = Follower("things", note)
    follower.take_list(Listing(Revision(5), [stored(5, 1)]))
    follower.take_list(Listing(Revision(3), [stored(3, 0)]))
    follower.offer(stored(4, 0))
    follower.take_list(Listing(Revision(9), [stored(8, 2)]))
    assert seen == [5, 8]
    follower.take_list(Listing(Revision(10), []))
    assert seen == [5, 8, 0]


def follow_through(fault: Any) -> None:
    """Follow an object over HTTP through a fault; the last version arrives."""

    async def main() -> None:
        table = ObjectTable()
        versions: list[int] = []

        def note(item: Stored | None, name: str) -> None:
            versions.append(item.spec["count"] if item else -1)

        async with trio.open_nursery() as nursery:
            await nursery.start(serve_store, table, ADDRESS, PORT)
            store = http_store(f"http://{ADDRESS}:{PORT}", TIMEOUT_MS)
            follower = Follower("things", note)
            nursery.start_soon(follow, store, follower, random.Random(1))
            entry = table.create("things", "a", {"count": 0})
            assert entry is not None
            await follower.listed.wait()
            for count in range(1, 6):
                await fault(table, count)
                entry = table.replace("things", "a", {"count": count}, entry.version)
                assert entry is not None
            table.faults.down = table.faults.silent_watch = False
            with trio.fail_after(20):
                while versions[-1:] != [5]:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert versions == sorted(versions)

    run_trio(main)


def test_follow_through_a_watch_gap() -> None:
    """A watch whose history was forgotten starts again from a list."""

    async def gap(table: ObjectTable, count: int) -> None:
        await trio.sleep(0.05)
        if count == 3:
            table.forget_history()

    follow_through(gap)


def test_follow_through_a_silent_watch() -> None:
    """A watch that says nothing is given up and made again."""

    async def silence(table: ObjectTable, count: int) -> None:
        await trio.sleep(0.05)
        table.faults.silent_watch = count in (2, 3, 4)

    follow_through(silence)


@pytest.mark.parametrize("seed", range(10))
def test_a_start_in_an_outage_ends_soon_behind_it(seed: int) -> None:
    """A call that got no answer in its time has waited: the next comes at once."""
    answered_in_s = 0.7

    async def main() -> None:
        table = ObjectTable()
        table.faults.down = True
        follower = Follower("things", lambda stored, name: None)
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            store = local_store(table, answered_in_s)
            nursery.start_soon(follow, store, follower, rng)
            await trio.sleep(rng.uniform(3, 6))
            table.faults.down = False
            with trio.fail_after(answered_in_s + RETRY_LOW_S):
                await follower.listed.wait()
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


def test_follow_through_a_restore() -> None:
    """A store that comes back from an older copy is followed on by its era."""

    async def main() -> None:
        table = ObjectTable()
        seen: list[int] = []
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_store, table, ADDRESS, PORT)
            store = http_store(f"http://{ADDRESS}:{PORT}", TIMEOUT_MS)
            follower = Follower(
                "things",
                lambda item, name: seen.append(item.spec["count"] if item else -1),
                is_newer=lambda known, item: item.spec["count"] >= known.spec["count"],
            )
            nursery.start_soon(follow, store, follower, random.Random(1))
            entry = table.create("things", "a", {"count": 0})
            saved = table.save()
            for count in (1, 2):
                assert entry is not None
                entry = table.replace("things", "a", {"count": count}, entry.version)
            with trio.fail_after(20):
                while seen[-1:] != [2]:
                    await trio.sleep(0.02)
            known = (await store.get("things", "a")).unwrap()
            table.come_back_from(saved)
            with trio.fail_after(20):
                while not follower.unrestored:
                    await trio.sleep(0.02)
            outdated = await store.put("things", "a", {"count": 9}, known.version)
            assert outdated.unwrap_err().trouble is Trouble.CONFLICT
            assert table.replace("things", "a", {"count": 3}, saved.version) is not None
            with trio.fail_after(20):
                while seen[-1:] != [3]:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert seen == sorted(seen) and store.era() == 1

    run_trio(main)


def test_follow_through_an_outage() -> None:
    """A store that was down is followed on once it is back."""

    async def outage(table: ObjectTable, count: int) -> None:
        await trio.sleep(0.3)
        table.faults.down = count in (2, 3)

    follow_through(outage)
