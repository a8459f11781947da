"""Hosts of a fleet that learn what the store holds, without a network.

They tell one another directly; the store is in memory, and time jumps.
"""

import random
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

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
from rattanhollow.peer import (
    AskFailure,
    ChangeNews,
    CopyNews,
    CopyQuestion,
    Message,
    PeerAddress,
)
from rattanhollow.peer._messages import encode
from rattanhollow.store import (
    Event,
    EventType,
    Follower,
    ObjectStore,
    Stored,
    StoreFailure,
    follow,
)
from rattanhollow_standins.store import ObjectTable, local_store

ZONES = [f"{region}-{half}" for region in ("lothian", "tayside") for half in "abc"]
IN_FORCE_S = 8.0
STARTED_S = 8.0
# A list that may lag costs a tenth of a call.
LAGGING_COST = 0.1
WAY_S = 0.005
WATCH_WAIT_S = 15.0


class MemoryFleet:
    """The hosts by name, the store, and what the hosts send one another.

    ``deaf`` hosts get no news, as where a link has just been cut.
    """

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.table = ObjectTable()
        self.hosts: dict[str, MemoryHost] = {}
        self.sent_bytes = 0
        self.deaf: set[str] = set()
        self.table.create("config", "main", {"version": 1})
        self.table.create("servers", "i-1", {})

    async def start(self, number: int, at_s: float, first_start: bool = True) -> None:
        """Run a host, from ``at_s`` on."""
        await trio.sleep(at_s)
        host = MemoryHost(f"h{number}", self, self.seed)
        self.hosts[host.record.name] = host
        await host.run(first_start)

    def is_dark(self, peer: PeerAddress) -> bool:
        """Whether a host is known not to answer."""
        return False

    async def tell(self, peer: PeerAddress, news: Message) -> None:
        """Bring news to a host."""
        self.sent_bytes += len(encode(1, news))
        await trio.sleep(WAY_S)
        if peer.name in self.deaf or peer.name not in self.hosts:
            return
        gossip = self.hosts[peer.name].gossip
        if isinstance(news, ChangeNews):
            gossip.receive_changes(news)
        else:
            assert isinstance(news, CopyNews)
            gossip.receive_copies(news)

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Bring a question to a host, and its answer back."""
        self.sent_bytes += len(encode(1, question))
        await trio.sleep(WAY_S)
        host = self.hosts.get(peer.name)
        if host is None:
            return Err(AskFailure("not started", sent=False))
        assert isinstance(question, CopyQuestion)
        answer = host.gossip.comparison_response(question)
        self.sent_bytes += len(encode(1, answer))
        return Ok(answer)


class MemoryHost:
    """What a host does with the store."""

    def __init__(self, name: str, fleet: MemoryFleet, seed: int) -> None:
        self.store = _ending_watches(fleet.table)
        self.rng = random.Random(f"{seed} {name}")
        zone = ZONES[int(name[1:]) % len(ZONES)]
        record = HostRecord(name, "10.0.0.1", zone, 1, "", f"{name}-{seed}")
        self.registration = Registration(self.store, record, self.rng, reports=False)
        self.directory = HostDirectory(lambda: None)
        self.followers = [
            Follower(kind, lambda stored, name: None) for kind in ("config", "servers")
        ]
        links: Any = fleet
        followed = [*self.followers, self.directory.follower]
        self.gossip = Gossip(
            followed, lambda: record, self.directory, links, self.rng, IN_FORCE_S
        )
        self.record = record

    async def run(self, first_start: bool) -> None:
        """Do it until cancelled."""
        polls = PollParts(
            store=self.store,
            configurations=self.followers[0],
            servers=self.followers[1],
            own=lambda: self.record,
            hosts=self.directory,
            rng=self.rng,
            in_force_s=lambda: IN_FORCE_S,
            spread=self.gossip.notify_all_zones,
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
        await follow(
            self.store, follower, self.rng, gossip.is_relay, gossip.notify_zone
        )


def _ending_watches(table: ObjectTable) -> ObjectStore:
    """Return a store whose watches end with the first changes, as the platform's."""

    async def watch(
        kind: str, version: int
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        table.count("watch")
        with trio.move_on_after(WATCH_WAIT_S):
            while not table.since(kind, version):
                await table.wait_for_change()
        for change in table.since(kind, version) or []:
            deleted = change.type == "DELETED"
            event = EventType.DELETED if deleted else EventType.CHANGED
            yield Ok(
                Event(event, Stored(kind, change.name, change.version, change.spec))
            )
        mark = Stored(kind, "", table.version, {})
        yield Ok(Event(EventType.BOOKMARK, mark))

    return local_store(table)._replace(watch=watch)


def cost_of(calls: Counter[str]) -> float:
    """Return what calls to the store cost, in calls of full price."""
    lagging = calls["list lagging"]
    return calls.total() - lagging + LAGGING_COST * lagging


def run_fleet(
    count: int, seed: int, idle_s: float, first_start: bool = True
) -> tuple[MemoryFleet, list[float]]:
    """Start hosts, and return them with what start and idle time cost."""
    fleet = MemoryFleet(seed)
    costs: list[float] = []

    async def main() -> None:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                at_s = rng.uniform(0.2, 1.1)
                nursery.start_soon(fleet.start, number, at_s, first_start)
            for wait_s in (STARTED_S, idle_s):
                fleet.table.calls.clear()
                await trio.sleep(wait_s)
                costs.append(cost_of(fleet.table.calls))
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return fleet, costs
