"""Fleet-wide rate and burst are never exceeded, whatever fails."""

import random
from typing import Any

import pytest
import trio

from conftest import run_trio
from rattanhollow.configuration import apply_note, read_note
from rattanhollow.coordination import Holding, Lease, Share, ShareOwner, TokenBucket
from rattanhollow.proxy import ALL_GUARDS
from rattanhollow_standins.client import connect
from rattanhollow_standins.fleet import Fleet
from rattanhollow_standins.store import ObjectTable, local_store

RATE, BURST = 100.0, 50.0
VALID_S, LEASE_S = 4.0, 2.0
TICK_S = 0.02
HOSTS = 8
# Low enough for the callers of one process to exceed them even on a busy machine.
FLEET_RATE, FLEET_BURST = 40, 16
SECONDS = 60


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        """Return the simulated time."""
        return self.now_s


class Host:
    """One host's bucket and the share that it holds."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.bucket = TokenBucket(clock)
        self.share: Share | None = None
        self.valid_until_s = 0.0

    def admit(self, obey_validity: bool) -> bool:
        """Admit one request."""
        if obey_validity and self.clock() >= self.valid_until_s:
            self.bucket.resize(0, 0)
            self.share = None
        return self.bucket.take()

    def holding(self) -> Holding | None:
        """Return the held share as reported to the owner."""
        left_s = self.valid_until_s - self.clock()
        if self.share is None or left_s <= 0:
            return None
        return Holding(self.share, int(left_s * 1000))

    def apply_share(self, share: Share, asked_at_s: float) -> None:
        """Apply a granted share."""
        self.share = share
        self.valid_until_s = asked_at_s + VALID_S
        self.bucket.resize(share.rate_per_s, share.burst)


def max_excess(admitted: list[float]) -> float:
    """Return the maximum excess over rate and burst in any window."""
    excess = 0.0
    level, last_s = 0.0, admitted[0]
    for at_s in admitted:
        level = max(0.0, level - (at_s - last_s) * RATE) + 1
        last_s = at_s
        excess = max(excess, level - BURST)
    return excess


def simulate_faults(
    seed: int, obey_validity: bool = True, confirm_first: bool = True
) -> float:
    """Simulate requests, crashes, partitions and lost messages; return the excess."""
    rng = random.Random(seed)
    clock = Clock()
    owner = ShareOwner(VALID_S, float("-inf"), clock)
    hosts = [Host(clock) for _ in range(HOSTS)]
    partitioned_until_s: dict[int, float] = {}
    admitted: list[float] = []
    for _ in range(int(SECONDS / TICK_S)):
        clock.now_s += TICK_S
        if rng.random() < 0.008:
            until_s = clock.now_s + VALID_S if confirm_first else float("-inf")
            owner = ShareOwner(VALID_S, until_s, clock)
        if rng.random() < 0.004:
            hosts[rng.randrange(HOSTS)] = Host(clock)
        if rng.random() < 0.03:
            partitioned_until_s[rng.randrange(HOSTS)] = clock.now_s + rng.uniform(
                0, 2 * VALID_S
            )
        busiest = int(clock.now_s) % HOSTS
        for at, host in enumerate(hosts):
            for _ in range(8 if at == busiest else 1):
                if host.admit(obey_validity):
                    admitted.append(clock.now_s)
            if rng.random() < 0.1 and partitioned_until_s.get(at, 0) < clock.now_s:
                demand = 500.0 if at == busiest else rng.uniform(0, 20)
                asked_at_s = clock.now_s
                name = f"{at}-{id(host)}"
                share = owner.grant(name, demand, host.holding(), RATE, BURST)
                if rng.random() < 0.8:
                    host.apply_share(share, asked_at_s)
    return max_excess(admitted)


@pytest.mark.parametrize("seed", range(6))
def test_rate_and_burst_are_never_exceeded(seed: int) -> None:
    """No window exceeds rate and burst despite crashes, partitions and losses."""
    assert simulate_faults(seed) <= 1e-6


def test_using_expired_shares_exceeds_the_rate() -> None:
    """If holders use expired shares, the same simulation exceeds the rate."""
    assert max(simulate_faults(seed, obey_validity=False) for seed in range(6)) > 5


def test_granting_without_confirming_exceeds_the_rate() -> None:
    """If a new owner grants immediately, the same simulation exceeds the rate."""
    assert max(simulate_faults(seed, confirm_first=False) for seed in range(6)) > 5


def test_shares_follow_demand() -> None:
    """A host with more demand gets more after the others have confirmed less."""
    clock = Clock()
    owner = ShareOwner(VALID_S, float("-inf"), clock)
    hosts = {name: Host(clock) for name in "abc"}
    for turn in range(40):
        clock.now_s += 0.1
        for name, host in hosts.items():
            demand = 90.0 if name == ("a" if turn < 20 else "b") else 1.0
            share = owner.grant(name, demand, host.holding(), RATE, BURST)
            host.apply_share(share, clock())
        if turn == 19:
            assert hosts["a"].share.rate_per_s > 0.8 * RATE
    assert hosts["b"].share.rate_per_s > 0.8 * RATE
    total = sum(host.share.rate_per_s for host in hosts.values())
    assert total <= RATE + 1e-6


@pytest.mark.parametrize(
    "fault",
    ["none", "pause", "responses lost", "down", "restored", "restored and paused"],
)
def test_a_lease_has_at_most_one_holder(fault: str) -> None:
    """Two hosts never hold a lease at once, despite store faults and pauses.

    The store may come back from a copy without the last claims.
    """

    async def main() -> None:
        rng = random.Random(1)
        clock = Clock()
        table = ObjectTable()
        store = local_store(table, timeout_s=0.001)
        leases = [Lease(store, "x", f"h{n}", LEASE_S, clock=clock) for n in range(3)]
        paused = [0.0] * 3
        copies = [table.save()]
        held = 0
        for turn in range(400):
            clock.now_s += 0.1
            table.faults.down = fault == "down" and turn % 100 > 60
            if fault == "responses lost":
                table.faults.lose_answers = int(rng.random() < 0.3)
            if "restored" in fault:
                copies = [*copies[-30:], table.save()]
                if rng.random() < 0.02:
                    table.come_back_from(rng.choice(copies))
            if "pause" in fault and rng.random() < 0.05:
                paused[rng.randrange(3)] = clock.now_s + rng.uniform(0, 3 * LEASE_S)
            for at, lease in enumerate(leases):
                if paused[at] < clock.now_s and rng.random() < 0.5:
                    await lease.step()
            holders = [lease.is_held() for lease in leases]
            assert sum(holders) <= 1
            held += sum(holders)
        assert held > 150

    run_trio(main)


def test_a_released_lease_is_acquired_immediately() -> None:
    """After a holder releases its lease, another host acquires it without delay."""

    async def main() -> None:
        clock = Clock()
        store = local_store(ObjectTable())
        first, second = (Lease(store, "x", n, LEASE_S, clock=clock) for n in "ab")
        await first.step()
        await second.step()
        assert (first.is_held(), second.is_held()) == (True, False)
        assert not first.had_predecessor
        await first.release()
        await second.step()
        assert (first.is_held(), second.is_held()) == (False, True)
        assert second.had_predecessor

    run_trio(main)


async def overload(fleet: Fleet) -> tuple[int, float, int]:
    """Overload all proxies; return admissions, duration and unexpected errors."""
    note = "[note]\nid = r\nbase = 1\noperator = ann\n"
    note += f"[change organisation kirk]\nrate_per_s = {FLEET_RATE}"
    note += f"\nburst = {FLEET_BURST}"
    clients = [await connect(fleet.place(number % 3)) for number in range(6)]
    (await apply_note(fleet.store(), read_note("r", note), "ann")).unwrap()
    while any(p.configuration.version < 2 for p in fleet.proxies.values()):
        await trio.sleep(0.02)
    admitted = unexpected = 0
    started_at_s = trio.current_time()

    async def send_requests(client: Any) -> None:
        nonlocal admitted, unexpected
        while trio.current_time() - started_at_s < 4:
            result = await client.run("SELECT 1")
            admitted += result.error is None
            if result.error is not None:
                unexpected += result.error.sqlstate != "53400"
            await trio.sleep(0.004)

    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(send_requests, client)
    return admitted, trio.current_time() - started_at_s, unexpected


def test_a_fleet_stays_within_the_rate(with_fleet: Any) -> None:
    """All hosts together admit at most rate and burst, and at least half the rate."""
    admitted, duration_s, unexpected = with_fleet(overload)
    assert unexpected == 0
    assert admitted <= FLEET_RATE * duration_s + FLEET_BURST
    assert admitted >= FLEET_RATE / 2 * duration_s


def test_a_fleet_exceeds_the_rate_without_limits(with_fleet: Any) -> None:
    """With rate limits disabled, the same load exceeds the rate."""
    guards = ALL_GUARDS._replace(rates=False)
    admitted, duration_s, _ = with_fleet(overload, guards=guards)
    assert admitted > FLEET_RATE * duration_s + FLEET_BURST
