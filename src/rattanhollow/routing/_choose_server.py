"""Choice of the server that a statement is sent to.

Consistency rules, home regions and evacuations restrict the candidates first.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from rattanhollow.observe import Meter, kinds
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._home_regions import is_allowed
from rattanhollow.routing._load_picture import LoadPicture, ServerLoad
from rattanhollow.routing._requests import StatementRequest
from rattanhollow.routing._retries import evacuated, outside_homes
from rattanhollow.routing._zone_overflow import (
    BoundaryKey,
    CrossingCosts,
    OtherSide,
    ZoneOverflow,
)
from rattanhollow.routing._zone_topology import ZoneTopology
from rattanhollow.serving import BackendServer, Blocker, WorkResult
from rattanhollow.statements import Reason, Refused

# Added to the cost of a server that fails its work. Like all wait estimates, it
# expires within a second.
FAILURE_PENALTY_MS = 1_000.0
# Added to the cost of a server that no host reaches; expires likewise.
UNREACHABLE_PENALTY_MS = 1_000.0
# Cost of a server whose log lags the position that all readers must see; expires
# likewise.
LAG_PENALTY_MS = 400.0
# Added to the cost of the primary, which alone can do other work. Reads go there while
# all replicas lag, are out of reach, or have queues so much longer.
PRIMARY_PENALTY_MS = 300.0
# A replica with this avoidance is tried in vain more often than not: each attempt costs
# more than the slot of the primary that it would spare.
TOO_OFTEN = 0.5
# The time of a read at a server, until one has been measured.
USUAL_WORK_MS = 25.0
# Smaller differences of waits are noise: both servers are taken alike.
ALIKE_MS = 10.0
# Reads of a host are counted by the place that they are sent to.
PLACES = ("zone", "region", "elsewhere")


class Candidate(NamedTuple):
    """A server that may run a read, and its load as known here."""

    server: BackendServer
    load: ServerLoad


class Level(NamedTuple):
    """Servers that cost the same to reach; ``name`` is what a read leaves behind."""

    name: str
    crossing_ms: float
    candidates: list[Candidate]


def expected_ms(candidate: Candidate) -> float:
    """Return the time that a read is expected to take; an unknown wait counts as 0.

    What this host alone has sent there, and not seen the end of, waits for the slots.
    """
    load, slots = candidate.load, max(1, candidate.server.slots)
    work_ms = _work_ms(candidate)
    queued_ms = max(0, load.in_flight - slots) * work_ms / slots
    return work_ms + max(queued_ms, load.wait_ms or 0.0)


def _work_ms(candidate: Candidate) -> float:
    work_ms = candidate.load.work_ms
    return USUAL_WORK_MS if work_ms is None else work_ms


def _weight(candidate: Candidate) -> float:
    """Return the share of reads that a server can take, relative to others."""
    return max(1, candidate.server.slots) / (1.0 + expected_ms(candidate))


def pick(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Return the faster of two random candidates, drawn by what each can take.

    Hosts that all know the same still differ, and the fastest server gets at most
    twice its share while they do: always choosing it would move them all together.
    """
    if len(candidates) == 1:
        return candidates[0]
    weights = [_weight(candidate) for candidate in candidates]
    first, second = rng.choices(candidates, weights, k=2)
    is_slower = expected_ms(first) > expected_ms(second) + ALIKE_MS
    return second if is_slower else first


def measured_ms(candidates: Sequence[Candidate]) -> float | None:
    """Return the time of a read among candidates, weighted as they are picked.

    None where the load of none of them is known.
    """
    known = [item for item in candidates if item.load.wait_ms is not None]
    if not known:
        return None
    weights = [_weight(candidate) for candidate in known]
    times_ms = [expected_ms(candidate) for candidate in known]
    total = sum(weights)
    return sum(w * t for w, t in zip(weights, times_ms, strict=True)) / total


def _last_resort(known: Sequence[Candidate], leader_id: str) -> BackendServer | None:
    """Return the replica that fails least, or the primary if that is too often."""
    leader = [item for item in known if item.server.id == leader_id]
    replicas = [item for item in known if item.server.id != leader_id]
    if leader and all(item.load.avoidance >= TOO_OFTEN for item in replicas):
        return leader[0].server
    least = min(replicas, key=lambda item: item.load.avoidance, default=None)
    return least.server if least is not None else None


class ChooserParts(NamedTuple):
    """The components of the host that `ServerChooser` uses."""

    directory: ServerDirectory
    topology: ZoneTopology
    clock: Callable[[], float]
    rng: random.Random
    meter: Meter
    crossing: Callable[[], CrossingCosts]


class ServerChooser:
    """Chooses among the servers of the directory by the results of earlier work."""

    def __init__(self, parts: ChooserParts) -> None:
        self._directory = parts.directory
        self._topology = parts.topology
        self._clock = parts.clock
        self._rng = parts.rng
        self._meter = parts.meter
        self._crossing = parts.crossing
        self._recent_wait_ms: dict[str, tuple[float, float]] = {}
        self._picture = LoadPicture(parts.clock)
        self._overflow = ZoneOverflow(parts.clock)

    def record_start(self, server: BackendServer, is_read: bool) -> None:
        """Record that work is sent to a server; `record_end` must follow."""
        self._picture.record_start(server.id)
        if is_read and self._crossing().are_set:
            place = PLACES[self._distance(server)]
            self._meter.count(kinds.READS_SENT, server.service, place)

    def record_end(self, server: BackendServer) -> None:
        """Record that work sent to a server has ended."""
        self._picture.record_end(server.id)

    def record_result(
        self, server: BackendServer, result: WorkResult, took_ms: float | None = None
    ) -> None:
        """Record what a result says about its server; ``took_ms`` is that of a read."""
        self._picture.record_result(server.id, result, took_ms)
        wait_ms = float(result.wait_ms)
        if result.reason is Reason.FAILED or result.blocker is Blocker.FAILING:
            wait_ms += FAILURE_PENALTY_MS
        if result.blocker is Blocker.NOT_SERVED:
            wait_ms += UNREACHABLE_PENALTY_MS
        self._recent_wait_ms[server.id] = (self._clock(), wait_ms)

    def record_lag(self, server: BackendServer) -> None:
        """Record that a server lacks a position that all readers must see."""
        self._picture.record_lag(server.id)
        self._recent_wait_ms[server.id] = (self._clock(), LAG_PENALTY_MS)

    def select_primary(
        self, statement: StatementRequest, skipped: set[str]
    ) -> BackendServer | None:
        """Return the server to try as the primary, or None without a candidate."""
        service = statement.route.service
        leader = self._directory.leader(service)
        if leader is not None and leader.id not in skipped:
            return leader
        # No leader is known; a server that leads accepts the work, others refuse it.
        others = [
            s
            for s in self._directory.list_servers(service)
            if not self._is_leaving(s) and self.is_home(s, statement)
        ]
        others = [s for s in others if s.id not in skipped]
        return min(others, key=lambda server: server.id, default=None)

    def _is_leaving(self, server: BackendServer) -> bool:
        return server.draining or self._directory.is_missing(server.id)

    def is_home(self, server: BackendServer, statement: StatementRequest) -> bool:
        """Whether a server is in the home regions of a statement."""
        region = self._topology.region(server.zone)
        return is_allowed(region, statement.homes)

    def refuse_unservable(self, statement: StatementRequest) -> Refused | None:
        """Return the response to a statement that no known server may run."""
        servers = self._directory.list_servers(statement.route.service)
        if not servers:
            return None
        homes = [server for server in servers if self.is_home(server, statement)]
        if not homes:
            return outside_homes(None)
        evacuations = self._directory.evacuations
        if all(evacuations.is_evacuated(server.zone) for server in homes):
            return evacuated()
        return None

    def primary_must_stop(self, service: str) -> bool:
        """Whether the primary can prove nothing, as its zone is evacuated."""
        leader = self._directory.leader(service)
        return leader is not None and self._directory.must_stop(leader)

    def _without_returning(
        self, usable: list[BackendServer], leader_id: str
    ) -> list[BackendServer]:
        """Leave out servers whose zone returns from an evacuation, by its share.

        They stay where no other replica is left.
        """
        evacuations = self._directory.evacuations
        kept = []
        for server in usable:
            share = evacuations.returning_share(server.zone)
            if share >= 1.0 or self._rng.random() < share:
                kept.append(server)
        return kept if any(s.id != leader_id for s in kept) else usable

    def select_reader(
        self,
        statement: StatementRequest,
        skipped: set[str],
        spares_primary: bool = False,
    ) -> BackendServer | None:
        """Return the server to send a read to, or None.

        With ``spares_primary`` it is not the primary while its slots are scarce; this
        has no effect where no costs of crossings are set.
        """
        service = statement.route.service
        leader = self._directory.leader(service)
        leader_id = leader.id if leader is not None else ""
        usable = [
            server
            for server in self._directory.list_servers(service)
            if server.id not in skipped
            and not self._is_leaving(server)
            and self.is_home(server, statement)
        ]
        usable = self._without_returning(usable, leader_id)
        if not self._crossing().are_set:
            return self._nearest(usable, leader_id)
        chosen = self._by_load(usable, leader_id, statement, not skipped)
        is_primary = chosen is not None and chosen.id == leader_id
        if spares_primary and is_primary and self._is_scarce(leader_id):
            return None
        return chosen

    def _nearest(
        self, usable: list[BackendServer], leader_id: str
    ) -> BackendServer | None:
        """Return the server with the lowest expected cost of a read, or None.

        The cost is the distance of the server and its recent wait, which fades out
        within a second; the leader has an additional cost.
        """

        def cost(server: BackendServer) -> tuple[float, str]:
            distance_ms = 20 * self._distance(server)
            seen_s, wait_ms = self._recent_wait_ms.get(server.id, (0.0, 0.0))
            faded = max(0.0, 1.0 - (self._clock() - seen_s))
            penalty_ms = PRIMARY_PENALTY_MS if server.id == leader_id else 0.0
            return distance_ms + wait_ms * faded + penalty_ms, server.id

        return min(usable, key=cost, default=None)

    def _by_load(
        self,
        usable: list[BackendServer],
        leader_id: str,
        statement: StatementRequest,
        is_first: bool,
    ) -> BackendServer | None:
        """Return the server to send a read to by load and crossings, or None.

        ``is_first`` where no server was tried before: only then all are compared.
        """
        known = [Candidate(s, self._picture.load(s.id)) for s in usable]
        admitted = [
            item
            for item in known
            if not item.load.avoidance or self._rng.random() >= item.load.avoidance
        ]
        levels = self._levels(admitted, leader_id)
        if not levels:
            return _last_resort(known, leader_id)
        for number, level in enumerate(levels[:-1]):
            key = BoundaryKey(statement.route.service, level.name, statement.homes)
            if is_first and self._overflow.is_due(key):
                self._compare(key, level, levels[number + 1 :])
            share = self._overflow.share(key)
            crosses = share > 0.0 and self._rng.random() < share
            if is_first:
                self._overflow.record_choice(key, crosses)
            if not crosses:
                return pick(level.candidates, self._rng).server
        return pick(levels[-1].candidates, self._rng).server

    def _levels(self, admitted: list[Candidate], leader_id: str) -> list[Level]:
        """Return the candidates by the cost of the way to them, the cheapest first.

        The primary is the last: it alone can do other work.
        """
        of_distance = self._crossing().of_distance
        costs_ms = [float(of_distance(distance)) for distance in range(len(PLACES))]
        by_cost: dict[float, Level] = {}
        last: list[Level] = []
        for candidate in admitted:
            crossing_ms = costs_ms[self._distance(candidate.server)]
            if candidate.server.id == leader_id:
                if not self._is_scarce(leader_id):
                    crossing_ms += PRIMARY_PENALTY_MS
                    last.append(Level("primary", crossing_ms, [candidate]))
                continue
            level = by_cost.get(crossing_ms)
            if level is None:
                name = PLACES[costs_ms.index(crossing_ms)]
                level = by_cost[crossing_ms] = Level(name, crossing_ms, [])
            level.candidates.append(candidate)
        return [by_cost[cost] for cost in sorted(by_cost)] + last

    def _compare(self, key: BoundaryKey, level: Level, others: list[Level]) -> None:
        """Measure whether reads gain by leaving a level for the best of the others."""
        here_ms = measured_ms(level.candidates)
        idle_ms = min(_work_ms(candidate) for candidate in level.candidates)
        sides = [
            OtherSide(
                measured_ms(other.candidates), other.crossing_ms - level.crossing_ms
            )
            for other in others
        ]
        best = min(sides, key=lambda side: side.total_ms(idle_ms))
        self._overflow.update(key, here_ms, best, idle_ms)

    def _is_scarce(self, leader_id: str) -> bool:
        """Whether work already waits for the slots of the primary."""
        return bool(self._picture.load(leader_id).wait_ms)

    def _distance(self, server: BackendServer) -> int:
        return self._topology.distance(self._topology.zone, server.zone)
