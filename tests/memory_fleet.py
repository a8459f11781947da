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
from rattanhollow.host._begin import find_own_record, wait_for_relays
from rattanhollow.host._polls import PollParts, poll_store
from rattanhollow.membership import (
    Gossip,
    HostDirectory,
    HostRecord,
    Registration,
    StartCopies,
    StartCopiesParts,
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
    StoreStateQuestion,
)
from rattanhollow.peer._messages import encode
from rattanhollow.records import to_spec
from rattanhollow.store import (
    NO_REVISION,
    Event,
    EventType,
    Follower,
    ObjectStore,
    Revision,
    Stored,
    StoreFailure,
    Trouble,
    follow,
)
from rattanhollow_standins.store import ObjectTable, local_store
from rattanhollow_standins.store._objects import Change

ZONES = [f"{region}-{half}" for region in ("lothian", "tayside") for half in "abc"]
PROPAGATION_DEADLINE_S = 8.0
START_DURATION_S = 8.0
# The cost of a list that may lag, in calls of full price.
LAGGING_LIST_COST = 0.1
LINK_DELAY_S = 0.005
WATCH_DURATION_S = 15.0
CALL_S = 0.03


class MemoryFleet:
    """The hosts by name, the store, and the messages between the hosts.

    The store turns calls away beyond ``most_calls`` at once, 0 for no limit, and counts
    them as ``failed``. Hosts in ``unnotified`` receive no notifications, as if their
    connection had just been cut; those in ``silent`` answer nothing. Hosts list the
    store on behalf of one another where it ``shares_start``.
    """

    def __init__(self, seed: int = 0, most_calls: int = 0) -> None:
        self.seed = seed
        self.most_calls = most_calls
        self.shares_start = True
        self.calls_running = 0
        self.failed: Counter[str] = Counter()
        self.start_calls: Counter[str] = Counter()
        self.table = ObjectTable()
        self.hosts: dict[str, MemoryHost] = {}
        self.sent_bytes = 0
        self.unnotified: set[str] = set()
        self.silent: set[str] = set()
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
        if peer.name in self.silent:
            await trio.sleep(timeout_ms / 1000)
            return Err(AskFailure("no answer in time", sent=True))
        if host is None:
            return Err(AskFailure("not started", sent=False))
        if isinstance(request, StoreStateQuestion):
            with trio.move_on_after(timeout_ms / 1000):
                return Ok(await host.start_copies.lists.answer(request))
            return Err(AskFailure("no answer in time", sent=True))
        response = await host.respond(request)
        assert response is not None
        self.sent_bytes += len(encode(1, response))
        return Ok(response)


class MemoryHost:
    """The parts of a host that use the store."""

    def __init__(self, name: str, fleet: MemoryFleet, seed: int) -> None:
        self.store = _store_with_ending_watches(fleet.table)
        if fleet.most_calls:
            self.store = _busy_store(self.store, fleet)
        self.rng = random.Random(f"{seed} {name}")
        zone = ZONES[int(name[1:]) % len(ZONES)]
        record = HostRecord(name, "10.0.0.1", zone, 1, "", f"{name}-{seed}")
        self.directory = HostDirectory(lambda: None)
        self.registration = Registration(
            self.store, record, self.rng, False, self._find_record
        )
        self.first_start = True
        self._fleet = fleet
        # The configuration in force: as at a host, that with the highest version.
        self.in_force = 0
        self.followers = [
            Follower("config", self._take_configuration, is_newer=_is_newer),
            Follower("servers", lambda stored, name: None),
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
            trio.current_time,
        )
        self.record = record
        self.start_copies = StartCopies(
            StartCopiesParts(
                self.store,
                self.followers,
                lambda: record,
                self.directory,
                links,
                self.gossip,
                lambda zone: zone.rpartition("-")[0],
                self.rng,
            )
        )

    def _take_configuration(self, stored: Stored | None, name: str) -> None:
        if stored is not None:
            self.in_force = max(self.in_force, stored.spec["version"])

    async def _find_record(self) -> Revision:
        if self.first_start or not self._fleet.shares_start:
            return NO_REVISION
        return await find_own_record(self.record.name, self.directory.follower)

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
        self.first_start = first_start
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
            nursery.start_soon(
                self.registration.restore_in_new_eras, self.directory.follower
            )
            if not self._fleet.shares_start:
                self.start_copies.finished.set()
            elif not first_start:
                nursery.start_soon(self.start_copies.run)
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(poll_store, polls)
            for follower in (*self.followers, self.directory.follower):
                nursery.start_soon(self._follow, follower, first_start)

    async def _follow(self, follower: Follower, first_start: bool) -> None:
        gossip = self.gossip
        if first_start:
            hosts = self.directory.follower
            await wait_for_relays(follower, hosts, gossip.is_relay)
        elif follower is not self.directory.follower:
            await self.start_copies.finished.wait()
        await follow(
            self.store, follower, self.rng, gossip.is_relay, gossip.notify_zone
        )


def _is_newer(known: Stored, listed: Stored) -> bool | None:
    return bool(listed.spec["version"] >= known.spec["version"])


def _store_with_ending_watches(table: ObjectTable) -> ObjectStore:
    """Return a store whose watches end after the first changes, as the platform's."""

    async def watch(
        kind: str, version: Revision
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        def changes() -> list[Change] | None:
            if version.era != table.era:
                return None
            return table.since(kind, version.number)

        table.count("watch")
        if table.faults.down:
            yield Err(StoreFailure(Trouble.UNREACHABLE, "stand-in is down"))
            return
        with trio.move_on_after(WATCH_DURATION_S):
            while table.faults.silent_watch or changes() == []:
                await table.wait_for_change()
        if table.faults.silent_watch:
            return
        reported = changes()
        if reported is None:
            yield Err(StoreFailure(Trouble.GONE, str(version)))
            return
        for change in reported:
            deleted = change.type == "DELETED"
            event = EventType.DELETED if deleted else EventType.CHANGED
            yield Ok(
                Event(
                    event,
                    Stored(
                        kind,
                        change.name,
                        Revision(change.version, table.era),
                        change.spec,
                    ),
                )
            )
        mark = Stored(kind, "", Revision(table.version, table.era), {})
        yield Ok(Event(EventType.BOOKMARK, mark))

    return local_store(table)._replace(watch=watch)


def _busy_store(store: ObjectStore, fleet: MemoryFleet) -> ObjectStore:
    """Return a store whose calls take their time, and few at once."""

    def limited(name: str) -> Any:
        call = getattr(store, name)

        async def run(*arguments: Any) -> Any:
            if fleet.calls_running >= fleet.most_calls:
                fleet.failed[name] += 1
                fleet.table.count(name)
                return Err(StoreFailure(Trouble.TURNED_AWAY, "too many calls"))
            fleet.calls_running += 1
            try:
                await trio.sleep(CALL_S)
                return await call(*arguments)
            finally:
                fleet.calls_running -= 1

        return run

    names = ("get", "list", "list_lagging", "put", "delete")
    return store._replace(**{name: limited(name) for name in names})


def cost_of_calls(calls: Counter[str]) -> float:
    """Return the cost of calls to the store, in calls of full price."""
    lagging = calls["list lagging"]
    return calls.total() - lagging + LAGGING_LIST_COST * lagging


def run_fleet(
    count: int,
    seed: int,
    idle_s: float,
    first_start: bool = True,
    restarts: bool = False,
    most_calls: int = 0,
    shares_start: bool = True,
) -> tuple[MemoryFleet, list[float]]:
    """Run hosts; return them with the cost of the start and of the idle time.

    With ``restarts`` the store has their records from a previous start.
    """
    fleet = MemoryFleet(seed, most_calls)
    fleet.shares_start = shares_start
    costs: list[float] = []

    async def main() -> None:
        rng = random.Random(seed)
        for number in range(count if restarts else 0):
            record = MemoryHost(f"h{number}", fleet, -1).record
            fleet.table.create("hosts", record.name, to_spec(record))
        async with trio.open_nursery() as nursery:
            for number in range(count):
                at_s = rng.uniform(0.2, 1.1)
                is_first = first_start and not restarts
                nursery.start_soon(fleet.start, number, at_s, is_first)
            for wait_s in (START_DURATION_S, idle_s):
                fleet.table.calls.clear()
                await trio.sleep(wait_s)
                costs.append(cost_of_calls(fleet.table.calls))
                if not fleet.start_calls:
                    fleet.start_calls = fleet.table.calls.copy()
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return fleet, costs
