"""Passing followed copies on from host to host.

A few hosts of each availability zone watch the store and tell the others of
their zone. All hosts compare copies with one of the few now and then: so a host
hears of changes that the store turns away, whose watch has gone silent, or whose
relays died.
"""

import hashlib
import random
from collections.abc import Callable, Sequence

import trio

from rattanhollow.membership._hosts import HostDirectory, HostRecord
from rattanhollow.membership._relays import relays_of
from rattanhollow.observe import log_event
from rattanhollow.peer import (
    ChangeNews,
    Copy,
    CopyAnswer,
    CopyChange,
    CopyNews,
    CopyQuestion,
    CopyState,
    Peers,
)
from rattanhollow.store import Changes, Follower, Listing, Stored

# News needs a few rounds to reach every host within the time that operators give.
ROUNDS_IN_TIME = 5
# Relays are few, and all of their zone wait for them where the store turns them away.
RELAY_ROUNDS_IN_TIME = 12
ASK_TIMEOUT_MS = 400
# How often a host that is no relay asks beyond its zone, whose relays may all
# be turned away.
ELSEWHERE_PART = 0.4


class Gossip:
    """Compares followed copies with other hosts, and passes them on.

    ``in_force_s`` is how soon a change has to be known to every host.
    """

    def __init__(
        self,
        followers: Sequence[Follower],
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        peers: Peers,
        rng: random.Random,
        in_force_s: float,
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._own = own
        self._hosts = hosts
        self._peers = peers
        self._rng = rng
        self._in_force_s = in_force_s
        # Up to which version the hosts of the zone were told, by kind.
        self._told: dict[str, int] = {}
        self._nursery: trio.Nursery | None = None

    def is_relay(self) -> bool:
        """Whether this host watches the store for others of its zone."""
        own = self._own()
        names = [record.name for record in relays_of(own.zone, self._reached())]
        return own.name in names

    async def run(self) -> None:
        """Compare until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(self.interval_s * self._rng.uniform(0.8, 1.2))
                await self._compare()

    @property
    def interval_s(self) -> float:
        """How far this host's comparisons are apart."""
        rounds = RELAY_ROUNDS_IN_TIME if self.is_relay() else ROUNDS_IN_TIME
        return self._in_force_s / rounds

    def pass_on(self, follower: Follower) -> None:
        """Tell the hosts of this zone what they have not been told of a copy."""
        own = self._own()
        if self._nursery is None or not self.is_relay():
            return
        news = self._news_of(follower)
        if news is None:
            return
        for record in self._reached():
            if record.zone == own.zone and record.name != own.name:
                self._nursery.start_soon(self._peers.tell, record.peer, news)

    def spread(self, follower: Follower) -> None:
        """Tell this zone and the relays of all others what no relay has told.

        The store may turn all of them away.
        """
        if self._nursery is None:
            return
        copies = (_copy(follower),)
        own = self._own()
        for record in self._reached():
            if record.zone == own.zone and record.name != own.name:
                news = CopyNews(copies)
                self._nursery.start_soon(self._peers.tell, record.peer, news)
        for record in self._relays():
            if record.zone != own.zone:
                news = CopyNews(copies, pass_on=True)
                self._nursery.start_soon(self._peers.tell, record.peer, news)

    def take(self, news: CopyNews) -> None:
        """Take what another host tells."""
        for copy in news.copies:
            taken = self._take(copy, "")
            if taken is not None and news.pass_on:
                self.pass_on(taken)
            elif taken is not None:
                # The zone was told it, too; who wasn't finds so with the next news.
                self._told.setdefault(copy.kind, taken.version)

    def take_changes(self, news: ChangeNews) -> None:
        """Take what a relay tells; where earlier news was missed, compare at once."""
        for change in news.changes:
            follower = self._behind(change)
            if follower is None:
                continue
            missed = not follower.listed.is_set() or follower.version < change.since
            if missed and self._nursery is not None:
                self._nursery.start_soon(self._compare)
            elif not self._apply(follower, change) and self._nursery is not None:
                self._nursery.start_soon(self._compare, change.kind)

    def answer(self, question: CopyQuestion) -> CopyAnswer:
        """Return what is newer here."""
        copies, changes = [], []
        for state in question.states:
            follower = self._followers.get(state.kind)
            if follower is None or follower.version <= state.version:
                continue
            if digest_of_copy(follower) == state.digest:
                changes.append(_same_at(follower, state))
                continue
            change = _change_since(follower, state.version)
            if change is None or _is_empty(change):
                copies.append(_copy(follower))
            else:
                changes.append(change)
        return CopyAnswer(tuple(copies), tuple(changes))

    def _reached(self) -> list[HostRecord]:
        """Return this host and those that are not known to be dark."""
        own = self._own()
        others = [h for h in self._hosts.staying() if h.name != own.name]
        return [own, *(h for h in others if not self._peers.is_dark(h.peer))]

    def _partners(self) -> list[HostRecord]:
        """Return whom to ask: relays of all zones ask one another.

        All others ask those of their own zone, which are near: what a relay
        hears from elsewhere it passes on.
        """
        own = self._own()
        elsewhere = self.is_relay() or self._rng.random() < ELSEWHERE_PART
        return [
            record
            for record in self._relays()
            if record.name != own.name and (record.zone == own.zone or elsewhere)
        ]

    def _relays(self) -> list[HostRecord]:
        """Return the relays of all zones."""
        by_zone: dict[str, list[HostRecord]] = {}
        for record in self._reached():
            by_zone.setdefault(record.zone, []).append(record)
        return [
            record
            for zone, records in by_zone.items()
            for record in relays_of(zone, records)
        ]

    async def _compare(self, whole: str = "") -> None:
        partners = self._partners()
        if partners:
            await self._ask(self._rng.choice(partners), whole)

    def _news_of(self, follower: Follower) -> CopyNews | ChangeNews | None:
        """Return what the zone has not been told; the whole copy the first time."""
        told = self._told.get(follower.kind)
        change = _change_since(follower, told) if told is not None else None
        if change is not None and _is_empty(change):
            return None
        self._told[follower.kind] = follower.version
        if change is None:
            return CopyNews((_copy(follower),))
        return ChangeNews((change,))

    async def _ask(self, record: HostRecord, whole: str = "") -> None:
        """Compare with a host; of the kind ``whole`` it is asked for everything."""
        states = tuple(
            CopyState(kind, 0 if kind == whole else f.version, digest_of_copy(f))
            for kind, f in self._followers.items()
        )
        asked = await self._peers.ask(record.peer, CopyQuestion(states), ASK_TIMEOUT_MS)
        answer = asked.ok()
        if not isinstance(answer, CopyAnswer):
            return
        for copy in answer.copies:
            taken = self._take(copy, record.name)
            if taken is not None:
                self.pass_on(taken)
        for change in answer.changes:
            follower = self._behind(change)
            if follower is None:
                continue
            if self._apply(follower, change):
                self.pass_on(follower)
            elif not whole:
                await self._ask(record, whole=change.kind)

    def _behind(self, newer: Copy | CopyChange) -> Follower | None:
        """Return the followed copy that another host's is newer than, if it is."""
        follower = self._followers.get(newer.kind)
        if follower is None or newer.version <= follower.version:
            return None
        return follower

    def _apply(self, follower: Follower, change: CopyChange) -> bool:
        """Take changes, unless that doesn't give what the other host has."""
        items = [Stored(change.kind, *item) for item in change.items]
        versions = {name: item.version for name, item in follower.items.items()}
        for name in change.gone:
            versions.pop(name, None)
        for item in items:
            versions[item.name] = max(item.version, versions.get(item.name, 0))
        if _digest(versions) != change.digest:
            return False
        if not _is_empty(change):
            log_event(
                "copy.changed",
                kind=change.kind,
                version=change.version,
                known_version=follower.version,
                objects=len(change.items),
                gone=len(change.gone),
            )
        follower.take_changes(change.version, Changes(items, list(change.gone)))
        return True

    def _take(self, copy: Copy, host: str) -> Follower | None:
        """Take a copy, and return what it changed if it is newer."""
        follower = self._behind(copy)
        if follower is None:
            return None
        log_event(
            "copy.from_host",
            kind=copy.kind,
            host=host,
            version=copy.version,
            known_version=follower.version,
        )
        items = [Stored(copy.kind, *item) for item in copy.items]
        follower.take_copy(Listing(copy.version, items))
        return follower


def _change_since(follower: Follower, version: int) -> CopyChange | None:
    changes = follower.changes_since(version)
    if changes is None:
        return None
    items = tuple((i.name, i.version, i.spec) for i in changes.items)
    digest = digest_of_copy(follower)
    return CopyChange(
        follower.kind, version, follower.version, items, tuple(changes.gone), digest
    )


def _same_at(follower: Follower, state: CopyState) -> CopyChange:
    """Return that a copy has the same objects, at a newer version."""
    return CopyChange(
        follower.kind, state.version, follower.version, (), (), state.digest
    )


def _is_empty(change: CopyChange) -> bool:
    return not (change.items or change.gone)


def _copy(follower: Follower) -> Copy:
    items = tuple((i.name, i.version, i.spec) for i in follower.items.values())
    return Copy(follower.kind, follower.version, items)


def digest_of_copy(follower: Follower) -> int:
    """Return what two copies with the same objects have in common."""
    return _digest({name: item.version for name, item in follower.items.items()})


def _digest(versions: dict[str, int]) -> int:
    names = sorted(f"{name}\0{version}" for name, version in versions.items())
    digest = hashlib.blake2b("\n".join(names).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
