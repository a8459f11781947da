"""Copies of the store's objects for a host that starts, mostly from other hosts.

A host must not use a copy that is older than the store was at its start: it might have
a key that was withdrawn. One host of each region, the reader, lists exactly on behalf
of all that start at about the same time. It begins the list after it was asked, and
answers with version and digest; a copy from any host that matches is new enough.

The store itself may be older than what is in force, where it came back from a copy of
itself. Only other hosts know what it has lost.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from rattanhollow.coordination import ranked
from rattanhollow.membership._gossip import Gossip, digest_copy
from rattanhollow.membership._hosts import HostDirectory, HostRecord
from rattanhollow.observe import log_event
from rattanhollow.peer import CopyState, Peers, StoreStateAnswer, StoreStateQuestion
from rattanhollow.store import Follower, ObjectStore

# Hosts that lost their power together start within a second; a list answers all that
# have asked meanwhile.
GATHER_S = 0.25
READERS = 2
READER_TIMEOUT_MS = 1_000
# A reader that has just lost its power, too, listens within such a time.
READER_WAIT_S = 1.5
COPY_WAIT_S = 1.5
LOOK_S = 0.1
# Where readers can't read the store, a host tries so in a later round: only their own
# links to it may be cut. Until then the store is spared that refuses calls for load.
LIST_FROM_ROUND = 3
PAUSE_S = (0.1, 0.6)
# How many hosts are asked what the store has lost, while they do not answer.
COMPARED_HOSTS = 2
# Without the store nobody can tell how old a copy is; it is used behind such a time.
UNPROVEN_AFTER_S = 3.0


class StartCopiesParts(NamedTuple):
    """The components of the host that `StartCopies` uses."""

    store: ObjectStore
    followers: Sequence[Follower]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    gossip: Gossip
    region_of: Callable[[str], str]
    rng: random.Random


class SharedLists:
    """Exact lists, each for all that asked before it began."""

    def __init__(
        self,
        store: ObjectStore,
        followers: Sequence[Follower],
        gossip: Gossip,
        gather_s: float = GATHER_S,
    ) -> None:
        self._store = store
        self._followers = {follower.kind: follower for follower in followers}
        self._gossip = gossip
        self._gather_s = gather_s
        # The list that has not begun yet, by kind.
        self._next: dict[str, _SharedList] = {}

    async def state(self, kind: str) -> CopyState | None:
        """Return the store's state at a time after the call; None if that failed."""
        if kind not in self._followers:
            return None
        shared = self._next.get(kind)
        if shared is not None:
            await shared.done.wait()
            return shared.state
        shared = self._next[kind] = _SharedList()
        try:
            await trio.sleep(self._gather_s)
            self._next.pop(kind)
            shared.state = await self._list(self._followers[kind])
        finally:
            if self._next.get(kind) is shared:
                del self._next[kind]
            shared.done.set()
        return shared.state

    async def answer(self, question: StoreStateQuestion) -> StoreStateAnswer:
        """Return the states that a host which starts asks for."""
        found: list[CopyState] = []

        async def find(kind: str) -> None:
            state = await self.state(kind)
            if state is not None:
                found.append(state)

        async with trio.open_nursery() as nursery:
            for kind in question.kinds:
                nursery.start_soon(find, kind)
        return StoreStateAnswer(tuple(found))

    async def _list(self, follower: Follower) -> CopyState | None:
        listed = await self._store.list(follower.kind)
        if listed.is_err():
            reason = listed.unwrap_err()
            log_event("store.list_failed", kind=follower.kind, reason=reason)
            return None
        changes = follower.changes
        follower.take_list(listed.unwrap())
        if follower.changes != changes:
            self._gossip.notify_zone(follower)
        # This copy may be newer than the list by now, which proves no less.
        return CopyState(follower.kind, follower.version, digest_copy(follower))


class _SharedList:
    def __init__(self) -> None:
        self.done = trio.Event()
        self.state: CopyState | None = None


class _Found(NamedTuple):
    reader: HostRecord
    states: tuple[CopyState, ...]


class StartCopies:
    """Brings the copies up to the store's state at the start of this host.

    ``lists`` answers other hosts that start. ``finished`` is set once all copies are
    new enough, or nobody can tell.
    """

    def __init__(self, parts: StartCopiesParts) -> None:
        self.lists = SharedLists(parts.store, parts.followers, parts.gossip)
        self.finished = trio.Event()
        self._parts = parts
        self._own_lists = SharedLists(
            parts.store, parts.followers, parts.gossip, gather_s=0.0
        )
        self._pending = {follower.kind: follower for follower in parts.followers}
        self._has_compared = False

    async def run(self) -> None:
        """Return once all copies are new enough, or nobody can tell."""
        began_s = trio.current_time()
        rounds = 0
        while self._pending:
            rounds += 1
            found = await self._ask_readers()
            if found is not None:
                await self._await_copies(*found)
            if self._pending and (found is None or rounds >= LIST_FROM_ROUND):
                await self._list_here()
            is_late = trio.current_time() - began_s >= UNPROVEN_AFTER_S
            if is_late and all(f.listed.is_set() for f in self._pending.values()):
                break
            if self._pending:
                await trio.sleep(self._parts.rng.uniform(*PAUSE_S))
        if self._pending:
            log_event("start.unproven", kinds=",".join(self._pending))
        has_eras = any(follower.version.era for follower in self._parts.followers)
        if has_eras and not self._has_compared:
            await self._parts.gossip.compare_until_answered(COMPARED_HOSTS)
        self.finished.set()

    async def _ask_readers(self) -> _Found | None:
        """Return what a reader found in the store.

        None if none of them answers, or this host is to list by itself.
        """
        parts = self._parts
        question = StoreStateQuestion(tuple(self._pending))
        with trio.move_on_after(READER_WAIT_S):
            await parts.hosts.follower.listed.wait()
            while True:
                for reader in self._readers():
                    if reader.name == parts.own().name:
                        return None
                    asked = await parts.peers.ask(
                        reader.peer, question, READER_TIMEOUT_MS
                    )
                    answer = asked.ok()
                    if isinstance(answer, StoreStateAnswer):
                        return _Found(reader, answer.states)
                await trio.sleep(LOOK_S)
        return None

    def _readers(self) -> list[HostRecord]:
        """Return the hosts that list on behalf of this one's region, best first."""
        parts = self._parts
        own = parts.own()
        nearby = {
            record.name: record
            for record in (*parts.hosts.active_hosts(), own)
            if parts.region_of(record.zone) == parts.region_of(own.zone)
            and (record.name == own.name or not parts.peers.is_dark(record.peer))
        }
        return [nearby[name] for name in ranked("reader", nearby)[:READERS]]

    async def _await_copies(
        self, reader: HostRecord, states: Sequence[CopyState]
    ) -> None:
        """Compare copies until they match what the store holds.

        Relays do so with the reader, and tell their zone.
        """
        with trio.move_on_after(COPY_WAIT_S):
            while True:
                for state in states:
                    follower = self._pending.get(state.kind)
                    if follower is not None and _is_new_enough(follower, state):
                        del self._pending[state.kind]
                if not any(state.kind in self._pending for state in states):
                    return
                if await self._parts.gossip.compare_now(reader):
                    self._has_compared = True
                await trio.sleep(LOOK_S)

    async def _list_here(self) -> None:
        async def take(kind: str) -> None:
            if await self._own_lists.state(kind) is not None:
                self._pending.pop(kind, None)

        async with trio.open_nursery() as nursery:
            for kind in list(self._pending):
                nursery.start_soon(take, kind)


def _is_new_enough(follower: Follower, state: CopyState) -> bool:
    if not follower.listed.is_set():
        return False
    return follower.version >= state.version or digest_copy(follower) == state.digest
