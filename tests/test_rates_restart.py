"""All hosts start again at once, and callers come back inside their rates.

Before the brokers hold any deposit there are no tokens. An operation that can still
end within its caller's target has to wait for them: refused, its caller's few retries
are used up before anything is there to be had. No network: hosts ask one another
directly, with the distances of three regions; time that jumps.
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
    Message,
    PeerAddress,
    PoolQuestion,
)
from rattanhollow.rates import PooledRateParts, PooledRates
from rattanhollow.store import Stored

REGIONS = ("lothian", "tayside", "highland")
HOSTS = 18
WAY_S = {True: 0.001, False: 0.04}
TARGET_MS = 1_000
SLACK = 20
WINDOW_S = 5.0
# Organisations ask for this part of their rates.
ASKED_PART = 1 / 1.6
RATES_PER_S = (23.0, 13.0, 13.0, 7.0, 6.0, 5.0)
ORGANISATIONS = {
    f"o{n}": Organisation(f"o{n}", keys=(), rate_per_s=rate, burst=rate)
    for n, rate in enumerate(RATES_PER_S)
}


class _Fleet:
    """Hosts that were listed with an earlier start, and start one after another."""

    def __init__(self, rng: random.Random, hosts: int = HOSTS) -> None:
        self.rng = rng
        self.asked = 0
        self.records = {
            f"h{n}": HostRecord(f"h{n}", "10.0.0.1", REGIONS[n % 3], 1, "", "earlier")
            for n in range(hosts)
        }
        self.running: dict[str, PooledRates] = {}
        self.directories: dict[str, HostDirectory] = {}
        self.admitted: dict[str, list[float]] = {name: [] for name in ORGANISATIONS}
        self.outcomes: list[tuple[float, bool]] = []

    async def start(self, name: str, at_s: float) -> None:
        """Start a host, which the others hear of from the store soon."""
        await trio.sleep(at_s)
        directory = HostDirectory(lambda: None)
        for other, record in self.records.items():
            directory.follower.offer(Stored("hosts", other, 1, record._asdict()))
        self.directories[name] = directory
        record = self.records[name]._replace(incarnation=f"{name}-again")
        rates = PooledRates(
            PooledRateParts(
                organisations=lambda: ORGANISATIONS,
                own=lambda: record,
                hosts=directory,
                peers=_Links(self, record),  # type: ignore[arg-type]
                clock=trio.current_time,
                region_of=lambda zone: zone,
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
            stored = Stored("hosts", name, 2, record._asdict())
            for known in self.directories.values():
                known.follower.offer(stored)
            self.records[name] = record

    async def operate(self, nursery: trio.Nursery, seconds: float) -> None:
        """Let callers come to hosts that have started, each inside its rate."""
        asked_per_s = sum(RATES_PER_S) * ASKED_PART
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.expovariate(asked_per_s))
            organisation = self.rng.choices(list(ORGANISATIONS), RATES_PER_S)[0]
            host = self.rng.choice(sorted(self.running))
            nursery.start_soon(self._one, host, organisation)

    async def _one(self, host: str, organisation: str) -> None:
        came_s = trio.current_time()
        admission = await self.running[host].admit(organisation, TARGET_MS)
        self.outcomes.append((came_s, admission.admitted))
        if admission.admitted:
            self.admitted[organisation].append(trio.current_time())


class _Links:
    """Links of one host; those to hosts that haven't started are found dark."""

    def __init__(self, fleet: _Fleet, own: HostRecord) -> None:
        self._fleet = fleet
        self._own = own
        self._dark: set[str] = set()

    def is_dark(self, peer: PeerAddress) -> bool:
        return peer.name in self._dark and peer.name not in self._fleet.running

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        self._fleet.asked += 1
        answering = self._fleet.running.get(peer.name)
        if answering is None:
            await trio.sleep(timeout_ms / 1000)
            self._dark.add(peer.name)
            return Err(AskFailure("not started", sent=False))
        near = self._fleet.records[peer.name].zone == self._own.zone
        await trio.sleep(WAY_S[near])
        answer: Any
        if isinstance(question, DepositQuestion):
            answer = answering.answer_deposit(question)
        else:
            assert isinstance(question, PoolQuestion)
            answer = answering.answer(question)
        return Ok(answer)


def _restart(seed: int, seconds: float) -> _Fleet:
    """Start all hosts within 0.3 s; callers come as soon as one has started."""
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
def test_callers_inside_their_rates_are_served_behind_a_restart_of_all(
    seed: int,
) -> None:
    """Nineteen of twenty that come within the first two seconds."""
    outcomes = _restart(seed, 2.0).outcomes
    served = sum(admitted for _, admitted in outcomes)
    assert served >= 0.95 * len(outcomes)


@pytest.mark.parametrize("seed", range(4))
def test_waiting_callers_never_exceed_rate_and_burst(seed: int) -> None:
    """Over any window, those that waited for the first tokens included."""
    fleet = _restart(seed, 8.0)
    for name, times in fleet.admitted.items():
        limits = ORGANISATIONS[name]
        allowed = (limits.rate_per_s * WINDOW_S + limits.burst) * 1.1 + SLACK
        for n, at_s in enumerate(times):
            assert sum(t < at_s + WINDOW_S for t in times[n:]) <= allowed


def _asked_by_an_idle_host_per_s(hosts: int) -> float:
    fleet = _Fleet(random.Random(0), hosts)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for name in fleet.records:
                nursery.start_soon(fleet.start, name, fleet.rng.uniform(0, 0.3))
            await trio.sleep(4)
            fleet.asked = 0
            await trio.sleep(4)
            nursery.cancel_scope.cancel()

    run_jumping(main)
    # A broker asks itself, without a message.
    return fleet.asked / (hosts - len(REGIONS)) / 4


def test_an_idle_host_asks_as_often_whatever_the_size_of_its_fleet() -> None:
    """Each question wakes two hosts: most of what a large fleet does when idle."""
    small, large = map(_asked_by_an_idle_host_per_s, (18, 195))
    assert large <= 1.1 * small
