"""The hosts of the fleet, as objects in the store."""

import time
from typing import Any, NamedTuple

import trio
from result import Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.peer import PeerAddress
from rattanhollow.records import RecordError, from_spec, to_spec
from rattanhollow.store import Follower, ObjectStore, Stored, update

HOST_KIND = "hosts"
BEAT_INTERVAL_S = 10.0
SILENT_AFTER_S = 30.0
RETRY_PAUSE_S = 1.0


class HostRecord(NamedTuple):
    """What a host says of itself.

    ``incarnation`` differs each time it starts; ``beat`` rises with each
    heartbeat; ``configuration_version`` is the one in force there.
    """

    name: str
    address: str
    zone: str
    peer_port: int
    public_key: str
    incarnation: str
    leaving: bool = False
    beat: int = 0
    configuration_version: int = 0

    @property
    def peer(self) -> PeerAddress:
        """Where the host answers other hosts."""
        return PeerAddress(self.name, self.address, self.peer_port, self.public_key)


class HostDirectory:
    """The hosts heard of; who is silent is judged by when the store was heard."""

    def __init__(self) -> None:
        self.follower = Follower(HOST_KIND, self._take)
        self._records: dict[str, HostRecord] = {}
        self._changed_at_s: dict[str, float] = {}

    def live(self) -> list[HostRecord]:
        """Return the hosts that beat lately and are not leaving.

        While the store is silent, nobody is taken for silent.
        """
        oldest_s = self.follower.heard_at_s - SILENT_AFTER_S
        return [
            record
            for name, record in self._records.items()
            if self._changed_at_s[name] >= oldest_s and not record.leaving
        ]

    def knows_key(self, public_key: str) -> bool:
        """Whether a CURVE key belongs to a host of the fleet."""
        return any(item.public_key == public_key for item in self._records.values())

    def _take(self, stored: Stored | None, name: str) -> None:
        if stored is None:
            self._records.pop(name, None)
            self._changed_at_s.pop(name, None)
            return
        try:
            self._records[name] = from_spec(HostRecord, stored.spec)
        except RecordError as error:
            log_event("host.unreadable", host=name, reason=error)
            return
        self._changed_at_s[name] = time.monotonic()


class Registration:
    """Keeps this host's own record in the store."""

    def __init__(self, store: ObjectStore, record: HostRecord) -> None:
        self.record = record
        self._store = store
        self._due = trio.Event()

    def set_version(self, configuration_version: int) -> None:
        """Report another configuration in force, soon."""
        self.record = self.record._replace(configuration_version=configuration_version)
        self._due.set()

    async def announce_leaving(self) -> None:
        """Report that the host leaves."""
        self.record = self.record._replace(leaving=True)
        await self._write()

    async def run(self) -> None:
        """Write the record now, after each change, and as a heartbeat."""
        while True:
            self._due = trio.Event()
            self.record = self.record._replace(beat=self.record.beat + 1)
            if await self._write():
                with trio.move_on_after(BEAT_INTERVAL_S):
                    await self._due.wait()
            else:
                await trio.sleep(RETRY_PAUSE_S)

    async def _write(self) -> bool:
        wanted = to_spec(self.record)

        def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
            return Ok(None if spec == wanted else wanted)

        name = self.record.name
        written = await update(self._store, HOST_KIND, name, change, attempts=2)
        return written.is_ok()
