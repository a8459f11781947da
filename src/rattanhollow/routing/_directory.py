"""The backend servers of all services, and the presumed primary of each."""

import time
from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Result

from rattanhollow.observe import log_event
from rattanhollow.routing._evacuations import Evacuations
from rattanhollow.serving import BackendServer
from rattanhollow.store import NO_REVISION, Revision, Stored

# A description may expire while the store is unavailable; according to the platform,
# it returns within about two seconds if its server is alive.
MISSING_GRACE_S = 2.5
# A server without a description may still be used while another server replaces
# its primary, for which operators allow several seconds.
REMOVE_AFTER_S = 5.5
# A server that was leaving when this host first heard of it may have been for long.
UNKNOWN_LEAVE_S = 3.0
# One that was cut off from the store hears of a leave late, and counts as in touch some
# seconds behind that.
LONGEST_LEAVE_S = 5.0
# A description may lapse and come back while its server leaves.
LEAVES_KEPT = 256
# Of each service; more than one primary that left, and the newest counts.
MISSING_REPLICAS_KEPT = 8

DescriptionReader = Callable[[Stored], Result[BackendServer, str]]


class _LeaderProof(NamedTuple):
    """A server that proved its leadership, and the newest description at that time."""

    server: str
    version: Revision


class _Leave(NamedTuple):
    """When this host heard that a server leaves, and whether that was news then."""

    heard_at_s: float
    heard_at_once: bool


class ServerDirectory:
    """Backend servers from the store, and leadership from their responses.

    Servers in a zone that is evacuated are returned as draining.
    """

    def __init__(
        self,
        read_description: DescriptionReader,
        clock: Callable[[], float] = time.monotonic,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.evacuations = evacuations or Evacuations(clock, within_s=0.0)
        self._read_description = read_description
        self._clock = clock
        self._servers: dict[str, BackendServer] = {}
        self._missing_since_s: dict[str, float] = {}
        self._leader_versions: dict[str, Revision] = {}
        self._denied_versions: dict[str, Revision] = {}
        self._proofs: dict[str, _LeaderProof] = {}
        self._unreadable_reasons: dict[str, str] = {}
        self._restarted_at_s: dict[str, float] = {}
        self._leaves: dict[str, _Leave] = {}
        # By service and server.
        self._replica_missing_at_s: dict[str, dict[str, float]] = {}
        self._changed = trio.Event()

    def apply_description(self, stored: Stored | None, name: str) -> None:
        """Apply a description from the store, or its removal if ``stored`` is None.

        An unreadable description counts as removed.
        """
        if stored is None:
            self._mark_missing(name)
            return
        outcome = self._read_description(stored)
        if outcome.is_err():
            self._report_unreadable(name, outcome.unwrap_err())
            self._mark_missing(name)
            return
        self._unreadable_reasons.pop(name, None)
        server = outcome.unwrap()
        previous = self._servers.get(name)
        self._servers[name] = server
        if previous is not None and previous.born_ms != server.born_ms:
            self._restarted_at_s[name] = self._clock()
        self._missing_since_s.pop(name, None)
        self._note_leaving(server, previous)
        if not server.leads:
            self._leader_versions.pop(name, None)
        elif (
            previous is None or not previous.leads or previous.born_ms != server.born_ms
        ):
            self._leader_versions[name] = server.version
        known_version = previous.version if previous else NO_REVISION
        if previous != server._replace(version=known_version):
            self._notify_change()
            log_event(
                "server.described",
                server=name,
                service=server.service,
                zone=server.zone,
                leads=server.leads,
                draining=server.draining,
                born_ms=server.born_ms,
                version=server.version,
            )

    def is_missing(self, server_id: str) -> bool:
        """Whether a server has had no description for longer than the grace period."""
        since_s = self._missing_since_s.get(server_id)
        return since_s is not None and self._clock() - since_s > MISSING_GRACE_S

    def may_begin_work(self, server_id: str, drain_s: float) -> bool:
        """Whether a server may get new work ``drain_s`` behind its announced leave."""
        leave = self._leaves.get(server_id)
        if leave is None:
            return True
        longest_s = LONGEST_LEAVE_S if leave.heard_at_once else UNKNOWN_LEAVE_S
        allowed_s = min(drain_s, longest_s)
        return self._clock() - leave.heard_at_s < allowed_s

    def must_stop(self, server: BackendServer) -> bool:
        """Whether a server must get nothing more, as its zone is evacuated.

        That of a server holds whose description has lapsed, too.
        """
        return self.evacuations.must_stop(server.zone)

    def restarted_at_s(self, server_id: str) -> float | None:
        """Return when a restart of a server was detected, or None."""
        return self._restarted_at_s.get(server_id)

    def replica_missing_at_s(self, service: str, last_leader: str = "") -> float | None:
        """Return when the description of a replica last went missing, or None.

        That of ``last_leader`` does not count: it was the primary until it stopped.
        """
        missing = self._replica_missing_at_s.get(service, {})
        times_s = (at_s for name, at_s in missing.items() if name != last_leader)
        return max(times_s, default=None)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a changed description or a newly proven leader."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()

    def find(self, server_id: str) -> BackendServer | None:
        """Return a server by its identifier, or None."""
        self._remove_expired()
        server = self._servers.get(server_id)
        return self._with_evacuation(server) if server is not None else None

    def list_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service, including draining ones."""
        self._remove_expired()
        return [
            self._with_evacuation(item)
            for item in self._servers.values()
            if item.service == service
        ]

    def services(self) -> set[str]:
        """Return the services that have servers."""
        return {item.service for item in self._servers.values()}

    def leader(self, service: str) -> BackendServer | None:
        """Return the presumed primary of a service, or None.

        A proof of leadership takes precedence over descriptions up to the version
        that was newest when it was recorded. A description that claims leadership is
        ignored once its server has denied leading, until it has a newer version.
        """
        members = {item.id: item for item in self.list_servers(service)}
        claims = {
            name: version
            for name, version in self._leader_versions.items()
            if name in members and not self._has_denied(members[name])
        }
        newest = max(claims, key=lambda name: claims[name], default=None)
        proof = self._proofs.get(service)
        if proof is not None and proof.server in members:
            if newest is None or claims[newest] <= proof.version:
                return members[proof.server]
        return members[newest] if newest is not None else None

    def record_leader_proof(self, service: str, server_id: str) -> None:
        """Record that a server proved its leadership."""
        proof = self._proofs.get(service)
        if proof is not None and proof.server == server_id:
            return
        versions = (item.version for item in self._servers.values())
        newest = max(versions, default=NO_REVISION)
        self._proofs[service] = _LeaderProof(server_id, newest)
        self._denied_versions.pop(server_id, None)
        self._notify_change()
        log_event("leader.proven", service=service, server=server_id, version=newest)

    def record_leader_denial(self, server_id: str) -> None:
        """Record that a server responded that it does not lead."""
        server = self._servers.get(server_id)
        if server is None:
            return
        if not self._has_denied(server):
            log_event("leader.denied", service=server.service, server=server_id)
        self._denied_versions[server_id] = server.version
        proof = self._proofs.get(server.service)
        if proof is not None and proof.server == server_id:
            del self._proofs[server.service]

    def _has_denied(self, server: BackendServer) -> bool:
        """Whether a server has denied leading since its newest description."""
        denied = self._denied_versions.get(server.id)
        return denied is not None and denied >= server.version

    def _note_leaving(
        self, server: BackendServer, previous: BackendServer | None
    ) -> None:
        if not server.draining:
            self._leaves.pop(server.id, None)
        elif server.id not in self._leaves:
            self._leaves[server.id] = _Leave(self._clock(), previous is not None)
            if len(self._leaves) > LEAVES_KEPT:
                del self._leaves[next(iter(self._leaves))]

    def _with_evacuation(self, server: BackendServer) -> BackendServer:
        if server.draining or not self.evacuations.is_evacuated(server.zone):
            return server
        return server._replace(draining=True)

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _mark_missing(self, name: str) -> None:
        server = self._servers.get(name)
        if server is None or name in self._missing_since_s:
            return
        log_event("server.missing", server=name, draining=server.draining)
        leader = self.leader(server.service)
        if leader is None or leader.id != name:
            missing = self._replica_missing_at_s.setdefault(server.service, {})
            missing.pop(name, None)
            missing[name] = self._clock()
            if len(missing) > MISSING_REPLICAS_KEPT:
                del missing[next(iter(missing))]
        if server.draining:
            self._remove(name)
        else:
            self._missing_since_s[name] = self._clock()

    def _remove_expired(self) -> None:
        if not self._missing_since_s:
            return
        expired_before_s = self._clock() - REMOVE_AFTER_S
        for name, since_s in list(self._missing_since_s.items()):
            if since_s <= expired_before_s:
                log_event("server.gone", server=name)
                self._remove(name)

    def _remove(self, name: str) -> None:
        self._missing_since_s.pop(name, None)
        self._servers.pop(name, None)
        self._leader_versions.pop(name, None)
        self._denied_versions.pop(name, None)
        self._restarted_at_s.pop(name, None)

    def _report_unreadable(self, name: str, reason: str) -> None:
        if self._unreadable_reasons.get(name) != reason:
            self._unreadable_reasons[name] = reason
            log_event("server.unreadable", server=name, reason=reason)
