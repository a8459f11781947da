"""Propagation of cached store objects between hosts.

A few hosts of each availability zone, the relays, watch the store and notify the
others of their zone. In addition, every host periodically compares its cached copies
with those of a relay. A host therefore receives changes even if the store refuses its
calls, its watch no longer delivers events, or the relays of its zone failed.
"""

import hashlib
import random
import time
from collections.abc import Callable, Sequence

import trio

from rattanhollow.coordination import ranked
from rattanhollow.membership._copy_fetch import (
    LARGEST_NEWS_BYTES,
    QUERY_TIMEOUT_MS,
    CopyFetch,
    FetchParts,
    Source,
    is_empty,
    items_behind,
    make_difference,
)
from rattanhollow.membership._hosts import HostDirectory, HostRecord
from rattanhollow.membership._pieces import Items, needs_pieces
from rattanhollow.membership._relays import select_relays
from rattanhollow.observe import log_event
from rattanhollow.peer import (
    ChangeNews,
    Copy,
    CopyAnswer,
    CopyChange,
    CopyDifference,
    CopyNews,
    CopyQuestion,
    CopyState,
    DifferenceAnswer,
    DifferenceNews,
    DifferenceQuestion,
    Message,
    Peers,
    PieceAnswer,
    PieceQuestion,
    encoded_bytes,
)
from rattanhollow.store import (
    NO_REVISION,
    Changes,
    Follower,
    Listing,
    Revision,
    Step,
    Stored,
    Unfit,
)

# A change needs several rounds to reach every host within the configured deadline.
ROUNDS_PER_DEADLINE = 5
# If the store refuses the relays, all hosts of their zone depend on what the relays
# receive from other hosts. Relays are few, so that frequent comparisons cost little.
RELAY_ROUNDS_PER_DEADLINE = 12
# Fraction of comparisons for which a host that is not a relay considers the relays of
# all zones: the store may refuse every relay of its own zone.
CROSS_ZONE_FRACTION = 0.4
# Other hosts of the zone that are asked for a piece when its relays don't send one.
OTHER_SOURCES = 2
# The digest of a copy without objects.
_NO_OBJECTS = int.from_bytes(hashlib.blake2b(b"", digest_size=8).digest())


class Gossip:
    """Compares cached copies with other hosts and notifies them of changes.

    ``propagation_deadline_s`` is the time within which every host has to know a
    change. ``region_of(zone)`` is the region of an availability zone; by default
    all zones are in one.
    ``clock`` must include time during which the host was suspended.
    """

    def __init__(
        self,
        followers: Sequence[Follower],
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        peers: Peers,
        rng: random.Random,
        propagation_deadline_s: float,
        region_of: Callable[[str], str] = lambda zone: "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._own = own
        self._hosts = hosts
        self._peers = peers
        self._rng = rng
        self._propagation_deadline_s = propagation_deadline_s
        # The version up to which the hosts of the zone were notified, by kind.
        self._notified_versions: dict[str, Revision] = {}
        self._nursery: trio.Nursery | None = None
        self._region_of = region_of
        for follower in followers:
            follower.keeps_steps = True
        self._fetch = CopyFetch(
            FetchParts(
                followers=self._followers,
                peers=peers,
                rng=rng,
                digest=digest_copy,
                sources=self._sources,
                fetches_first=self._is_first_of_region,
                apply_difference=self._apply_difference,
                apply_items=self._apply_items,
            )
        )
        self._clock = clock
        # When the last comparison began that another host answered.
        self.compared_at_s = clock()

    def is_relay(self) -> bool:
        """Whether this host watches the store on behalf of its zone."""
        own = self._own()
        names = [
            record.name for record in select_relays(own.zone, self._reachable_hosts())
        ]
        return own.name in names

    async def run(self) -> None:
        """Compare cached copies with other hosts periodically, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(self.interval_s * self._rng.uniform(0.8, 1.2))
                await self._compare_with_random_relay()

    @property
    def interval_s(self) -> float:
        """The mean interval between comparisons of this host."""
        rounds = RELAY_ROUNDS_PER_DEADLINE if self.is_relay() else ROUNDS_PER_DEADLINE
        return self._propagation_deadline_s / rounds

    async def compare_now(self, record: HostRecord) -> bool:
        """Compare cached copies, beside the periodic comparisons.

        A relay compares with the host ``record``, any other host with a relay. Returns
        whether that answered.
        """
        if self.is_relay():
            return await self._compare_with(record)
        return await self._compare_with_random_relay()

    async def compare_until_answered(self, attempts: int) -> None:
        """Compare cached copies with other hosts until one of them has answered."""
        for record in self._shuffled(self._partners())[:attempts]:
            if await self._compare_with(record):
                return

    def notify_zone(self, follower: Follower) -> None:
        """If this host is a relay, notify its zone of changes it was not sent yet."""
        own = self._own()
        if self._nursery is None or not self.is_relay():
            return
        notification = self._pending_notification(follower)
        if notification is None:
            return
        for record in self._reachable_hosts():
            if record.zone == own.zone and record.name != own.name:
                self._tell(record, notification)

    def notify_all_zones(self, follower: Follower) -> None:
        """Notify this zone and all other relays of a change that no relay announced.

        The store may refuse the calls of all relays.
        """
        if self._nursery is None:
            return
        if needs_pieces(follower):
            self._notify_of_large_change(follower)
            return
        copies = (_make_copy(follower),)
        own = self._own()
        for record in self._reachable_hosts():
            if record.zone == own.zone and record.name != own.name:
                notification = CopyNews(copies)
                self._nursery.start_soon(self._peers.tell, record.peer, notification)
        for record in self._reachable_relays():
            if record.zone != own.zone:
                notification = CopyNews(copies, pass_on=True)
                self._nursery.start_soon(self._peers.tell, record.peer, notification)

    def _notify_of_large_change(self, follower: Follower) -> None:
        """Send a difference to this zone and region, and once into each other one."""
        own = self._own()
        difference = _bounded(
            make_difference(follower, follower.last_base(), digest_copy(follower))
        )
        for record in self._reachable_hosts():
            if record.zone == own.zone and record.name != own.name:
                self._tell(record, DifferenceNews((difference,)))
        own_region, relays = self._region_of(own.zone), self._reachable_relays()
        for record in self._relays_of_region(own_region):
            if record.zone != own.zone:
                self._tell(record, DifferenceNews((difference,), pass_on=True))
        for region in {self._region_of(record.zone) for record in relays}:
            if region != own_region:
                first = self._relays_of_region(region)[0]
                news = DifferenceNews((difference,), pass_on=True, into_region=True)
                self._tell(first, news)

    def receive_differences(self, notification: DifferenceNews) -> None:
        """Apply differences that another host sent, or fetch what is newer there."""
        for difference in notification.differences:
            if self._follower_if_older(difference.change) is None:
                continue
            if self._apply_difference(difference):
                self._pass_on(notification, difference.change.kind)
            elif self._nursery is not None:
                self._nursery.start_soon(self._fetch_told, notification, difference)

    async def _fetch_told(
        self, notification: DifferenceNews, difference: CopyDifference
    ) -> None:
        change = difference.change
        if await self._fetch.fetch(change.kind, change.version, None):
            self._pass_on(notification, change.kind)

    def _pass_on(self, notification: DifferenceNews, kind: str) -> None:
        follower = self._followers[kind]
        if not notification.pass_on:
            # The sender notified the rest of the zone, too.
            self._notified_versions.setdefault(kind, follower.version)
            return
        self.notify_zone(follower)
        if not notification.into_region:
            return
        own = self._own()
        difference = _bounded(
            make_difference(follower, follower.last_base(), digest_copy(follower))
        )
        for record in self._relays_of_region(self._region_of(own.zone)):
            if record.zone != own.zone:
                self._tell(record, DifferenceNews((difference,), pass_on=True))

    async def difference_response(
        self, request: DifferenceQuestion
    ) -> DifferenceAnswer:
        """Return what changed in large objects behind another host's copy."""
        return await self._fetch.difference_response(request)

    async def piece_response(self, request: PieceQuestion) -> PieceAnswer:
        """Return a piece of a whole copy."""
        return await self._fetch.piece_response(request)

    def _tell(self, record: HostRecord, notification: Message) -> None:
        """Send a notification; those of large objects are spread over time."""
        if self._nursery is None:
            return
        wait_s = 0.0
        if isinstance(notification, DifferenceNews):
            size = sum(map(encoded_bytes, notification.differences))
            wait_s = self._fetch.telling_wait_s(size)
        self._nursery.start_soon(self._tell_later, wait_s, record, notification)

    async def _tell_later(
        self, wait_s: float, record: HostRecord, notification: Message
    ) -> None:
        if wait_s > 0:
            await trio.sleep(wait_s)
        await self._peers.tell(record.peer, notification)

    def receive_copies(self, notification: CopyNews) -> None:
        """Apply copies that another host sent."""
        for copy in notification.copies:
            updated = self._apply_copy(copy, "")
            if updated is not None and notification.pass_on:
                self.notify_zone(updated)
            elif updated is not None:
                # The sender notified the rest of the zone, too. A host that missed
                # this detects the gap with the next change notification.
                self._notified_versions.setdefault(copy.kind, updated.version)

    def receive_changes(self, notification: ChangeNews) -> None:
        """Apply changes that a relay sent, or compare at once after a missed one."""
        for change in notification.changes:
            follower = self._follower_if_older(change)
            if follower is None:
                continue
            has_gap = not follower.listed.is_set() or follower.version < change.since
            if has_gap and self._nursery is not None:
                self._nursery.start_soon(self._compare_with_random_relay)
            elif (
                not self._apply_changes(follower, change) and self._nursery is not None
            ):
                if needs_pieces(follower):
                    self._nursery.start_soon(self._fetch_announced, change, None)
                    continue
                self._nursery.start_soon(self._compare_with_random_relay, change.kind)

    def comparison_response(self, request: CopyQuestion) -> CopyAnswer:
        """Return the changes or copies that are newer here than at the sender."""
        copies, changes, lost = [], [], []
        for state in request.states:
            follower = self._followers.get(state.kind)
            if follower is None:
                continue
            is_newer = follower.version > state.version
            if not is_newer and not follower.unrestored:
                continue
            is_equal = digest_copy(follower) == state.digest
            if follower.unrestored and not is_equal:
                lost.append(_make_unrestored(follower))
            if not is_newer:
                continue
            if is_equal and follower.version.era == state.version.era:
                changes.append(_make_version_update(follower, state))
                continue
            change = _make_change(follower, state.version)
            if change is not None and _has_no_objects(change):
                change = None
            # Builds without differences ask for the whole copy like this when they
            # can't apply a change, as the one without objects below.
            asks_for_all = state.version == NO_REVISION and state.digest != _NO_OBJECTS
            if needs_pieces(follower, change) and not asks_for_all:
                changes.append(_announcement(follower))
            elif change is None:
                copies.append(_make_copy(follower))
            else:
                changes.append(change)
        return CopyAnswer((*copies, *lost), tuple(changes))

    def _reachable_hosts(self) -> list[HostRecord]:
        """Return this host and the others that are not known to be unreachable."""
        own = self._own()
        others = [h for h in self._hosts.active_hosts() if h.name != own.name]
        return [own, *(h for h in others if not self._peers.is_dark(h.peer))]

    def _partners(self) -> list[HostRecord]:
        """Return the hosts to compare with.

        Relays compare with the relays of all zones. Other hosts mostly compare with
        the relays of their own zone: these are near, and notify their zone of what
        they receive from other zones.
        """
        own = self._own()
        includes_other_zones = (
            self.is_relay() or self._rng.random() < CROSS_ZONE_FRACTION
        )
        return [
            record
            for record in self._reachable_relays()
            if record.name != own.name
            and (record.zone == own.zone or includes_other_zones)
        ]

    def _reachable_relays(self) -> list[HostRecord]:
        """Return the reachable relays of all zones."""
        by_zone: dict[str, list[HostRecord]] = {}
        for record in self._reachable_hosts():
            by_zone.setdefault(record.zone, []).append(record)
        return [
            record
            for zone, records in by_zone.items()
            for record in select_relays(zone, records)
        ]

    def _relays_of_region(self, region: str) -> list[HostRecord]:
        """Return the reachable relays of a region; all hosts agree on the order."""
        relays = {
            record.name: record
            for record in self._reachable_relays()
            if self._region_of(record.zone) == region
        }
        return [relays[name] for name in ranked("region", relays)]

    def _is_first_of_region(self) -> bool:
        own = self._own()
        relays = self._relays_of_region(self._region_of(own.zone))
        return bool(relays) and relays[0].name == own.name

    def _sources(self) -> list[Source]:
        """Return hosts to fetch a large copy from, the nearest first."""
        own = self._own()
        region = self._region_of(own.zone)
        zone = [r for r in self._reachable_hosts() if r.zone == own.zone]
        zone_relays = {record.name for record in select_relays(own.zone, zone)}
        zone = [record for record in zone if record.name != own.name]
        near = [record for record in zone if record.name in zone_relays]
        others = [record for record in zone if record.name not in zone_relays]
        relays = [r for r in self._reachable_relays() if r.zone != own.zone]
        in_region = [r for r in relays if self._region_of(r.zone) == region]
        far = [r for r in relays if self._region_of(r.zone) != region]
        return [
            *(Source(record) for record in self._shuffled(near)),
            *(Source(record) for record in self._shuffled(others)[:OTHER_SOURCES]),
            *(Source(record) for record in self._shuffled(in_region)[:OTHER_SOURCES]),
            *(Source(record, True) for record in self._shuffled(far)[:OTHER_SOURCES]),
        ]

    def _shuffled(self, records: list[HostRecord]) -> list[HostRecord]:
        return self._rng.sample(records, len(records))

    async def _compare_with_random_relay(self, full_kind: str = "") -> bool:
        partners = self._partners()
        if partners:
            return await self._compare_with(self._rng.choice(partners), full_kind)
        self.compared_at_s = self._clock()
        return False

    def _pending_notification(
        self, follower: Follower
    ) -> CopyNews | ChangeNews | DifferenceNews | None:
        """Return what the zone was not notified of yet; at first, the full copy."""
        notified_version = self._notified_versions.get(follower.kind)
        change = (
            _make_change(follower, notified_version)
            if notified_version is not None
            else None
        )
        if change is not None and _has_no_objects(change):
            return None
        self._notified_versions[follower.kind] = follower.version
        if needs_pieces(follower, change):
            since = notified_version or NO_REVISION
            difference = make_difference(follower, since, digest_copy(follower))
            return DifferenceNews((_bounded(difference),))
        if change is None:
            return CopyNews((_make_copy(follower),))
        return ChangeNews((change,))

    async def _compare_with(self, record: HostRecord, full_kind: str = "") -> bool:
        """Compare with a host, requesting all objects of the kind ``full_kind``.

        Returns whether it answered.
        """
        states = tuple(
            CopyState(
                kind,
                NO_REVISION if kind == full_kind else f.version,
                digest_copy(f),
            )
            for kind, f in self._followers.items()
        )
        asked_at_s = self._clock()
        result = await self._peers.ask(
            record.peer, CopyQuestion(states), QUERY_TIMEOUT_MS
        )
        response = result.ok()
        if not isinstance(response, CopyAnswer):
            return False
        for copy in response.copies:
            updated = self._apply_copy(copy, record.name)
            if updated is not None:
                self.notify_zone(updated)
        for change in response.changes:
            follower = self._follower_if_older(change)
            if follower is None:
                continue
            if self._apply_changes(follower, change):
                self.notify_zone(follower)
            elif _is_announcement(change) or needs_pieces(follower):
                if self._nursery is not None:
                    self._nursery.start_soon(self._fetch_announced, change, record)
            elif not full_kind:
                await self._compare_with(record, full_kind=change.kind)
        self.compared_at_s = max(self.compared_at_s, asked_at_s)
        return True

    async def _fetch_announced(
        self, change: CopyChange, record: HostRecord | None
    ) -> None:
        if await self._fetch.fetch(change.kind, change.version, record):
            self.notify_zone(self._followers[change.kind])

    def _follower_if_older(self, newer: Copy | CopyChange) -> Follower | None:
        """Return this host's cached copy if that of the other host is newer."""
        follower = self._followers.get(newer.kind)
        if follower is None or newer.version <= follower.version:
            return None
        return follower

    def _apply_changes(self, follower: Follower, change: CopyChange) -> bool:
        """Apply changes, unless the result would differ from the other host's copy."""
        items = [Stored(change.kind, *item) for item in change.items]
        return self._apply_items_changed(
            follower, change, Changes(items, list(change.gone)), []
        )

    def _apply_difference(self, difference: CopyDifference) -> bool:
        """Apply a difference, unless its base is not the copy here."""
        change = difference.change
        follower = self._follower_if_older(change)
        if follower is None or not follower.listed.is_set() or is_empty(difference):
            return False
        try:
            changes, steps = items_behind(follower, difference)
        except Unfit as error:
            log_event("copy.unfit", kind=change.kind, reason=error)
            return False
        return self._apply_items_changed(follower, change, changes, steps)

    def _apply_items_changed(
        self,
        follower: Follower,
        change: CopyChange,
        changes: Changes,
        steps: Sequence[Step],
    ) -> bool:
        items = changes.items
        versions = {name: item.version for name, item in follower.items.items()}
        for name in change.gone:
            versions.pop(name, None)
        for item in items:
            known_version = versions.get(item.name, NO_REVISION)
            versions[item.name] = max(item.version, known_version)
        if _digest_versions(versions, follower.unrestored) != change.digest:
            return False
        if items or changes.gone:
            log_event(
                "copy.changed",
                kind=change.kind,
                version=change.version,
                known_version=follower.version,
                objects=len(items),
                gone=len(change.gone),
            )
        follower.take_changes(change.version, changes, steps)
        return True

    def _apply_items(
        self, kind: str, version: Revision, items: Items, host: str
    ) -> bool:
        """Apply a copy that came in pieces."""
        return self._apply_copy(Copy(kind, version, items), host) is not None

    def _apply_copy(self, copy: Copy, host: str) -> Follower | None:
        """Apply a copy if it is newer, and return the cached copy that it updated.

        One of an earlier era has what the store has lost since.
        """
        known = self._followers.get(copy.kind)
        if known is not None and copy.version.era < known.version.era:
            return self._apply_unrestored(known, copy, host)
        follower = self._follower_if_older(copy)
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

    def _apply_unrestored(
        self, follower: Follower, copy: Copy, host: str
    ) -> Follower | None:
        items = [Stored(copy.kind, *item) for item in copy.items]
        if not follower.offer_unrestored(items):
            return None
        log_event(
            "copy.unrestored_from_host",
            kind=copy.kind,
            host=host,
            version=copy.version,
            known_version=follower.version,
        )
        return follower


def _make_change(follower: Follower, version: Revision) -> CopyChange | None:
    changes = follower.changes_since(version)
    if changes is None:
        return None
    items = tuple((i.name, i.version, i.spec) for i in changes.items)
    digest = digest_copy(follower)
    return CopyChange(
        follower.kind, version, follower.version, items, tuple(changes.gone), digest
    )


def _make_version_update(follower: Follower, state: CopyState) -> CopyChange:
    """Return a change without objects, which only updates the version."""
    return CopyChange(
        follower.kind, state.version, follower.version, (), (), state.digest
    )


def _announcement(follower: Follower) -> CopyChange:
    """Return a change that only says that there is something newer.

    Its digest is no copy's that lacks it, so that no host applies it.
    """
    digest = digest_copy(follower)
    return CopyChange(follower.kind, NO_REVISION, follower.version, (), (), digest)


def _is_announcement(change: CopyChange) -> bool:
    return change.since == NO_REVISION and _has_no_objects(change)


def _bounded(difference: CopyDifference) -> CopyDifference:
    """Return a difference without content where it is too large to be sent unasked."""
    if encoded_bytes(difference) <= LARGEST_NEWS_BYTES:
        return difference
    change = difference.change._replace(since=NO_REVISION, items=(), gone=())
    return CopyDifference(change)


def _has_no_objects(change: CopyChange) -> bool:
    return not (change.items or change.gone)


def _make_copy(follower: Follower) -> Copy:
    items = tuple((i.name, i.version, i.spec) for i in follower.items.values())
    return Copy(follower.kind, follower.version, items)


def _make_unrestored(follower: Follower) -> Copy:
    """Return the objects that the store has lost, as a copy of their era."""
    items = tuple((i.name, i.version, i.spec) for i in follower.unrestored.values())
    newest = max(item.version for item in follower.unrestored.values())
    return Copy(follower.kind, newest, items)


def digest_copy(follower: Follower) -> int:
    """Return a digest of names and versions; equal for copies of equal objects."""
    versions = {name: item.version for name, item in follower.items.items()}
    return _digest_versions(versions, follower.unrestored)


def _digest_versions(
    versions: dict[str, Revision], unrestored: dict[str, Stored]
) -> int:
    names = sorted(
        [
            *(f"{name}\0{version}" for name, version in versions.items()),
            *(f"{name}\0lost {item.version}" for name, item in unrestored.items()),
        ]
    )
    digest = hashlib.blake2b("\n".join(names).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
