"""Keeping a copy of all objects of a kind up to date."""

import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from rattanhollow.observe import log_event, log_failure
from rattanhollow.store._api import (
    Event,
    EventType,
    Listing,
    ObjectStore,
    Stored,
    Trouble,
)
from rattanhollow.store._difference import (
    LARGE_OBJECT_BYTES,
    Step,
    encode_content,
    make_step,
)
from rattanhollow.store._revision import NO_REVISION, Revision

RETRY_LOW_S = 0.1
RETRY_HIGH_S = 0.6
# The same where there is a copy to go on with: each call counts, a refused one too,
# and others of the availability zone tell meanwhile what they hear.
RETRY_COPIED_HIGH_S = 1.5
# How often a host that needs not watch looks whether it has to. It compares its
# copies with other hosts meanwhile.
INACTIVE_LOOK_S = 1.5
# How long what the store has lost may be missing until it is written again: as long as
# a description that lapsed while the store was away.
REWRITE_GRACE_S = 2.5
# How long what changes together is waited for, so that one more call hears of it.
GATHER_S = 0.05
# Hosts compare copies every second or two: far fewer objects go meanwhile.
GONE_KEPT = 256
# The steps kept of a large object: changes of minutes, and a few hundred bytes each.
STEPS_KEPT = 32
# A larger step is not sent: the whole copy, in pieces, takes hardly longer.
LARGEST_STEP_BYTES = 8 * 1024
# What encoding a content may raise that others wrote into the store.
_NOT_ENCODABLE = (ValueError, TypeError, OverflowError, RecursionError)


class Changes(NamedTuple):
    """Objects that changed, and the names of those that went."""

    items: list[Stored]
    gone: list[str]


def _unknown_order(known: Stored, listed: Stored) -> bool | None:
    return None


class Follower:
    """The newest known objects of one kind; their versions never go back.

    ``heard_at_s`` is the monotonic time of the last sign of life. ``must_list``
    where a watch can't go on from ``version``. ``changes`` counts what changed.
    ``begins_lagging`` where the first list may be seconds old; ``gather_s`` is how
    long changes are gathered before the next call.

    ``items`` are the store's, in its newest era. At the start of an era the store may
    have lost changes, which their writers make again. ``is_newer(known, listed)`` tells
    whether an object that it lists then was written after the known one, None if nobody
    can tell. ``on_change`` does not hear of an older object: ``unrestored`` holds the
    known one until the store has that or a later one. It hears of what may be older,
    and of what is missing, after ``REWRITE_GRACE_S``.
    """

    def __init__(
        self,
        kind: str,
        on_change: Callable[[Stored | None, str], None],
        begins_lagging: bool = False,
        gather_s: float = GATHER_S,
        is_newer: Callable[[Stored, Stored], bool | None] = _unknown_order,
    ):
        self.kind = kind
        self.begins_lagging = begins_lagging
        self.gather_s = gather_s
        self.items: dict[str, Stored] = {}
        self.version = NO_REVISION
        self.unrestored: dict[str, Stored] = {}
        self.era_begun = trio.Event()
        self.heard_at_s = 0.0
        self.listed = trio.Event()
        self.must_list = True
        self.changes = 0
        # The last objects that went, with a version by which they had; all that
        # went behind another version are among them.
        self._gone: dict[str, Revision] = {}
        self._gone_known_from = NO_REVISION
        # What was last reported of objects whose change is withheld.
        self._withheld: dict[str, Stored] = {}
        # Set where other hosts are sent differences of large objects.
        self.keeps_steps = False
        # The encoded size of each object, and the last steps of the large ones.
        self._sizes: dict[str, int] = {}
        self._steps: dict[str, list[Step]] = {}
        self._on_change = on_change
        self._is_newer = is_newer

    def take_list(self, listing: Listing) -> None:
        """Take a full list, unless it is older than what is known."""
        if listing.version < self.version:
            log_event(
                "store.list_stale",
                kind=self.kind,
                version=listing.version,
                known_version=self.version,
            )
            return
        self._heard()
        self.take_copy(listing)

    def take_copy(self, listing: Listing) -> None:
        """Take a full list that another host has; it must be newer.

        It carries a version of the store: a watch can go on from there.
        """
        begins_era = listing.version.era != self.version.era
        if begins_era or not self.listed.is_set():
            # What went in an earlier era is known by revisions that mean others now.
            self._gone.clear()
            self._gone_known_from = listing.version
        names = {item.name for item in listing.items}
        for name in [name for name in self.items if name not in names]:
            self._forget(name, listing.version)
        for item in listing.items:
            self._take(item)
        self.version = listing.version
        self.must_list = False
        if begins_era and self.listed.is_set():
            log_event(
                "copy.era_begun",
                kind=self.kind,
                version=listing.version,
                unrestored=len(self.unrestored),
                withheld=len(self._withheld),
            )
            self.era_begun.set()
            self.era_begun = trio.Event()
        self.listed.set()

    def offer_unrestored(self, items: Sequence[Stored]) -> bool:
        """Take what the store has lost and another host knows; whether it was news."""
        is_news = False
        for item in items:
            known = self.unrestored.get(item.name) or self.items.get(item.name)
            outranks = known is None or self._is_newer(item, known) is False
            if item.version.era >= self.version.era or not outranks:
                continue
            self.unrestored[item.name] = item
            self.changes += 1
            self._report(item, item.name)
            is_news = True
        return is_news

    def report_withheld(self) -> None:
        """Report the changes that were withheld."""
        names = list(self._withheld)
        self._withheld.clear()
        for name in names:
            self._report(self.items.get(name), name)

    def changes_since(self, version: Revision) -> Changes | None:
        """Return what changed behind a version, None where that isn't known."""
        if version < self._gone_known_from:
            return None
        items = [item for item in self.items.values() if item.version > version]
        gone = [name for name, went in self._gone.items() if went > version]
        return Changes(items, gone)

    @property
    def encoded_bytes(self) -> int:
        """The size of all objects together, uncompressed."""
        return sum(self._sizes.values())

    def encoded_bytes_of(self, name: str) -> int:
        """Return the size of one object."""
        return self._sizes.get(name, 0)

    def is_large(self, name: str) -> bool:
        """Whether an object travels as differences."""
        return self.encoded_bytes_of(name) >= LARGE_OBJECT_BYTES

    def large_names(self) -> list[str]:
        """Return the names of the objects that travel as differences."""
        return [name for name in self._sizes if self.is_large(name)]

    def steps_since(self, name: str, version: Revision) -> list[Step] | None:
        """Return the steps of an object behind a version, None where one is unknown.

        ``version`` may be any at which the object was as its newest version up to it.
        """
        known = self.items.get(name)
        if known is None:
            return None
        steps = [s for s in self._steps.get(name, []) if s.version > version]
        if not steps:
            return [] if known.version <= version else None
        return steps if steps[0].base_version <= version else None

    def last_base(self) -> Revision:
        """Return the version before the last change of a large object.

        `NO_REVISION` if it is unknown.
        """
        bases = [steps[-1].base_version for steps in self._steps.values() if steps]
        return max(bases, default=NO_REVISION)

    def take_changes(
        self, version: Revision, changes: Changes, steps: Sequence[Step] = ()
    ) -> None:
        """Take what changed behind this copy's version, until ``version``.

        ``steps`` are those that gave the large objects among the items.
        """
        for name in changes.gone:
            self._forget(name, version)
        for item in changes.items:
            self._take(item, [step for step in steps if step.name == item.name])
        self.version = version

    def take_event(self, event: Event) -> None:
        """Take one report of a watch; an older version is ignored."""
        self._heard()
        if event.item.version.era != self.version.era:
            self.must_list = True
            return
        if event.item.version < self.version:
            return
        self.version = event.item.version
        if event.type is EventType.CHANGED:
            self._take(event.item)
        elif event.type is EventType.DELETED:
            self._forget(event.item.name, event.item.version)

    def offer(self, item: Stored) -> None:
        """Take one object that was read or written beside the watch."""
        self._take(item)

    def _take(self, item: Stored, steps: Sequence[Step] = ()) -> None:
        known = self.items.get(item.name)
        if known is not None and known.version >= item.version:
            return
        begins_era = known is not None and known.version.era != item.version.era
        self.items[item.name] = item
        if self.keeps_steps:
            self._sizes[item.name] = _encoded_bytes(item)
            self._note_steps(known, item, steps)
        self._gone.pop(item.name, None)
        self.changes += 1
        if known is not None and begins_era:
            self._report_listed(known, item)
        else:
            self._report_written(item)

    def _report_listed(self, known: Stored, item: Stored) -> None:
        """Report an object of a new era, unless it may be older than the known one."""
        name = item.name
        reported = self.unrestored.get(name) or self._withheld.get(name) or known
        is_newer = (
            True if reported.spec == item.spec else self._is_newer(reported, item)
        )
        self._withheld.pop(name, None)
        if is_newer is None:
            self._withheld[name] = reported
        elif is_newer:
            self.unrestored.pop(name, None)
            self._report(item, name)
        else:
            self.unrestored[name] = reported

    def _report_written(self, item: Stored) -> None:
        """Report an object that was written in the present era."""
        self._withheld.pop(item.name, None)
        lost = self.unrestored.get(item.name)
        if lost is not None and self._is_newer(lost, item) is False:
            return
        self.unrestored.pop(item.name, None)
        self._report(item, item.name)

    def _note_steps(
        self, known: Stored | None, item: Stored, steps: Sequence[Step]
    ) -> None:
        """Keep what turned the known version of a large object into the newest."""
        same_era = known is not None and known.version.era == item.version.era
        if known is None or not same_era or not self.is_large(item.name):
            self._steps.pop(item.name, None)
            return
        steps = [step for step in steps if step.base_version >= known.version]
        if not steps:
            base, result = (known.version, known.spec), (item.version, item.spec)
            try:
                steps = [make_step(item.name, base, result)]
            except _NOT_ENCODABLE:
                self._steps.pop(item.name, None)
                return
        if any(len(step.content) > LARGEST_STEP_BYTES for step in steps):
            self._steps.pop(item.name, None)
            return
        kept = [*self._steps.get(item.name, ()), *steps]
        self._steps[item.name] = kept[-STEPS_KEPT:]

    def _forget(self, name: str, version: Revision) -> None:
        known = self.items.pop(name, None)
        if known is None:
            return
        self._sizes.pop(name, None)
        self._steps.pop(name, None)
        self._gone[name] = version
        if len(self._gone) > GONE_KEPT:
            oldest = min(self._gone, key=lambda gone: self._gone[gone])
            self._gone_known_from = self._gone.pop(oldest)
        self.changes += 1
        if known.version.era != version.era:
            self._withheld.setdefault(name, self.unrestored.get(name, known))
            return
        self._withheld.pop(name, None)
        self.unrestored.pop(name, None)
        self._report(None, name)

    def _report(self, item: Stored | None, name: str) -> None:
        try:
            self._on_change(item, name)
        except Exception as error:
            # One object must not keep the others from being taken.
            log_failure("store.object_failed", error, kind=self.kind, name=name)

    def _heard(self) -> None:
        self.heard_at_s = time.monotonic()


def _encoded_bytes(item: Stored) -> int:
    try:
        return len(encode_content(item.spec))
    except _NOT_ENCODABLE:
        # It can't be sent to other hosts in any way.
        return 0


async def follow(
    store: ObjectStore,
    follower: Follower,
    rng: random.Random,
    active: Callable[[], bool] = lambda: True,
    changed: Callable[[Follower], None] = lambda follower: None,
) -> None:
    """List, then watch, then start again; runs until cancelled.

    Where another host watches for this one, ``active()`` is False: then there is
    one list at the start only, and none where a copy was taken before. ``changed``
    hears of what the store told.
    Pauses between failures are random, so that many hosts don't return to a
    recovered store at once. There is one between a watch that can't go on and the list,
    too.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report_withheld, follower)
        await _follow(store, follower, rng, active, changed)


async def _report_withheld(follower: Follower) -> None:
    """Report what a new era has changed and nobody has written again in time."""
    while True:
        await follower.era_begun.wait()
        era: int | None = None
        while era != follower.version.era:
            era = follower.version.era
            await trio.sleep(REWRITE_GRACE_S)
        follower.report_withheld()


async def _follow(
    store: ObjectStore,
    follower: Follower,
    rng: random.Random,
    active: Callable[[], bool],
    changed: Callable[[Follower], None],
) -> None:
    pause_s = RETRY_LOW_S
    is_watch_broken = False
    while True:
        if follower.listed.is_set() and not active():
            await trio.sleep(INACTIVE_LOOK_S)
            continue
        changes, called_at_s = follower.changes, trio.current_time()
        if follower.must_list:
            heard = await _list(store, follower)
        else:
            heard = await _watch(store, follower)
            is_watch_broken = follower.must_list
        if follower.changes != changes:
            changed(follower)
            await trio.sleep(follower.gather_s)
        if heard:
            # A list proves nothing about a watch that could not go on.
            pause_s = pause_s if is_watch_broken else RETRY_LOW_S
            continue
        # A call that got no answer in its time has waited already.
        waited_s = trio.current_time() - called_at_s
        await trio.sleep(max(0.0, rng.uniform(pause_s / 2, pause_s) - waited_s))
        copied = follower.listed.is_set()
        pause_s = min(pause_s * 2, RETRY_COPIED_HIGH_S if copied else RETRY_HIGH_S)


async def _list(store: ObjectStore, follower: Follower) -> bool:
    """Take a list; whether the store was heard."""
    lagging = follower.begins_lagging and not follower.listed.is_set()
    listed = await (store.list_lagging if lagging else store.list)(follower.kind)
    if listed.is_err():
        log_event("store.list_failed", kind=follower.kind, reason=listed.unwrap_err())
        return False
    follower.take_list(listed.unwrap())
    follower.must_list = False
    return True


async def _watch(store: ObjectStore, follower: Follower) -> bool:
    """Watch until the watch ends; whether the store was heard at all."""
    heard = False
    async for event in store.watch(follower.kind, follower.version):
        if event.is_ok():
            heard = True
            follower.take_event(event.unwrap())
            continue
        failure = event.unwrap_err()
        log_event("store.watch_failed", kind=follower.kind, reason=failure)
        if failure.trouble is Trouble.GONE:
            follower.must_list = True
            return False
        return heard and not follower.must_list
    return heard and not follower.must_list
