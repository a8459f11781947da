"""The hosts of the fleet, as objects in the store, without heartbeats there.

A host writes its record when it starts and deletes it when it leaves. Whether
it lives is watched by its neighbours on a ring, over the links between hosts:
the store hears only of changes.
"""

import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import trio
from result import Ok, Result

from rattanhollow.coordination import ranked
from rattanhollow.observe import log_event
from rattanhollow.peer import HostAnswer, HostQuestion, PeerAddress, Peers
from rattanhollow.records import RecordError, from_spec, to_spec
from rattanhollow.settings import MembershipSettings
from rattanhollow.store import Follower, ObjectStore, Stored, update

HOST_KIND = "hosts"
REPORT_KIND = "reports"
RING_SEED = "ring"
NEIGHBOURS = 2
RETRY_PAUSE_S = 1.0
# Where there are many hosts, a dead one's record does less harm: neighbours are
# asked as rarely as to make this many questions a second over the fleet.
QUESTIONS_PER_S = 40
REPORT_SPREAD_S = 2.0
# Many hosts come at once or not at all, and a new one uses nothing that others
# have to know of before `rate_settle_ms` (1.5 s) are over.
GATHER_S = 0.3


class HostRecord(NamedTuple):
    """What a host says of itself; ``incarnation`` differs each time it starts."""

    name: str
    address: str
    zone: str
    peer_port: int
    public_key: str
    incarnation: str
    leaving: bool = False

    @property
    def peer(self) -> PeerAddress:
        """Where the host answers other hosts."""
        return PeerAddress(self.name, self.address, self.peer_port, self.public_key)


class HostReport(NamedTuple):
    """What operators read of a host; other hosts don't."""

    name: str
    configuration_version: int


class HostDirectory:
    """The hosts heard of; ``on_change`` is called when one comes or goes."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.follower = Follower(
            HOST_KIND, self._take, begins_lagging=True, gather_s=GATHER_S
        )
        self._on_change = on_change
        self._records: dict[str, HostRecord] = {}

    def all(self) -> list[HostRecord]:
        """Return all hosts, leaving ones included."""
        return list(self._records.values())

    @property
    def count(self) -> int:
        """How many hosts there are, leaving ones included."""
        return len(self._records)

    @property
    def changes(self) -> int:
        """How often a record has come, gone or changed."""
        return self.follower.changes

    def staying(self) -> list[HostRecord]:
        """Return the hosts that are not leaving."""
        return [record for record in self._records.values() if not record.leaving]

    def find(self, name: str) -> HostRecord | None:
        """Return a host by name."""
        return self._records.get(name)

    def by_incarnation(self, incarnation: str) -> HostRecord | None:
        """Return a host by its incarnation."""
        for record in self._records.values():
            if record.incarnation == incarnation:
                return record
        return None

    def knows_key(self, public_key: str) -> bool:
        """Whether a CURVE key belongs to a host of the fleet."""
        return any(item.public_key == public_key for item in self._records.values())

    def _take(self, stored: Stored | None, name: str) -> None:
        if stored is None:
            self._records.pop(name, None)
        else:
            try:
                self._records[name] = from_spec(HostRecord, stored.spec)
            except RecordError as error:
                log_event("host.unreadable", host=name, reason=error)
                return
        self._on_change()


class Registration:
    """Keeps this host's own record in the store, and its report if ``reports``.

    ``written`` once the store has the record, ``anew`` unless it had one of an
    earlier start of this host; None before that is known.
    """

    def __init__(
        self,
        store: ObjectStore,
        record: HostRecord,
        rng: random.Random,
        reports: bool = True,
    ) -> None:
        self.record = record
        self._reports = reports
        self._store = store
        self._rng = rng
        self._version = 0
        self._removed = False
        self.written = trio.Event()
        self.anew: bool | None = None
        self._due = trio.Event()

    def set_version(self, configuration_version: int) -> None:
        """Report another configuration in force, soon."""
        self._version = configuration_version
        self._due.set()

    def record_lost(self) -> None:
        """Write the record again: somebody deleted it while this host lives."""
        self._due.set()

    async def announce_leaving(self) -> None:
        """Tell the other hosts that this one leaves."""
        self.record = self.record._replace(leaving=True)
        await self._write(HOST_KIND, to_spec(self.record))

    async def remove(self) -> None:
        """Delete record and report; a host that dies instead is found silent."""
        self._removed = True
        name = self.record.name
        kinds = (HOST_KIND, REPORT_KIND) if self._reports else (HOST_KIND,)
        for kind in kinds:
            found = await self._store.get(kind, name)
            if found.is_ok():
                await self._store.delete(kind, name, found.unwrap().version)

    async def run(self) -> None:
        """Write record and report now and after each change, until cancelled."""
        while not self._removed:
            self._due = trio.Event()
            done = await self._write(HOST_KIND, to_spec(self.record))
            if done:
                self.written.set()
            if done and self._reports:
                report = HostReport(self.record.name, self._version)
                done = await self._write(REPORT_KIND, to_spec(report))
            if not done:
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self._due.wait()
            # A change reaches all hosts at once; their reports are spread.
            await trio.sleep(self._rng.uniform(0, REPORT_SPREAD_S))

    async def _write(self, kind: str, wanted: dict[str, Any]) -> bool:
        def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
            if self.anew is None:
                # Its own creation may have got no answer.
                self.anew = spec is None or spec == wanted
            return Ok(None if spec == wanted else wanted)

        name = self.record.name
        if self.anew is None:
            created = await self._store.put(kind, name, wanted, 0)
            if created.is_ok():
                self.anew = True
                return True
        written = await update(self._store, kind, name, change, attempts=2)
        return written.is_ok()


class NeighbourWatch:
    """Watches the next hosts on the ring, and deletes records of dead ones."""

    def __init__(
        self,
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        peers: Peers,
        store: ObjectStore,
        settings: MembershipSettings,
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._peers = peers
        self._store = store
        self._ask_s = settings.ask_interval_ms / 1000
        self._timeout_ms = settings.ask_timeout_ms
        self._silent_s = settings.silent_after_ms / 1000
        self._silent_since_s: dict[str, float] = {}

    def finds_silent(self, question: HostQuestion) -> bool:
        """Whether this host finds the one asked about silent for long enough."""
        since_s = self._silent_since_s.get(question.incarnation)
        return since_s is not None and time.monotonic() - since_s >= self._silent_s

    async def run(self) -> None:
        """Ask the neighbours now and then, until cancelled."""
        while True:
            hosts = len(self._hosts.all())
            await trio.sleep(max(self._ask_s, hosts * NEIGHBOURS / QUESTIONS_PER_S))
            neighbours = self._after(self._own().name)
            asked = {record.incarnation for record in neighbours}
            for gone in self._silent_since_s.keys() - asked:
                del self._silent_since_s[gone]
            async with trio.open_nursery() as nursery:
                for record in neighbours:
                    nursery.start_soon(self._ask, record)

    async def _ask(self, record: HostRecord) -> None:
        question = HostQuestion(record.name, record.incarnation)
        answer = await self._peers.ask(record.peer, question, self._timeout_ms)
        if answer.is_ok():
            self._silent_since_s.pop(record.incarnation, None)
            return
        self._silent_since_s.setdefault(record.incarnation, time.monotonic())
        if self.finds_silent(question) and await self._seconded(record, question):
            await self._delete(record)

    async def _seconded(self, record: HostRecord, question: HostQuestion) -> bool:
        """Whether the other host that watches this one finds it silent too."""
        watching = [
            other
            for other in self._hosts.all()
            if other.name not in (self._own().name, record.name)
            and record in self._after(other.name)
        ]
        if not watching:
            return True
        answers = [
            (await self._peers.ask(other.peer, question, self._timeout_ms)).ok()
            for other in watching
        ]
        return any(isinstance(a, HostAnswer) and a.silent for a in answers)

    async def _delete(self, record: HostRecord) -> None:
        stored = self._hosts.follower.items.get(record.name)
        if stored is None:
            return
        deleted = await self._store.delete(HOST_KIND, record.name, stored.version)
        log_event("host.silent", host=record.name, deleted=deleted.is_ok())

    def _after(self, name: str) -> list[HostRecord]:
        """Return the hosts that ``name`` watches: the next ones on the ring."""
        records = {record.name: record for record in self._hosts.all()}
        records.setdefault(self._own().name, self._own())
        ring = ranked(RING_SEED, records)
        if name not in ring:
            return []
        at = ring.index(name)
        following = [*ring[at + 1 :], *ring[:at]]
        return [records[other] for other in following[:NEIGHBOURS]]
