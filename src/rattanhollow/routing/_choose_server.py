"""Choice of the server that a statement is sent to.

Consistency rules, home regions and evacuations restrict the candidates first.
"""

import random
from collections.abc import Callable

from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._home_regions import is_allowed
from rattanhollow.routing._requests import StatementRequest
from rattanhollow.routing._zone_topology import ZoneTopology
from rattanhollow.serving import BackendServer, Blocker, WorkResult
from rattanhollow.statements import Reason

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


class ServerChooser:
    """Chooses among the servers of the directory by the results of earlier work."""

    def __init__(
        self,
        directory: ServerDirectory,
        topology: ZoneTopology,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._topology = topology
        self._clock = clock
        self._rng = rng
        self._recent_wait_ms: dict[str, tuple[float, float]] = {}

    def record_result(self, server: BackendServer, result: WorkResult) -> None:
        """Record what the result of work says about its server."""
        wait_ms = float(result.wait_ms)
        if result.reason is Reason.FAILED or result.blocker is Blocker.FAILING:
            wait_ms += FAILURE_PENALTY_MS
        if result.blocker is Blocker.NOT_SERVED:
            wait_ms += UNREACHABLE_PENALTY_MS
        self._recent_wait_ms[server.id] = (self._clock(), wait_ms)

    def record_lag(self, server: BackendServer) -> None:
        """Record that a server lacks a position that all readers must see."""
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

    def has_no_home(self, statement: StatementRequest) -> bool:
        """Whether all known servers are outside the home regions."""
        servers = self._directory.list_servers(statement.route.service)
        return bool(servers) and not any(
            self.is_home(server, statement) for server in servers
        )

    def all_must_stop(self, service: str) -> bool:
        """Whether evacuations leave no server that may be used."""
        directory = self._directory
        servers = directory.list_servers(service)
        return bool(servers) and all(directory.must_stop(s.id) for s in servers)

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
        self, statement: StatementRequest, skipped: set[str]
    ) -> BackendServer | None:
        """Return the server with the lowest expected cost of a read, or None.

        The cost is the distance of the server and its recent wait, which fades out
        within a second; the leader has an additional cost.
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

        def cost(server: BackendServer) -> tuple[float, str]:
            topology = self._topology
            distance_ms = 20 * topology.distance(topology.zone, server.zone)
            seen_s, wait_ms = self._recent_wait_ms.get(server.id, (0.0, 0.0))
            faded = max(0.0, 1.0 - (self._clock() - seen_s))
            penalty_ms = PRIMARY_PENALTY_MS if server.id == leader_id else 0.0
            return distance_ms + wait_ms * faded + penalty_ms, server.id

        return min(usable, key=cost, default=None)
