"""Evacuating an availability zone: its servers get nothing more, and come back gently.

The load: ordinary callers while operators empty a zone. Decisions run in memory and
simulated time; a few cases run hosts against stand-ins.
"""

import random
from typing import Any

import pytest
import trio

from rattanhollow.routing import Evacuations, ServerDirectory
from rattanhollow.serving import (
    ProofAnswer,
    Scope,
    ServedBackend,
    WorkKind,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.statements import NOTHING_KEPT, Refused
from rattanhollow.succession import PrimaryMonitor, PrimaryMonitorParts
from rattanhollow.succession._guardian import _ServiceState
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import SERVICE, ZONES
from test_line_cluster import session
from test_routing import (
    Clock,
    RouterHarness,
    make_directory,
    make_request,
    run_scenario,
    succeed,
)
from test_serving import Stage, on_stage, work

WITHIN_S = 5.0
# Behind the acknowledgement a host may use a zone for less than that.
STOPPED_S = 3.0


def evacuated(zone: str, clock: Any, is_news: bool = True) -> Evacuations:
    """Return evacuations with one zone, which has just begun."""
    evacuations = Evacuations(clock, WITHIN_S)
    evacuations.begin(zone, is_news)
    return evacuations


def test_a_zone_stops_in_time_and_returns_gradually() -> None:
    """All of a zone's load came back at once, to servers with cold caches."""
    clock = Clock()
    zones = evacuated("a", clock)
    assert zones.is_evacuated("a") and not zones.must_stop("a")
    clock.now_s = STOPPED_S
    assert zones.must_stop("a") and not zones.must_stop("b")
    zones.end("a")
    assert not zones.must_stop("a")
    shares = []
    for _ in range(6):
        shares.append(zones.returning_share("a"))
        clock.now_s += 1.0
    assert shares == pytest.approx([0.0, 0.2, 0.4, 0.6, 0.8, 1.0])


def test_an_evacuation_that_a_host_finds_at_its_start_holds_at_once() -> None:
    """It may have been acknowledged long ago."""
    assert evacuated("a", Clock(), is_news=False).must_stop("a")


@pytest.mark.parametrize("cut_s", [0.0, 1.0, 3.0, 10.0])
def test_a_host_that_hears_late_stops_as_early_as_all(cut_s: float) -> None:
    """A host that was cut off or suspended used the zone for three seconds more."""
    clock = Clock()
    zones = Evacuations(clock, WITHIN_S, last_contact_s=lambda: 0.0)
    clock.now_s = cut_s
    zones.begin("a", is_news=True)
    acknowledged_s = 0.0
    stops_s = acknowledged_s + max(cut_s, WITHIN_S - 0.4)
    clock.now_s = stops_s
    assert zones.must_stop("a")
    if cut_s <= 1.0:
        clock.now_s = cut_s + STOPPED_S - 0.1
        assert not zones.must_stop("a")


def test_a_second_evacuation_begins_anew() -> None:
    """One right behind the end of the first, and one of another zone."""
    clock = Clock()
    zones = evacuated("a", clock)
    clock.now_s = 4.0
    zones.end("a")
    zones.begin("a", is_news=True)
    zones.begin("b", is_news=True)
    assert sorted(zones.zones) == ["a", "b"]
    assert not zones.must_stop("a") and zones.returning_share("a") == 0.0
    zones.begin("a", is_news=True)
    clock.now_s = 4.0 + STOPPED_S
    assert zones.must_stop("a") and zones.must_stop("b")


def evacuate(harness: RouterHarness, *zones: str) -> Evacuations:
    """Evacuate zones of a harness."""
    found = harness.directory.evacuations
    found.within_s = WITHIN_S
    for zone in zones:
        found.begin(zone, is_news=True)
    return found


def test_reads_leave_the_zone_at_once_and_come_back_by_and_by() -> None:
    """A host keeps reading at a server that it is to leave, or returns at one blow."""

    async def scenario(harness: RouterHarness) -> None:
        zones = evacuate(harness, "tayside-a")
        for _ in range(5):
            await harness.router.read(make_request())
        assert set(harness.servers) == {"i-2"}
        zones.end("tayside-a")
        await trio.sleep(2.5)
        harness.attempts.clear()
        for _ in range(200):
            await harness.router.read(make_request())
        assert 60 < harness.servers.count("i-1") < 140
        await trio.sleep(3)
        harness.attempts.clear()
        await harness.router.read(make_request())
        assert harness.servers == ["i-1"]

    run_scenario(succeed, scenario)


def test_callers_are_refused_at_once_when_all_zones_are_evacuated() -> None:
    """Reads waited for their deadline while no server could be used."""

    async def scenario(harness: RouterHarness) -> None:
        evacuate(harness, "lothian-a", "tayside-a", "highland-a")
        await trio.sleep(STOPPED_S)
        began_s = trio.current_time()
        answer = (await harness.router.read(make_request())).answer
        assert isinstance(answer, Refused) and answer.reason in NOTHING_KEPT
        assert "evacuated" in answer.detail and answer.retry_after_ms > 0
        assert trio.current_time() == began_s and harness.servers == []

    run_scenario(succeed, scenario)


@pytest.mark.parametrize("kind", [WorkKind.READ, WorkKind.WRITE])
def test_a_last_zone_refuses_new_work_at_once(kind: WorkKind) -> None:
    """Within the time of the evacuation, work without a server waited for its deadline.

    The primary is unknown, as while it is replaced.
    """

    async def scenario(harness: RouterHarness) -> None:
        evacuate(harness, "lothian-a", "tayside-a", "highland-a")
        harness.directory.record_leader_denial("i-0")
        run = harness.router.write if kind is WorkKind.WRITE else harness.router.read
        answer = (await run(make_request(kind))).answer
        assert isinstance(answer, Refused) and answer.reason in NOTHING_KEPT
        assert "evacuated" in answer.detail and answer.retry_after_ms > 0
        assert trio.current_time() == 0.0 and harness.servers == []

    run_scenario(succeed, scenario)


def test_reads_that_need_a_proof_of_a_stopped_primary_are_refused_at_once() -> None:
    """They asked it for their whole time, though it must get nothing more."""

    async def scenario(harness: RouterHarness) -> None:
        async def prove_nothing(service: str) -> ProofAnswer:
            return ProofAnswer(None, "in an evacuated zone")

        harness.floors._prove = prove_nothing
        evacuate(harness, "lothian-a")
        await trio.sleep(STOPPED_S)
        began_s = trio.current_time()
        answer = (await harness.router.read(make_request())).answer
        assert isinstance(answer, Refused) and answer.retry_after_ms > 0
        assert trio.current_time() == began_s and harness.servers == []

    run_scenario(succeed, scenario)


def test_a_server_that_the_store_forgot_gets_nothing_more_either() -> None:
    """Its transactions went on behind the bound once its description had lapsed."""
    clock = Clock()
    directory = make_directory(clock)
    primary = directory.find("i-0")
    assert primary is not None
    directory.evacuations.begin(primary.zone, is_news=False)
    assert directory.must_stop(primary)
    directory.apply_description(None, "i-0")
    clock.now_s = 60.0
    assert directory.find("i-0") is None
    assert directory.must_stop(primary)


class EvacuatedStage:
    """A stage whose primary must get nothing more once ``is_over``."""

    def __init__(self, stage: Stage) -> None:
        self.is_over = False
        stage.parts = stage.parts._replace(
            must_stop=lambda server: self.is_over,
        )
        self.primary = stage.serve(0)


WITHIN = {"scope": Scope.WITHIN, "transaction": "t"}
BEGIN = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t")


@pytest.mark.parametrize("kind", [WorkKind.READ, WorkKind.WRITE, WorkKind.COMMIT])
def test_an_open_transaction_ends_with_the_time_of_the_zone(kind: WorkKind) -> None:
    """Its statements reached a server of the zone behind the bound."""

    async def scenario(stage: Stage) -> None:
        evacuated = EvacuatedStage(stage)
        assert (await evacuated.primary.run(BEGIN)).open
        evacuated.is_over = True
        result = await evacuated.primary.run(work(kind, **WITHIN))
        assert result.outcome is WorkOutcome.NOT_RUN
        await trio.sleep(1)
        assert len(stage.runs()) == 1
        assert not stage.databases[0].log

    on_stage(scenario)


def test_a_commit_that_was_sent_keeps_its_true_outcome() -> None:
    """It was broken off, although the server was about to acknowledge it."""

    async def scenario(stage: Stage) -> None:
        evacuated = EvacuatedStage(stage)
        assert (await evacuated.primary.run(BEGIN)).open
        stage.databases[0].work_s = 0.3
        results: list[WorkResult] = []

        async def commit() -> None:
            item = work(WorkKind.COMMIT, budget_ms=2_000, **WITHIN)
            results.append(await evacuated.primary.run(item))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit)
            await trio.sleep(0.1)
            evacuated.is_over = True
            evacuated.primary.end_transactions()
        assert results[0].outcome is WorkOutcome.DONE
        assert stage.databases[0].log

    on_stage(scenario)


def test_an_idle_transaction_ends_without_another_statement() -> None:
    """Its caller may say nothing more for long."""

    async def scenario(stage: Stage) -> None:
        evacuated = EvacuatedStage(stage)
        await evacuated.primary.run(BEGIN)
        evacuated.is_over = True
        evacuated.primary.end_transactions()
        assert evacuated.primary.idle

    on_stage(scenario)


def _record_exchanges(served: ServedBackend) -> list[Any]:
    """Return a list to which the commands of later exchanges are added."""
    connector, sent = served._connector, []
    exchange = connector.exchange

    async def record(connection: Any, commands: Any, timeout_s: float) -> Any:
        sent.append(commands)
        return await exchange(connection, commands, timeout_s)

    connector.exchange = record  # type: ignore[method-assign]
    return sent


def test_a_callers_rollback_is_not_sent_behind_the_bound() -> None:
    """A transaction whose statement ended late sent one more command."""

    async def scenario(stage: Stage) -> None:
        evacuated = EvacuatedStage(stage)
        await evacuated.primary.run(BEGIN)
        evacuated.is_over = True
        sent = _record_exchanges(evacuated.primary)
        rollback = work(WorkKind.ROLLBACK, **WITHIN)
        assert (await evacuated.primary.run(rollback)).outcome is WorkOutcome.DONE
        await trio.sleep(1)
        assert evacuated.primary.idle and sent == []

    on_stage(scenario)


def test_a_statement_that_waited_sets_no_state_behind_the_bound() -> None:
    """The session's values and prepared statements were sent all the same."""

    async def scenario(stage: Stage) -> None:
        evacuated = EvacuatedStage(stage)
        primary = evacuated.primary
        assert (await primary.run(BEGIN)).open
        stage.databases[0].work_s = 0.5
        results: list[WorkResult] = []

        async def send_late() -> None:
            item = work(values=(("tz", "utc"),), **WITHIN)
            results.append(await primary.run(item))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(primary.run, work())
            await trio.sleep(0.1)
            nursery.start_soon(send_late)
            await trio.sleep(0.1)
            evacuated.is_over = True
            sent = _record_exchanges(primary)
        assert results[0].outcome is WorkOutcome.NOT_RUN
        assert primary.idle and sent == []

    on_stage(scenario)


class Monitored:
    """A monitor of one service, without servers to command."""

    def __init__(self, directory: ServerDirectory) -> None:
        self.directory = directory
        self.replaced: list[str] = []

    def trigger(self) -> str:
        """Return why the primary would be replaced, empty if it would not."""
        values: dict[str, Any] = {
            name: lambda *args: 0.0 for name in PrimaryMonitorParts._fields
        }
        values |= {
            "servers": self.directory.list_servers,
            "leader": self.directory.leader,
            "is_missing": lambda server: False,
            "clock": Clock(),
            "is_evacuated": lambda server: self.directory.evacuations.is_evacuated(
                server.zone
            ),
        }
        monitor = PrimaryMonitor(PrimaryMonitorParts(**values))
        found = monitor._find_trigger(SERVICE, _ServiceState())
        return found.reason if found is not None else ""


def test_the_last_zone_with_a_server_keeps_its_primary_until_another_may_lead() -> None:
    """It was stopped and ordered to lead again, over and over."""
    directory = make_directory(Clock())
    monitored = Monitored(directory)
    assert monitored.trigger() == ""
    directory.evacuations.begin("lothian-a", is_news=True)
    assert "draining" in monitored.trigger()
    directory.evacuations.begin("tayside-a", is_news=True)
    directory.evacuations.begin("highland-a", is_news=True)
    assert monitored.trigger() == ""
    directory.evacuations.end("highland-a")
    assert "draining" in monitored.trigger()
    directory.evacuations.end("lothian-a")
    assert monitored.trigger() == ""


async def until_led_elsewhere(cluster: LineCluster, zone: str) -> None:
    """Wait until a server outside a zone leads, and takes a write."""
    while True:
        leader = cluster.group.leader
        if leader is not None and leader.zone != zone:
            client = await session(cluster, 1, "newest")
            answer = await client.query("WRITE b 1")
            await client.close()
            if not answer.error:
                return
        await trio.sleep(0.1)


def runs_in(cluster: LineCluster, zone: str) -> int:
    """Return how many statements ran at the servers of a zone."""
    return sum(len(s.runs) for s in cluster.group.servers.values() if s.zone == zone)


FIRST_ZONE = next(iter(ZONES))


async def assert_unused(cluster: LineCluster, zone: str) -> None:
    """Check that statements at all hosts go elsewhere, and succeed."""
    before = runs_in(cluster, zone)
    for host in cluster.hosts:
        for name in ("newest", "bounded", "session"):
            client = await session(cluster, host, name)
            for _ in range(5):
                assert not (await client.query("READ a")).error
            await client.close()
    assert runs_in(cluster, zone) == before


def test_the_primary_of_an_evacuated_zone_moves(with_cluster: Any) -> None:
    """Callers are served by the other zones; taken back, the zone is used again."""

    async def scenario(cluster: LineCluster) -> None:
        client = await session(cluster, 0, "newest")
        assert not (await client.query("WRITE a 1")).error
        cluster.evacuate(FIRST_ZONE)
        await until_led_elsewhere(cluster, FIRST_ZONE)
        await assert_unused(cluster, FIRST_ZONE)
        reader = await session(cluster, 2, "newest")
        assert (await reader.query("READ a")).rows == ("1",)
        cluster.end_evacuation(FIRST_ZONE)
        before = runs_in(cluster, FIRST_ZONE)
        near = await session(cluster, 0, "bounded")
        while runs_in(cluster, FIRST_ZONE) == before:
            await near.query("READ a")
            await trio.sleep(0.05)

    with_cluster(scenario, requested="places")


def test_a_host_that_the_store_turns_away_hears_of_an_evacuation(
    with_cluster: Any,
) -> None:
    """A cut link to the store: other hosts tell what it can't read."""

    async def scenario(cluster: LineCluster) -> None:
        cluster.turned_away[cluster.host_address(2)] = 503
        cluster.evacuate(FIRST_ZONE)
        while not cluster.hosts[2].evacuations.is_evacuated(FIRST_ZONE):
            await trio.sleep(0.05)
        await until_led_elsewhere(cluster, FIRST_ZONE)
        await assert_unused(cluster, FIRST_ZONE)

    with_cluster(scenario, requested="places")


def test_an_evacuation_meets_a_dead_primary(with_cluster: Any) -> None:
    """The primary crashes as its zone is evacuated: another zone takes over."""

    async def scenario(cluster: LineCluster) -> None:
        leader = cluster.group.leader
        assert leader is not None
        cluster.evacuate(leader.zone)
        cluster.group.crash(leader)
        await until_led_elsewhere(cluster, leader.zone)

    with_cluster(scenario, requested="places")


def test_an_evacuation_outlasts_an_outage_of_the_store(with_cluster: Any) -> None:
    """The store is away as soon as it has acknowledged, and comes back later."""

    async def scenario(cluster: LineCluster) -> None:
        cluster.evacuate(FIRST_ZONE)
        while not all(h.evacuations.zones for h in cluster.hosts.values()):
            await trio.sleep(0.02)
        for host in cluster.hosts:
            cluster.turned_away[cluster.host_address(host)] = 503
        await trio.sleep(1.0)
        assert all(h.evacuations.zones == [FIRST_ZONE] for h in cluster.hosts.values())
        cluster.turned_away.clear()
        await until_led_elsewhere(cluster, FIRST_ZONE)
        await assert_unused(cluster, FIRST_ZONE)

    with_cluster(scenario, requested="places")


def test_an_evacuation_taken_back_halfway_leaves_a_service_that_works(
    with_cluster: Any,
) -> None:
    """The primary may have moved or not; callers are served either way."""

    async def scenario(cluster: LineCluster) -> None:
        rng = random.Random(1)
        for _ in range(3):
            cluster.evacuate(FIRST_ZONE)
            await trio.sleep(rng.uniform(0.05, 0.5))
            cluster.end_evacuation(FIRST_ZONE)
            await trio.sleep(rng.uniform(0.0, 0.3))
        client = await session(cluster, 1, "newest")
        while (await client.query("WRITE a 1")).error:
            await trio.sleep(0.1)
        assert not any(h.evacuations.zones for h in cluster.hosts.values())

    with_cluster(scenario, requested="places")


def test_without_the_request_nothing_is_followed(with_cluster: Any) -> None:
    """Other deployments pay for no calls, and use the zone as before."""

    async def scenario(cluster: LineCluster) -> None:
        cluster.evacuate(FIRST_ZONE)
        client = await session(cluster, 0, "newest")
        assert not (await client.query("WRITE a 1")).error
        assert not any(h.evacuations.zones for h in cluster.hosts.values())

    with_cluster(scenario)
