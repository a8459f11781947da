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

RETRY_LOW_S = 0.1
RETRY_HIGH_S = 0.6
# The same where there is a copy to go on with: each call counts, a refused one too,
# and others of the availability zone tell meanwhile what they hear.
RETRY_COPIED_HIGH_S = 1.5
# How often a host that needs not watch looks whether it has to. It compares its
# copies with other hosts meanwhile.
INACTIVE_LOOK_S = 1.5
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


class Follower:
    """The newest known objects of one kind; their versions never go back.

    ``heard_at_s`` is the monotonic time of the last sign of life. ``must_list``
    where a watch can't go on from ``version``. ``changes`` counts what changed.
    ``begins_lagging`` where the first list may be seconds old; ``gather_s`` is how
    long changes are gathered before the next call.
    """

    def __init__(
        self,
        kind: str,
        on_change: Callable[[Stored | None, str], None],
        begins_lagging: bool = False,
        gather_s: float = GATHER_S,
    ):
        self.kind = kind
        self.begins_lagging = begins_lagging
        self.gather_s = gather_s
        self.items: dict[str, Stored] = {}
        self.version = 0
        self.heard_at_s = 0.0
        self.listed = trio.Event()
        self.must_list = True
        self.changes = 0
        # The last objects that went, with a version by which they had; all that
        # went behind another version are among them.
        self._gone: dict[str, int] = {}
        self._gone_known_from = 0
        # Set where other hosts are sent differences of large objects.
        self.keeps_steps = False
        # The encoded size of each object, and the last steps of the large ones.
        self._sizes: dict[str, int] = {}
        self._steps: dict[str, list[Step]] = {}
        self._on_change = on_change

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
        if not self.listed.is_set():
            self._gone_known_from = listing.version
        names = {item.name for item in listing.items}
        for name in [name for name in self.items if name not in names]:
            self._forget(name, listing.version)
        for item in listing.items:
            self._take(item)
        self.version = listing.version
        self.must_list = False
        self.listed.set()

    def changes_since(self, version: int) -> Changes | None:
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

    def steps_since(self, name: str, version: int) -> list[Step] | None:
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

    def last_base(self) -> int:
        """Return the version before the last change of a large object, 0 if unknown."""
        return max((s[-1].base_version for s in self._steps.values() if s), default=0)

    def take_changes(
        self, version: int, changes: Changes, steps: Sequence[Step] = ()
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
        self.items[item.name] = item
        if self.keeps_steps:
            self._sizes[item.name] = _encoded_bytes(item)
            self._note_steps(known, item, steps)
        self._gone.pop(item.name, None)
        self.changes += 1
        self._report(item, item.name)

    def _note_steps(
        self, known: Stored | None, item: Stored, steps: Sequence[Step]
    ) -> None:
        """Keep what turned the known version of a large object into the newest."""
        if known is None or not self.is_large(item.name):
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

    def _forget(self, name: str, version: int) -> None:
        if self.items.pop(name, None) is None:
            return
        self._sizes.pop(name, None)
        self._steps.pop(name, None)
        self._gone[name] = version
        if len(self._gone) > GONE_KEPT:
            oldest = min(self._gone, key=lambda gone: self._gone[gone])
            self._gone_known_from = self._gone.pop(oldest)
        self.changes += 1
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
    recovered store at once.
    """
    pause_s = RETRY_LOW_S
    while True:
        if follower.listed.is_set() and not active():
            await trio.sleep(INACTIVE_LOOK_S)
            continue
        changes, called_at_s = follower.changes, trio.current_time()
        if follower.must_list:
            heard = await _list(store, follower)
        else:
            heard = await _watch(store, follower)
        if follower.changes != changes:
            changed(follower)
            await trio.sleep(follower.gather_s)
        if heard:
            pause_s = RETRY_LOW_S
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
            return True
        return heard
    return heard
