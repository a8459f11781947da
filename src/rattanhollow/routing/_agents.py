"""Running work on backend servers through the hosts that serve them."""

import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from rattanhollow.coordination import ranked
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers
from rattanhollow.routing._home_regions import HomeRegions, is_allowed
from rattanhollow.routing._zone_topology import ZoneTopology
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    ProofAnswer,
    ProofQuestion,
    Serving,
    Work,
    WorkOutcome,
    WorkResult,
    not_run,
    unknown,
)

# Network round trip to another host, allowed in addition to the budget of the work.
ROUND_TRIP_MS = 150
# Hosts tried for one server before it is considered unreachable.
MAX_HOSTS_TRIED = 3
PROOF_TIMEOUT_MS = 600


class DispatcherDependencies(NamedTuple):
    """The components of the host that `WorkDispatcher` uses."""

    own_record: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    serving: Serving
    topology: ZoneTopology


class DispatchResult(NamedTuple):
    """The result of work, the host that ran it, and the transaction of the work.

    ``host`` is empty if no host could serve the server.
    """

    result: WorkResult
    host: str
    transaction: str


class WorkDispatcher:
    """Finds the host that serves a backend server and sends work to it."""

    def __init__(self, dependencies: DispatcherDependencies) -> None:
        self._dependencies = dependencies
        self._rankings: dict[tuple[str, str], list[HostRecord]] = {}
        self._ranked_hosts_key: tuple[int, HostRecord] | None = None

    async def run(
        self, server: BackendServer, work: Work, homes: HomeRegions | None = None
    ) -> DispatchResult:
        """Run work on a server through the first candidate host that can serve it.

        With ``homes`` its text goes to no other host outside these regions.

        Another host is tried only if the work did not run because this one does
        not serve the server or was disconnected.
        """
        detail = "no host is available to serve it"
        candidates = self._home_hosts(server, homes)
        for record in itertools.islice(candidates, MAX_HOSTS_TRIED):
            outcome = await self.run_on_host(record.name, work)
            not_served = outcome.blocker in (Blocker.NOT_SERVED, Blocker.HOST_LOST)
            if outcome.outcome is not WorkOutcome.NOT_RUN or not not_served:
                return DispatchResult(outcome, record.name, work.transaction)
            detail = f"{record.name}: {outcome.detail}"
        return DispatchResult(not_run(Blocker.NOT_SERVED, detail), "", work.transaction)

    async def run_on_host(self, host: str, work: Work) -> WorkResult:
        """Run work through one host."""
        if host == self._dependencies.own_record().name:
            return await self._dependencies.serving.run_work(work)
        record = self._dependencies.hosts.find(host)
        if record is None:
            return not_run(Blocker.HOST_LOST, f"{host} is no longer a member")
        response = await self._dependencies.peers.ask(
            record.peer, work, work.budget_ms + ROUND_TRIP_MS
        )
        result = response.ok()
        if isinstance(result, WorkResult):
            return result
        failure = response.err()
        if failure is not None and not failure.sent:
            return not_run(Blocker.HOST_LOST, failure.reason)
        reason = failure.reason if failure is not None else "unexpected response type"
        return unknown(Blocker.HOST_LOST, reason)

    async def prove(self, server: BackendServer) -> ProofAnswer:
        """Return a log position for which ``server`` proved that it is the primary."""
        last = ProofAnswer(None, "no host is available to request a proof")
        for record in itertools.islice(self.candidate_hosts(server), MAX_HOSTS_TRIED):
            if record.name == self._dependencies.own_record().name:
                last = await self._dependencies.serving.prove(server.id)
            else:
                request = ProofQuestion(server.id)
                response = await self._dependencies.peers.ask(
                    record.peer, request, PROOF_TIMEOUT_MS
                )
                proof = response.ok()
                if not isinstance(proof, ProofAnswer):
                    continue
                last = proof
            if last.position is not None:
                return last
        return last

    def is_preferred_host_for(self, server: BackendServer) -> bool:
        """Whether this host is the first candidate to serve a server."""
        first = next(self.candidate_hosts(server), None)
        return first is not None and first.name == self._dependencies.own_record().name

    def candidate_hosts(self, server: BackendServer) -> Iterator[HostRecord]:
        """Yield the hosts that may serve a server, in order of preference.

        Hosts in the availability zone of the server come first, then hosts in its
        region, then all others. Hosts that are leaving or do not respond are skipped.
        """
        own_name = self._dependencies.own_record().name
        for record in self._cached_ranking(server.id, server.zone):
            if record.name == own_name or not self._dependencies.peers.is_dark(
                record.peer
            ):
                yield record

    def _home_hosts(
        self, server: BackendServer, homes: HomeRegions | None
    ) -> Iterator[HostRecord]:
        """Yield the candidate hosts that may see a statement with home regions."""
        own_name = self._dependencies.own_record().name
        for record in self.candidate_hosts(server):
            region = self._dependencies.topology.region(record.zone)
            if record.name == own_name or is_allowed(region, homes):
                yield record

    def _cached_ranking(self, server_id: str, zone: str) -> list[HostRecord]:
        own = self._dependencies.own_record()
        membership = (self._dependencies.hosts.changes, own)
        if membership != self._ranked_hosts_key:
            self._ranked_hosts_key = membership
            self._rankings.clear()
        key = (server_id, zone)
        if key not in self._rankings:
            self._rankings[key] = self._rank_hosts(server_id, zone, own)
        return self._rankings[key]

    def _rank_hosts(
        self, server_id: str, zone: str, own: HostRecord
    ) -> list[HostRecord]:
        records = {h.name: h for h in self._dependencies.hosts.active_hosts()}
        records.pop(own.name, None)
        if not own.leaving:
            records[own.name] = own
        by_distance: dict[int, list[str]] = {0: [], 1: [], 2: []}
        for record in records.values():
            distance = self._dependencies.topology.distance(zone, record.zone)
            by_distance[distance].append(record.name)
        return [
            records[name]
            for distance in sorted(by_distance)
            for name in ranked(server_id, by_distance[distance])
        ]
