"""All hosts restart at once while callers stay within their rates.

There are no tokens until the brokers hold deposits. An operation that can still finish
within its caller's target has to wait for them: if it is refused, the caller uses up
its few retries before any token is available. No network: hosts call one another
directly, with the latencies of three regions, in simulated time.
"""

import random
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from jumping import run_jumping
from rattanhollow.configuration import Organisation
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Meter
from rattanhollow.peer import (
    AskFailure,
    DepositQuestion,
    FirstDepositQuestion,
    Message,
    PeerAddress,
    PoolQuestion,
)
from rattanhollow.rates import PooledRateLimiter, PooledRateLimiterParts
from rattanhollow.store import Revision, Stored

REGIONS = ("lothian", "tayside", "highland")
HOSTS = 18
LATENCY_S = {True: 0.001, False: 0.04}
TARGET_MS = 1_000
SLACK = 20
WINDOW_S = 5.0
# Ratio of the demand of each organisation to its rate.
DEMAND_RATIO = 1 / 1.6
RATES_PER_S = (23.0, 13.0, 13.0, 7.0, 6.0, 5.0)
ORGANISATIONS = {
    f"o{n}": Organisation(f"o{n}", keys=(), rate_per_s=rate, burst=rate)
    for n, rate in enumerate(RATES_PER_S)
}


class _Fleet:
    """Hosts that are listed with a previous start and restart one after another."""

    def __init__(self, rng: random.Random, hosts: int = HOSTS) -> None:
        self.rng = rng
        self.request_count = 0
        self.records = {
            f"h{n}": HostRecord(f"h{n}", "10.0.0.1", REGIONS[n % 3], 1, "", "earlier")
            for n in range(hosts)
        }
        self.running: dict[str, PooledRateLimiter] = {}
        self.directories: dict[str, HostDirectory] = {}
        self.admitted: dict[str, list[float]] = {name: [] for name in ORGANISATIONS}
        self.outcomes: list[tuple[float, bool]] = []

    async def start(self, name: str, at_s: float) -> None:
        """Start a host; the others see its record in the store shortly after."""
        await trio.sleep(at_s)
        directory = HostDirectory(lambda: None)
        for other, record in self.records.items():
            directory.follower.offer(
                Stored("hosts", other, Revision(1), record._asdict())
            )
        self.directories[name] = directory
        record = self.records[name]._replace(incarnation=f"{name}-again")
        rates = PooledRateLimiter(
            PooledRateLimiterParts(
                organisations=lambda: ORGANISATIONS,
                own=lambda: record,
                hosts=directory,
                peers=_Connections(self, record),  # type: ignore[arg-type]
                clock=trio.current_time,
                region_of=lambda zone: zone,
                process_started_at_s=trio.current_time(),
                settle_s=1.5,
                slack=SLACK,
                meter=Meter(),
            )
        )
        self.running[name] = rates
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rates.run)
            await trio.sleep(0.1)
            rates.registered(anew=False)
            await trio.sleep(0.1)
            stored = Stored("hosts", name, Revision(2), record._asdict())
            for known in self.directories.values():
                known.follower.offer(stored)
            self.records[name] = record

    async def operate(self, nursery: trio.Nursery, seconds: float) -> None:
        """Send operations within their rates to hosts that have started."""
        demand_per_s = sum(RATES_PER_S) * DEMAND_RATIO
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.expovariate(demand_per_s))
            organisation = self.rng.choices(list(ORGANISATIONS), RATES_PER_S)[0]
            host = self.rng.choice(sorted(self.running))
            nursery.start_soon(self._admit_one_operation, host, organisation)

    async def _admit_one_operation(self, host: str, organisation: str) -> None:
        arrived_at_s = trio.current_time()
        admission = await self.running[host].admit(organisation, TARGET_MS)
        self.outcomes.append((arrived_at_s, admission.admitted))
        if admission.admitted:
            self.admitted[organisation].append(trio.current_time())


class _Connections:
    """Connections of one host; hosts found not started are dark until they start."""

    def __init__(self, fleet: _Fleet, own: HostRecord) -> None:
        self._fleet = fleet
        self._own = own
        self._dark: set[str] = set()

    def is_dark(self, peer: PeerAddress) -> bool:
        return peer.name in self._dark and peer.name not in self._fleet.running

    async def ask(
        self, peer: PeerAddress, request: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        self._fleet.request_count += 1
        responder = self._fleet.running.get(peer.name)
        if responder is None:
            await trio.sleep(timeout_ms / 1000)
            self._dark.add(peer.name)
            return Err(AskFailure("not started", sent=False))
        same_region = self._fleet.records[peer.name].zone == self._own.zone
        await trio.sleep(LATENCY_S[same_region])
        response: Any
        if isinstance(request, DepositQuestion):
            response = responder.broker.handle_deposit_request(request)
        elif isinstance(request, FirstDepositQuestion):
            response = responder.broker.handle_first_deposit(request)
        else:
            assert isinstance(request, PoolQuestion)
            response = responder.broker.handle_pool_request(request)
        return Ok(response)


def _restart(seed: int, seconds: float) -> _Fleet:
    """Start all hosts within 0.3 s, then send operations for ``seconds``."""
    rng = random.Random(seed)
    fleet = _Fleet(rng)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for name in fleet.records:
                nursery.start_soon(fleet.start, name, rng.uniform(0, 0.3))
            await trio.sleep(0.31)
            await fleet.operate(nursery, seconds)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return fleet


@pytest.mark.parametrize("seed", range(8))
def test_callers_within_their_rates_are_served_after_a_restart_of_all_hosts(
    seed: int,
) -> None:
    """At least 95 % of the operations in the first two seconds are admitted."""
    outcomes = _restart(seed, 2.0).outcomes
    served = sum(admitted for _, admitted in outcomes)
    assert served >= 0.95 * len(outcomes)


@pytest.mark.parametrize("seed", range(4))
def test_waiting_callers_never_exceed_rate_and_burst(seed: int) -> None:
    """No window exceeds the limits, including waiters for the first tokens."""
    fleet = _restart(seed, 8.0)
    for name, times in fleet.admitted.items():
        limits = ORGANISATIONS[name]
        allowed = (limits.rate_per_s * WINDOW_S + limits.burst) * 1.1 + SLACK
        for n, at_s in enumerate(times):
            assert sum(t < at_s + WINDOW_S for t in times[n:]) <= allowed


def _idle_requests_per_host_per_s(hosts: int) -> float:
    fleet = _Fleet(random.Random(0), hosts)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for name in fleet.records:
                nursery.start_soon(fleet.start, name, fleet.rng.uniform(0, 0.3))
            await trio.sleep(4)
            fleet.request_count = 0
            await trio.sleep(4)
            nursery.cancel_scope.cancel()

    run_jumping(main)
    # A broker sends no message for its own requests.
    return fleet.request_count / (hosts - len(REGIONS)) / 4


def test_idle_requests_per_host_do_not_grow_with_the_fleet() -> None:
    """Each request wakes two hosts and dominates the idle load of a large fleet."""
    small, large = map(_idle_requests_per_host_per_s, (18, 195))
    assert large <= 1.1 * small
