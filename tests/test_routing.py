"""Who is held to lead, where statements go, what is repeated, what is told.

No network: scripted serving hosts, time that jumps.
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
    Demand,
    Floors,
    Outcome,
    Places,
    Ran,
    Router,
    RouterParts,
    ServerDirectory,
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
from rattanhollow.store import Stored

SERVICE = "bookings"
ZONES = ("lothian-a", "tayside-a", "highland-a")
PROVEN = Position(1, 50)


def entry(number: int, version: int, leads: bool, **changes: Any) -> Stored:
    """Return the description of a server."""
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
    return Stored("servers", f"i-{number}", version, spec)


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def directory_of(clock: Callable[[], float]) -> ServerDirectory:
    """Return a directory of three servers, the first of which leads."""
    directory = ServerDirectory(read_server, clock)
    for number in range(3):
        directory.take(entry(number, number + 1, leads=number == 0), f"i-{number}")
    return directory


def leader_of(directory: ServerDirectory) -> str:
    """Return the identifier of the server held to lead."""
    leader = directory.leader(SERVICE)
    return leader.id if leader is not None else ""


def test_the_newest_description_that_leads_wins() -> None:
    """A deposed primary that still says that it leads is older."""
    directory = directory_of(Clock())
    assert leader_of(directory) == "i-0"
    directory.take(entry(1, 9, leads=True), "i-1")
    assert leader_of(directory) == "i-1"
    directory.take(entry(0, 10, leads=True, cold_left_ms=5), "i-0")
    assert leader_of(directory) == "i-1"


def test_what_servers_say_goes_before_older_descriptions() -> None:
    """A refusal denies, a proof confirms, until something newer is described."""
    directory = directory_of(Clock())
    directory.saw_no_leader("i-0")
    assert leader_of(directory) == ""
    directory.saw_leader(SERVICE, "i-2")
    assert leader_of(directory) == "i-2"
    directory.take(entry(1, 9, leads=True), "i-1")
    assert leader_of(directory) == "i-1"


def test_a_lapsed_description_is_held_for_a_while() -> None:
    """It may be back within seconds; later it counts as gone, then is forgotten."""
    clock = Clock()
    directory = directory_of(clock)
    directory.take(None, "i-0")
    clock.now_s = 2.0
    assert leader_of(directory) == "i-0" and not directory.is_missing("i-0")
    clock.now_s = 3.0
    assert leader_of(directory) == "i-0" and directory.is_missing("i-0")
    clock.now_s = 6.0
    assert leader_of(directory) == "" and directory.find("i-0") is None


def test_a_leaving_server_that_is_gone_is_forgotten_at_once() -> None:
    """It said that it leaves: nothing brings it back."""
    directory = directory_of(Clock())
    directory.take(entry(2, 9, leads=False, state="draining"), "i-2")
    directory.take(None, "i-2")
    assert directory.find("i-2") is None


def test_lost_replicas_and_new_starts_are_remembered() -> None:
    """A succession has to know whose log may be missing."""
    clock = Clock()
    directory = directory_of(clock)
    clock.now_s = 5.0
    directory.take(entry(1, 9, leads=False, born=2), "i-1")
    assert directory.started_anew_at_s("i-1") == 5.0
    assert directory.replica_lost_at_s(SERVICE) is None
    clock.now_s = 7.0
    directory.take(None, "i-2")
    assert directory.replica_lost_at_s(SERVICE) == 7.0


Script = Callable[[str, Work], Awaitable[WorkResult]]


class Bench:
    """A router over scripted serving hosts."""

    def __init__(self, nursery: trio.Nursery, script: Script) -> None:
        self.script = script
        self.tried: list[tuple[str, Work]] = []
        self.proofs = 0
        self.directory = directory_of(trio.current_time)
        self.floors = Floors(self._prove, trio.current_time)
        self.router = Router(
            RouterParts(
                directory=self.directory,
                agents=self,  # type: ignore[arg-type]
                floors=self.floors,
                places=Places("tayside-a", {zone: zone for zone in ZONES}),
                clock=trio.current_time,
                nursery=nursery,
                name="host",
                meter=Meter(),
            )
        )

    async def run(self, server: Any, work: Work) -> Ran:
        """Stand in for the hosts that serve."""
        self.tried.append((server.id, work))
        return Ran(await self.script(server.id, work), "host-1", work.transaction)

    async def run_at(self, host: str, work: Work) -> WorkResult:
        """Stand in for one host that serves."""
        self.tried.append((work.server, work))
        return await self.script(work.server, work)

    async def _prove(self, service: str) -> ProofAnswer:
        self.proofs += 1
        return ProofAnswer(PROVEN)

    @property
    def servers(self) -> list[str]:
        """The servers tried, in order."""
        return [server for server, _ in self.tried]


def route(consistency: Consistency) -> Route:
    """Return a route."""
    return Route("r", SERVICE, consistency, 1_000, 600, 1, 1_500, False)


def demand(
    kind: WorkKind = WorkKind.READ,
    consistency: Consistency = Consistency.BOUNDED,
    floor: Position | None = None,
) -> Demand:
    """Return a statement with a second's time."""
    work = Work("", "kirk", "r", kind, Scope.ALONE, text="READ a")
    return Demand(route(consistency), work, floor, trio.current_time() + 1)


def on_bench(
    script: Script, scenario: Callable[[Bench], Awaitable[Any]], seed: int = 0
) -> None:
    """Run a scenario in time that jumps."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(Bench(nursery, script))
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


async def done(server: str, work: Work) -> WorkResult:
    """Succeed everywhere."""
    return WorkResult(WorkOutcome.DONE, position=Position(1, 60), led=server == "i-0")


def refused(reason: Reason) -> WorkResult:
    """Return a refusal of the server."""
    return WorkResult(WorkOutcome.REFUSED, reason=reason, detail=reason.name)


def reason_of(outcome: Outcome) -> Reason:
    """Return why the caller was refused."""
    assert isinstance(outcome.answer, Refused)
    return outcome.answer.reason


def test_a_read_that_a_server_fails_is_asked_elsewhere() -> None:
    """A server that fails what it is given costs a read one more question."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            return refused(Reason.FAILED)
        return await done(server, work)

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        assert bench.servers == ["i-1", "i-2"]
        await bench.router.read(demand())
        assert bench.servers[2:] == ["i-2"]

    on_bench(script, scenario)


def test_a_replica_that_is_behind_is_left_for_a_while() -> None:
    """While it lags reads begin elsewhere; what it alone lacks says nothing."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            return refused(Reason.BEHIND)
        return await done(server, work)

    async def scenario(bench: Bench) -> None:
        await bench.router.read(demand(floor=Position(1, 90)))
        assert bench.servers == ["i-1", "i-2"]
        await bench.router.read(demand())
        assert bench.servers[2:] == ["i-1", "i-2"]
        await bench.router.read(demand())
        assert bench.servers[4:] == ["i-2"]
        await trio.sleep(1.0)
        await bench.router.read(demand())
        assert bench.servers[5:] == ["i-1", "i-2"]

    on_bench(script, scenario)


def test_a_read_that_stays_unanswered_is_asked_elsewhere() -> None:
    """A server, or its serving host, that has gone silent costs part of the time."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            await trio.sleep(5)
        return await done(server, work)

    async def scenario(bench: Bench) -> None:
        began_s = trio.current_time()
        # The bucket of second reads begins empty.
        await trio.sleep(0.5)
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        assert bench.servers == ["i-1", "i-2"]
        assert trio.current_time() - began_s < 1.1

    on_bench(script, scenario)


def test_a_slow_answer_that_succeeds_is_delivered() -> None:
    """The other server may fail: the first answer still counts."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1":
            await trio.sleep(0.5)
            return await done(server, work)
        return refused(Reason.BUSY)

    async def scenario(bench: Bench) -> None:
        await trio.sleep(0.5)
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        assert bench.servers == ["i-1", "i-2"]

    on_bench(script, scenario)


def test_of_two_answers_at_once_the_success_is_delivered() -> None:
    """A failure that comes in the same moment doesn't hide it."""

    async def script(server: str, work: Work) -> WorkResult:
        at_s = 1.2 - trio.current_time()
        await trio.sleep(at_s)
        return refused(Reason.BUSY) if server == "i-2" else await done(server, work)

    async def scenario(bench: Bench) -> None:
        await trio.sleep(0.5)
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        assert bench.servers == ["i-1", "i-2"]

    for seed in range(10):
        on_bench(script, scenario, seed)


def test_few_reads_are_asked_twice() -> None:
    """Where all servers are slow, a flood of reads is not doubled."""

    async def script(server: str, work: Work) -> WorkResult:
        await trio.sleep(0.4)
        return await done(server, work)

    async def scenario(bench: Bench) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(bench.router.read, demand())
        assert len(bench.tried) <= 100 + 8

    on_bench(script, scenario)


def test_the_last_server_s_failure_is_passed_on() -> None:
    """Where all fail, the caller hears of it at once."""

    async def script(server: str, work: Work) -> WorkResult:
        return refused(Reason.FAILED)

    async def scenario(bench: Bench) -> None:
        assert reason_of(await bench.router.read(demand())) is Reason.FAILED
        assert sorted(bench.servers) == ["i-0", "i-1", "i-2"]
        assert [work.movable for _, work in bench.tried] == [True, True, False]

    on_bench(script, scenario)


def test_a_read_that_only_the_primary_may_answer_is_repeated_there() -> None:
    """A primary that fails part of its work answers the next time, or not."""
    failures = 0

    async def script(server: str, work: Work) -> WorkResult:
        nonlocal failures
        failures += 1
        return refused(Reason.FAILED) if failures <= 2 else await done(server, work)

    async def scenario(bench: Bench) -> None:
        newest = demand(consistency=Consistency.NEWEST)
        assert isinstance((await bench.router.read(newest)).answer, Completed)
        assert bench.servers == ["i-0"] * 3

    on_bench(script, scenario)


@pytest.mark.parametrize("kind", [WorkKind.WRITE])
def test_a_write_that_failed_is_not_repeated(kind: WorkKind) -> None:
    """It ran: the caller decides what becomes of it."""

    async def script(server: str, work: Work) -> WorkResult:
        return refused(Reason.FAILED)

    async def scenario(bench: Bench) -> None:
        assert reason_of(await bench.router.write(demand(kind))) is Reason.FAILED
        assert bench.servers == ["i-0"]

    on_bench(script, scenario)


def test_reads_go_to_the_near_replica_with_a_floor() -> None:
    """The host's own zone first, the primary kept for what only it can do."""

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        server, work = bench.tried[0]
        assert (server, work.floor, work.scope) == ("i-1", PROVEN, Scope.ALONE)
        later = await bench.router.read(demand(floor=Position(1, 70)))
        assert isinstance(later.answer, Completed)
        assert bench.tried[1][1].floor == Position(1, 70)
        assert bench.proofs == 1

    on_bench(done, scenario)


def test_the_newest_reads_are_proven_at_the_primary() -> None:
    """On such routes a read runs where leadership is checked."""

    async def scenario(bench: Bench) -> None:
        await bench.router.read(demand(consistency=Consistency.NEWEST))
        server, work = bench.tried[0]
        assert (server, work.scope) == ("i-0", Scope.PROVEN)

    on_bench(done, scenario)


def test_an_old_proof_is_not_used() -> None:
    """A floor must cover all that was acknowledged up to the allowed age."""

    async def scenario(bench: Bench) -> None:
        await bench.router.read(demand())
        await trio.sleep(1.6)
        await bench.router.read(demand())
        assert bench.proofs == 2

    on_bench(done, scenario)


def test_proofs_are_renewed_before_they_lapse() -> None:
    """Reads don't wait for a proof while there is traffic."""

    async def scenario(bench: Bench) -> None:
        for _ in range(20):
            await bench.router.read(demand())
            await trio.sleep(0.25)
        assert 5 <= bench.proofs <= 10

    on_bench(done, scenario)


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
def test_a_read_that_fails_is_asked_elsewhere(failure: WorkResult) -> None:
    """Whatever became of it: a read may run twice."""

    async def script(server: str, work: Work) -> WorkResult:
        return failure if server == "i-1" else await done(server, work)

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.read(demand())
        assert isinstance(outcome.answer, Completed)
        assert bench.servers == ["i-1", "i-2"]

    on_bench(script, scenario)


@pytest.mark.parametrize(
    ("failure", "told"),
    [
        (unknown(Blocker.LOST, "x"), Reason.IN_DOUBT),
        (unknown(Blocker.HOST_LOST, "x"), Reason.IN_DOUBT),
        (refused(Reason.IN_DOUBT), Reason.IN_DOUBT),
        (refused(Reason.TIMED_OUT), Reason.TIMED_OUT),
        (refused(Reason.FAILED), Reason.FAILED),
    ],
)
def test_a_write_that_may_have_run_is_not_repeated(
    failure: WorkResult, told: Reason
) -> None:
    """It runs once, and nobody is told that nothing of it is kept."""

    async def script(server: str, work: Work) -> WorkResult:
        return failure

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.write(demand(WorkKind.WRITE))
        assert reason_of(outcome) is told and told not in NOTHING_KEPT
        assert bench.servers == ["i-0"]

    on_bench(script, scenario)


def test_a_write_that_did_not_run_goes_to_the_new_primary() -> None:
    """A refusal for want of leadership moves it on; its position is kept."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-0":
            return refused(Reason.NOT_LEADER)
        return WorkResult(WorkOutcome.DONE, position=Position(2, 61), led=True)

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.write(demand(WorkKind.WRITE))
        assert isinstance(outcome.answer, Completed)
        assert outcome.committed == Position(2, 61)
        assert bench.servers[0] == "i-0" and len(bench.servers) == 2
        assert leader_of(bench.directory) == bench.servers[1]

    on_bench(script, scenario)


def test_a_write_waits_for_a_primary_within_its_time() -> None:
    """While the primary is replaced the statement waits, then says it did not run."""

    async def script(server: str, work: Work) -> WorkResult:
        return not_run(Blocker.SWITCHING, "x")

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.write(demand(WorkKind.WRITE))
        assert reason_of(outcome) is Reason.BUSY
        assert trio.current_time() <= 1.01

    on_bench(script, scenario)


def test_an_overloaded_primary_refuses_at_once() -> None:
    """Nothing is held that can't be served, and the time to come back is told."""

    async def script(server: str, work: Work) -> WorkResult:
        return not_run(Blocker.OVERLOADED, "x", retry_after_ms=400)

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.write(demand(WorkKind.WRITE))
        assert reason_of(outcome) is Reason.BUSY
        assert isinstance(outcome.answer, Refused)
        assert outcome.answer.retry_after_ms == 400
        assert trio.current_time() == 0

    on_bench(script, scenario)


def test_each_attempt_opens_a_transaction_of_its_own() -> None:
    """What an attempt of unknown fate left open is never taken for another."""

    async def script(server: str, work: Work) -> WorkResult:
        if len(names) < 2:
            names.append(work.transaction)
            return unknown(Blocker.HOST_LOST, "x")
        names.append(work.transaction)
        return WorkResult(
            WorkOutcome.DONE, position=Position(1, 60), led=True, open=True
        )

    names: list[str] = []

    async def scenario(bench: Bench) -> None:
        outcome = await bench.router.begin(demand(WorkKind.WRITE), read_only=False)
        assert outcome.open and outcome.placement is not None
        assert outcome.placement.transaction == names[-1]
        assert len(set(names)) == len(names) == 3

    on_bench(script, scenario)


@pytest.mark.parametrize(
    ("kind", "failure", "told"),
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
def test_what_a_lost_transaction_is_told(
    kind: WorkKind, failure: WorkResult, told: Reason
) -> None:
    """Only a commit that may have been made is in doubt."""

    async def script(server: str, work: Work) -> WorkResult:
        return opened if work.scope is Scope.BEGIN else failure

    opened = WorkResult(WorkOutcome.DONE, position=Position(1, 60), led=True, open=True)

    async def scenario(bench: Bench) -> None:
        begun = await bench.router.begin(demand(WorkKind.WRITE), read_only=False)
        assert begun.placement is not None
        outcome = await bench.router.within(demand(kind), begun.placement)
        assert reason_of(outcome) is told and not outcome.open

    on_bench(script, scenario)
