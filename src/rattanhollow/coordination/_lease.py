"""A lease that is stored as a single object."""

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio
from result import Result

from rattanhollow.records import RecordError, from_spec, to_spec
from rattanhollow.store import (
    NO_REVISION,
    ObjectStore,
    Revision,
    Stored,
    StoreFailure,
    Trouble,
)

LEASE_KIND = "leases"
RENEWALS_IN_DURATION = 4
CHECK_INTERVAL_S = 0.5

ReadStored = Callable[[str, str], Awaitable[Result[Stored, StoreFailure]]]


class LeaseRecord(NamedTuple):
    """The holder of a lease, which is free if it was ``released``.

    ``beat`` increases with each renewal.
    """

    holder: str
    beat: int
    released: bool = False


UNHELD_RECORD = LeaseRecord("", 0, released=True)


class Lease:
    """One host's participation in a lease of ``duration_s``.

    The holder measures the duration from when it began the renewal, other hosts
    from when they first saw the new record. As long as clocks run equally fast, no
    two hosts hold the lease at once. ``reluctance_s`` is an additional delay before
    this host claims a free lease. ``read`` replaces the store's ``get`` if a cached
    copy is available. ``terms_held`` counts how often this host acquired the lease,
    most recently at ``gained_at_s``; ``had_predecessor`` tells whether a record of
    it existed then. ``seen_holder`` is the holder when the store was last read.

    A new era of the store may have lost the record of a holder. Whoever doesn't hold
    the lease then waits for the duration before it claims it, and a holder that the
    store no longer names gives it up.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        duration_s: float,
        reluctance_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
        read: ReadStored | None = None,
    ) -> None:
        self._store = store
        self._read = read or store.get
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._reluctance_s = reluctance_s
        self._clock = clock
        self._held_until_s = float("-inf")
        self._last_change: tuple[Revision | None, float] = (None, 0.0)
        self._held_version = NO_REVISION
        self._era = 0
        self._claimable_from_s = float("-inf")
        self.terms_held = 0
        self.gained_at_s = float("-inf")
        self.had_predecessor = True
        self.seen_holder = ""

    def is_held(self) -> bool:
        """Whether this host holds the lease now."""
        return self._clock() < self._held_until_s

    async def run(self, pause: Callable[[float], Awaitable[None]] = trio.sleep) -> None:
        """Claim the lease once it is free, and renew it, until cancelled."""
        renew_s = self._duration_s / RENEWALS_IN_DURATION
        while True:
            await self.step()
            await pause(renew_s if self.is_held() else min(CHECK_INTERVAL_S, renew_s))

    async def step(self) -> None:
        """Renew the lease, or claim it if that is due."""
        requested_at_s = self._clock()
        read = await self._read(LEASE_KIND, self._name)
        stored = read.ok()
        if stored is None and read.unwrap_err().trouble is not Trouble.NOT_FOUND:
            return
        record = _parse_record(stored) if stored is not None else UNHELD_RECORD
        version = stored.version if stored is not None else NO_REVISION
        self.seen_holder = record.holder
        self._note_era(version.era if stored is not None else self._store.era())
        if record.holder != self._holder and self._held_version.era != self._era:
            self._held_until_s = float("-inf")
        if not self.is_held() and self._clock() < self._claimable_from_s:
            return
        if record.holder != self._holder and not self._is_claimable(version, record):
            return
        new_spec = to_spec(LeaseRecord(self._holder, record.beat + 1))
        written = await self._store.put(LEASE_KIND, self._name, new_spec, version)
        if written.is_err():
            return
        if written.unwrap().version.era != self._era:
            # The era began as the record was written: its copy may lack a holder.
            self._note_era(written.unwrap().version.era)
            return
        if not self.is_held():
            self.terms_held += 1
            self.gained_at_s = self._clock()
            self.had_predecessor = stored is not None
        self.seen_holder = self._holder
        self._held_version = written.unwrap().version
        self._held_until_s = requested_at_s + self._duration_s

    async def release(self) -> None:
        """Release the lease, so that others can claim it before it expires."""
        if not self.is_held():
            return
        self._held_until_s = float("-inf")
        new_spec = to_spec(LeaseRecord(self._holder, 0, released=True))
        await self._store.put(LEASE_KIND, self._name, new_spec, self._held_version)

    def _note_era(self, era: int) -> None:
        if era != self._era:
            self._claimable_from_s = self._clock() + self._duration_s
        self._era = era

    def _is_claimable(self, version: Revision, record: LeaseRecord) -> bool:
        now_s = self._clock()
        if self._last_change[0] != version:
            self._last_change = (version, now_s)
        required_wait_s = self._reluctance_s()
        if not record.released:
            required_wait_s += self._duration_s
        return now_s - self._last_change[1] >= required_wait_s


def _parse_record(stored: Stored) -> LeaseRecord:
    try:
        return from_spec(LeaseRecord, stored.spec)
    except RecordError:
        return UNHELD_RECORD._replace(released=False)
