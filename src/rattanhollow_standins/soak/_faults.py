"""Random faults, in series and overlapping, and their end."""

import itertools
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow_standins.platform import DatabaseServer
from rattanhollow_standins.platform._cluster import ZONES
from rattanhollow_standins.soak._fleet import SERVICE, HostProcess, SoakFleet
from rattanhollow_standins.soak._link import FaultyLink, LinkFault

STOP_WITHIN_S = 6.0
LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.DELAY,
    LinkFault.STALE,
)
# How late orders without an answer are carried out.
LATE_S = (2.0, 12.0)
TO_PLATFORM = frozenset({"PROMOTE"})
TO_DATABASES = frozenset({"SUSPEND", "RESUME", "STEPDOWN"})
# Without answers to most orders nothing is chosen.
LATE_KINDS = (*3 * [TO_PLATFORM], TO_DATABASES, TO_PLATFORM | TO_DATABASES)
# A crashed database is back after such a time, and its old entry lapses.
BACK_S = (0.3, 2.0)
LAPSE_S = (1.0, 3.5)
# A primary that is lost is replaced within that, if it is at all.
CHOICE_WITHIN_S = 5.0
# Some seconds longer than hosts have to empty a zone.
EVACUATED_S = (4.0, 11.0)
ALL_ZONES_SHARE = 0.3
# How old the copy is when the store goes away, how long it is away, and how soon its
# other writers write again what it has lost.
COPY_AGE_S = (0.3, 4.0)
AWAY_S = (0.1, 1.5)
REWRITTEN_S = (0.1, 2.0)
# From the choice of a primary until it leads.
WINDOW_S = 1.2


class FaultMix(NamedTuple):
    """How many faults begin, and whether those of promotions are among them.

    ``restores`` where the store comes back from older copies, too.
    """

    faults: int
    within_s: float
    around_promotions: bool
    restores: bool = False


SINGLE = FaultMix(10, 10.0, False)
AROUND_PROMOTIONS = FaultMix(12, 14.0, True)
RESTORES = FaultMix(16, 16.0, True, restores=True)


class Span(NamedTuple):
    """A time in which a zone was evacuated; ``zone`` is empty for a store outage."""

    zone: str
    from_s: float
    until_s: float


class LateSpan(NamedTuple):
    """A time in which a share of the orders, of the given kinds, comes late."""

    kinds: frozenset[str]
    share: float
    rng: random.Random


class Faults:
    """Begins and ends faults; ``notes`` says what was done and when.

    ``played`` counts them by kind.
    """

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        self.notes: list[str] = []
        # Times of all that isn't planned work.
        self.unplanned_s: list[float] = []
        self.played: Counter[str] = Counter()
        self.evacuations: list[Span] = []
        self.outages: list[Span] = []
        self._evacuated: set[str] = set()
        self._fleet = fleet
        self._rng = rng
        self._busy: set[int] = set()
        self._began_s = trio.current_time()
        self._late_spans: list[LateSpan] = []
        self._late_until_s = 0.0
        self._one_choice = trio.Lock()
        self._one_restore = trio.Lock()
        self._names = itertools.count(len(fleet.servers))
        fleet.group.order_delay_s = self._order_delay_s

    async def run(self, mix: FaultMix) -> None:
        """Let faults begin, and wait for their ends.

        That of late orders is when the last one has taken effect.
        """
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
        if mix.around_promotions:
            kinds += 2 * [self._replace_database, self._restart_replica]
            kinds += 2 * [self._late_orders, self._cut_primary]
            kinds += 14 * [self._disturb_choice]
            kinds += 4 * [self._evacuate]
        if mix.restores:
            kinds += 10 * [self._restore]
        async with trio.open_nursery() as nursery:
            for _ in range(mix.faults):
                await trio.sleep(self._rng.uniform(0, 2 * mix.within_s / mix.faults))
                kind = self._rng.choice(kinds)
                nursery.start_soon(kind, self._rng.uniform(0.3, 3.0))
        await trio.sleep_until(self._late_until_s + WINDOW_S)

    def _begin(self, kind: str, text: str, planned: bool = False) -> None:
        self.played[kind] += 1
        self._note(text, planned)

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
        self._begin("host stopped", f"host {host.number} SIGTERM", planned=True)
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
        if host is not None:
            self._begin("host killed", f"host {host.number} SIGKILL")
            await self._kill(host, pause_s)

    async def _kill(self, host: HostProcess, pause_s: float) -> None:
        self._busy.add(host.number)
        host.end()
        await trio.sleep(pause_s)
        host.start()
        self._busy.discard(host.number)

    async def _pause_host(self, pause_s: float) -> None:
        host = self._free_host()
        if host is None:
            return
        self._busy.add(host.number)
        self._begin("host paused", f"host {host.number} paused for {pause_s:.2f}")
        host.signal(signal.SIGSTOP)
        await trio.sleep(pause_s)
        host.signal(signal.SIGCONT)
        self._note(f"host {host.number} goes on")
        self._busy.discard(host.number)

    async def _all_hosts(self, pause_s: float) -> None:
        hosts = [h for h in self._fleet.hosts if h.number not in self._busy]
        self._busy |= {host.number for host in hosts}
        numbers = [host.number for host in hosts]
        self._begin("all hosts killed", f"hosts {numbers} SIGKILL")
        for host in hosts:
            host.end()
        await trio.sleep(pause_s / 3)
        for host in hosts:
            host.start()
            self._busy.discard(host.number)

    async def _on_link(self, what: str, link: FaultyLink, for_s: float) -> None:
        self.played[f"{what.partition(' ')[0]} link"] += 1
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
        server = self._rng.choice(sorted(self._fleet.seats))
        await self._on_link(f"server {server}", self._fleet.seats[server].link, for_s)

    async def _store(self, for_s: float) -> None:
        faults = self._fleet.table.faults
        kind = self._rng.choice(("down", "slow", "lost", "watch", "history"))
        self._begin("store", f"store {kind} for {for_s:.2f}")
        began_s = trio.current_time()
        if kind == "down":
            faults.down = True
            self.outages.append(Span("", began_s, began_s + for_s))
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

    async def _restore(self, for_s: float) -> None:
        """Let the store come back from an older copy; one at a time."""
        async with self._one_restore:
            saved = self._fleet.table.save()
            await trio.sleep(self._rng.uniform(*COPY_AGE_S))
            lost = self._fleet.table.version - saved.version
            away_s = self._rng.uniform(*AWAY_S)
            self._begin("store restored", f"store away for {away_s:.2f}")
            began_s = trio.current_time()
            self._fleet.table.faults.down = True
            await trio.sleep(away_s)
            self._fleet.table.come_back_from(saved)
            self._fleet.table.faults.down = False
            self._note(f"store back without {lost} changes")
            await trio.sleep(self._rng.uniform(*REWRITTEN_S))
            self._fleet.write_again()
            # Hosts can't know of an evacuation that the store has lost.
            self.outages.append(Span("", began_s, trio.current_time()))

    async def _evacuate(self, for_s: float) -> None:
        """Evacuate a zone, sometimes again right behind the end, or all zones.

        With all zones no other server can lead: only the hosts keep work away.
        """
        zones = [self._rng.choice(list(ZONES))]
        if self._rng.random() < ALL_ZONES_SHARE:
            zones = list(ZONES)
        zones = [zone for zone in zones if zone not in self._evacuated]
        self._evacuated |= set(zones)
        spans = [self._rng.uniform(*EVACUATED_S)]
        if self._rng.random() < 0.3:
            spans.insert(0, for_s)
        for span_s in spans if zones else ():
            began_s = trio.current_time()
            names = ", ".join(zones)
            self._begin("zone evacuated", f"{names} evacuated for {span_s:.2f}")
            for zone in zones:
                self._fleet.evacuate(zone)
            await trio.sleep(span_s)
            for zone in zones:
                self._fleet.end_evacuation(zone)
                self.evacuations.append(Span(zone, began_s, trio.current_time()))
            self._note(f"{names} returns")
            await trio.sleep(self._rng.uniform(0, 0.5))
        self._evacuated -= set(zones)

    async def _crash_primary(self, for_s: float) -> None:
        leader = self._fleet.group.leader
        others = [s for s in self._fleet.group.servers.values() if s is not leader]
        if leader is None or any(s.dark or s.deaf for s in others):
            return
        self._begin("primary dark", f"primary {leader.id} dark for {for_s:.2f}")
        leader.dark = True
        await trio.sleep(for_s)
        if self._fleet.is_up(leader):
            leader.dark = False
        self._note(f"primary {leader.id} back")

    async def _replica(self, for_s: float) -> None:
        group = self._fleet.group
        server = self._rng.choice([s for s in group.servers.values() if not s.leads])
        kind = self._rng.choice(("lag", "deaf", "lost"))
        self._begin("replica", f"replica {server.id} {kind} for {for_s:.2f}")
        server.lag_s = 1.0 if kind == "lag" else 0.0
        server.deaf = kind == "deaf"
        server.lose_answers = 3 if kind == "lost" else 0
        await trio.sleep(for_s)
        server.lag_s, server.deaf, server.lose_answers = 0.0, False, 0
        group.let_go(server) if not server.held_term else None
        self._note(f"replica {server.id} good")

    async def _orders(self, for_s: float) -> None:
        self._begin("orders late by 2 s", f"orders late for {for_s:.2f}")
        servers = list(self._fleet.group.servers.values())
        late = self._rng.choice(servers)
        late.late_orders_s = self._fleet.promotions.late_s = 2.0
        await trio.sleep(for_s)
        late.late_orders_s = self._fleet.promotions.late_s = 0.0
        self._note("orders good")

    async def _late_orders(self, for_s: float) -> None:
        """Let a share of the orders come late; spans overlap."""
        kinds = self._rng.choice(
            (TO_PLATFORM, TO_DATABASES, TO_PLATFORM | TO_DATABASES)
        )
        share = self._rng.uniform(*(0.4, 0.9) if kinds == TO_PLATFORM else (0.2, 0.5))
        span = LateSpan(kinds, share, random.Random(self._rng.random()))
        for_s += 2.0
        text = f"{share:.2f} of {', '.join(sorted(kinds))} late for {for_s:.2f}"
        self._begin("late span", text)
        self._late_spans.append(span)
        await trio.sleep(for_s)
        self._late_spans.remove(span)

    def _order_delay_s(self, kind: str) -> float:
        """Draw how late the next order is carried out; 0 for at once."""
        for span in self._late_spans:
            if kind in span.kinds and span.rng.random() < span.share:
                late_s = span.rng.uniform(*LATE_S)
                until_s = trio.current_time() + late_s
                self._late_until_s = max(self._late_until_s, until_s)
                self._begin("late order", f"{kind} comes {late_s:.2f} late")
                return late_s
        return 0.0

    async def _replace_database(self, for_s: float) -> None:
        """Crash a database; it returns under another identifier, with its log."""
        leader = self._fleet.group.leader
        up = [s for s in self._fleet.group.servers.values() if not s.dark]
        if leader in up and self._rng.random() < 0.5:
            up = [leader]
        if up:
            await self._replace(self._rng.choice(up))

    async def _replace(self, server: DatabaseServer, at_choice: bool = False) -> None:
        silent = self._rng.random() < 0.5
        back_s, lapse_s = self._rng.uniform(*BACK_S), self._rng.uniform(*LAPSE_S)
        role = "primary" if server.leads else "replica"
        how = "silently" if silent else "closed"
        self._begin(f"{role} replaced", f"{role} {server.id} crashes ({how})")
        await self._fleet.crash(server, silent)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lapse, server.id, lapse_s)
            if at_choice:
                with trio.move_on_after(BACK_S[1]):
                    await self._next_choice()
                    self.played[f"{role} back behind a choice"] += 1
                    await trio.sleep(back_s / 4)
            else:
                await trio.sleep(back_s)
            name = f"i-{next(self._names)}"
            await self._fleet.return_as(server, name)
            self._note(f"{server.id} is back as {name}")
        # It may have been described meanwhile.
        self._fleet.lapse(server.id)

    async def _lapse(self, id: str, after_s: float) -> None:
        await trio.sleep(after_s)
        self._fleet.lapse(id)
        self._note(f"the entry of {id} lapses")

    async def _restart_replica(self, for_s: float) -> None:
        """Restart a replica under its identifier, which ends a hold."""
        server = self._replica_up()
        if server is not None:
            await self._restart(server, for_s)

    async def _restart(self, server: DatabaseServer, for_s: float) -> None:
        self._begin("replica restarted", f"replica {server.id} stops")
        await self._fleet.crash(server, silent=False)
        await trio.sleep(for_s / 8)
        await self._fleet.restart(server)
        self._note(f"replica {server.id} is started again")

    def _replica_up(self, spared: str = "") -> DatabaseServer | None:
        servers = self._fleet.group.servers.values()
        up = [s for s in servers if not s.leads and not s.dark and s.id != spared]
        return self._rng.choice(up) if up else None

    async def _cut_primary(self, for_s: float) -> None:
        """Cut the primary from some hosts, until another is about to lead."""
        hosts = self._fleet.hosts
        await self._cut(self._rng.sample(hosts, self._rng.randint(1, len(hosts))))

    async def _cut(self, hosts: list[HostProcess]) -> None:
        leader = self._fleet.group.leader
        if leader is None or leader.dark:
            return
        numbers = sorted(host.number for host in hosts)
        self._begin("primary cut", f"primary {leader.id} cut from hosts {numbers}")
        link, addresses = self._fleet.seats[leader.id].link, {h.address for h in hosts}
        link.cut_off |= addresses
        with trio.move_on_after(CHOICE_WITHIN_S):
            await self._next_choice()
            self.played["primary healed behind a choice"] += 1
            await trio.sleep(self._rng.uniform(0, WINDOW_S))
        link.cut_off -= addresses
        self._note(f"primary {leader.id} is reached again by hosts {numbers}")

    async def _disturb_choice(self, for_s: float) -> None:
        """Lose the primary; it is back, and more happens, as another is chosen.

        One at a time: a second loss would keep the choice from being made.
        """
        async with self._one_choice:
            leader = await self._next_primary()
            if leader is not None:
                await self._disturb_choice_of(leader, for_s)

    async def _next_primary(self) -> DatabaseServer | None:
        """Wait until a primary is up, and hosts had some time to use it."""
        with trio.move_on_after(CHOICE_WITHIN_S):
            while True:
                await trio.sleep(self._rng.uniform(0.5, 1.5))
                leader = self._fleet.group.leader
                if leader is not None and not leader.dark:
                    return leader
        return None

    async def _disturb_choice_of(self, leader: DatabaseServer, for_s: float) -> None:
        crashes, kills = self._rng.random() < 0.6, self._rng.random() < 0.5
        # At once: before any order to promote; else behind one or two.
        behind_s = max(0.0, self._rng.uniform(-0.4, 0.4))
        async with trio.open_nursery() as nursery:
            if self._rng.random() < 0.6:
                nursery.start_soon(self._late_orders, for_s)
            if crashes:
                nursery.start_soon(self._replace, leader, True)
            else:
                nursery.start_soon(self._cut, self._fleet.hosts)
            with trio.move_on_after(CHOICE_WITHIN_S):
                holder = await self._next_choice()
                nursery.start_soon(self._disturb_replica, for_s)
                await trio.sleep(behind_s)
                host = next(h for h in self._fleet.hosts if h.name == holder)
                if kills and host.number not in self._busy and host.runs:
                    text = f"host {host.number} SIGKILL {behind_s:.2f} behind a choice"
                    self._begin("coordinator killed", text)
                    nursery.start_soon(self._kill, host, for_s)

    async def _disturb_replica(self, for_s: float) -> None:
        """Let a replica receive again that was held; most often not the target."""
        await trio.sleep(self._rng.uniform(0, WINDOW_S / 2))
        spared = self._target() if self._rng.random() < 0.75 else ""
        server = self._replica_up(spared)
        if server is None:
            return
        if self._rng.random() < 0.5:
            await self._replace(server)
        else:
            await self._restart(server, for_s)

    def _target(self) -> str:
        """Return the target of the newest succession."""
        entry = self._fleet.table.get("successions", SERVICE)
        return str(entry.spec["target"]) if entry is not None else ""

    async def _next_choice(self) -> str:
        """Wait until a host claims or chooses a target; return its name."""
        before = self._choice()
        while (chosen := self._choice()) is None or chosen == before:
            await self._fleet.table.wait_for_change()
        return chosen[1]

    def _choice(self) -> tuple[str, str] | None:
        """Return claim and holder of the succession, if it has a target."""
        entry = self._fleet.table.get("successions", SERVICE)
        if entry is None or entry.spec["phase"] != "chosen":
            return None
        return entry.spec["claim_id"], entry.spec["holder"]
