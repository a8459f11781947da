"""Hundreds of hosts that start at once, and then have nothing to do.

Each call to the platform's store has its price: over the whole fleet they should
grow with availability zones and changes, not with hosts. No network: hosts tell one
another directly, and the store is in memory; time that jumps.
"""

import random
from collections import Counter
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from jumping import run_jumping
from rattanhollow.host._begin import wait_for_relays
from rattanhollow.host._polls import PollParts, poll_store
from rattanhollow.membership import (
    Gossip,
    HostDirectory,
    HostRecord,
    Registration,
)
from rattanhollow.peer import AskFailure, CopyNews, CopyQuestion, Message, PeerAddress
from rattanhollow.store import Follower, follow
from rattanhollow_standins.store import ObjectTable, local_store

ZONES = [f"{region}-{half}" for region in ("lothian", "tayside") for half in "abc"]
IN_FORCE_S = 8.0
STARTED_S = 8.0
# A list that may lag costs a tenth of a call.
LAGGING_COST = 0.1


class _Links:
    """Other hosts, reached at once."""

    def __init__(self, hosts: dict[str, "_Host"]) -> None:
        self._hosts = hosts

    def is_dark(self, peer: PeerAddress) -> bool:
        return False

    async def tell(self, peer: PeerAddress, news: Message) -> None:
        await trio.sleep(0.005)
        assert isinstance(news, CopyNews)
        self._hosts[peer.name].gossip.take(news)

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        await trio.sleep(0.005)
        host = self._hosts.get(peer.name)
        if host is None:
            return Err(AskFailure("not started", sent=False))
        assert isinstance(question, CopyQuestion)
        return Ok(host.gossip.answer(question))


class _Host:
    """What a host does with the store."""

    def __init__(
        self, name: str, table: ObjectTable, hosts: dict[str, "_Host"], seed: int
    ) -> None:
        self.store = local_store(table)
        self.rng = random.Random(f"{seed} {name}")
        zone = ZONES[int(name[1:]) % len(ZONES)]
        record = HostRecord(name, "10.0.0.1", zone, 1, "", f"{name}-{seed}")
        self.registration = Registration(self.store, record, self.rng, reports=False)
        self.directory = HostDirectory(lambda: None)
        self.followers = [
            Follower(kind, lambda stored, name: None) for kind in ("config", "servers")
        ]
        links: Any = _Links(hosts)
        followed = [*self.followers, self.directory.follower]
        self.gossip = Gossip(
            followed, lambda: record, self.directory, links, self.rng, IN_FORCE_S
        )
        self.record = record

    async def run(self, first_start: bool) -> None:
        polls = PollParts(
            store=self.store,
            configurations=self.followers[0],
            servers=self.followers[1],
            own=lambda: self.record,
            hosts=self.directory,
            rng=self.rng,
            in_force_s=lambda: IN_FORCE_S,
            spread=self.gossip.spread,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.registration.run)
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(poll_store, polls)
            for follower in (*self.followers, self.directory.follower):
                nursery.start_soon(self._follow, follower, first_start)

    async def _follow(self, follower: Follower, first_start: bool) -> None:
        gossip = self.gossip
        if first_start:
            hosts = self.directory.follower
            await wait_for_relays(follower, hosts, gossip.is_relay)
        await follow(self.store, follower, self.rng, gossip.is_relay, gossip.pass_on)


def _cost(calls: Counter[str]) -> float:
    lagging = calls["list lagging"]
    return calls.total() - lagging + LAGGING_COST * lagging


def _run_fleet(
    count: int, seed: int, idle_s: float, first_start: bool = True
) -> tuple[dict[str, _Host], list[float]]:
    """Start hosts, and return them with what start and idle time cost."""
    table = ObjectTable()
    table.create("config", "main", {"version": 1})
    table.create("servers", "i-1", {})
    hosts: dict[str, _Host] = {}
    costs: list[float] = []

    async def main() -> None:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:

            async def start(number: int, at_s: float) -> None:
                await trio.sleep(at_s)
                name = f"h{number}"
                hosts[name] = _Host(name, table, hosts, seed)
                await hosts[name].run(first_start)

            for number in range(count):
                nursery.start_soon(start, number, rng.uniform(0.2, 1.1))
            for wait_s in (STARTED_S, idle_s):
                table.calls.clear()
                await trio.sleep(wait_s)
                costs.append(_cost(table.calls))
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return hosts, costs


@pytest.mark.parametrize("seed", range(3))
def test_a_host_of_a_new_fleet_costs_the_store_little_more_than_its_record(
    seed: int,
) -> None:
    """All hosts know everything; no more than half a call each beside creation."""
    hosts, (start, _) = _run_fleet(195, seed, idle_s=0.1)
    for host in hosts.values():
        assert all(f.listed.is_set() and f.items for f in host.followers)
        assert host.directory.count == len(hosts)
        assert host.registration.anew
    assert start <= 1.5 * len(hosts)


def test_an_idle_fleet_calls_as_often_whatever_its_size() -> None:
    """Three calls a zone within the time in which a change has to be in force."""
    for count in (18, 195):
        _, (_, idle) = _run_fleet(count, 0, idle_s=60.0)
        assert idle <= 3 * len(ZONES) * 60 / IN_FORCE_S


def test_a_host_that_joins_later_reads_the_configuration_itself() -> None:
    """A relay's copy may lack that a key was withdrawn."""
    hosts, _ = _run_fleet(12, 0, idle_s=0.1, first_start=False)
    for host in hosts.values():
        assert host.followers[0].heard_at_s > 0


def test_a_creation_without_an_answer_is_ones_own() -> None:
    """Nobody has counted an earlier start of a host that found only itself."""

    async def main() -> None:
        table = ObjectTable()
        table.faults.lose_answers = 1
        host = _Host("h0", table, {}, 0)
        with trio.move_on_after(5):
            await host.registration.run()
        assert host.registration.written.is_set() and host.registration.anew

    run_jumping(main)


def test_a_host_that_starts_again_knows_that_it_was_counted() -> None:
    """Its record of an earlier start is replaced."""

    async def main() -> None:
        table = ObjectTable()
        for seed in (1, 2):
            host = _Host("h0", table, {}, seed)
            with trio.move_on_after(5):
                await host.registration.run()
            assert host.registration.anew is (seed == 1)
        entry = table.get("hosts", "h0")
        assert entry is not None and entry.spec["incarnation"] == "h0-2"

    run_jumping(main)
