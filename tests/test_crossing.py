"""Load-aware choice of servers, and overflow into other zones.

The load: a zone with more reads than its servers can do, crowds that move between
zones, servers that are slow or fail, a primary that writes keep busy. Hosts are
simulated, and their choosers are the product's; the last test runs hosts.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import eliot
import pytest
import trio

from crossing_fleet import COSTS, READ, SERVICE, Fleet
from rattanhollow.observe import Meter, kinds
from rattanhollow.routing import CrossingCosts, Router, RouterDependencies, ZoneTopology
from rattanhollow.routing._choose_server import PLACES, Candidate, pick
from rattanhollow.routing._directory import MISSING_GRACE_S
from rattanhollow.routing._load_picture import (
    SERVERS_KEPT,
    WAIT_VALID_S,
    LoadPicture,
    ServerLoad,
)
from rattanhollow.routing._zone_overflow import (
    END_AFTER_S,
    LARGEST_SHARE,
    SMALLEST_SHARE,
    STEP_S,
    BoundaryKey,
    OtherSide,
    ZoneOverflow,
)
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    Work,
    WorkOutcome,
    WorkResult,
    not_run,
    unknown,
)
from rattanhollow.settings import CrossingSettings
from rattanhollow.statements import Completed, Reason
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import SERVICE as CLUSTER_SERVICE
from test_line_cluster import session
from test_routing import (
    ZONES,
    Clock,
    RouterHarness,
    make_directory,
    make_request,
    reason_of,
    run_scenario,
)

# What a zone's only server can do: three slots, 25 ms a read.
ZONE_PER_S = 120.0
HOSTS = 30
FAILED = WorkResult(WorkOutcome.REFUSED, reason=Reason.FAILED)


def done(wait_ms: int = 0) -> WorkResult:
    """Return the result of a successful read."""
    return WorkResult(WorkOutcome.DONE, wait_ms=wait_ms)


def server(name: str) -> BackendServer:
    """Return a server."""
    found = make_directory(Clock()).find("i-1")
    assert found is not None
    return found._replace(id=name)


def make_fleet(costs: CrossingCosts = COSTS) -> Fleet:
    """Return a fleet with one server in the first zone, two in the others."""
    fleet = Fleet(costs)
    fleet.add_server("a-1", "lothian-a")
    for name in ("b-1", "b-2"):
        fleet.add_server(name, "lothian-b")
    for name in ("c-1", "c-2"):
        fleet.add_server(name, "tayside-a")
    return fleet


def overflow_events(run: Callable[[], Any]) -> list[str]:
    """Run something and return the events of overflows, in order."""
    seen: list[str] = []

    def note(message: dict[str, Any]) -> None:
        if str(message.get("message_type", "")).startswith("overflow."):
            seen.append(message["message_type"])

    eliot.add_destinations(note)
    try:
        run()
    finally:
        eliot.remove_destination(note)
    return seen


def test_hosts_that_know_the_same_do_not_all_move_together() -> None:
    """All hosts chose the one server that seemed the best, and overloaded it."""
    loads = {"i-1": 60.0, "i-2": 0.0, "i-3": 30.0, "i-4": 30.0}
    candidates = [
        Candidate(server(name), ServerLoad(wait_ms=wait_ms, work_ms=25.0))
        for name, wait_ms in loads.items()
    ]
    chosen = Counter(
        pick(candidates, random.Random(host)).server.id for host in range(660)
    )
    assert set(chosen) == set(loads)
    assert chosen["i-2"] == max(chosen.values()) < 660 * 0.7
    assert chosen["i-1"] == min(chosen.values())


def test_a_choice_without_costs_of_crossings_is_that_of_before() -> None:
    """A deployment that does not ask for the feature is served as ever."""
    fleet = make_fleet(CrossingCosts())
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: 20)
    fleet.run(5.0)
    assert set(fleet.reads("lothian-a", 0, 5)) == {"a-1"}
    host = fleet.hosts[0]
    state = host.chooser._rng.getstate()
    known = {name: fleet.directory.find(name) for name in fleet.servers}
    a_1, b_1 = known["a-1"], known["b-1"]
    assert a_1 is not None and b_1 is not None
    host.chooser.record_result(a_1, done(wait_ms=30))
    assert host.chooser.select_reader(READ, set()) == b_1
    host.chooser.record_result(b_1, done(wait_ms=30))
    assert host.chooser.select_reader(READ, set()) == known["b-2"]
    assert host.chooser._rng.getstate() == state
    assert not host.meter.value(kinds.READS_SENT, SERVICE, "zone")


def test_an_overloaded_zone_sends_out_a_share_and_takes_it_back() -> None:
    """Reads were late at home, or all left together, while other zones were idle."""
    fleet = make_fleet()
    fleet.add_hosts(
        "lothian-a", HOSTS, lambda now_s: ZONE_PER_S * (2 if now_s < 15 else 0.5)
    )
    events = overflow_events(lambda: fleet.run(30.0))
    shares = [fleet.left("lothian-a", second, second + 1) for second in range(4, 15)]
    assert 0.4 < min(shares) and max(shares) < 0.75, shares
    assert fleet.left("lothian-a", 25, 30) < 0.1
    counts = fleet.reads("lothian-a", 4, 15)
    assert counts["c-1"] + counts["c-2"] <= counts.total() * 0.005
    assert fleet.refused == 0
    begun = events.count("overflow.begin")
    assert HOSTS * 0.8 <= begun <= HOSTS * 2.5, begun
    assert begun - HOSTS * 0.2 <= events.count("overflow.end") <= begun
    sent = sum(
        host.meter.value(kinds.READS_SENT, SERVICE, "region") for host in fleet.hosts
    )
    counts = fleet.reads("lothian-a", 0, 30)
    assert sent == counts["b-1"] + counts["b-2"]


def test_a_zone_that_copes_sends_next_to_nothing() -> None:
    """Queues of single statements come and go; leaving for them costs traffic."""
    fleet = make_fleet()
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 0.6)
    assert (
        overflow_events(lambda: fleet.run(20.0)).count("overflow.begin") <= HOSTS * 0.2
    )
    assert fleet.left("lothian-a", 0, 20) < 0.05


def test_a_region_is_left_only_once_its_zones_are_full() -> None:
    """Two zones without room need a third, across the dearer crossing."""
    fleet = make_fleet()
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 2)
    fleet.add_hosts(
        "lothian-b", HOSTS, lambda now_s: ZONE_PER_S * (2.7 if now_s >= 8 else 0.5)
    )
    fleet.run(20.0)
    far = ("c-1", "c-2")
    before = sum(
        fleet.reads(zone, 3, 8)[name]
        for zone in ("lothian-a", "lothian-b")
        for name in far
    )
    after = sum(
        fleet.reads(zone, 12, 20)[name]
        for zone in ("lothian-a", "lothian-b")
        for name in far
    )
    too_many_per_s = ZONE_PER_S * (2 + 2.7 - 3)
    assert before < 5 * 5
    assert after > 8 * too_many_per_s * 0.8


def test_a_crowd_that_moves_to_another_zone_for_a_minute() -> None:
    """Its reads follow the room there is, and come home when it goes back."""
    fleet = make_fleet()

    def is_away(now_s: float) -> bool:
        return 10 <= now_s < 70

    fleet.add_hosts(
        "lothian-a", HOSTS, lambda now_s: ZONE_PER_S * (2.2 if is_away(now_s) else 0.4)
    )
    fleet.add_hosts(
        "lothian-b", HOSTS, lambda now_s: ZONE_PER_S * (0.2 if is_away(now_s) else 1.6)
    )
    events = overflow_events(lambda: fleet.run(90.0))
    assert fleet.left("lothian-a", 3, 10) < 0.05
    assert 0.45 < fleet.left("lothian-a", 15, 70) < 0.7
    assert fleet.left("lothian-a", 82, 90) < 0.1
    assert fleet.left("lothian-b", 82, 90) < 0.15
    assert fleet.refused <= ZONE_PER_S * 0.5
    # Two hosts' zones, twice each, and some more for noise.
    assert events.count("overflow.begin") <= 2 * HOSTS * 4


def test_zones_that_are_all_full_keep_their_reads() -> None:
    """Leaving saves nothing then, and would cost traffic."""
    fleet = make_fleet()
    for zone, servers in (("lothian-a", 1), ("lothian-b", 2), ("tayside-a", 2)):
        reads_per_s = ZONE_PER_S * servers * 1.8
        fleet.add_hosts(zone, HOSTS, lambda now_s, rate=reads_per_s: rate)
    fleet.run(15.0)
    for zone in ("lothian-a", "lothian-b", "tayside-a"):
        assert fleet.left(zone, 5, 15) < 0.3


def test_a_slow_server_gets_what_it_can_take() -> None:
    """It got as much as others, and every read there was late."""
    fleet = Fleet()
    for name, work_ms in (("a-1", 25.0), ("a-2", 200.0), ("a-3", 25.0)):
        fleet.add_server(name, "lothian-a", work_ms)
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 1.5)
    fleet.run(20.0)
    counts = fleet.reads("lothian-a", 8, 20)
    # It can do 15 reads a second.
    assert 12 * 1 <= counts["a-2"] <= 12 * 15


def test_a_failing_server_is_left_and_comes_back_gradually() -> None:
    """All hosts tried it again at the same time."""
    fleet = Fleet()
    failing = fleet.add_server("a-1", "lothian-a")
    fleet.add_server("a-2", "lothian-a")
    failing.fails = True

    def recover() -> None:
        failing.fails = False

    fleet.at(10.0, recover)
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 0.8)
    fleet.run(20.0)
    shares = []
    for first, end in ((5, 10), (10, 12), (17, 20)):
        counts = fleet.reads("lothian-a", first, end)
        shares.append(counts["a-1"] / counts.total())
    assert shares[0] < 0.25 and shares[0] < shares[1] < shares[2]
    assert 0.4 < shares[2] < 0.6


def test_a_picture_that_is_too_old_counts_as_unknown() -> None:
    """A queue that was seen long ago kept reads away from an idle server."""
    clock = Clock()
    picture = LoadPicture(clock)
    picture.record_result("i-1", done(wait_ms=90), took_ms=115.0)
    assert picture.load("i-1") == ServerLoad(0, 90.0, 25.0, 0.0)
    clock.now_s = WAIT_VALID_S
    assert picture.load("i-1") == ServerLoad(0, None, 25.0, 0.0)
    clock.now_s = 60.0
    assert picture.load("i-1") == picture.load("never seen") == ServerLoad()


def test_work_that_was_not_queued_tells_no_wait() -> None:
    """A server turned work away for its log, and its long queue seemed empty."""
    picture = LoadPicture(Clock())
    picture.record_result("i-1", done(wait_ms=90))
    picture.record_result("i-1", WorkResult(WorkOutcome.REFUSED, reason=Reason.BEHIND))
    picture.record_result("i-1", not_run(Blocker.SWITCHING, "x"))
    assert picture.load("i-1").wait_ms == 90.0
    picture.record_result("i-1", not_run(Blocker.OVERLOADED, "x", 700))
    assert picture.load("i-1").wait_ms == 700.0


def test_a_short_queue_is_forgotten_sooner_than_a_long_one() -> None:
    """Queues of single statements sent reads away long after they were gone."""
    clock = Clock()
    picture = LoadPicture(clock)
    picture.record_result("short", done(wait_ms=20))
    picture.record_result("long", done(wait_ms=200))
    clock.now_s = 0.3
    assert picture.load("short").wait_ms == 0.0
    assert picture.load("long").wait_ms == 200.0


def test_the_picture_stays_small() -> None:
    """Servers are replaced all the time; their entries would pile up."""
    clock = Clock()
    picture = LoadPicture(clock)
    picture.record_start("busy")
    for number in range(3 * SERVERS_KEPT):
        clock.now_s += 1.0
        picture.record_result(f"i-{number}", done())
    assert len(picture._entries) <= SERVERS_KEPT
    assert picture.load("busy").in_flight == 1


@pytest.mark.parametrize(
    "result",
    [
        unknown(Blocker.HOST_LOST, "no answer"),
        unknown(Blocker.LOST, "cut"),
        not_run(Blocker.NOT_SERVED, "x"),
        FAILED,
    ],
)
def test_a_lost_host_or_link_costs_few_reads(result: WorkResult) -> None:
    """What was known of the server says nothing now, and it is tried now and then."""
    clock = Clock()
    picture = LoadPicture(clock)
    picture.record_result("i-1", done())
    for _ in range(2):
        picture.record_result("i-1", result)
    assert picture.load("i-1").avoidance == 1.0
    clock.now_s = 6.0
    assert picture.load("i-1").avoidance == 0.0


def test_a_link_between_zones_that_is_lost_brings_reads_home() -> None:
    """Overflow into a zone that cannot be reached would only lose time."""
    fleet = make_fleet()
    del fleet.servers["c-1"], fleet.servers["c-2"]
    for name in ("c-1", "c-2"):
        fleet.directory.apply_description(None, name)
    fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 1.5)

    def cut(fails: bool) -> None:
        fleet.servers["b-1"].fails = fleet.servers["b-2"].fails = fails

    fleet.at(8.0, lambda: cut(True))
    fleet.at(16.0, lambda: cut(False))
    fleet.run(25.0)
    assert fleet.left("lothian-a", 4, 8) > 0.25
    assert fleet.left("lothian-a", 12, 16) < 0.2
    assert fleet.left("lothian-a", 20, 25) > 0.25


def test_an_outage_of_the_store_changes_no_choice() -> None:
    """Descriptions may expire meanwhile; loads come from results alone."""
    sent = []
    for fails in (False, True):
        fleet = make_fleet()
        fleet.add_hosts("lothian-a", HOSTS, lambda now_s: ZONE_PER_S * 1.5)
        fleet.run(8.0)
        if fails:
            for name in fleet.servers:
                fleet.directory.apply_description(None, name)
        fleet.run(8.0 + MISSING_GRACE_S)
        sent.append(fleet.sent)
    assert sent[0] == sent[1]


def feed(
    overflow: ZoneOverflow, clock: Clock, seconds: float, here_ms: float | None
) -> list[float]:
    """Feed measurements of a zone beside an idle one and return the shares."""
    key = BoundaryKey(SERVICE, "zone")
    shares = []
    for _ in range(round(seconds / STEP_S)):
        clock.now_s += STEP_S
        overflow.update(key, here_ms, OtherSide(25.0, 20.0), idle_ms=25.0)
        shares.append(overflow.share(key))
    return shares


def test_the_share_has_hysteresis() -> None:
    """A wait about the cost of the crossing made it begin and end all the time."""
    clock = Clock()
    overflow = ZoneOverflow(clock)

    def vary() -> None:
        # A read beyond takes 45 ms with the crossing, and a tenth of 25 ms is noise.
        assert set(feed(overflow, clock, 5, here_ms=47.0)) == {0.0}
        assert feed(overflow, clock, 5, here_ms=300.0)[-1] == LARGEST_SHARE
        for _ in range(50):
            assert min(feed(overflow, clock, 0.2, here_ms=38.0)) >= SMALLEST_SHARE
            assert min(feed(overflow, clock, 0.2, here_ms=49.0)) >= SMALLEST_SHARE
        feed(overflow, clock, END_AFTER_S * 5, here_ms=25.0)

    assert overflow_events(vary) == ["overflow.begin", "overflow.end"]
    assert overflow.share(BoundaryKey(SERVICE, "zone")) == 0.0


def test_a_share_is_forgotten_without_measurements() -> None:
    """A host that had no reads for a while sent its next ones far away."""
    clock = Clock()
    overflow = ZoneOverflow(clock)
    feed(overflow, clock, 5, here_ms=300.0)
    shares = feed(overflow, clock, 30, here_ms=None)
    assert shares == sorted(shares, reverse=True) and shares[-1] == 0.0
    feed(overflow, clock, 5, here_ms=300.0)
    clock.now_s += 60.0
    assert feed(overflow, clock, STEP_S, here_ms=None) == [0.0]


def use_crossings(harness: RouterHarness, nursery: trio.Nursery) -> None:
    """Give a harness a router with costs of crossings."""
    harness.router = Router(
        RouterDependencies(
            directory=harness.directory,
            dispatcher=harness,  # type: ignore[arg-type]
            floors=harness.floors,
            topology=ZoneTopology("tayside-a", {zone: zone for zone in ZONES}),
            clock=trio.current_time,
            nursery=nursery,
            name="host",
            meter=Meter(),
            crossing=lambda: COSTS,
        )
    )


@pytest.mark.parametrize("wait_ms", [0, 40])
def test_reads_spare_the_primary_while_its_slots_are_scarce(wait_ms: int) -> None:
    """Reads that no replica had room for took the slots that writes need."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-0":
            return done(wait_ms)
        return not_run(Blocker.OVERLOADED, "the queue for slots is too long", 1_500)

    async def scenario(harness: RouterHarness) -> None:
        async with trio.open_nursery() as nursery:
            use_crossings(harness, nursery)
            await harness.router.write(make_request())
            harness.attempts.clear()
            outcome = await harness.router.read(make_request())
            if wait_ms:
                assert reason_of(outcome) is Reason.BUSY
                assert sorted(harness.servers) == ["i-1", "i-2"]
            else:
                assert isinstance(outcome.answer, Completed)
                assert harness.servers[-1] == "i-0"

    run_scenario(script, scenario)


def test_a_scarce_primary_still_serves_what_no_replica_can() -> None:
    """Replicas that lag refuse reads for as long as they do."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-0":
            return done(wait_ms=40)
        return WorkResult(WorkOutcome.REFUSED, reason=Reason.BEHIND)

    async def scenario(harness: RouterHarness) -> None:
        async with trio.open_nursery() as nursery:
            use_crossings(harness, nursery)
            await harness.router.write(make_request())
            outcome = await harness.router.read(make_request())
            assert isinstance(outcome.answer, Completed)
            assert harness.servers[-1] == "i-0"
            harness.attempts.clear()
            for _ in range(20):
                await harness.router.read(make_request())
            # Few of them try the replicas again.
            assert len(harness.attempts) <= 20 * 1.8

    run_scenario(script, scenario)


def test_home_regions_and_evacuations_come_before_any_gain() -> None:
    """Overflow must not move a read to where it may not be."""

    async def script(server: str, work: Work) -> WorkResult:
        return done(wait_ms=500 if server == "i-1" else 0)

    async def scenario(harness: RouterHarness) -> None:
        async with trio.open_nursery() as nursery:
            use_crossings(harness, nursery)
            homes = frozenset({"tayside-a"})
            for _ in range(50):
                request = make_request()._replace(homes=homes)
                await harness.router.read(request)
                await trio.sleep(0.05)
            assert set(harness.servers) == {"i-1"}
            harness.attempts.clear()
            harness.directory.evacuations.begin("highland-a", is_news=True)
            for _ in range(50):
                await harness.router.read(make_request())
                await trio.sleep(0.05)
            assert "i-2" not in harness.servers

    run_scenario(script, scenario)


def test_costs_take_effect_when_settings_are_read_anew(with_cluster: Any) -> None:
    """Hosts went on with the costs of their start."""

    async def scenario(cluster: LineCluster) -> None:
        host = cluster.hosts[0]

        async def sent() -> int:
            reader = await session(cluster, 0, "bounded")
            for _ in range(10):
                assert not (await reader.query("READ a")).error
            await reader.close()
            value = host.meter.value
            return sum(value(kinds.READS_SENT, CLUSTER_SERVICE, p) for p in PLACES)

        assert await sent() == 0
        costs = CrossingSettings(zone_ms=10, region_ms=60)
        host.take_settings(host.settings._replace(crossing=costs))
        assert await sent() >= 10

    with_cluster(scenario)
