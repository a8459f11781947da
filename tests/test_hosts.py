"""Hosts that join, leave or die, and the assignment of watchers."""

from typing import Any

import trio
from result import Err, Ok, Result

from rattanhollow.membership import (
    HOST_KIND,
    HostDirectory,
    HostRecord,
    NeighbourWatch,
)
from rattanhollow.peer import AskFailure, HostAnswer, Message, PeerAddress
from rattanhollow.pgwire import ConnectionLost
from rattanhollow.proxy._watch_all import watchers_of
from rattanhollow.records import to_spec
from rattanhollow.settings import MembershipSettings
from rattanhollow.store import Listing, Revision, Stored
from rattanhollow_standins.client import connect
from rattanhollow_standins.fleet import Fleet
from rattanhollow_standins.store import ObjectTable, local_store

SHORT_INTERVALS = {
    "membership": {
        "ask_interval_ms": "100",
        "ask_timeout_ms": "200",
        "silent_after_ms": "600",
    },
    "shutdown": {"announce_ms": "200", "drain_ms": "5000"},
}


def hosts(count: int) -> list[HostRecord]:
    """Return hosts in three zones."""
    return [
        HostRecord(f"h{n}", f"10.0.0.{n}", f"z{n % 3}", 1, "k", "i")
        for n in range(count)
    ]


def test_watchers_are_distributed_over_zones_and_hosts() -> None:
    """Watchers are in all three zones, and hosts watch similar numbers of databases."""
    fleet = hosts(9)
    load = dict.fromkeys((host.name for host in fleet), 0)
    for number in range(90):
        chosen = watchers_of(f"database-{number}", fleet, 5)
        assert len({host.zone for host in chosen[:3]}) == 3
        assert chosen == watchers_of(f"database-{number}", fleet[::-1], 5)
        for host in chosen:
            load[host.name] += 1
    assert max(load.values()) <= 2 * min(load.values())


async def wait_for_host_count(fleet: Fleet, count: int) -> None:
    """Wait until the store and every proxy know ``count`` hosts."""
    with trio.fail_after(20):
        while True:
            known = {len(proxy.hosts.all()) for proxy in fleet.proxies.values()}
            if known == {count} == {len(fleet.table.items(HOST_KIND))}:
                return
            await trio.sleep(0.05)


def test_the_record_of_a_dead_host_is_deleted(with_fleet: Any) -> None:
    """Neighbours delete the record of a dead host, and of no other."""

    async def scenario(fleet: Fleet) -> None:
        await wait_for_host_count(fleet, 4)
        fleet.kill_proxy(1)
        await wait_for_host_count(fleet, 3)
        await trio.sleep(1.5)
        assert len(fleet.table.items(HOST_KIND)) == 3
        await fleet.start_proxy(1)
        await wait_for_host_count(fleet, 4)

    with_fleet(scenario, proxies=4, overrides=SHORT_INTERVALS)


def test_the_record_of_a_later_start_is_not_deleted() -> None:
    """A host that was found silent starts again while another one is asked about it."""
    table = ObjectTable()
    directory = HostDirectory(lambda: None)
    own, silent, other = hosts(3)

    def take(record: HostRecord) -> None:
        known = table.get(HOST_KIND, record.name)
        if known is not None:
            table.delete(HOST_KIND, record.name, known.version)
        entry = table.create(HOST_KIND, record.name, to_spec(record))
        assert entry is not None
        directory.follower.offer(
            Stored(HOST_KIND, record.name, Revision(entry.version), dict(entry.spec))
        )

    class RestartingPeers:
        """Links over which ``silent`` never answers, and restarts when asked about."""

        async def ask(
            self, peer: PeerAddress, question: Message, timeout_ms: int
        ) -> Result[Message, AskFailure]:
            if peer.name == silent.name:
                return Err(AskFailure("silent", sent=True))
            if peer.name == other.name and question.host == silent.name:  # type: ignore[union-attr]
                take(silent._replace(incarnation="i2"))
            return Ok(HostAnswer(silent=True))

    async def main() -> None:
        directory.follower.take_list(Listing(Revision(0), []))
        for record in (own, silent, other):
            take(record)
        settings = MembershipSettings(
            ask_interval_ms=10, ask_timeout_ms=10, silent_after_ms=0
        )
        peers: Any = RestartingPeers()
        watch = NeighbourWatch(
            lambda: own, directory, peers, local_store(table), settings
        )
        await watch._query(silent)
        record = table.get(HOST_KIND, silent.name)
        assert record is not None and record.spec["incarnation"] == "i2"

    trio.run(main)


def test_a_deleted_record_of_a_running_host_is_restored(with_fleet: Any) -> None:
    """A host whose record was deleted by mistake writes it again."""

    async def scenario(fleet: Fleet) -> None:
        await wait_for_host_count(fleet, 3)
        entry = fleet.table.get(HOST_KIND, "proxy-1")
        assert entry is not None
        fleet.table.delete(HOST_KIND, "proxy-1", entry.version)
        await trio.sleep(0.3)
        await wait_for_host_count(fleet, 3)

    with_fleet(scenario, overrides=SHORT_INTERVALS)


def test_replacing_every_host_fails_no_request(with_fleet: Any) -> None:
    """Every host is drained and restarted under load, and no request fails."""

    async def scenario(fleet: Fleet) -> None:
        await (await connect(fleet.place(0))).run("CREATE TABLE slots (number int)")
        all_replaced = trio.Event()
        failed: list[str] = []
        completed = 0

        async def caller(number: int) -> None:
            nonlocal completed
            at = number % 3
            while not all_replaced.is_set():
                if (
                    at not in fleet.proxies
                    or fleet.proxies[at].registration.record.leaving
                ):
                    at = (at + 1) % 3
                    await trio.sleep(0.01)
                    continue
                client = await connect(fleet.place(at))
                for turn in range(10):
                    sql = f"INSERT INTO slots VALUES ({number * 1000 + turn})"
                    result = await client.run(sql)
                    if result.error is not None:
                        failed.append(result.error.message)
                    completed += 1
                await client.close()

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(caller, number)
            for number in range(3):
                await trio.sleep(0.3)
                await fleet.proxies[number].drain()
                while number in fleet.proxies:
                    await trio.sleep(0.02)
                await fleet.start_proxy(number)
            all_replaced.set()
        assert failed == []
        assert completed > 100

    with_fleet(scenario, overrides=SHORT_INTERVALS)


def test_a_draining_proxy_answers_callers_that_never_rest(with_fleet: Any) -> None:
    """They were cut within a request at the end of the time (found by review/4)."""

    async def scenario(fleet: Fleet) -> None:
        await (await connect(fleet.place(0))).run("CREATE TABLE slots (number int)")
        for member in fleet.group.members.values():
            member.faults.answer_delay_s = 0.1
        answered = 0
        ends: list[str] = []

        async def ask_again_and_again(begin: bool) -> None:
            nonlocal answered
            client = await connect(fleet.place(0))
            try:
                if begin:
                    await client.run("BEGIN")
                while True:
                    answered += (await client.run("SELECT 1")).error is None
            except ConnectionLost as error:
                ends.append(str(error))

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask_again_and_again, number % 2 == 0)
            await trio.sleep(0.5)
            await fleet.proxies[0].drain()
        assert answered
        assert len(ends) == 8 and all("leaving" in end for end in ends)

    shutdown = {"announce_ms": "100", "drain_ms": "1500"}
    with_fleet(scenario, overrides={**SHORT_INTERVALS, "shutdown": shutdown})
