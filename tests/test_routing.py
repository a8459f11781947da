"""Choice of the leader, routing of statements, retries and responses to callers.

No network: scripted serving hosts and simulated time.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from jumping import run_jumping
from rattanhollow.configuration import Consistency, Route
from rattanhollow.coordination import Position
from rattanhollow.observe import Meter
from rattanhollow.platform import read_server
from rattanhollow.routing import (
    DispatchResult,
    FloorCache,
    HomeRegions,
    Outcome,
    Router,
    RouterDependencies,
    ServerDirectory,
    StatementRequest,
    ZoneTopology,
)
from rattanhollow.serving import (
    Blocker,
    ProofAnswer,
    Scope,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    not_run,
    unknown,
)
from rattanhollow.statements import NOTHING_KEPT, Completed, Reason, Refused
from rattanhollow.store import Revision, Stored

SERVICE = "bookings"
ZONES = ("lothian-a", "tayside-a", "highland-a")
PROVEN = Position(1, 50)


def make_description(number: int, version: int, leads: bool, **changes: Any) -> Stored:
    """Return a stored description of a server."""
    spec = {
        "service": SERVICE,
        "address": f"10.0.0.{number + 1}:1",
        "zone": ZONES[number],
        "slots": 3,
        "state": "ready",
        "cold_left_ms": 0,
        "db_role": "primary" if leads else "replica",
        "born": 1,
        **changes,
    }
    return Stored("servers", f"i-{number}", Revision(version), spec)


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def make_directory(clock: Callable[[], float]) -> ServerDirectory:
    """Return a directory of three servers, the first of which leads."""
    directory = ServerDirectory(read_server, clock)
    for number in range(3):
        directory.apply_description(
            make_description(number, number + 1, leads=number == 0), f"i-{number}"
        )
    return directory


def leader_id(directory: ServerDirectory) -> str:
    """Return the identifier of the presumed primary, or an empty string."""
    leader = directory.leader(SERVICE)
    return leader.id if leader is not None else ""


def test_the_newest_description_that_claims_leadership_wins() -> None:
    """A deposed primary that still claims leadership has an older description."""
    directory = make_directory(Clock())
    assert leader_id(directory) == "i-0"
    directory.apply_description(make_description(1, 9, leads=True), "i-1")
    assert leader_id(directory) == "i-1"
    directory.apply_description(
        make_description(0, 10, leads=True, cold_left_ms=5), "i-0"
    )
    assert leader_id(directory) == "i-1"


def test_responses_of_servers_override_older_descriptions() -> None:
    """A denial or a proof of leadership holds until a newer description claims it."""
    directory = make_directory(Clock())
    directory.record_leader_denial("i-0")
    assert leader_id(directory) == ""
    directory.record_leader_proof(SERVICE, "i-2")
    assert leader_id(directory) == "i-2"
    directory.apply_description(make_description(1, 9, leads=True), "i-1")
    assert leader_id(directory) == "i-1"


def test_a_missing_description_is_kept_for_a_grace_period() -> None:
    """It may return within seconds; then the server is missing, and later removed."""
    clock = Clock()
    directory = make_directory(clock)
    directory.apply_description(None, "i-0")
    clock.now_s = 2.0
    assert leader_id(directory) == "i-0" and not directory.is_missing("i-0")
    clock.now_s = 3.0
    assert leader_id(directory) == "i-0" and directory.is_missing("i-0")
    clock.now_s = 6.0
    assert leader_id(directory) == "" and directory.find("i-0") is None


def test_a_draining_server_without_description_is_removed_at_once() -> None:
    """A server that announced its shutdown is not expected to return."""
    directory = make_directory(Clock())
    directory.apply_description(
        make_description(2, 9, leads=False, state="draining"), "i-2"
    )
    directory.apply_description(None, "i-2")
    assert directory.find("i-2") is None


def test_missing_replicas_and_restarts_are_recorded() -> None:
    """A succession must know which logs may be unavailable."""
    clock = Clock()
    directory = make_directory(clock)
    clock.now_s = 5.0
    directory.apply_description(make_description(1, 9, leads=False, born=2), "i-1")
    assert directory.restarted_at_s("i-1") == 5.0
    assert directory.replica_missing_at_s(SERVICE) is None
    clock.now_s = 7.0
    directory.apply_description(None, "i-2")
    assert directory.replica_missing_at_s(SERVICE) == 7.0
    name = next(iter(directory._replica_missing_at_s[SERVICE]))
    assert directory.replica_missing_at_s(SERVICE, last_leader=name) is None


Script = Callable[[str, Work], Awaitable[WorkResult]]


class RouterHarness:
    """A router whose serving hosts are scripted."""

    def __init__(self, nursery: trio.Nursery, script: Script) -> None:
        self.script = script
        self.attempts: list[tuple[str, Work]] = []
        self.proofs = 0
        self.directory = make_directory(trio.current_time)
        self.floors = FloorCache(self._prove, trio.current_time)
        self.router = Router(
            RouterDependencies(
                directory=self.directory,
                dispatcher=self,  # type: ignore[arg-type]
                floors=self.floors,
                topology=ZoneTopology("tayside-a", {zone: zone for zone in ZONES}),
                clock=trio.current_time,
                nursery=nursery,
                name="host",
                meter=Meter(),
            )
        )

    async def run(
        self, server: Any, work: Work, homes: HomeRegions | None = None
    ) -> DispatchResult:
        """Simulate `WorkDispatcher.run`."""
        self.attempts.append((server.id, work))
        return DispatchResult(
            await self.script(server.id, work), "host-1", work.transaction
        )

    async def run_on_host(self, host: str, work: Work) -> WorkResult:
        """Simulate `WorkDispatcher.run_on_host`."""
        self.attempts.append((work.server, work))
        return await self.script(work.server, work)

    async def _prove(self, service: str) -> ProofAnswer:
        self.proofs += 1
        return ProofAnswer(PROVEN)

    @property
    def servers(self) -> list[str]:
        """The servers tried, in order."""
        return [server for server, _ in self.attempts]


def make_route(consistency: Consistency) -> Route:
    """Return a route."""
    return Route("r", SERVICE, consistency, 1_000, 600, 1, 1_500, False)


def make_request(
    kind: WorkKind = WorkKind.READ,
    consistency: Consistency = Consistency.BOUNDED,
    floor: Position | None = None,
) -> StatementRequest:
    """Return a statement request with a deadline in one second."""
    work = Work("", "kirk", "r", kind, Scope.ALONE, text="READ a")
    return StatementRequest(
        make_route(consistency), work, floor, trio.current_time() + 1
    )


def run_scenario(
    script: Script, scenario: Callable[[RouterHarness], Awaitable[Any]], seed: int = 0
) -> None:
    """Run a scenario in simulated time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(RouterHarness(nursery, script))
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


async def succeed(server: str, work: Work) -> WorkResult:
    """Succeed on any server."""
    return WorkResult(WorkOutcome.DONE, position=Position(1, 60), led=server == "i-0")


def refused(reason: Reason) -> WorkResult:
    """Return a refusal by the server."""
    return WorkResult(WorkOutcome.REFUSED, reason=reason, detail=reason.name)


def reason_of(outcome: Outcome) -> Reason:
    """Return the reason of a refusal."""
    assert isinstance(outcome.answer, Refused)
    return outcome.answer.reason


def test_a_read_that_a_server_fails_is_retried_on_another() -> None:
    """A failing server costs one read another attempt; the next read avoids it."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            return refused(Reason.FAILED)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-1", "i-2"]
        await harness.router.read(make_request())
        assert harness.servers[2:] == ["i-2"]

    run_scenario(script, scenario)


def test_a_lagging_replica_is_avoided_for_a_while() -> None:
    """Lacking the writes of one session only is not counted as lagging."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            return refused(Reason.BEHIND)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        await harness.router.read(make_request(floor=Position(1, 90)))
        assert harness.servers == ["i-1", "i-2"]
        await harness.router.read(make_request())
        assert harness.servers[2:] == ["i-1", "i-2"]
        await harness.router.read(make_request())
        assert harness.servers[4:] == ["i-2"]
        await trio.sleep(1.0)
        await harness.router.read(make_request())
        assert harness.servers[5:] == ["i-1", "i-2"]

    run_scenario(script, scenario)


def test_a_read_without_response_is_hedged() -> None:
    """An unresponsive server or serving host uses up only a part of the time."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            await trio.sleep(5)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        began_s = trio.current_time()
        # The token bucket of hedged reads is empty at first.
        await trio.sleep(0.5)
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-1", "i-2"]
        assert trio.current_time() - began_s < 1.1

    run_scenario(script, scenario)


def test_a_lost_answer_of_the_primary_is_hedged_there() -> None:
    """A read that only the primary may serve doesn't wait for its deadline."""

    async def script(server: str, work: Work) -> WorkResult:
        if len(attempts) == 1:
            await trio.sleep(5)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        nonlocal attempts
        attempts = harness.attempts
        outcome = await harness.router.read(
            make_request(consistency=Consistency.NEWEST)
        )
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-0", "i-0"]
        assert {work.scope for _, work in attempts} == {Scope.PROVEN}
        assert trio.current_time() < 0.5

    attempts: list[tuple[str, Work]] = []
    run_scenario(script, scenario)


def test_a_slow_success_is_returned_if_the_hedged_read_fails() -> None:
    """The failure of the second server must not hide the result of the first."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            await trio.sleep(0.5)
            return await succeed(server, work)
        return refused(Reason.BUSY)

    async def scenario(harness: RouterHarness) -> None:
        await trio.sleep(0.5)
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-1", "i-2"]

    run_scenario(script, scenario)


def test_of_two_simultaneous_results_the_success_is_returned() -> None:
    """A failure received at the same moment must not hide the success."""

    async def script(server: str, work: Work) -> WorkResult:
        at_s = 1.2 - trio.current_time()
        await trio.sleep(at_s)
        return refused(Reason.BUSY) if server == "i-2" else await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        await trio.sleep(0.5)
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-1", "i-2"]

    for seed in range(10):
        run_scenario(script, scenario, seed)


def test_hedged_reads_are_limited() -> None:
    """If all servers are slow, hedging must not double the load."""

    async def script(server: str, work: Work) -> WorkResult:
        await trio.sleep(0.4)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(harness.router.read, make_request())
        assert len(harness.attempts) <= 100 + 8

    run_scenario(script, scenario)


def test_the_failure_of_the_last_server_is_returned() -> None:
    """If all servers fail, the caller receives the failure at once."""

    async def script(server: str, work: Work) -> WorkResult:
        return refused(Reason.FAILED)

    async def scenario(harness: RouterHarness) -> None:
        assert reason_of(await harness.router.read(make_request())) is Reason.FAILED
        assert sorted(harness.servers) == ["i-0", "i-1", "i-2"]
        assert [work.movable for _, work in harness.attempts] == [True, True, False]

    run_scenario(script, scenario)


def test_a_read_that_needs_the_primary_is_retried_there() -> None:
    """A primary that fails only some of its work may succeed on a retry."""
    failures = 0

    async def script(server: str, work: Work) -> WorkResult:
        nonlocal failures
        failures += 1
        return refused(Reason.FAILED) if failures <= 2 else await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        newest = make_request(consistency=Consistency.NEWEST)
        assert isinstance((await harness.router.read(newest)).answer, Completed)
        assert harness.servers == ["i-0"] * 3

    run_scenario(script, scenario)


@pytest.mark.parametrize("kind", [WorkKind.WRITE])
def test_a_failed_write_is_not_retried(kind: WorkKind) -> None:
    """It ran, so the decision is left to the caller."""

    async def script(server: str, work: Work) -> WorkResult:
        return refused(Reason.FAILED)

    async def scenario(harness: RouterHarness) -> None:
        assert (
            reason_of(await harness.router.write(make_request(kind))) is Reason.FAILED
        )
        assert harness.servers == ["i-0"]

    run_scenario(script, scenario)


def test_reads_go_to_the_nearest_replica_with_a_floor() -> None:
    """The zone of the host is preferred; the primary is spared for what needs it."""

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        server, work = harness.attempts[0]
        assert (server, work.floor, work.scope) == ("i-1", PROVEN, Scope.ALONE)
        second = await harness.router.read(make_request(floor=Position(1, 70)))
        assert isinstance(second.answer, Completed)
        assert harness.attempts[1][1].floor == Position(1, 70)
        assert harness.proofs == 1

    run_scenario(succeed, scenario)


def test_newest_reads_are_proven_on_the_primary() -> None:
    """A read on such a route runs on a server that proves its leadership."""

    async def scenario(harness: RouterHarness) -> None:
        await harness.router.read(make_request(consistency=Consistency.NEWEST))
        server, work = harness.attempts[0]
        assert (server, work.scope) == ("i-0", Scope.PROVEN)

    run_scenario(succeed, scenario)


def test_an_old_proof_is_not_used() -> None:
    """A floor must cover every commit acknowledged before the maximum age."""

    async def scenario(harness: RouterHarness) -> None:
        await harness.router.read(make_request())
        await trio.sleep(1.6)
        await harness.router.read(make_request())
        assert harness.proofs == 2

    run_scenario(succeed, scenario)


def test_proofs_are_refreshed_before_they_expire() -> None:
    """With continuous traffic, reads do not wait for a proof."""

    async def scenario(harness: RouterHarness) -> None:
        for _ in range(20):
            await harness.router.read(make_request())
            await trio.sleep(0.25)
        assert 5 <= harness.proofs <= 10

    run_scenario(succeed, scenario)


@pytest.mark.parametrize(
    "failure",
    [
        refused(Reason.BEHIND),
        refused(Reason.BUSY),
        not_run(Blocker.NOT_SERVED, "x"),
        not_run(Blocker.OVERLOADED, "x"),
        unknown(Blocker.LOST, "x"),
        unknown(Blocker.HOST_LOST, "x"),
    ],
)
def test_a_read_that_did_not_succeed_is_retried_on_another(failure: WorkResult) -> None:
    """Whatever the outcome, a read may run twice."""

    async def script(server: str, work: Work) -> WorkResult:
        return failure if server == "i-1" else await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-1", "i-2"]

    run_scenario(script, scenario)


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (unknown(Blocker.LOST, "x"), Reason.IN_DOUBT),
        (unknown(Blocker.HOST_LOST, "x"), Reason.IN_DOUBT),
        (refused(Reason.IN_DOUBT), Reason.IN_DOUBT),
        (refused(Reason.TIMED_OUT), Reason.TIMED_OUT),
        (refused(Reason.FAILED), Reason.FAILED),
    ],
)
def test_a_write_that_may_have_run_is_not_retried(
    failure: WorkResult, expected: Reason
) -> None:
    """It runs at most once, and the reason must not imply that it was not kept."""

    async def script(server: str, work: Work) -> WorkResult:
        return failure

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.write(make_request(WorkKind.WRITE))
        assert reason_of(outcome) is expected and expected not in NOTHING_KEPT
        assert harness.servers == ["i-0"]

    run_scenario(script, scenario)


def test_a_write_that_did_not_run_goes_to_the_new_primary() -> None:
    """It moves on after a `NOT_LEADER` refusal, and its position is returned."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-0":
            return refused(Reason.NOT_LEADER)
        return WorkResult(WorkOutcome.DONE, position=Position(2, 61), led=True)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.write(make_request(WorkKind.WRITE))
        assert isinstance(outcome.answer, Completed)
        assert outcome.committed == Position(2, 61)
        assert harness.servers[0] == "i-0" and len(harness.servers) == 2
        assert leader_id(harness.directory) == harness.servers[1]

    run_scenario(script, scenario)


def test_a_write_waits_for_a_primary_until_its_deadline() -> None:
    """It waits while the primary is replaced, then is refused as not run."""

    async def script(server: str, work: Work) -> WorkResult:
        return not_run(Blocker.SWITCHING, "x")

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.write(make_request(WorkKind.WRITE))
        assert reason_of(outcome) is Reason.BUSY
        assert trio.current_time() <= 1.01

    run_scenario(script, scenario)


def test_an_overloaded_primary_refuses_at_once() -> None:
    """Work that cannot be served is not queued; the refusal has a retry delay."""

    async def script(server: str, work: Work) -> WorkResult:
        return not_run(Blocker.OVERLOADED, "x", retry_after_ms=400)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.write(make_request(WorkKind.WRITE))
        assert reason_of(outcome) is Reason.BUSY
        assert isinstance(outcome.answer, Refused)
        assert outcome.answer.retry_after_ms == 400
        assert trio.current_time() == 0

    run_scenario(script, scenario)


def test_each_attempt_has_its_own_transaction() -> None:
    """A transaction left open by an attempt of unknown outcome is never reused."""

    async def script(server: str, work: Work) -> WorkResult:
        if len(names) < 2:
            names.append(work.transaction)
            return unknown(Blocker.HOST_LOST, "x")
        names.append(work.transaction)
        return WorkResult(
            WorkOutcome.DONE, position=Position(1, 60), led=True, open=True
        )

    names: list[str] = []

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.begin(
            make_request(WorkKind.WRITE), read_only=False
        )
        assert outcome.open and outcome.placement is not None
        assert outcome.placement.transaction == names[-1]
        assert len(set(names)) == len(names) == 3

    run_scenario(script, scenario)


@pytest.mark.parametrize(
    ("kind", "failure", "expected"),
    [
        (WorkKind.READ, unknown(Blocker.LOST, "x"), Reason.ABORTED),
        (WorkKind.WRITE, unknown(Blocker.HOST_LOST, "x"), Reason.ABORTED),
        (WorkKind.COMMIT, unknown(Blocker.LOST, "x"), Reason.IN_DOUBT),
        (WorkKind.COMMIT, unknown(Blocker.HOST_LOST, "x"), Reason.IN_DOUBT),
        (WorkKind.COMMIT, not_run(Blocker.SWITCHING, "x"), Reason.ABORTED),
        (WorkKind.COMMIT, refused(Reason.NOT_LEADER), Reason.ABORTED),
        (WorkKind.COMMIT, refused(Reason.IN_DOUBT), Reason.IN_DOUBT),
    ],
)
def test_the_refusal_within_a_failed_transaction(
    kind: WorkKind, failure: WorkResult, expected: Reason
) -> None:
    """Only a commit that may have taken effect is in doubt."""

    async def script(server: str, work: Work) -> WorkResult:
        return opened if work.scope is Scope.BEGIN else failure

    opened = WorkResult(WorkOutcome.DONE, position=Position(1, 60), led=True, open=True)

    async def scenario(harness: RouterHarness) -> None:
        begin_outcome = await harness.router.begin(
            make_request(WorkKind.WRITE), read_only=False
        )
        assert begin_outcome.placement is not None
        outcome = await harness.router.run_in_transaction(
            make_request(kind), begin_outcome.placement
        )
        assert reason_of(outcome) is expected and not outcome.open

    run_scenario(script, scenario)
