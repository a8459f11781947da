"""A fleet of hosts without a network, with a store in memory.

The hosts call one another directly, and time is simulated.
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
    DifferenceNews,
    DifferenceQuestion,
    Message,
    PeerAddress,
    PieceQuestion,
)
from rattanhollow.peer._messages import encode
from rattanhollow.store import (
    Event,
    EventType,
    Follower,
    ObjectStore,
    Stored,
    StoreFailure,
    Trouble,
    follow,
)
from rattanhollow_standins.store import ObjectTable, local_store

ZONES = [f"{region}-{half}" for region in ("lothian", "tayside") for half in "abc"]
PROPAGATION_DEADLINE_S = 8.0
START_DURATION_S = 8.0
# The cost of a list that may lag, in calls of full price.
LAGGING_LIST_COST = 0.1
LINK_DELAY_S = 0.005
WATCH_DURATION_S = 15.0


class MemoryFleet:
    """The hosts by name, the store, and the messages between the hosts.

    Hosts in ``unnotified`` receive no notifications, as if their connection had
    just been cut.
    """

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.table = ObjectTable()
        self.hosts: dict[str, MemoryHost] = {}
        self.sent_bytes = 0
        self.unnotified: set[str] = set()
        self.table.create("config", "main", {"version": 1})
        self.table.create("servers", "i-1", {})

    async def start(self, number: int, at_s: float, first_start: bool = True) -> None:
        """Run a host after a delay of ``at_s``."""
        await trio.sleep(at_s)
        host = MemoryHost(f"h{number}", self, self.seed)
        self.hosts[host.record.name] = host
        await host.run(first_start)

    def links(self, name: str) -> Any:
        """Return what the host ``name`` uses as its links."""
        return self

    def is_dark(self, peer: PeerAddress) -> bool:
        """Whether a host is known not to respond."""
        return False

    async def tell(self, peer: PeerAddress, notification: Message) -> None:
        """Deliver a notification to a host."""
        self.sent_bytes += len(encode(1, notification))
        await trio.sleep(LINK_DELAY_S)
        if peer.name in self.unnotified or peer.name not in self.hosts:
            return
        await self.hosts[peer.name].respond(notification)

    async def ask(
        self, peer: PeerAddress, request: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Deliver a request to a host, and return its response."""
        self.sent_bytes += len(encode(1, request))
        await trio.sleep(LINK_DELAY_S)
        host = self.hosts.get(peer.name)
        if host is None:
            return Err(AskFailure("not started", sent=False))
        response = await host.respond(request)
        assert response is not None
        self.sent_bytes += len(encode(1, response))
        return Ok(response)


class MemoryHost:
    """The parts of a host that use the store."""

    def __init__(self, name: str, fleet: MemoryFleet, seed: int) -> None:
        self.store = _store_with_ending_watches(fleet.table)
        self.rng = random.Random(f"{seed} {name}")
        zone = ZONES[int(name[1:]) % len(ZONES)]
        record = HostRecord(name, "10.0.0.1", zone, 1, "", f"{name}-{seed}")
        self.registration = Registration(self.store, record, self.rng, reports=False)
        self.directory = HostDirectory(lambda: None)
        self.followers = [
            Follower(kind, lambda stored, name: None) for kind in ("config", "servers")
        ]
        links: Any = fleet.links(name)
        all_followers = [*self.followers, self.directory.follower]
        self.gossip = Gossip(
            all_followers,
            lambda: record,
            self.directory,
            links,
            self.rng,
            PROPAGATION_DEADLINE_S,
            lambda zone: zone.partition("-")[0],
        )
        self.record = record

    async def respond(self, message: Message) -> Message | None:
        """Handle a message of another host."""
        gossip = self.gossip
        if isinstance(message, CopyQuestion):
            return gossip.comparison_response(message)
        if isinstance(message, DifferenceQuestion):
            return await gossip.difference_response(message)
        if isinstance(message, PieceQuestion):
            return await gossip.piece_response(message)
        if isinstance(message, ChangeNews):
            gossip.receive_changes(message)
        elif isinstance(message, DifferenceNews):
            gossip.receive_differences(message)
        else:
            assert isinstance(message, CopyNews)
            gossip.receive_copies(message)
        return None

    async def run(self, first_start: bool) -> None:
        """Run these parts until cancelled."""
        polls = PollParts(
            store=self.store,
            configurations=self.followers[0],
            servers=self.followers[1],
            own=lambda: self.record,
            hosts=self.directory,
            rng=self.rng,
            in_force_s=lambda: PROPAGATION_DEADLINE_S,
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


def _store_with_ending_watches(table: ObjectTable) -> ObjectStore:
    """Return a store whose watches end after the first changes, as the platform's."""

    async def watch(
        kind: str, version: int
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        table.count("watch")
        if table.faults.down:
            yield Err(StoreFailure(Trouble.UNREACHABLE, "stand-in is down"))
            return
        with trio.move_on_after(WATCH_DURATION_S):
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


def cost_of_calls(calls: Counter[str]) -> float:
    """Return the cost of calls to the store, in calls of full price."""
    lagging = calls["list lagging"]
    return calls.total() - lagging + LAGGING_LIST_COST * lagging


def run_fleet(
    count: int, seed: int, idle_s: float, first_start: bool = True
) -> tuple[MemoryFleet, list[float]]:
    """Run hosts; return them with the cost of the start and of the idle time."""
    fleet = MemoryFleet(seed)
    costs: list[float] = []

    async def main() -> None:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                at_s = rng.uniform(0.2, 1.1)
                nursery.start_soon(fleet.start, number, at_s, first_start)
            for wait_s in (START_DURATION_S, idle_s):
                fleet.table.calls.clear()
                await trio.sleep(wait_s)
                costs.append(cost_of_calls(fleet.table.calls))
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return fleet, costs
