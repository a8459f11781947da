"""Host records in the store, and failure detection between neighbouring hosts.

A host writes its record when it starts and deletes it when it leaves. Its neighbours
on a ring check over the connections between hosts whether it is alive. No heartbeats
go through the store; it is called only for changes.
"""

import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio
from result import Ok, Result

from rattanhollow.coordination import ranked
from rattanhollow.observe import log_event
from rattanhollow.peer import HostAnswer, HostQuestion, PeerAddress, Peers
from rattanhollow.records import RecordError, from_spec, to_spec
from rattanhollow.settings import MembershipSettings
from rattanhollow.store import (
    NO_REVISION,
    Follower,
    ObjectStore,
    Revision,
    Stored,
    update,
)

HOST_KIND = "hosts"
REPORT_KIND = "reports"
RING_SEED = "ring"
NEIGHBOURS_PER_HOST = 2
RETRY_PAUSE_S = 1.0
# Upper limit for neighbour queries of the whole fleet: each host queries less often in
# a larger fleet, where the record of one dead host does less harm.
FLEET_QUERIES_PER_S = 40
REPORT_JITTER_S = 2.0
# All hosts hear of a new era at once, and each may have a record to write: 195 of them
# within this time are 160 calls a second.
RESTORE_JITTER_S = 1.2
# Hosts usually join either in large numbers at once or not at all. Batching delays
# nothing that matters: a new host uses nothing that others have to know of until
# `rate_settle_ms` (1.5 s) have passed.
CHANGE_BATCH_S = 0.3


class HostRecord(NamedTuple):
    """A host as it describes itself; ``incarnation`` is unique to each start."""

    name: str
    address: str
    zone: str
    peer_port: int
    public_key: str
    incarnation: str
    leaving: bool = False

    @property
    def peer(self) -> PeerAddress:
        """The address at which other hosts connect to this one."""
        return PeerAddress(self.name, self.address, self.peer_port, self.public_key)


class HostReport(NamedTuple):
    """The status of a host for operators; other hosts do not read it."""

    name: str
    configuration_version: int


class HostDirectory:
    """All known hosts.

    ``on_change`` is called when a record is added, changed or removed.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.follower = Follower(
            HOST_KIND, self._apply_record, begins_lagging=True, gather_s=CHANGE_BATCH_S
        )
        self._on_change = on_change
        self._records: dict[str, HostRecord] = {}

    def all(self) -> list[HostRecord]:
        """Return all hosts, including those that are leaving."""
        return list(self._records.values())

    @property
    def count(self) -> int:
        """The number of hosts, including those that are leaving."""
        return len(self._records)

    @property
    def changes(self) -> int:
        """The number of times that a record was added, changed or removed."""
        return self.follower.changes

    def active_hosts(self) -> list[HostRecord]:
        """Return the hosts that are not leaving."""
        return [record for record in self._records.values() if not record.leaving]

    def find(self, name: str) -> HostRecord | None:
        """Return the host with this name, if it is known."""
        return self._records.get(name)

    def find_by_incarnation(self, incarnation: str) -> HostRecord | None:
        """Return the host with this incarnation, if it is known."""
        for record in self._records.values():
            if record.incarnation == incarnation:
                return record
        return None

    def has_public_key(self, public_key: str) -> bool:
        """Whether a CURVE key belongs to a host of the fleet."""
        return any(item.public_key == public_key for item in self._records.values())

    def _apply_record(self, stored: Stored | None, name: str) -> None:
        if stored is None:
            self._records.pop(name, None)
        else:
            try:
                record = from_spec(HostRecord, stored.spec)
            except RecordError as error:
                log_event("host.unreadable", host=name, reason=error)
                return
            if record.name != name:
                log_event("host.unreadable", host=name, reason="another host's name")
                return
            self._records[name] = record
        self._on_change()


async def _unknown_version() -> Revision:
    return NO_REVISION


class Registration:
    """Keeps this host's record in the store, and with ``reports`` also its report.

    ``find_version()`` returns the version of the record of a previous start, or
    `NO_REVISION`: replacing it takes one call, finding it by a refused creation three.

    ``written`` is set once the store has the record. ``is_first_registration`` is
    False if the store still had the record of a previous start of this host, and
    None until that is known.
    """

    def __init__(
        self,
        store: ObjectStore,
        record: HostRecord,
        rng: random.Random,
        reports: bool = True,
        find_version: Callable[[], Awaitable[Revision]] | None = None,
    ) -> None:
        self.record = record
        self._find_version = find_version or _unknown_version
        self._writes_report = reports
        self._store = store
        self._rng = rng
        self._version = 0
        self._removed = False
        self.written = trio.Event()
        self.is_first_registration: bool | None = None
        self._write_needed = trio.Event()

    def set_configuration_version(self, configuration_version: int) -> None:
        """Schedule a report of the configuration version that is now in force."""
        self._version = configuration_version
        self._write_needed.set()

    def restore_record(self) -> None:
        """Schedule writing the record again after it was deleted by mistake.

        ``written`` is set anew once the store has it.
        """
        if self.written.is_set():
            self.written = trio.Event()
        self._write_needed.set()

    async def restore_in_new_eras(self, hosts: Follower) -> None:
        """Write the record again where the store has lost it, until cancelled.

        A new era may begin without it, or with that of a previous start.
        """
        while True:
            await hosts.era_begun.wait()
            await trio.sleep(self._rng.uniform(0, RESTORE_JITTER_S))
            listed = hosts.items.get(self.record.name)
            is_listed = listed is not None and listed.spec == to_spec(self.record)
            if self.written.is_set() and not is_listed and not self._removed:
                log_event("host.lost", host=self.record.name, version=hosts.version)
                self.restore_record()

    async def announce_leaving(self) -> None:
        """Mark the record as leaving, so that the other hosts see it."""
        self.record = self.record._replace(leaving=True)
        await self._write(HOST_KIND, to_spec(self.record))

    async def remove(self) -> None:
        """Delete record and report.

        The record of a host that dies instead is deleted by its neighbours.
        """
        self._removed = True
        name = self.record.name
        kinds = (HOST_KIND, REPORT_KIND) if self._writes_report else (HOST_KIND,)
        for kind in kinds:
            found = await self._store.get(kind, name)
            if found.is_ok():
                await self._store.delete(kind, name, found.unwrap().version)

    async def run(self) -> None:
        """Write record and report now and after each change, until cancelled."""
        while not self._removed:
            self._write_needed = trio.Event()
            is_written = await self._write(HOST_KIND, to_spec(self.record))
            if is_written:
                self.written.set()
            if is_written and self._writes_report:
                report = HostReport(self.record.name, self._version)
                is_written = await self._write(REPORT_KIND, to_spec(report))
            if not is_written:
                # Many hosts that start together must not come back together.
                await trio.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
                continue
            await self._write_needed.wait()
            if self._writes_report:
                # All hosts receive a change at once; the jitter spreads their writes.
                await trio.sleep(self._rng.uniform(0, REPORT_JITTER_S))

    async def _write(self, kind: str, desired_spec: dict[str, Any]) -> bool:
        def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
            if self.is_first_registration is None:
                # An equal record is from a write whose response was lost.
                is_first = spec is None or spec == desired_spec
                self.is_first_registration = is_first and known_version == NO_REVISION
            return Ok(None if spec == desired_spec else desired_spec)

        name, known_version = self.record.name, NO_REVISION
        if self.is_first_registration is None:
            known_version = await self._find_version()
            put = await self._store.put(kind, name, desired_spec, known_version)
            if put.is_ok():
                self.is_first_registration = known_version == NO_REVISION
                return True
        written = await update(self._store, kind, name, change, attempts=2)
        return written.is_ok()


class NeighbourWatch:
    """Checks the next hosts on the ring, and deletes the records of dead ones."""

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
        self._query_interval_s = settings.ask_interval_ms / 1000
        self._timeout_ms = settings.ask_timeout_ms
        self._silent_s = settings.silent_after_ms / 1000
        self._silent_since_s: dict[str, float] = {}

    def considers_silent(self, request: HostQuestion) -> bool:
        """Whether the host in ``request`` has been silent here for long enough."""
        silent_since_s = self._silent_since_s.get(request.incarnation)
        return (
            silent_since_s is not None
            and time.monotonic() - silent_since_s >= self._silent_s
        )

    async def run(self) -> None:
        """Query the neighbours periodically, until cancelled."""
        while True:
            hosts = len(self._hosts.all())
            await trio.sleep(
                max(
                    self._query_interval_s,
                    hosts * NEIGHBOURS_PER_HOST / FLEET_QUERIES_PER_S,
                )
            )
            neighbours = self._hosts_watched_by(self._own().name)
            watched = {record.incarnation for record in neighbours}
            for gone in self._silent_since_s.keys() - watched:
                del self._silent_since_s[gone]
            async with trio.open_nursery() as nursery:
                for record in neighbours:
                    nursery.start_soon(self._query, record)

    async def _query(self, record: HostRecord) -> None:
        request = HostQuestion(record.name, record.incarnation)
        response = await self._peers.ask(record.peer, request, self._timeout_ms)
        if response.is_ok():
            self._silent_since_s.pop(record.incarnation, None)
            return
        self._silent_since_s.setdefault(record.incarnation, time.monotonic())
        if self.considers_silent(request) and await self._is_silent_for_others(
            record, request
        ):
            await self._delete_record(record)

    async def _is_silent_for_others(
        self, record: HostRecord, request: HostQuestion
    ) -> bool:
        """Whether another host that watches this one also considers it silent.

        True if no other host watches it.
        """
        watchers = [
            other
            for other in self._hosts.all()
            if other.name not in (self._own().name, record.name)
            and record in self._hosts_watched_by(other.name)
        ]
        if not watchers:
            return True
        responses = [
            (await self._peers.ask(other.peer, request, self._timeout_ms)).ok()
            for other in watchers
        ]
        return any(isinstance(a, HostAnswer) and a.silent for a in responses)

    async def _delete_record(self, record: HostRecord) -> None:
        stored = self._hosts.follower.items.get(record.name)
        current = self._hosts.find(record.name)
        if stored is None or current is None:
            return
        if current.incarnation != record.incarnation:
            # The host has started again since it was found silent.
            return
        deleted = await self._store.delete(HOST_KIND, record.name, stored.version)
        log_event("host.silent", host=record.name, deleted=deleted.is_ok())

    def _hosts_watched_by(self, name: str) -> list[HostRecord]:
        """Return the hosts that ``name`` watches, which are the next on the ring."""
        records = {record.name: record for record in self._hosts.all()}
        records.setdefault(self._own().name, self._own())
        ring = ranked(RING_SEED, records)
        if name not in ring:
            return []
        own_index = ring.index(name)
        successors = [*ring[own_index + 1 :], *ring[:own_index]]
        return [records[other] for other in successors[:NEIGHBOURS_PER_HOST]]
