"""The backend servers of all services, and who is held to lead each."""

import time
from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Result

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer
from rattanhollow.store import Stored

# A description may lapse while the store is away; the platform says that it is
# back within about two seconds if its server lives.
MISSING_GRACE_S = 2.5
# A server without a description may still be used while its primary's place is
# given to another one; operators allow several seconds for that.
FORGET_AFTER_S = 5.5

Reader = Callable[[Stored], Result[BackendServer, str]]


class _Proof(NamedTuple):
    """A server that proved that it led, and the newest description by then."""

    server: str
    version: int


class ServerDirectory:
    """What the store says of backend servers, and what was learned beside it."""

    def __init__(
        self, read: Reader, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._read = read
        self._clock = clock
        self._servers: dict[str, BackendServer] = {}
        self._missing_since_s: dict[str, float] = {}
        self._leads_since: dict[str, int] = {}
        self._denied: dict[str, int] = {}
        self._proven: dict[str, _Proof] = {}
        self._unreadable: dict[str, str] = {}
        self._anew_at_s: dict[str, float] = {}
        self._replica_lost_at_s: dict[str, float] = {}
        self._changed = trio.Event()

    def apply_description(self, stored: Stored | None, name: str) -> None:
        """Take a description that was written, or its removal."""
        if stored is None:
            self._lose(name)
            return
        read = self._read(stored)
        if read.is_err():
            self._report_unreadable(name, read.unwrap_err())
            self._lose(name)
            return
        self._unreadable.pop(name, None)
        server = read.unwrap()
        known = self._servers.get(name)
        self._servers[name] = server
        if known is not None and known.born_ms != server.born_ms:
            self._anew_at_s[name] = self._clock()
        self._missing_since_s.pop(name, None)
        if not server.leads:
            self._leads_since.pop(name, None)
        elif known is None or not known.leads or known.born_ms != server.born_ms:
            self._leads_since[name] = server.version
        if known != server._replace(version=known.version if known else 0):
            self._tell()
            log_event(
                "server.described",
                server=name,
                service=server.service,
                zone=server.zone,
                leads=server.leads,
                draining=server.draining,
                version=server.version,
            )

    def is_missing(self, server_id: str) -> bool:
        """Whether a server is to be held for gone: no description since a while."""
        since_s = self._missing_since_s.get(server_id)
        return since_s is not None and self._clock() - since_s > MISSING_GRACE_S

    def restarted_at_s(self, server_id: str) -> float | None:
        """Return when a server was seen to have started again, None if never."""
        return self._anew_at_s.get(server_id)

    def replica_missing_at_s(self, service: str) -> float | None:
        """Return when a replica of a service was last seen to be gone."""
        return self._replica_lost_at_s.get(service)

    async def wait_for_change(self, at_most_s: float) -> None:
        """Wait until something changes about the servers, or who leads."""
        with trio.move_on_after(at_most_s):
            await self._changed.wait()

    def find(self, server_id: str) -> BackendServer | None:
        """Return a server by its identifier."""
        self._purge()
        return self._servers.get(server_id)

    def list_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service, leaving ones included."""
        self._purge()
        return [item for item in self._servers.values() if item.service == service]

    def services(self) -> set[str]:
        """Return the services that have servers."""
        return {item.service for item in self._servers.values()}

    def leader(self, service: str) -> BackendServer | None:
        """Return the server that is held to lead, None where none is."""
        members = {item.id: item for item in self.list_servers(service)}
        claims = {
            name: since
            for name, since in self._leads_since.items()
            if name in members and self._denied.get(name, -1) < members[name].version
        }
        newest = max(claims, key=lambda name: claims[name], default=None)
        proof = self._proven.get(service)
        if proof is not None and proof.server in members:
            if newest is None or claims[newest] <= proof.version:
                return members[proof.server]
        return members[newest] if newest is not None else None

    def record_leader_proof(self, service: str, server_id: str) -> None:
        """Note that a server proved that it leads."""
        proof = self._proven.get(service)
        if proof is not None and proof.server == server_id:
            return
        newest = max((item.version for item in self._servers.values()), default=0)
        self._proven[service] = _Proof(server_id, newest)
        self._denied.pop(server_id, None)
        self._tell()
        log_event("leader.proven", service=service, server=server_id, version=newest)

    def record_leader_denial(self, server_id: str) -> None:
        """Note that a server said that it doesn't lead."""
        server = self._servers.get(server_id)
        if server is None:
            return
        if self._denied.get(server_id, -1) < server.version:
            log_event("leader.denied", service=server.service, server=server_id)
        self._denied[server_id] = server.version
        proof = self._proven.get(server.service)
        if proof is not None and proof.server == server_id:
            del self._proven[server.service]

    def _tell(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _lose(self, name: str) -> None:
        server = self._servers.get(name)
        if server is None or name in self._missing_since_s:
            return
        log_event("server.missing", server=name, draining=server.draining)
        leader = self.leader(server.service)
        if leader is None or leader.id != name:
            self._replica_lost_at_s[server.service] = self._clock()
        if server.draining:
            self._forget(name)
        else:
            self._missing_since_s[name] = self._clock()

    def _purge(self) -> None:
        if not self._missing_since_s:
            return
        before_s = self._clock() - FORGET_AFTER_S
        for name, since_s in list(self._missing_since_s.items()):
            if since_s <= before_s:
                log_event("server.gone", server=name)
                self._forget(name)

    def _forget(self, name: str) -> None:
        self._missing_since_s.pop(name, None)
        self._servers.pop(name, None)
        self._leads_since.pop(name, None)
        self._denied.pop(name, None)
        self._anew_at_s.pop(name, None)

    def _report_unreadable(self, name: str, reason: str) -> None:
        if self._unreadable.get(name) != reason:
            self._unreadable[name] = reason
            log_event("server.unreadable", server=name, reason=reason)
