"""Reaching backend servers through the hosts that serve them."""

import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from rattanhollow.coordination import ranked
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers
from rattanhollow.routing._places import Places
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

# What the way to another host and back may take beyond the work itself.
WAY_MS = 150
# Hosts that are tried for one server before it is held to be out of reach.
HOSTS_TRIED = 3
PROOF_TIMEOUT_MS = 600


class AgentParts(NamedTuple):
    """What reaching servers needs of the rest of the host."""

    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    serving: Serving
    places: Places


class Ran(NamedTuple):
    """The answer to work, the host that gave it, and the transaction it named."""

    done: WorkResult
    host: str
    transaction: str


class Agents:
    """Finds the host that serves a backend server, and hands work to it."""

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._ranked: dict[tuple[str, str], list[HostRecord]] = {}
        self._ranked_for: tuple[int, HostRecord] | None = None

    async def run(self, server: BackendServer, work: Work) -> Ran:
        """Run work at a server, through the first host that reaches it."""
        detail = "no host is left to serve it"
        for record in itertools.islice(self.hosts_for(server), HOSTS_TRIED):
            done = await self.run_at(record.name, work)
            not_served = done.blocker in (Blocker.NOT_SERVED, Blocker.HOST_LOST)
            if done.outcome is not WorkOutcome.NOT_RUN or not not_served:
                return Ran(done, record.name, work.transaction)
            detail = f"{record.name}: {done.detail}"
        return Ran(not_run(Blocker.NOT_SERVED, detail), "", work.transaction)

    async def run_at(self, host: str, work: Work) -> WorkResult:
        """Run work through one host."""
        if host == self._parts.own().name:
            return await self._parts.serving.run_work(work)
        record = self._parts.hosts.find(host)
        if record is None:
            return not_run(Blocker.HOST_LOST, f"{host} is gone")
        asked = await self._parts.peers.ask(record.peer, work, work.budget_ms + WAY_MS)
        answer = asked.ok()
        if isinstance(answer, WorkResult):
            return answer
        failure = asked.err()
        if failure is not None and not failure.sent:
            return not_run(Blocker.HOST_LOST, failure.reason)
        reason = failure.reason if failure is not None else "an unexpected answer"
        return unknown(Blocker.HOST_LOST, reason)

    async def prove(self, server: BackendServer) -> ProofAnswer:
        """Return a log position that ``server`` proves as the primary."""
        answer = ProofAnswer(None, "no host is left to ask")
        for record in itertools.islice(self.hosts_for(server), HOSTS_TRIED):
            if record.name == self._parts.own().name:
                answer = await self._parts.serving.prove(server.id)
            else:
                question = ProofQuestion(server.id)
                asked = await self._parts.peers.ask(
                    record.peer, question, PROOF_TIMEOUT_MS
                )
                found = asked.ok()
                if not isinstance(found, ProofAnswer):
                    continue
                answer = found
            if answer.position is not None:
                return answer
        return answer

    def serves_first(self, server: BackendServer) -> bool:
        """Whether a server falls to this host."""
        first = next(self.hosts_for(server), None)
        return first is not None and first.name == self._parts.own().name

    def hosts_for(self, server: BackendServer) -> Iterator[HostRecord]:
        """Yield the hosts that may serve a server, the first choice first.

        Hosts of the server's availability zone go first, then those of its
        region, then all others; a host that leaves, or doesn't answer, is
        passed over.
        """
        own = self._parts.own().name
        for record in self._ranking(server.id, server.zone):
            if record.name == own or not self._parts.peers.is_dark(record.peer):
                yield record

    def _ranking(self, server_id: str, zone: str) -> list[HostRecord]:
        own = self._parts.own()
        hosts = (self._parts.hosts.changes, own)
        if hosts != self._ranked_for:
            self._ranked_for = hosts
            self._ranked.clear()
        key = (server_id, zone)
        if key not in self._ranked:
            self._ranked[key] = self._rank(server_id, zone, own)
        return self._ranked[key]

    def _rank(self, server_id: str, zone: str, own: HostRecord) -> list[HostRecord]:
        records = {h.name: h for h in self._parts.hosts.staying()}
        records.pop(own.name, None)
        if not own.leaving:
            records[own.name] = own
        by_distance: dict[int, list[str]] = {0: [], 1: [], 2: []}
        for record in records.values():
            distance = self._parts.places.distance(zone, record.zone)
            by_distance[distance].append(record.name)
        return [
            records[name]
            for distance in sorted(by_distance)
            for name in ranked(server_id, by_distance[distance])
        ]
