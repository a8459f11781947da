"""Random faults, in series and overlapping, and their end."""

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from rattanhollow_standins.soak._fleet import HostProcess, SoakFleet
from rattanhollow_standins.soak._link import FaultyLink, LinkFault

STOP_WITHIN_S = 6.0
LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.DELAY,
    LinkFault.STALE,
)


class Faults:
    """Begins and ends faults; ``notes`` says what was done and when."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        self.notes: list[str] = []
        # Times of all that isn't planned work.
        self.unplanned_s: list[float] = []
        self._fleet = fleet
        self._rng = rng
        self._busy: set[int] = set()
        self._began_s = trio.current_time()

    async def run(self, count: int, within_s: float) -> None:
        """Let ``count`` faults begin within a time, and wait for their ends."""
        kinds: list[Callable[[float], Awaitable[None]]] = [
            self._stop_host,
            self._stop_host,
            self._kill_host,
            self._pause_host,
            self._all_hosts,
            self._store_link,
            self._store_link,
            self._server_link,
            self._server_link,
            self._store,
            self._crash_primary,
            self._replica,
            self._orders,
        ]
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                await trio.sleep(self._rng.uniform(0, 2 * within_s / count))
                kind = self._rng.choice(kinds)
                nursery.start_soon(kind, self._rng.uniform(0.3, 3.0))

    def _note(self, text: str, planned: bool = False) -> None:
        now_s = trio.current_time()
        self.notes.append(f"{now_s - self._began_s:.2f} {text}")
        if not planned:
            self.unplanned_s.append(now_s)

    def _free_host(self) -> HostProcess | None:
        free = [h for h in self._fleet.hosts if h.number not in self._busy and h.runs]
        return self._rng.choice(free) if len(free) > 1 else None

    async def _stop_host(self, pause_s: float) -> None:
        host = self._free_host()
        if host is None:
            return
        self._busy.add(host.number)
        self._note(f"host {host.number} SIGTERM", planned=True)
        host.stopping_since_s = trio.current_time()
        host.signal(signal.SIGTERM)
        if not await host.until_ended(STOP_WITHIN_S):
            self._note(f"host {host.number} did not stop in time")
            host.end()
        await trio.sleep(pause_s / 3)
        host.start()
        self._busy.discard(host.number)

    async def _kill_host(self, pause_s: float) -> None:
        host = self._free_host()
        if host is None:
            return
        self._busy.add(host.number)
        self._note(f"host {host.number} SIGKILL")
        host.end()
        await trio.sleep(pause_s)
        host.start()
        self._busy.discard(host.number)

    async def _pause_host(self, pause_s: float) -> None:
        host = self._free_host()
        if host is None:
            return
        self._busy.add(host.number)
        self._note(f"host {host.number} paused for {pause_s:.2f}")
        host.signal(signal.SIGSTOP)
        await trio.sleep(pause_s)
        host.signal(signal.SIGCONT)
        self._note(f"host {host.number} goes on")
        self._busy.discard(host.number)

    async def _all_hosts(self, pause_s: float) -> None:
        hosts = [h for h in self._fleet.hosts if h.number not in self._busy]
        self._busy |= {host.number for host in hosts}
        self._note(f"hosts {[host.number for host in hosts]} SIGKILL")
        for host in hosts:
            host.end()
        await trio.sleep(pause_s / 3)
        for host in hosts:
            host.start()
            self._busy.discard(host.number)

    async def _on_link(self, what: str, link: FaultyLink, for_s: float) -> None:
        if self._rng.random() < 0.2:
            self._note(f"{what} reset")
            link.reset()
            return
        fault = self._rng.choice(LINK_FAULTS)
        self._note(f"{what} {fault.value} for {for_s:.2f}")
        link.set(fault)
        await trio.sleep(for_s)
        link.set(LinkFault.NONE)
        self._note(f"{what} good")

    async def _store_link(self, for_s: float) -> None:
        number = self._rng.randrange(len(self._fleet.store_links))
        link = self._fleet.store_links[number]
        await self._on_link(f"store of host {number}", link, for_s)

    async def _server_link(self, for_s: float) -> None:
        server = self._rng.choice(sorted(self._fleet.server_links))
        await self._on_link(f"server {server}", self._fleet.server_links[server], for_s)

    async def _store(self, for_s: float) -> None:
        faults = self._fleet.table.faults
        kind = self._rng.choice(("down", "slow", "lost", "watch", "history"))
        self._note(f"store {kind} for {for_s:.2f}")
        if kind == "down":
            faults.down = True
        elif kind == "slow":
            faults.delay_s = 0.3
        elif kind == "lost":
            faults.lose_answers = 3
        elif kind == "watch":
            faults.silent_watch = True
        else:
            self._fleet.table.forget_history()
        await trio.sleep(for_s)
        faults.down = faults.silent_watch = False
        faults.delay_s, faults.lose_answers = 0.0, 0
        self._note("store good")

    async def _crash_primary(self, for_s: float) -> None:
        leader = self._fleet.group.leader
        others = [s for s in self._fleet.group.servers.values() if s is not leader]
        if leader is None or any(s.dark or s.deaf for s in others):
            return
        self._note(f"primary {leader.id} dark for {for_s:.2f}")
        leader.dark = True
        await trio.sleep(for_s)
        leader.dark = False
        self._note(f"primary {leader.id} back")

    async def _replica(self, for_s: float) -> None:
        group = self._fleet.group
        server = self._rng.choice([s for s in group.servers.values() if not s.leads])
        kind = self._rng.choice(("lag", "deaf", "lost"))
        self._note(f"replica {server.id} {kind} for {for_s:.2f}")
        server.lag_s = 1.0 if kind == "lag" else 0.0
        server.deaf = kind == "deaf"
        server.lose_answers = 3 if kind == "lost" else 0
        await trio.sleep(for_s)
        server.lag_s, server.deaf, server.lose_answers = 0.0, False, 0
        group.let_go(server) if not server.held_term else None
        self._note(f"replica {server.id} good")

    async def _orders(self, for_s: float) -> None:
        self._note(f"orders late for {for_s:.2f}")
        servers = list(self._fleet.group.servers.values())
        late = self._rng.choice(servers)
        late.late_orders_s = self._fleet.promotions.late_s = 2.0
        await trio.sleep(for_s)
        late.late_orders_s = self._fleet.promotions.late_s = 0.0
        self._note("orders good")
