"""A fleet of rate limiters that call one another directly, in simulated time.

Hosts of three regions start, are killed and start again; callers send operations to
hosts near them, wait, and try again.
"""

import random
from collections import defaultdict
from typing import Any, NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.configuration import Organisation
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Meter
from rattanhollow.peer import (
    AskFailure,
    DepositQuestion,
    FirstDepositQuestion,
    Message,
    PeerAddress,
)
from rattanhollow.rates import PooledRateLimiter, PooledRateLimiterParts
from rattanhollow.store import Revision, Stored

REGIONS = ("lothian", "tayside", "highland")
ONE_WAY_S = {True: 0.002, False: 0.022}
WINDOW_S = 5.0
SLACK = 20
# Processor time of a start, most of it imports.
IMPORT_S = 0.4
REGISTERED_AFTER_S = 0.02
LISTED_AFTER_S = 0.1
RETRY_PAUSE_S = (0.03, 0.12)


class Outcome(NamedTuple):
    """One caller's operation: when it first asked, and how it ended."""

    organisation: str
    asked_at_s: float
    admitted: bool
    took_s: float


class RateFleet:
    """Hosts ``h0``, ``h1``, … with the rate limiters of those that run.

    ``rates_per_s`` has one rate, which is also the burst, for each organisation;
    ``slack`` is how many operations a window may have beyond them, ``scarce`` whether
    operations wait only for a token that can come in time.
    """

    def __init__(
        self,
        rng: random.Random,
        hosts: int,
        rates_per_s: tuple[float, ...],
        slack: int = SLACK,
        scarce: bool = False,
    ) -> None:
        self.scarce = scarce
        self.rng = rng
        self.slack = slack
        self.organisations = {
            f"o{n}": Organisation(f"o{n}", keys=(), rate_per_s=rate, burst=rate)
            for n, rate in enumerate(rates_per_s)
        }
        self.records = {
            f"h{n}": HostRecord(f"h{n}", "10.0.0.1", REGIONS[n % 3], 1, "", "earlier")
            for n in range(hosts)
        }
        self.running: dict[str, PooledRateLimiter] = {}
        self.directories: dict[str, HostDirectory] = {}
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.outcomes: list[Outcome] = []
        # Each organisation has most of its callers in one region, each host its own
        # share of a region's callers.
        self._region_weights = {
            name: [rng.random() ** 2 + 0.1 for _ in REGIONS]
            for name in self.organisations
        }
        self._host_weights = {name: rng.random() + 0.3 for name in self.records}
        self._starts = 0
        self._versions = 1
        self._scopes: dict[str, trio.CancelScope] = {}

    async def run_host(
        self, name: str, start_after_s: float, ahead_s: float = 0.0
    ) -> None:
        """Start a host and run it until it is killed.

        It takes its process to have begun ``ahead_s`` sooner than it did.
        """
        await trio.sleep(start_after_s)
        with trio.CancelScope() as self._scopes[name]:
            process_started_at_s = trio.current_time() - ahead_s
            await trio.sleep(IMPORT_S)
            await self._serve(name, process_started_at_s)
        self.running.pop(name, None)

    def kill(self, name: str) -> None:
        """Kill a host; its record stays."""
        self.running.pop(name, None)
        self._scopes[name].cancel()

    async def _serve(self, name: str, process_started_at_s: float) -> None:
        directory = HostDirectory(lambda: None)
        for other, known in self.records.items():
            directory.follower.offer(
                Stored("hosts", other, Revision(1), known._asdict())
            )
        self._starts += 1
        record = self.records[name]._replace(incarnation=f"{name}-{self._starts}")
        rates = PooledRateLimiter(
            PooledRateLimiterParts(
                organisations=lambda: self.organisations,
                own=lambda: record,
                hosts=directory,
                peers=_Connections(self, record),  # type: ignore[arg-type]
                clock=trio.current_time,
                region_of=lambda zone: zone,
                process_started_at_s=process_started_at_s,
                settle_s=1.5,
                slack=self.slack,
                meter=Meter(),
                scarce=self.scarce,
            )
        )
        self.running[name] = rates
        self.directories[name] = directory
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rates.run)
            await trio.sleep(REGISTERED_AFTER_S)
            rates.registered(anew=False)
            await trio.sleep(LISTED_AFTER_S)
            self._versions += 1
            stored = Stored("hosts", name, Revision(self._versions), record._asdict())
            for known_hosts in self.directories.values():
                known_hosts.follower.offer(stored)
            self.records[name] = record

    async def operate(self, organisation: str, tries: int, target_ms: int) -> None:
        """Send one operation, again after each refusal, to hosts of one region."""
        asked_at_s = trio.current_time()
        region = self.rng.choices(REGIONS, self._region_weights[organisation])[0]
        admitted = False
        for attempt in range(tries):
            if attempt:
                await trio.sleep(self.rng.uniform(*RETRY_PAUSE_S))
            rates = self._choose_host(region)
            if rates is None:
                continue
            admission = await rates.admit(organisation, target_ms)
            if admission.admitted and rates in self.running.values():
                admitted = True
                break
        now_s = trio.current_time()
        if admitted:
            self.admitted[organisation].append(now_s)
        self.outcomes.append(
            Outcome(organisation, asked_at_s, admitted, now_s - asked_at_s)
        )

    async def send(
        self, nursery: trio.Nursery, demand_ratio: float, seconds: float
    ) -> None:
        """Send operations at random times, at a fraction of all rates."""
        rates_per_s = [item.rate_per_s for item in self.organisations.values()]
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.expovariate(sum(rates_per_s) * demand_ratio))
            name = self.rng.choices(list(self.organisations), rates_per_s)[0]
            nursery.start_soon(self.operate, name, 3, 1_000)

    def _choose_host(self, region: str) -> PooledRateLimiter | None:
        names = [n for n in self.running if self.records[n].zone == region]
        names = names or list(self.running)
        if not names:
            return None
        weights = [self._host_weights[name] for name in names]
        return self.running[self.rng.choices(names, weights)[0]]

    def largest_excess(self, name: str) -> float:
        """Return the most that any window had beyond rate and burst."""
        limits = self.organisations[name]
        times = sorted(self.admitted[name])
        owed = limits.rate_per_s * WINDOW_S + limits.burst
        largest, first = -owed, 0
        for last, at_s in enumerate(times):
            while at_s - times[first] >= WINDOW_S:
                first += 1
            largest = max(largest, last - first + 1 - owed)
        return largest

    def allowed_excess(self, name: str) -> float:
        """Return what operators allow beyond rate and burst in a window."""
        limits = self.organisations[name]
        return 0.1 * (limits.rate_per_s * WINDOW_S + limits.burst) + self.slack


class _Connections:
    """Connections of one host; hosts found not running are dark until they run."""

    def __init__(self, fleet: RateFleet, own: HostRecord) -> None:
        self._fleet = fleet
        self._own = own
        self._dark: set[str] = set()

    def is_dark(self, peer: PeerAddress) -> bool:
        return peer.name in self._dark and peer.name not in self._fleet.running

    async def ask(
        self, peer: PeerAddress, request: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        responder = self._fleet.running.get(peer.name)
        if responder is None:
            await trio.sleep(timeout_ms / 1000)
            self._dark.add(peer.name)
            return Err(AskFailure("not running", sent=False))
        one_way_s = ONE_WAY_S[self._fleet.records[peer.name].zone == self._own.zone]
        await trio.sleep(one_way_s)
        response = _respond(responder, request)
        await trio.sleep(one_way_s)
        return Ok(response)


def _respond(responder: PooledRateLimiter, request: Any) -> Any:
    if isinstance(request, DepositQuestion):
        return responder.broker.handle_deposit_request(request)
    if isinstance(request, FirstDepositQuestion):
        return responder.broker.handle_first_deposit(request)
    return responder.broker.handle_pool_request(request)
