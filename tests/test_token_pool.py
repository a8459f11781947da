"""Rates shared through token brokers never exceed their limit.

Hosts and brokers are plain objects without a network, with simulated time and fixed
seeds. One organisation sends more than its rate, while messages are lost or delayed
and hosts restart.
"""

import random
from typing import NamedTuple

import pytest

from rattanhollow.coordination import (
    TOKEN_LIFETIME_S,
    Depositor,
    TokenBroker,
    TokenBucket,
    TokenWant,
    kept_fraction,
    shard_of,
)
from rattanhollow.coordination._token_pool import DEPOSIT_LIFETIME_S

ORGANISATION = "kirk"
SHARD = shard_of(ORGANISATION)
RATE = 40.0
BURST = 40.0
STEP_S = 0.05
REQUEST_INTERVAL_S = 0.4
WINDOW_S = 5.0


class Clock:
    """A simulated clock."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the simulated time."""
        return self.now_s


class Grant(NamedTuple):
    """Granted tokens, delivered to a host at ``arrives_at_s``."""

    arrives_at_s: float
    host: str
    tokens: int
    expires_at_s: float


class SimHost:
    """A host with its allotment, its deposits, and the tokens granted to it."""

    def __init__(self, name: str, base: float, clock: Clock, rate: float) -> None:
        self.name = name
        self.base = base
        self.rate = self.burst = rate
        self.clock = clock
        self.depositor = Depositor(clock())
        self.broker = TokenBroker(clock)
        self.bucket = TokenBucket(clock)
        self.stamps: dict[str, float] = {}
        self.tokens: list[Grant] = []
        self.requested_at_s = clock()

    def admit(self) -> bool:
        """Admit one operation if a token is available."""
        now_s = self.clock()
        self.tokens = [t for t in self.tokens if t.expires_at_s > now_s and t.tokens]
        if self.tokens:
            first = self.tokens[0]
            self.tokens[0] = first._replace(tokens=first.tokens - 1)
            return True
        fraction = self.base
        if self.depositor.is_deposited(SHARD, now_s):
            fraction *= kept_fraction(self.burst, self.base)
        self.bucket.resize(self.rate * fraction, self.burst * fraction)
        return self.bucket.take()


class Simulation:
    """Overloaded hosts with lost or delayed messages, restarts and broker changes."""

    def __init__(
        self, seed: int, hosts: int, rate: float = RATE, restarts: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.hosts = [
            SimHost(f"h{n}", 1 / hosts, self.clock, rate) for n in range(hosts)
        ]
        self.admitted_s: list[float] = []
        self.in_flight: list[Grant] = []
        self.restarts = restarts

    def run(self, steps: int) -> None:
        """Simulate ``steps`` steps."""
        for _ in range(steps):
            self.clock.now_s += STEP_S
            for host in self.hosts:
                if self.clock() - host.requested_at_s >= REQUEST_INTERVAL_S:
                    self._request_tokens(host)
                for _ in range(self.rng.randint(0, 4)):
                    if host.admit():
                        self.admitted_s.append(self.clock())
            self._deliver()
            if self.restarts and self.rng.random() < 0.01:
                self._restart(self.rng.randrange(len(self.hosts)))

    def _request_tokens(self, host: SimHost) -> None:
        now_s = host.requested_at_s = self.clock()
        # Hosts may disagree on which host is the broker.
        broker = self.hosts[0]
        if self.rng.random() < 0.1:
            broker = self.rng.choice(self.hosts)
        deposited = host.depositor.deposit(SHARD, broker.name, now_s)
        if self.rng.random() < 0.1:
            return
        stamped_at_s = host.stamps.get(broker.name)
        if deposited and stamped_at_s is not None:
            broker.broker.accept_deposit(host.name, SHARD, host.base, stamped_at_s)
        want = TokenWant(ORGANISATION, 10)
        grant = broker.broker.grant(want, host.rate, host.burst)
        if self.rng.random() < 0.1:
            return
        host.stamps[broker.name] = now_s
        delay_s = self.rng.choice([0.0, 0.05, 0.3])
        expires_at_s = now_s + TOKEN_LIFETIME_S
        self.in_flight.append(
            Grant(now_s + delay_s, host.name, grant.tokens, expires_at_s)
        )

    def _deliver(self) -> None:
        due = [g for g in self.in_flight if g.arrives_at_s <= self.clock()]
        self.in_flight = [g for g in self.in_flight if g.arrives_at_s > self.clock()]
        for grant in due:
            for host in self.hosts:
                if host.name == grant.host:
                    host.tokens.append(grant)

    def _restart(self, number: int) -> None:
        old = self.hosts[number]
        self.in_flight = [g for g in self.in_flight if g.host != old.name]
        self.hosts[number] = SimHost(old.name, old.base, self.clock, old.rate)
        for host in self.hosts:
            host.stamps.pop(old.name, None)

    def max_admitted_in_window(self) -> int:
        """Return the largest number of operations admitted in any window."""
        largest = start = 0
        for end, admitted_at_s in enumerate(self.admitted_s):
            while admitted_at_s - self.admitted_s[start] >= WINDOW_S:
                start += 1
            largest = max(largest, end - start + 1)
        return largest


@pytest.mark.parametrize("seed", range(30))
def test_overload_never_exceeds_rate_and_burst(seed: int) -> None:
    """Admissions in any window stay within the bound that users state.

    The limit adds a margin for tokens that were granted in one response.
    """
    rate = (40.0, 8.0, 200.0)[seed % 3]
    simulation = Simulation(seed, hosts=2 + seed % 8, rate=rate)
    simulation.run(800)
    limit = (rate * WINDOW_S + rate) * 1.1 + 20
    assert simulation.max_admitted_in_window() <= limit


@pytest.mark.parametrize("rate", [40.0, 11.0, 3.0])
@pytest.mark.parametrize("seed", range(4))
def test_overload_is_admitted_close_to_its_rate(seed: int, rate: float) -> None:
    """Without restarts, hosts admit close to the rate in total, small rates too."""
    simulation = Simulation(seed, hosts=7, rate=rate, restarts=False)
    simulation.run(800)
    assert len(simulation.admitted_s) >= 0.7 * rate * 800 * STEP_S


def test_restarted_host_does_not_use_its_previous_deposit() -> None:
    """Rates that a previous start may have deposited are not used twice."""
    depositor = Depositor(started_at_s=50.0)
    assert depositor.is_deposited(SHARD, 50.1)
    assert not depositor.deposit(SHARD, "b", 50.1)
    assert not depositor.is_deposited(SHARD, 50.0 + DEPOSIT_LIFETIME_S)
    assert depositor.deposit(SHARD, "b", 50.0 + DEPOSIT_LIFETIME_S)


def test_shard_is_deposited_with_one_broker_at_a_time() -> None:
    """Another broker receives the deposit only after the first one has expired."""
    depositor = Depositor(0.0)
    assert depositor.deposit(SHARD, "one", 10.0)
    assert depositor.deposit(SHARD, "one", 10.5)
    assert not depositor.deposit(SHARD, "two", 10.6)
    assert depositor.deposit(SHARD, "two", 10.5 + DEPOSIT_LIFETIME_S)


def test_expired_deposit_grants_no_tokens() -> None:
    """A broker grants nothing from an expired deposit, which its host uses again."""
    clock = Clock()
    broker = TokenBroker(clock)
    broker.accept_deposit("h", SHARD, 1.0, clock())
    broker.refresh(ORGANISATION, RATE, BURST)
    clock.now_s += DEPOSIT_LIFETIME_S - 0.1
    assert broker.grant(TokenWant(ORGANISATION, 5), RATE, BURST).tokens == 5
    clock.now_s += 0.2
    assert broker.grant(TokenWant(ORGANISATION, 5), RATE, BURST).tokens == 0
