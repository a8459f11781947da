"""What crosses regions, in a fleet of many hosts.

No network: brokers, floors and gossip as plain objects, simulated time. Pattern:
hundreds of hosts in three regions, one of which floods or loses its broker.
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
    FloorAnswer,
    PeerAddress,
    PoolAnswer,
)
from rattanhollow.rates import (
    PooledRateParts,
    PooledRates,
    brokers_by_region,
    possible_brokers,
)
from rattanhollow.rates._pooled import DEEPER_PART, WAIT_AT_MOST_S
from rattanhollow.routing import Floors
from rattanhollow.serving import ProofAnswer
from rattanhollow.store import Stored

REGIONS = {
    region: [f"{region}-{number}" for number in range(24)]
    for region in ("lothian", "tayside", "highland")
}
SERVICE = "bookings"


def test_deposits_stay_in_the_own_region() -> None:
    """The first brokers asked are all of the asker's region."""
    for region, names in REGIONS.items():
        nearest = brokers_by_region(region, REGIONS, lambda name: True)[0]
        assert set(nearest) == set(range(SHARDS))
        assert set(nearest.values()) <= set(names)


def test_every_region_is_asked_for_what_is_missing() -> None:
    """A flood in one region may use what the others leave, region by region."""
    found = brokers_by_region("tayside", REGIONS, lambda name: True)
    regions = [next(iter(brokers.values())).split("-")[0] for brokers in found]
    assert regions[0] == "tayside"
    assert sorted(regions) == sorted(REGIONS)


@pytest.mark.parametrize("seed", range(10))
def test_another_host_takes_the_place_of_a_dark_broker(seed: int) -> None:
    """Hosts agree on the brokers but for those that are dark to one of them."""
    rng = random.Random(seed)
    usual = brokers_by_region("lothian", REGIONS, lambda name: True)[0]
    dark = rng.choice(sorted(set(usual.values())))
    found = brokers_by_region("lothian", REGIONS, lambda name: name != dark)[0]
    assert dark not in found.values()
    assert set(found.values()) <= set(
        possible_brokers(REGIONS["lothian"], len(REGIONS))
    )


def test_a_region_without_any_host_that_answers_is_passed_over() -> None:
    """Its rates are out of reach; those of the other regions are not."""
    found = brokers_by_region(
        "lothian", REGIONS, lambda name: not name.startswith("lothian")
    )
    assert len(found) == 2


class _Clock:
    def __init__(self) -> None:
        self.now_s = 50.0

    def __call__(self) -> float:
        return self.now_s


def test_a_floor_from_nearby_is_as_old_as_the_host_nearby_says() -> None:
    """A position covers nothing that was acknowledged behind its proof."""
    clock = _Clock()

    async def prove(service: str) -> ProofAnswer:
        raise AssertionError("the primary is asked across regions")

    async def nearby(service: str) -> FloorAnswer:
        clock.now_s += 0.1
        return FloorAnswer(Position(3, 70), age_ms=200)

    floors = Floors(prove, clock, nearby)
    trio.run(floors.renew, SERVICE)
    assert floors.known(SERVICE, 50.0 - 0.2) == Position(3, 70)
    assert floors.known(SERVICE, 50.0 - 0.19) is None


@pytest.mark.parametrize("answer", [None, FloorAnswer(None)])
def test_the_primary_is_asked_where_nobody_nearby_knows(
    answer: FloorAnswer | None,
) -> None:
    """A host nearby that is dark, or reaches no primary, costs one question."""

    async def prove(service: str) -> ProofAnswer:
        return ProofAnswer(Position(4, 1))

    async def nearby(service: str) -> FloorAnswer | None:
        return answer

    floors = Floors(prove, _Clock(), nearby)
    trio.run(floors.renew, SERVICE)
    assert floors.known(SERVICE, 50.0) == Position(4, 1)


def test_many_hosts_nearby_cost_one_question_to_the_primary() -> None:
    """A hundred hosts that ask within the reuse time share one proof."""
    clock = _Clock()
    asked = 0

    async def prove(service: str) -> ProofAnswer:
        nonlocal asked
        asked += 1
        return ProofAnswer(Position(5, asked))

    floors = Floors(prove, clock)

    async def ask_all() -> None:
        for _ in range(100):
            answer = await floors.answer(SERVICE)
            assert answer.position is not None
            clock.now_s += 0.001

    trio.run(ask_all)
    assert asked == 1


def test_a_proof_handed_on_is_never_called_younger_than_it_is() -> None:
    """The age of an answer that waited for the primary counts the wait."""
    clock = _Clock()

    async def prove(service: str) -> ProofAnswer:
        clock.now_s += 0.35
        return ProofAnswer(Position(6, 1))

    answer = trio.run(Floors(prove, clock).answer, SERVICE)
    assert answer.age_ms >= 350


def _gossip(name: str, rng: random.Random) -> Gossip:
    directory = HostDirectory(lambda: None)
    records = {}
    for region, names in REGIONS.items():
        for other in names:
            record = HostRecord(other, "10.0.0.1", f"{region}-a", 1, "", "i")
            records[other] = record
            stored = Stored("hosts", other, 1, record._asdict())
            directory.follower.offer(stored)

    class Links:
        def is_dark(self, peer: object) -> bool:
            return False

    return Gossip([], lambda: records[name], directory, Links(), rng, 5.0)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(20))
def test_news_reach_all_hosts_though_the_store_turns_many_away(seed: int) -> None:
    """Both relays of a zone among them: copies spread by comparing alone, in time."""
    rng = random.Random(seed)
    names = [name for hosts in REGIONS.values() for name in hosts]
    gossips = {name: _gossip(name, rng) for name in names}
    relays = {name for name in names if gossips[name].is_relay()}
    turned_away = {n for n in relays if n.startswith("lothian")}
    turned_away |= set(rng.sample(names, len(names) * 35 // 100))
    knows = relays - turned_away
    in_force_s = 5.0
    due_s = {name: rng.uniform(0, gossips[name].interval_s) for name in names}
    polled_at_s = now_s = 0.0

    def told(zone: str) -> set[str]:
        return {name for name in REGIONS[zone] if rng.random() > LOST_PART}

    while now_s < in_force_s:
        name = min(due_s, key=lambda n: due_s[n])
        now_s = due_s[name]
        due_s[name] += gossips[name].interval_s * rng.uniform(0.8, 1.2)
        partner = rng.choice(gossips[name]._partners()).name
        if name not in knows and partner in knows and rng.random() > LOST_PART:
            knows.add(name)
            if name in relays:
                knows |= told(name.partition("-")[0])
        if now_s - polled_at_s >= in_force_s / POLLS_IN_TIME:
            polled_at_s = now_s
            for region in REGIONS:
                reader = rng.choice(REGIONS[region])
                if reader in turned_away or reader in knows:
                    continue
                knows |= {reader, *told(region)}
                reached = {r for r in sorted(relays) if rng.random() > LOST_PART}
                zones = [relay.partition("-")[0] for relay in sorted(reached)]
                knows |= reached.union(*map(told, zones))
    assert knows == set(names)


def test_most_hosts_compare_copies_within_their_zone() -> None:
    """A few relays carry news between regions; the others rarely ask there."""
    rng = random.Random(1)
    far = 0
    for name in REGIONS["lothian"]:
        gossip = _gossip(name, rng)
        if gossip.is_relay():
            assert {p.zone for p in gossip._partners()} >= {"tayside-a", "highland-a"}
            continue
        for _ in range(20):
            partners = gossip._partners()
            assert any(p.zone == "lothian-a" for p in partners)
            far += any(p.zone != "lothian-a" for p in partners)
    assert 0 < far <= 0.6 * 20 * 22


SMALL_RATE = 3.0
SLACK = 20
PARTS = (24, 22, 19)
# Messages between hosts that are lost or come too late.
LOST_PART = 0.2
STEP_S = 0.05
WINDOW_S = 5.0


def _run_small_organisation(
    seed: int, asked_per_s: float, extra: float, steps: int = 4_000
) -> tuple[list[float], int]:
    """Return when operations were admitted, and how many were refused.

    Three brokers hold the deposits of 65 hosts; each operation comes in a region
    at random, asks the other regions for what is missing at home, and waits.
    """
    rng = random.Random(seed)
    clock = _Clock()
    brokers = [TokenBroker(clock) for _ in PARTS]
    shard = shard_of("kirk")
    admitted: list[float] = []
    refused = 0
    waiting: list[tuple[int, float]] = []
    for _ in range(steps):
        clock.now_s += STEP_S
        for number, hosts in enumerate(PARTS):
            for host in range(hosts):
                brokers[number].accept_deposit(f"{host}", shard, 1 / 65, clock())
        for _ in range(_poisson(rng, asked_per_s * STEP_S)):
            waiting.append((rng.randrange(3), clock() + WAIT_AT_MOST_S))
        for item in list(waiting):
            order = [brokers[(item[0] + offset) % 3] for offset in range(3)]
            want = TokenWant("kirk", 1)
            if any(b.grant(want, SMALL_RATE, SMALL_RATE, extra).tokens for b in order):
                admitted.append(clock())
                waiting.remove(item)
            elif clock() >= item[1]:
                refused += 1
                waiting.remove(item)
    return admitted, refused


def _refused_by_one_bucket(seed: int, asked_per_s: float) -> int:
    rng = random.Random(seed)
    clock = _Clock()
    bucket = TokenBucket(clock)
    bucket.resize(SMALL_RATE, SMALL_RATE)
    refused = 0
    for _ in range(4_000):
        clock.now_s += STEP_S
        for _ in range(_poisson(rng, asked_per_s * STEP_S)):
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
    """No more is refused than by one bucket of its rate and burst for the fleet."""
    asked_per_s = SMALL_RATE / 1.6
    _, refused = _run_small_organisation(seed, asked_per_s, SLACK * DEEPER_PART)
    _, refused_without = _run_small_organisation(seed, asked_per_s, 0.0)
    refused_by_one = _refused_by_one_bucket(seed, asked_per_s)
    assert refused <= refused_by_one < refused_without


@pytest.mark.parametrize("seed", range(5))
def test_deeper_buckets_keep_a_flood_within_what_operators_allow(seed: int) -> None:
    """In any window a flood gets rate, burst and the allowed slack at most."""
    admitted, _ = _run_small_organisation(seed, 50.0, SLACK * DEEPER_PART, steps=1_000)
    allowed = (SMALL_RATE * WINDOW_S + SMALL_RATE) * 1.1 + SLACK
    start = 0
    for end, at_s in enumerate(admitted):
        while at_s - admitted[start] >= WINDOW_S:
            start += 1
        assert end - start + 1 <= allowed


@pytest.mark.parametrize("rate", [1.0, 3.0, 5.0, 40.0])
@pytest.mark.parametrize("at_step", range(0, 100, 7))
def test_a_restart_of_all_keeps_a_flood_within_what_operators_allow(
    rate: float, at_step: int
) -> None:
    """All brokers start anew in the middle of a window, with their extra depth."""
    clock = _Clock()
    shard = shard_of("kirk")
    extra = SLACK * DEEPER_PART
    brokers = [TokenBroker(clock) for _ in PARTS]
    admitted: list[float] = []
    for step in range(300):
        clock.now_s += STEP_S
        if step == 100 + at_step:
            brokers = [TokenBroker(clock) for _ in PARTS]
        for broker, hosts in zip(brokers, PARTS, strict=True):
            for host in range(hosts):
                broker.accept_deposit(f"{host}", shard, 1 / 65, clock())
            # A pause lets the buckets fill before the flood.
            if step >= 100:
                want = TokenWant("kirk", 1_000)
                granted = broker.grant(want, rate, rate, extra).tokens
                admitted += [clock()] * granted
    allowed = (rate * WINDOW_S + rate) * 1.1 + SLACK
    start = 0
    for end, at_s in enumerate(admitted):
        while at_s - admitted[start] >= WINDOW_S:
            start += 1
        assert end - start + 1 <= allowed


class _EmptyBrokers:
    """Links to brokers that have no tokens; counts what they are asked for."""

    def __init__(self) -> None:
        self.wanted = 0

    def is_dark(self, peer: object) -> bool:
        return False

    async def ask(self, peer: PeerAddress, question: Any, timeout_ms: int) -> Any:
        await trio.sleep(0.01)
        if isinstance(question, DepositQuestion):
            return Ok(DepositAnswer(0))
        self.wanted += bool(question.wants)
        grants = tuple(TokenGrant(w.organisation, 0, 10) for w in question.wants)
        return Ok(PoolAnswer(Stamp(peer.name, 0.0), grants))


def test_a_flood_asks_the_brokers_rarely() -> None:
    """A flooding organisation costs its brokers twenty questions a second at most."""
    brokers = _EmptyBrokers()
    directory = HostDirectory(lambda: None)
    for region, names in REGIONS.items():
        for name in names:
            record = HostRecord(name, "10.0.0.1", f"{region}-a", 1, "", "i")
            directory.follower.offer(Stored("hosts", name, 1, record._asdict()))
    own = directory.find("lothian-0")
    assert own is not None

    async def flood() -> None:
        rates = PooledRates(
            PooledRateParts(
                organisations=lambda: {
                    "kirk": Organisation("kirk", keys=(), rate_per_s=100, burst=100)
                },
                own=lambda: own,
                hosts=directory,
                peers=brokers,  # type: ignore[arg-type]
                clock=trio.current_time,
                region_of=lambda zone: zone.removesuffix("-a"),
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
    assert 0 < brokers.wanted <= 2 * 20
