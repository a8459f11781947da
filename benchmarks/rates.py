"""Refusals inside the rate for each way of sharing a rate over eight hosts.

Time is the benchmark's own: the parts are those of the proxy, the hosts and
messages between them are played.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.coordination import Holding, Share, ShareOwner, TokenBucket

HOSTS = 8
RATE, BURST = 400.0, 100.0
SECONDS = 60
TICK_S = 0.01
ASK_S = 0.5
VALID_S = 75.0
RESERVED = 0.1
HOSTS_AT_MOST = 16
SEED = 1

Demand = Callable[[float, int], float]
Admit = Callable[[int], bool]


class Clock:
    """The benchmark's time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time, in seconds."""
        return self.now_s


class Mechanism(NamedTuple):
    """A way of sharing: ``admit(host)``, and what happens at each tick."""

    admit: Admit
    tick: Callable[[], None]


def central(clock: Clock) -> Mechanism:
    """Return one bucket that every request asks: no refusal, a message each."""
    bucket = TokenBucket(clock)
    bucket.resize(RATE, BURST)
    return Mechanism(lambda host: bucket.take(), lambda: None)


def static(clock: Clock) -> Mechanism:
    """Return equal shares for all hosts, whatever they need."""
    buckets = [TokenBucket(clock) for _ in range(HOSTS)]
    for bucket in buckets:
        bucket.resize(RATE / HOSTS, BURST / HOSTS)
    return Mechanism(lambda host: buckets[host].take(), lambda: None)


def granted(clock: Clock) -> Mechanism:
    """Return shares by demand, asked for twice a second, and a reserved part."""
    owner = ShareOwner(VALID_S, float("-inf"), clock)
    shares: list[Share | None] = [None] * HOSTS
    buckets = [TokenBucket(clock) for _ in range(HOSTS)]
    reserved = [TokenBucket(clock) for _ in range(HOSTS)]
    asked = [0] * HOSTS
    demand = [0.0] * HOSTS
    next_s = [ASK_S * (host + 1) / HOSTS for host in range(HOSTS)]
    piece = RESERVED / HOSTS_AT_MOST
    for bucket in reserved:
        bucket.resize(RATE * piece, BURST * piece)

    def admit(host: int) -> bool:
        asked[host] += 1
        return buckets[host].take() or reserved[host].take()

    def tick() -> None:
        for host in range(HOSTS):
            if clock.now_s < next_s[host]:
                continue
            next_s[host] += ASK_S
            demand[host] += 0.5 * (asked[host] / ASK_S - demand[host])
            asked[host] = 0
            share = shares[host]
            holding = Holding(share, int(VALID_S * 1000)) if share else None
            rate, burst = RATE * (1 - RESERVED), BURST * (1 - RESERVED)
            new = owner.grant(str(host), demand[host], holding, rate, burst)
            shares[host] = new
            buckets[host].resize(new.rate_per_s, new.burst)

    return Mechanism(admit, tick)


def even(at_s: float, host: int) -> float:
    """Return equal demand at all hosts, four fifths of the rate in all."""
    return 0.8 * RATE / HOSTS


def skewed(at_s: float, host: int) -> float:
    """Return the same demand, most of it at one host."""
    return 0.8 * RATE * (0.65 if host == 0 else 0.05)


def moving(at_s: float, host: int) -> float:
    """Return the skewed demand, at another host every ten seconds."""
    hot = int(at_s / 10) % HOSTS
    return 0.8 * RATE * (0.65 if host == hot else 0.05)


def fivefold(at_s: float, host: int) -> float:
    """Return five times the rate, evenly."""
    return 5 * RATE / HOSTS


class Outcome(NamedTuple):
    """Shares of the requests: refused inside the rate, and admitted of the rate."""

    refused_inside: float
    used: float


def play(make: Callable[[Clock], Mechanism], demand: Demand) -> Outcome:
    """Play one mechanism under one demand."""
    rng = random.Random(SEED)
    clock = Clock()
    mechanism = make(clock)
    ideal = TokenBucket(clock)
    ideal.resize(RATE, BURST)
    inside = refused = admitted = 0
    for tick in range(int(SECONDS / TICK_S)):
        clock.now_s = tick * TICK_S
        mechanism.tick()
        for host in range(HOSTS):
            expected = demand(clock.now_s, host) * TICK_S
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                is_inside = ideal.take()
                got = mechanism.admit(host)
                inside += is_inside
                admitted += got
                refused += is_inside and not got
    return Outcome(refused / max(inside, 1), admitted / (RATE * SECONDS))


MECHANISMS = {"static split": static, "granted shares": granted, "central": central}
DEMANDS = {"even": even, "skewed": skewed, "moving": moving, "fivefold": fivefold}


def run() -> None:
    """Print the table."""
    print(f"rates: {HOSTS} hosts, {RATE:.0f}/s, burst {BURST:.0f}, {SECONDS} s")
    print(f"{'refused inside the rate, %':28}", end="")
    print("".join(f"{name:>12}" for name in DEMANDS))
    for name, make in MECHANISMS.items():
        outcomes = [play(make, demand) for demand in DEMANDS.values()]
        row = "".join(f"{100 * o.refused_inside:12.2f}" for o in outcomes)
        print(f"  {name:26}{row}")
        row = "".join(f"{o.used:12.2f}" for o in outcomes)
        print(f"  {'  admitted / rate':26}{row}")
