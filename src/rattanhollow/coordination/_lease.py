"""A lease kept as one object in the store."""

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio
from result import Result

from rattanhollow.records import RecordError, from_spec, to_spec
from rattanhollow.store import ObjectStore, Stored, StoreFailure, Trouble

LEASE_KIND = "leases"
RENEWALS_IN_DURATION = 4
LOOK_INTERVAL_S = 0.5

Read = Callable[[str, str], Awaitable[Result[Stored, StoreFailure]]]


class LeaseRecord(NamedTuple):
    """Who holds a lease; ``beat`` rises with each renewal, a released one is free."""

    holder: str
    beat: int
    released: bool = False


NOBODY = LeaseRecord("", 0, released=True)


class Lease:
    """One host's part in a lease of ``duration_s``.

    The holder counts from the moment it asked, others from the moment they
    saw the record: while clocks run equally fast, no two hold it at once.
    ``reluctance_s`` makes a host wait longer before it claims a free lease.
    ``read`` stands in for the store's ``get`` where a followed copy is at hand.
    ``terms_held`` counts how often it was gained anew, last at ``gained_at_s``,
    ``had_predecessor`` whether anybody held it before. ``seen_holder`` is who
    held it when the store was last read.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        duration_s: float,
        reluctance_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
        read: Read | None = None,
    ) -> None:
        self._store = store
        self._read = read or store.get
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._reluctance_s = reluctance_s
        self._clock = clock
        self._until_s = float("-inf")
        self._seen: tuple[int, float] = (-1, 0.0)
        self._version = 0
        self.terms_held = 0
        self.gained_at_s = float("-inf")
        self.had_predecessor = True
        self.seen_holder = ""

    def is_held(self) -> bool:
        """Whether this host holds the lease now."""
        return self._clock() < self._until_s

    async def run(self, pause: Callable[[float], Awaitable[None]] = trio.sleep) -> None:
        """Claim the lease once it is free, and renew it; until cancelled."""
        renew_s = self._duration_s / RENEWALS_IN_DURATION
        while True:
            await self.step()
            await pause(renew_s if self.is_held() else min(LOOK_INTERVAL_S, renew_s))

    async def step(self) -> None:
        """Renew the lease, or claim it if its time has come."""
        asked_at_s = self._clock()
        read = await self._read(LEASE_KIND, self._name)
        stored = read.ok()
        if stored is None and read.unwrap_err().trouble is not Trouble.NOT_FOUND:
            return
        record = _record(stored) if stored is not None else NOBODY
        version = stored.version if stored is not None else 0
        self.seen_holder = record.holder
        if record.holder != self._holder and not self._lapsed(version, record):
            return
        wanted = to_spec(LeaseRecord(self._holder, record.beat + 1))
        written = await self._store.put(LEASE_KIND, self._name, wanted, version)
        if written.is_err():
            return
        if not self.is_held():
            self.terms_held += 1
            self.gained_at_s = self._clock()
            self.had_predecessor = stored is not None
        self.seen_holder = self._holder
        self._version = written.unwrap().version
        self._until_s = asked_at_s + self._duration_s

    async def release(self) -> None:
        """Give the lease up, so that another host can claim it at once."""
        if not self.is_held():
            return
        self._until_s = float("-inf")
        wanted = to_spec(LeaseRecord(self._holder, 0, released=True))
        await self._store.put(LEASE_KIND, self._name, wanted, self._version)

    def _lapsed(self, version: int, record: LeaseRecord) -> bool:
        now_s = self._clock()
        if self._seen[0] != version:
            self._seen = (version, now_s)
        needed_s = self._reluctance_s()
        if not record.released:
            needed_s += self._duration_s
        return now_s - self._seen[1] >= needed_s


def _record(stored: Stored) -> LeaseRecord:
    try:
        return from_spec(LeaseRecord, stored.spec)
    except RecordError:
        return NOBODY._replace(released=False)
