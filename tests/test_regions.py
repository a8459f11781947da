"""Traffic between regions, in a fleet of many hosts.

No network: brokers, floors and gossip as plain objects in simulated time. Hosts are
spread over three regions, one of which is flooded or loses its broker.
"""

import math
import random
from typing import Any

import pytest
import trio
from result import Ok

from jumping import run_jumping
from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    SHARDS,
    Position,
    Stamp,
    TokenBroker,
    TokenBucket,
    TokenGrant,
    TokenWant,
    shard_of,
)
from rattanhollow.host._polls import POLLS_IN_TIME
from rattanhollow.membership import Gossip, HostDirectory, HostRecord
from rattanhollow.observe import Meter
from rattanhollow.peer import (
    DepositAnswer,
    DepositQuestion,
    FirstDepositQuestion,
    FloorAnswer,
    PeerAddress,
    PoolAnswer,
)
from rattanhollow.rates import (
    PooledRateLimiter,
    PooledRateLimiterParts,
    broker_candidates,
    brokers_by_region,
)
from rattanhollow.rates._broker_service import EXTRA_DEPTH_RATIO
from rattanhollow.rates._pooled import MAX_WAIT_S
from rattanhollow.routing import FloorCache
from rattanhollow.serving import ProofAnswer
from rattanhollow.store import Revision, Stored

REGIONS = {
    region: [f"{region}-{number}" for number in range(24)]
    for region in ("lothian", "tayside", "highland")
}
SERVICE = "bookings"


def test_deposits_stay_in_the_own_region() -> None:
    """The brokers tried first are all in the requesting host's own region."""
    for region, names in REGIONS.items():
        own_brokers = brokers_by_region(region, REGIONS, lambda name: True)[0]
        assert set(own_brokers) == set(range(SHARDS))
        assert set(own_brokers.values()) <= set(names)


def test_missing_tokens_are_requested_from_every_region() -> None:
    """A flood in one region may use what other regions leave, one after another."""
    found = brokers_by_region("tayside", REGIONS, lambda name: True)
    regions = [next(iter(brokers.values())).split("-")[0] for brokers in found]
    assert regions[0] == "tayside"
    assert sorted(regions) == sorted(REGIONS)


@pytest.mark.parametrize("seed", range(10))
def test_another_host_replaces_a_dark_broker(seed: int) -> None:
    """Hosts agree on the brokers, except for those that are dark to one of them."""
    rng = random.Random(seed)
    original_brokers = brokers_by_region("lothian", REGIONS, lambda name: True)[0]
    dark = rng.choice(sorted(set(original_brokers.values())))
    found = brokers_by_region("lothian", REGIONS, lambda name: name != dark)[0]
    assert dark not in found.values()
    assert set(found.values()) <= set(
        broker_candidates(REGIONS["lothian"], len(REGIONS))
    )


def test_a_region_without_available_hosts_is_skipped() -> None:
    """Without available hosts a region has no brokers; other regions still have."""
    found = brokers_by_region(
        "lothian", REGIONS, lambda name: not name.startswith("lothian")
    )
    assert len(found) == 2


class _Clock:
    def __init__(self) -> None:
        self.now_s = 50.0

    def __call__(self) -> float:
        return self.now_s


def test_a_floor_from_a_nearby_host_has_the_reported_age() -> None:
    """A position covers nothing that was acknowledged after its proof."""
    clock = _Clock()

    async def prove(service: str) -> ProofAnswer:
        raise AssertionError("the primary in another region was queried")

    async def nearby(service: str) -> FloorAnswer:
        clock.now_s += 0.1
        return FloorAnswer(Position(3, 70), age_ms=200)

    floors = FloorCache(prove, clock, nearby)
    trio.run(floors.refresh_position, SERVICE)
    assert floors.cached_position(SERVICE, 50.0 - 0.2) == Position(3, 70)
    assert floors.cached_position(SERVICE, 50.0 - 0.19) is None


@pytest.mark.parametrize("answer", [None, FloorAnswer(None)])
def test_the_primary_is_queried_if_no_nearby_host_has_a_floor(
    answer: FloorAnswer | None,
) -> None:
    """A nearby host that is dark or reaches no primary costs one extra query."""

    async def prove(service: str) -> ProofAnswer:
        return ProofAnswer(Position(4, 1))

    async def nearby(service: str) -> FloorAnswer | None:
        return answer

    floors = FloorCache(prove, _Clock(), nearby)
    trio.run(floors.refresh_position, SERVICE)
    assert floors.cached_position(SERVICE, 50.0) == Position(4, 1)


def test_many_nearby_hosts_cause_one_query_to_the_primary() -> None:
    """A hundred requests within the reuse time share one proof."""
    clock = _Clock()
    proof_count = 0

    async def prove(service: str) -> ProofAnswer:
        nonlocal proof_count
        proof_count += 1
        return ProofAnswer(Position(5, proof_count))

    floors = FloorCache(prove, clock)

    async def ask_all() -> None:
        for _ in range(100):
            answer = await floors.respond_to_host(SERVICE)
            assert answer.position is not None
            clock.now_s += 0.001

    trio.run(ask_all)
    assert proof_count == 1


def test_the_age_of_a_forwarded_proof_is_never_understated() -> None:
    """The age in a response includes the time spent waiting for the primary."""
    clock = _Clock()

    async def prove(service: str) -> ProofAnswer:
        clock.now_s += 0.35
        return ProofAnswer(Position(6, 1))

    answer = trio.run(FloorCache(prove, clock).respond_to_host, SERVICE)
    assert answer.age_ms >= 350


def _gossip(name: str, rng: random.Random) -> Gossip:
    directory = HostDirectory(lambda: None)
    records = {}
    for region, names in REGIONS.items():
        for other in names:
            record = HostRecord(other, "10.0.0.1", f"{region}-a", 1, "", "i")
            records[other] = record
            stored = Stored("hosts", other, Revision(1), record._asdict())
            directory.follower.offer(stored)

    class Links:
        def is_dark(self, peer: object) -> bool:
            return False

    return Gossip([], lambda: records[name], directory, Links(), rng, 5.0)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(20))
def test_updates_reach_all_hosts_though_the_store_refuses_many(seed: int) -> None:
    """Gossip and polls suffice even if the store refuses both relays of a zone."""
    rng = random.Random(seed)
    names = [name for hosts in REGIONS.values() for name in hosts]
    gossips = {name: _gossip(name, rng) for name in names}
    relays = {name for name in names if gossips[name].is_relay()}
    refused_by_store = {n for n in relays if n.startswith("lothian")}
    refused_by_store |= set(rng.sample(names, len(names) * 35 // 100))
    informed = relays - refused_by_store
    in_force_s = 5.0
    next_exchange_s = {name: rng.uniform(0, gossips[name].interval_s) for name in names}
    polled_at_s = now_s = 0.0

    def notify_zone(zone: str) -> set[str]:
        return {name for name in REGIONS[zone] if rng.random() > LOST_RATIO}

    while now_s < in_force_s:
        name = min(next_exchange_s, key=lambda n: next_exchange_s[n])
        now_s = next_exchange_s[name]
        next_exchange_s[name] += gossips[name].interval_s * rng.uniform(0.8, 1.2)
        partner = rng.choice(gossips[name]._partners()).name
        if name not in informed and partner in informed and rng.random() > LOST_RATIO:
            informed.add(name)
            if name in relays:
                informed |= notify_zone(name.partition("-")[0])
        if now_s - polled_at_s >= in_force_s / POLLS_IN_TIME:
            polled_at_s = now_s
            for region in REGIONS:
                reader = rng.choice(REGIONS[region])
                if reader in refused_by_store or reader in informed:
                    continue
                informed |= {reader, *notify_zone(region)}
                informed_relays = {
                    r for r in sorted(relays) if rng.random() > LOST_RATIO
                }
                zones = [relay.partition("-")[0] for relay in sorted(informed_relays)]
                informed |= informed_relays.union(*map(notify_zone, zones))
    assert informed == set(names)


def test_most_hosts_compare_cached_copies_within_their_zone() -> None:
    """Relays exchange updates between regions; other hosts rarely contact them."""
    rng = random.Random(1)
    other_zone_count = 0
    for name in REGIONS["lothian"]:
        gossip = _gossip(name, rng)
        if gossip.is_relay():
            assert {p.zone for p in gossip._partners()} >= {"tayside-a", "highland-a"}
            continue
        for _ in range(20):
            partners = gossip._partners()
            assert any(p.zone == "lothian-a" for p in partners)
            other_zone_count += any(p.zone != "lothian-a" for p in partners)
    assert 0 < other_zone_count <= 0.6 * 20 * 22


SMALL_RATE = 3.0
SLACK = 20
HOSTS_PER_REGION = (24, 22, 19)
# Fraction of messages between hosts that are lost or arrive too late.
LOST_RATIO = 0.2
STEP_S = 0.05
WINDOW_S = 5.0


def _simulate_small_organisation(
    seed: int, demand_per_s: float, extra_depth: float, steps: int = 4_000
) -> tuple[list[float], int]:
    """Return when operations were admitted, and how many were refused.

    Three brokers hold the deposits of 65 hosts. Each operation arrives in a random
    region, tries the other regions if its own has no token, and waits.
    """
    rng = random.Random(seed)
    clock = _Clock()
    brokers = [TokenBroker(clock) for _ in HOSTS_PER_REGION]
    shard = shard_of("kirk")
    admitted: list[float] = []
    refused = 0
    waiting: list[tuple[int, float]] = []
    for _ in range(steps):
        clock.now_s += STEP_S
        for number, hosts in enumerate(HOSTS_PER_REGION):
            for host in range(hosts):
                brokers[number].accept_deposit(f"{host}", shard, 1 / 65, clock())
        for _ in range(_poisson(rng, demand_per_s * STEP_S)):
            waiting.append((rng.randrange(3), clock() + MAX_WAIT_S))
        for item in list(waiting):
            order = [brokers[(item[0] + offset) % 3] for offset in range(3)]
            want = TokenWant("kirk", 1)
            if any(
                b.grant(want, SMALL_RATE, SMALL_RATE, extra_depth).tokens for b in order
            ):
                admitted.append(clock())
                waiting.remove(item)
            elif clock() >= item[1]:
                refused += 1
                waiting.remove(item)
    return admitted, refused


def _refused_by_single_bucket(seed: int, demand_per_s: float) -> int:
    rng = random.Random(seed)
    clock = _Clock()
    bucket = TokenBucket(clock)
    bucket.resize(SMALL_RATE, SMALL_RATE)
    refused = 0
    for _ in range(4_000):
        clock.now_s += STEP_S
        for _ in range(_poisson(rng, demand_per_s * STEP_S)):
            rng.randrange(3)
            refused += not bucket.take()
    return refused


def _poisson(rng: random.Random, mean: float) -> int:
    count, product = 0, rng.random()
    while product > math.exp(-mean):
        count += 1
        product *= rng.random()
    return count


@pytest.mark.parametrize("seed", range(5))
def test_a_small_organisation_of_a_large_fleet_gets_its_rate(seed: int) -> None:
    """No more is refused than by a single bucket with the fleet's rate and burst."""
    demand_per_s = SMALL_RATE / 1.6
    _, refused = _simulate_small_organisation(
        seed, demand_per_s, SLACK * EXTRA_DEPTH_RATIO
    )
    _, refused_without = _simulate_small_organisation(seed, demand_per_s, 0.0)
    refused_by_single_bucket = _refused_by_single_bucket(seed, demand_per_s)
    assert refused <= refused_by_single_bucket < refused_without


@pytest.mark.parametrize("seed", range(5))
def test_deeper_buckets_keep_a_flood_within_the_allowed_slack(seed: int) -> None:
    """In any window a flood gets at most rate, burst and the allowed slack."""
    admitted, _ = _simulate_small_organisation(
        seed, 50.0, SLACK * EXTRA_DEPTH_RATIO, steps=1_000
    )
    allowed = (SMALL_RATE * WINDOW_S + SMALL_RATE) * 1.1 + SLACK
    start = 0
    for end, at_s in enumerate(admitted):
        while at_s - admitted[start] >= WINDOW_S:
            start += 1
        assert end - start + 1 <= allowed


@pytest.mark.parametrize("rate", [1.0, 3.0, 5.0, 40.0])
@pytest.mark.parametrize("at_step", range(0, 100, 7))
def test_a_restart_of_all_hosts_keeps_a_flood_within_the_allowed_slack(
    rate: float, at_step: int
) -> None:
    """All brokers restart in the middle of a window, with their extra depth."""
    clock = _Clock()
    shard = shard_of("kirk")
    extra_depth = SLACK * EXTRA_DEPTH_RATIO
    brokers = [TokenBroker(clock) for _ in HOSTS_PER_REGION]
    admitted: list[float] = []
    for step in range(300):
        clock.now_s += STEP_S
        if step == 100 + at_step:
            brokers = [TokenBroker(clock) for _ in HOSTS_PER_REGION]
        for broker, hosts in zip(brokers, HOSTS_PER_REGION, strict=True):
            for host in range(hosts):
                broker.accept_deposit(f"{host}", shard, 1 / 65, clock())
            # Without wants until then, the buckets fill before the flood.
            if step >= 100:
                want = TokenWant("kirk", 1_000)
                granted = broker.grant(want, rate, rate, extra_depth).tokens
                admitted += [clock()] * granted
    allowed = (rate * WINDOW_S + rate) * 1.1 + SLACK
    start = 0
    for end, at_s in enumerate(admitted):
        while at_s - admitted[start] >= WINDOW_S:
            start += 1
        assert end - start + 1 <= allowed


class _EmptyBrokers:
    """Connections to brokers without tokens; counts the token requests."""

    def __init__(self) -> None:
        self.request_count = 0

    def is_dark(self, peer: object) -> bool:
        return False

    async def ask(self, peer: PeerAddress, request: Any, timeout_ms: int) -> Any:
        await trio.sleep(0.01)
        if isinstance(request, DepositQuestion):
            return Ok(DepositAnswer(0))
        if isinstance(request, FirstDepositQuestion):
            request = request.request
        self.request_count += bool(request.wants)
        grants = tuple(TokenGrant(w.organisation, 0, 10) for w in request.wants)
        return Ok(PoolAnswer(Stamp(peer.name, 0.0), grants))


def test_a_flood_causes_few_broker_requests() -> None:
    """A flooding organisation causes at most twenty broker requests per second."""
    brokers = _EmptyBrokers()
    directory = HostDirectory(lambda: None)
    for region, names in REGIONS.items():
        for name in names:
            record = HostRecord(name, "10.0.0.1", f"{region}-a", 1, "", "i")
            directory.follower.offer(
                Stored("hosts", name, Revision(1), record._asdict())
            )
    own = directory.find("lothian-0")
    assert own is not None

    async def flood() -> None:
        rates = PooledRateLimiter(
            PooledRateLimiterParts(
                organisations=lambda: {
                    "kirk": Organisation("kirk", keys=(), rate_per_s=100, burst=100)
                },
                own=lambda: own,
                hosts=directory,
                peers=brokers,  # type: ignore[arg-type]
                clock=trio.current_time,
                region_of=lambda zone: zone.removesuffix("-a"),
                process_started_at_s=trio.current_time(),
                settle_s=0.0,
                slack=SLACK,
                meter=Meter(),
            )
        )
        async with trio.open_nursery() as nursery:
            rates.registered(anew=False)
            nursery.start_soon(rates.run)
            for _ in range(400):
                nursery.start_soon(rates.admit, "kirk", 600)
                await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    run_jumping(flood)
    assert 0 < brokers.request_count <= 2 * 20
