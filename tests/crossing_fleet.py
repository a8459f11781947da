"""A simulated fleet whose hosts choose servers by `ServerChooser`; no network.

Servers have slots and a queue in order of arrival; a result tells the wait of new work,
as that of a serving host does. Time is simulated.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from rattanhollow.configuration import Consistency, Route
from rattanhollow.observe import Meter
from rattanhollow.platform import read_server
from rattanhollow.routing import CrossingCosts, ServerDirectory, ZoneTopology
from rattanhollow.routing._choose_server import ChooserParts, ServerChooser
from rattanhollow.routing._requests import StatementRequest
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    Scope,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    not_run,
)
from rattanhollow.statements import Reason
from rattanhollow.store import Revision, Stored

SERVICE = "bookings"
REGIONS = {"lothian-a": "lothian", "lothian-b": "lothian", "tayside-a": "tayside"}
COSTS = CrossingCosts(zone_ms=20, region_ms=80)
READ = StatementRequest(
    Route("r", SERVICE, Consistency.BOUNDED, 1_000, 600, 1, 1_500, False),
    Work("", "kirk", "r", WorkKind.READ, Scope.ALONE, text="READ a"),
    None,
    0.0,
)
DEADLINE_S = 0.6


class Server:
    """A simulated server; ``work_ms`` is the time of a read, ``fails`` if it fails."""

    def __init__(self, slots: int, work_ms: float) -> None:
        self.work_ms = work_ms
        self.fails = False
        self.free_at_s = [0.0] * slots
        self.extra: Callable[[float], float] = lambda now_s: 0.0

    def wait_s(self, now_s: float) -> float:
        """Return the wait of new work."""
        return max(0.0, self.free_at_s[0] - now_s)

    def take(self, now_s: float) -> float:
        """Queue a read and return when it is done."""
        start_s = max(now_s, heapq.heappop(self.free_at_s))
        done_s = start_s + self.work_ms / 1000
        heapq.heappush(self.free_at_s, done_s)
        return done_s


class Host:
    """A simulated host with its own chooser, and the reads it sends per second."""

    def __init__(self, fleet: "Fleet", zone: str, name: str) -> None:
        self.zone = zone
        self.reads_per_s: Callable[[float], float] = lambda now_s: 0.0
        self.meter = Meter()
        self.chooser = ServerChooser(
            ChooserParts(
                directory=fleet.directory,
                topology=ZoneTopology(zone, REGIONS),
                clock=lambda: fleet.now_s,
                rng=random.Random(name),
                meter=self.meter,
                crossing=lambda: fleet.costs,
            )
        )


class Fleet:
    """Hosts and servers; ``sent`` has (second, zone of the host, server)."""

    def __init__(self, costs: CrossingCosts = COSTS) -> None:
        self.costs = costs
        self.now_s = 0.0
        self.directory = ServerDirectory(read_server, lambda: self.now_s)
        self.servers: dict[str, Server] = {}
        self.hosts: list[Host] = []
        self.sent: Counter[tuple[int, str, str]] = Counter()
        self.refused = 0
        self.times_ms: list[float] = []
        self._zones: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._rng = random.Random(7)

    def add_server(
        self, name: str, zone: str, work_ms: float = 25.0, leads: bool = False
    ) -> Server:
        """Add a server with three slots."""
        number = next(self._numbers)
        spec = {
            "service": SERVICE,
            "address": f"10.0.0.{number}:1",
            "zone": zone,
            "slots": 3,
            "state": "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if leads else "replica",
            "born": 1,
        }
        self.directory.apply_description(
            Stored("servers", name, Revision(number), spec), name
        )
        self.servers[name] = Server(3, work_ms)
        self._zones[name] = zone
        return self.servers[name]

    def add_hosts(
        self, zone: str, count: int, reads_per_s: Callable[[float], float]
    ) -> None:
        """Add hosts that send so many reads a second together."""
        for number in range(count):
            host = Host(self, zone, f"{zone}-{number}")
            host.reads_per_s = lambda now_s: reads_per_s(now_s) / count
            self.hosts.append(host)
            self._send_later(host)

    def run(self, until_s: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = until_s

    def at(self, at_s: float, event: Callable[[], None]) -> None:
        """Run something at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def reads(self, zone: str, first_s: int, end_s: int) -> Counter[str]:
        """Count the reads of a zone's hosts in some seconds, by server."""
        counts: Counter[str] = Counter()
        for (second, of_zone, server), count in self.sent.items():
            if of_zone == zone and first_s <= second < end_s:
                counts[server] += count
        return counts

    def left(self, zone: str, first_s: int, end_s: int) -> float:
        """Return the share of a zone's reads that left the zone."""
        counts = self.reads(zone, first_s, end_s)
        out = sum(n for name, n in counts.items() if self._zones[name] != zone)
        return out / max(1, counts.total())

    def _send_later(self, host: Host) -> None:
        rate = host.reads_per_s(self.now_s)
        if rate <= 0:
            self.at(self.now_s + 0.1, lambda: self._send_later(host))
            return
        pause_s = self._rng.expovariate(rate)
        self.at(self.now_s + pause_s, lambda: self._send(host))

    def _send(self, host: Host) -> None:
        self._send_later(host)
        server = host.chooser.select_reader(READ, set())
        if server is not None:
            self.run_read(host, server)

    def run_read(self, host: Host, server: BackendServer) -> None:
        """Send a read to a server, and deliver its result when it is done."""
        self.sent[int(self.now_s), host.zone, server.id] += 1
        simulated, started_s = self.servers[server.id], self.now_s
        host.chooser.record_start(server, is_read=True)
        wait_s = simulated.wait_s(self.now_s)

        def end(result: WorkResult, *took_ms: Any) -> None:
            host.chooser.record_end(server)
            host.chooser.record_result(server, result, *took_ms)

        if simulated.fails:
            failed = WorkResult(WorkOutcome.REFUSED, reason=Reason.FAILED)
            self.at(self.now_s + 0.005, lambda: end(failed))
            return
        if wait_s > DEADLINE_S:
            self.refused += 1
            end(not_run(Blocker.OVERLOADED, "too long", int(wait_s * 1000)))
            return
        done_s = simulated.take(self.now_s)

        def finish() -> None:
            wait_ms = int(simulated.wait_s(self.now_s) * 1000)
            took_ms = (self.now_s - started_s) * 1000
            self.times_ms.append(took_ms)
            end(WorkResult(WorkOutcome.DONE, wait_ms=wait_ms), took_ms)

        self.at(done_s, finish)
