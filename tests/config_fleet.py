"""A fleet in memory with a large configuration, over links of 10 Mbit/s.

Run as a program it prints what the change of one route costs:
``PYTHONPATH=src:tests python tests/config_fleet.py 100 1000 10000``.
"""

import random
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio
from result import Err, Ok, Result

import rattanhollow_standins.store._local as stand_in
from jumping import run_jumping
from memory_fleet import START_DURATION_S, ZONES, MemoryFleet
from rattanhollow.peer import AskFailure, Message, PeerAddress
from rattanhollow.peer._messages import decode, encode

LINK_BYTES_PER_S = 1_250_000
SAME_REGION_S, OTHER_REGION_S = 0.001, 0.02
CHANGE_S = 8.0


def configuration(routes: int, version: int = 1) -> dict[str, Any]:
    """Return a configuration of about 170 bytes a route."""
    rng = random.Random(1)
    return {
        "version": version,
        "routes": [
            {
                "host": f"db-{number}-{rng.getrandbits(32):08x}.example",
                "service": f"service-{number % 40}",
                "kind": "read_your_writes",
                "timeout_ms": 2_000,
                "target_latency_ms": 50,
                "priority": number % 3,
                "max_stale_ms": 0,
                "anonymous": False,
                "allowed_regions": [],
            }
            for number in range(routes)
        ],
        "tenants": [
            {"name": f"tenant-{n}", "api_keys": [f"{rng.getrandbits(128):032x}"]}
            for n in range(routes // 5)
        ],
        "services": [{"name": f"service-{n}", "max_conns": 10} for n in range(40)],
    }


class Sent(NamedTuple):
    """One message on its way; ``waited_s`` for others of its sender's link."""

    type: str
    size: int
    crosses: bool
    waited_s: float


class ConfigFleet(MemoryFleet):
    """Hosts in two regions, each with a link that sends one message after another.

    ``cut`` hosts send and receive nothing; ``hears(message)`` may cut one.
    """

    def __init__(self, routes: int, seed: int = 0) -> None:
        super().__init__(seed)
        self.sent: list[Sent] = []
        self.cut: set[str] = set()
        self.hears: Callable[[str, Message], None] = lambda name, message: None
        self._free_at_s: dict[str, float] = {}
        self._routes = routes
        self.change(lambda spec: None)

    def change(self, edit: Callable[[dict[str, Any]], None]) -> int:
        """Write a configuration, and return its version in the store."""
        entry = self.table.get("config", "main")
        assert entry is not None
        spec = configuration(self._routes, entry.version + 1)
        edit(spec)
        replaced = self.table.replace("config", "main", spec, entry.version)
        assert replaced is not None
        return replaced.version

    def change_route(self, timeout_ms: int) -> int:
        """Change one route."""

        def edit(spec: dict[str, Any]) -> None:
            spec["routes"][self._routes // 2]["timeout_ms"] = timeout_ms

        return self.change(edit)

    def links(self, name: str) -> Any:
        """Return the links of a host."""
        return _Links(self, name)

    def behind(self, version: int) -> list[str]:
        """Return the hosts that have not heard of a configuration."""
        return [
            name
            for name, host in self.hosts.items()
            if name not in self.cut and config_version(host) < version
        ]

    async def wait_for(self, version: int, within_s: float) -> float:
        """Wait until all hosts have a version, and return how long it took."""
        begun_at_s = trio.current_time()
        while self.behind(version) and trio.current_time() - begun_at_s < within_s:
            await trio.sleep(0.01)
        return trio.current_time() - begun_at_s

    async def transmit(self, sender: str, receiver: str, message: Message) -> Message:
        """Return a message as it arrives, when it does."""
        data = encode(1, message)
        now_s = trio.current_time()
        begins_at_s = max(now_s, self._free_at_s.get(sender, 0.0))
        ends_at_s = begins_at_s + len(data) / LINK_BYTES_PER_S
        self._free_at_s[sender] = ends_at_s
        crosses = region(sender) != region(receiver)
        self.sent.append(
            Sent(type(message).__name__, len(data), crosses, begins_at_s - now_s)
        )
        self.hears(receiver, message)
        distance_s = OTHER_REGION_S if crosses else SAME_REGION_S
        await trio.sleep(ends_at_s - now_s + distance_s)
        if sender in self.cut or receiver in self.cut:
            await trio.sleep_forever()
        return decode(data)[1]


class _Links:
    """The links of one host."""

    def __init__(self, fleet: ConfigFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def is_dark(self, peer: PeerAddress) -> bool:
        return peer.name in self._fleet.cut or self._name in self._fleet.cut

    async def tell(self, peer: PeerAddress, notification: Message) -> None:
        with trio.move_on_after(5):
            arrived = await self._fleet.transmit(self._name, peer.name, notification)
            if peer.name not in self._fleet.unnotified | self._fleet.cut:
                await self._fleet.hosts[peer.name].respond(arrived)

    async def ask(
        self, peer: PeerAddress, request: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        host = self._fleet.hosts.get(peer.name)
        with trio.move_on_after(timeout_ms / 1000):
            if host is None:
                return Err(AskFailure("not started", sent=False))
            arrived = await self._fleet.transmit(self._name, peer.name, request)
            response = await host.respond(arrived)
            assert response is not None
            return Ok(await self._fleet.transmit(peer.name, self._name, response))
        return Err(AskFailure("no answer", sent=True))


def region(name: str) -> str:
    """Return the region of a host."""
    return ZONES[int(name[1:]) % len(ZONES)].partition("-")[0]


def config_version(host: Any) -> int:
    """Return the version of the configuration that a host has, 0 for none."""
    known = host.followers[0].items.get("main")
    return known.version.number if known is not None else 0


def run_with(
    fleet: ConfigFleet, hosts: int, main: Callable[[], Awaitable[None]]
) -> None:
    """Start hosts, wait until they are quiet, and run ``main``."""

    async def run() -> None:
        rng = random.Random(fleet.seed)
        async with trio.open_nursery() as nursery:
            for number in range(hosts):
                nursery.start_soon(fleet.start, number, rng.uniform(0.2, 1.1))
            await trio.sleep(2 * START_DURATION_S)
            await main()
            nursery.cancel_scope.cancel()

    # Nobody changes what the store returns, and copying it takes most of the time.
    copy, stand_in.copy.deepcopy = stand_in.copy.deepcopy, lambda value: value
    try:
        run_jumping(run, fleet.seed)
    finally:
        stand_in.copy.deepcopy = copy


class Cost(NamedTuple):
    """What the change of one route costs, beyond an idle time of the same length."""

    bytes_a_host: float
    crossing_bytes: int
    largest_bytes: int
    longest_wait_s: float
    took_s: float
    cpu_ms_a_host: float


def measure(routes: int, hosts: int, seed: int = 0) -> Cost:
    """Return the cost of one changed route."""
    fleet = ConfigFleet(routes, seed)
    costs: list[Cost] = []

    async def main() -> None:
        idle = await _window(fleet)
        version = fleet.change_route(999)
        took_s = await fleet.wait_for(version, CHANGE_S)
        rest = await _window(fleet, CHANGE_S - took_s)
        costs.append(_cost(fleet, idle, rest, took_s, hosts))

    async def _window(fleet: ConfigFleet, duration_s: float = CHANGE_S) -> Any:
        if duration_s == CHANGE_S:
            fleet.sent.clear()
            begun_s = time.process_time()
            await trio.sleep(duration_s)
            idle = (list(fleet.sent), time.process_time() - begun_s)
            fleet.sent.clear()
            marks.append(time.process_time())
            return idle
        await trio.sleep(duration_s)
        return list(fleet.sent), time.process_time() - marks[-1]

    marks: list[float] = []
    run_with(fleet, hosts, main)
    return costs[0]


def _cost(
    fleet: ConfigFleet, idle: Any, change: Any, took_s: float, hosts: int
) -> Cost:
    def total(sent: list[Sent], crossing: bool = False) -> int:
        return sum(item.size for item in sent if item.crosses or not crossing)

    return Cost(
        bytes_a_host=(total(change[0]) - total(idle[0])) / hosts,
        crossing_bytes=total(change[0], True) - total(idle[0], True),
        largest_bytes=max(item.size for item in change[0]),
        longest_wait_s=max(item.waited_s for item in change[0]),
        took_s=took_s,
        cpu_ms_a_host=(change[1] - idle[1]) * 1000 / hosts,
    )


if __name__ == "__main__":
    for count in map(int, sys.argv[1:]):
        print(count, "routes, 24 hosts:", measure(count, 24))
