"""Rates shared by deposits: never over the whole, whatever is lost.

No network: hosts and brokers as plain objects, simulated time, stated seeds.
Pattern: one organisation floods; hosts and messages come and go meanwhile.
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
ASK_S = 0.4
WINDOW_S = 5.0


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


class Grant(NamedTuple):
    """Tokens on their way to a host."""

    at_s: float
    host: str
    tokens: int
    until_s: float


class SimHost:
    """A host: its own part, what it deposited, and tokens that it fetched."""

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
        self.asked_at_s = clock()

    def take(self) -> bool:
        """Admit one operation if there is a token for it."""
        now_s = self.clock()
        self.tokens = [t for t in self.tokens if t.until_s > now_s and t.tokens]
        if self.tokens:
            first = self.tokens[0]
            self.tokens[0] = first._replace(tokens=first.tokens - 1)
            return True
        part = self.base
        if self.depositor.is_deposited(SHARD, now_s):
            part *= kept_fraction(self.burst, self.base)
        self.bucket.resize(self.rate * part, self.burst * part)
        return self.bucket.take()


class Simulation:
    """Hosts that flood, with lost and late messages, deaths and broker changes."""

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
        """Play so many steps."""
        for _ in range(steps):
            self.clock.now_s += STEP_S
            for host in self.hosts:
                if self.clock() - host.asked_at_s >= ASK_S:
                    self._ask(host)
                for _ in range(self.rng.randint(0, 4)):
                    if host.take():
                        self.admitted_s.append(self.clock())
            self._deliver()
            if self.restarts and self.rng.random() < 0.01:
                self._restart(self.rng.randrange(len(self.hosts)))

    def _ask(self, host: SimHost) -> None:
        now_s = host.asked_at_s = self.clock()
        # Hosts may differ on who the broker is.
        broker = self.hosts[0]
        if self.rng.random() < 0.1:
            broker = self.rng.choice(self.hosts)
        deposits = host.depositor.deposit(SHARD, broker.name, now_s)
        if self.rng.random() < 0.1:
            return
        stamped_at_s = host.stamps.get(broker.name)
        if deposits and stamped_at_s is not None:
            broker.broker.accept_deposit(host.name, SHARD, host.base, stamped_at_s)
        want = TokenWant(ORGANISATION, 10)
        grant = broker.broker.grant(want, host.rate, host.burst)
        if self.rng.random() < 0.1:
            return
        host.stamps[broker.name] = now_s
        late_s = self.rng.choice([0.0, 0.05, 0.3])
        until_s = now_s + TOKEN_LIFETIME_S
        self.in_flight.append(Grant(now_s + late_s, host.name, grant.tokens, until_s))

    def _deliver(self) -> None:
        due = [g for g in self.in_flight if g.at_s <= self.clock()]
        self.in_flight = [g for g in self.in_flight if g.at_s > self.clock()]
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

    def most_in_window(self) -> int:
        """Return the most operations admitted in any window."""
        most = start = 0
        for end, at_s in enumerate(self.admitted_s):
            while at_s - self.admitted_s[start] >= WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most


@pytest.mark.parametrize("seed", range(30))
def test_a_flood_never_exceeds_rate_and_burst(seed: int) -> None:
    """In any window, with one answer's tokens over: the bound that users state."""
    rate = (40.0, 8.0, 200.0)[seed % 3]
    simulation = Simulation(seed, hosts=2 + seed % 8, rate=rate)
    simulation.run(800)
    allowed = (rate * WINDOW_S + rate) * 1.1 + 20
    assert simulation.most_in_window() <= allowed


@pytest.mark.parametrize("rate", [40.0, 11.0, 3.0])
@pytest.mark.parametrize("seed", range(4))
def test_a_flood_gets_most_of_its_rate(seed: int, rate: float) -> None:
    """Without deaths the hosts together admit close to the rate, small ones too."""
    simulation = Simulation(seed, hosts=7, rate=rate, restarts=False)
    simulation.run(800)
    assert len(simulation.admitted_s) >= 0.7 * rate * 800 * STEP_S


def test_a_restarted_host_leaves_its_earlier_deposit_alone() -> None:
    """What an earlier start may have deposited isn't used a second time."""
    depositor = Depositor(started_at_s=50.0)
    assert depositor.is_deposited(SHARD, 50.1)
    assert not depositor.deposit(SHARD, "b", 50.1)
    assert not depositor.is_deposited(SHARD, 50.0 + DEPOSIT_LIFETIME_S)
    assert depositor.deposit(SHARD, "b", 50.0 + DEPOSIT_LIFETIME_S)


def test_a_part_is_deposited_with_one_broker_at_a_time() -> None:
    """Another broker gets it only once the first one's time is over."""
    depositor = Depositor(0.0)
    assert depositor.deposit(SHARD, "one", 10.0)
    assert depositor.deposit(SHARD, "one", 10.5)
    assert not depositor.deposit(SHARD, "two", 10.6)
    assert depositor.deposit(SHARD, "two", 10.5 + DEPOSIT_LIFETIME_S)


def test_tokens_of_a_deposit_end_with_it() -> None:
    """A broker hands nothing out of a deposit that its owner uses again."""
    clock = Clock()
    broker = TokenBroker(clock)
    broker.accept_deposit("h", SHARD, 1.0, clock())
    broker.refresh(ORGANISATION, RATE, BURST)
    clock.now_s += DEPOSIT_LIFETIME_S - 0.1
    assert broker.grant(TokenWant(ORGANISATION, 5), RATE, BURST).tokens == 5
    clock.now_s += 0.2
    assert broker.grant(TokenWant(ORGANISATION, 5), RATE, BURST).tokens == 0
