"""A leaving backend server gets no new work once its time is over (issue 33).

The bound holds whatever becomes of its replacement. Stand-ins in memory and simulated
time.
"""

import pytest
import trio

from rattanhollow.serving import (
    Blocker,
    Scope,
    ServedBackend,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    not_run,
)
from rattanhollow.statements import Reason, Refused
from rattanhollow.store import Revision
from test_routing import (
    Clock,
    RouterHarness,
    make_description,
    make_directory,
    make_request,
    reason_of,
    run_scenario,
)
from test_serving import Stage, on_stage, work

DRAIN_S = 5.5


class LeavingStage:
    """A stage whose primary gets new work until ``is_over``."""

    def __init__(self, stage: Stage) -> None:
        self.is_over = False
        self.stage = stage
        stage.parts = stage.parts._replace(
            may_begin_work=lambda server_id: not self.is_over
        )
        self.primary: ServedBackend = stage.serve(0)


NEW_WORK: dict[str, Work] = {
    "single write": work(WorkKind.WRITE),
    "read on a primary route": work(WorkKind.READ, scope=Scope.PROVEN),
    "bounded read": work(WorkKind.READ),
    "transaction": work(WorkKind.READ, scope=Scope.BEGIN, transaction="t"),
    "writing transaction": work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t"),
    "read-only transaction": work(
        WorkKind.READ, scope=Scope.BEGIN_READ_ONLY, transaction="t"
    ),
}


def assert_refused_as_leaving(result: WorkResult) -> None:
    """Check that work did not run, and may be sent again in a second."""
    assert result.outcome is WorkOutcome.NOT_RUN
    assert result.blocker is Blocker.SWITCHING
    assert result.retry_after_ms > 0


@pytest.mark.parametrize("name", NEW_WORK)
def test_new_work_is_refused_behind_the_bound(name: str) -> None:
    """It reached a leaving primary whose replacement took too long."""

    async def scenario(stage: Stage) -> None:
        leaving = LeavingStage(stage)
        await leaving.primary.run(NEW_WORK[name])
        ran = len(stage.runs())
        leaving.is_over = True
        assert_refused_as_leaving(await leaving.primary.run(NEW_WORK[name]))
        await trio.sleep(1)
        assert len(stage.runs()) == ran

    on_stage(scenario)


@pytest.mark.parametrize("name", NEW_WORK)
def test_work_that_waited_for_a_slot_is_refused_behind_the_bound(name: str) -> None:
    """It had been let in before."""

    async def scenario(stage: Stage) -> None:
        leaving = LeavingStage(stage)
        stage.databases[0].work_s = 0.3
        results: list[WorkResult] = []

        async def occupy() -> None:
            await leaving.primary.run(work(WorkKind.READ))

        async def queue() -> None:
            results.append(await leaving.primary.run(NEW_WORK[name]))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(occupy)
            await trio.sleep(0.05)
            nursery.start_soon(queue)
            await trio.sleep(0.05)
            leaving.is_over = True
        assert_refused_as_leaving(results[0])
        assert len(stage.runs()) == 3

    on_stage(scenario)


def test_an_open_transaction_goes_on_behind_the_bound() -> None:
    """Only what begins there is new work."""

    async def scenario(stage: Stage) -> None:
        leaving = LeavingStage(stage)
        begin = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="t")
        assert (await leaving.primary.run(begin)).outcome is WorkOutcome.DONE
        leaving.is_over = True
        for kind in (WorkKind.READ, WorkKind.COMMIT):
            item = work(kind, scope=Scope.WITHIN, transaction="t")
            assert (await leaving.primary.run(item)).outcome is WorkOutcome.DONE

    on_stage(scenario)


def test_orders_and_probes_reach_a_server_behind_the_bound() -> None:
    """Its replacement needs them."""

    async def scenario(stage: Stage) -> None:
        leaving = LeavingStage(stage)
        leaving.is_over = True
        assert await leaving.primary.check_reachable()
        assert (await leaving.primary.prove()).position is not None

    on_stage(scenario)


@pytest.mark.parametrize("kind", [WorkKind.WRITE, WorkKind.READ])
def test_callers_are_refused_at_once_and_told_when_to_come_back(kind: WorkKind) -> None:
    """They waited until their deadline for a server that could not take the work."""

    async def script(server: str, item: Work) -> WorkResult:
        return not_run(Blocker.SWITCHING, "leaves", retry_after_ms=900)

    async def scenario(harness: RouterHarness) -> None:
        request = make_request(kind)
        if kind is WorkKind.WRITE:
            outcome = await harness.router.write(request)
        else:
            outcome = await harness.router.begin(request, read_only=False)
        assert reason_of(outcome) is Reason.BUSY
        assert isinstance(outcome.answer, Refused)
        assert outcome.answer.retry_after_ms == 900
        assert trio.current_time() == 0

    run_scenario(script, scenario)


def test_the_bound_counts_from_when_a_host_heard_of_the_leave() -> None:
    """Later descriptions of the same server, or none for a while, don't renew it."""
    clock = Clock()
    directory = make_directory(clock)
    clock.now_s = 10.0
    drain = make_description(0, 9, leads=True, state="draining")
    directory.apply_description(drain, "i-0")
    clock.now_s = 14.9
    assert directory.may_begin_work("i-0", DRAIN_S)
    changed = make_description(0, 10, leads=False, state="draining")
    directory.apply_description(changed, "i-0")
    directory.apply_description(None, "i-0")
    directory.apply_description(changed._replace(version=Revision(12)), "i-0")
    clock.now_s = 15.1
    assert not directory.may_begin_work("i-0", DRAIN_S)
    assert directory.may_begin_work("i-1", DRAIN_S)


def test_a_server_that_was_leaving_before_is_used_for_a_short_time_only() -> None:
    """A host that starts can't know since when it leaves."""
    clock = Clock()
    directory = make_directory(clock)
    clock.now_s = 10.0
    drain = make_description(2, 9, leads=True, state="draining")
    directory.apply_description(drain._replace(name="i-7"), "i-7")
    assert directory.may_begin_work("i-7", DRAIN_S)
    clock.now_s = 13.1
    assert not directory.may_begin_work("i-7", DRAIN_S)


@pytest.mark.parametrize("scope", [Scope.PROVEN, Scope.BEGIN])
def test_a_transaction_that_was_begun_in_vain_is_rolled_back(scope: Scope) -> None:
    """Its connection went back to the pool with an open transaction."""

    async def scenario(stage: Stage) -> None:
        # On arrival, before BEGIN, and before the statement: the leave comes there.
        answers = iter([True, True, False])
        stage.parts = stage.parts._replace(
            may_begin_work=lambda server_id: next(answers, True)
        )
        primary = stage.serve(0)
        begun = work(WorkKind.READ, scope=scope, transaction="t")
        assert_refused_as_leaving(await primary.run(begun))
        await trio.sleep(0.5)
        written = await primary.run(work(WorkKind.WRITE))
        assert written.outcome is WorkOutcome.DONE
        assert stage.databases[0].log

    on_stage(scenario)
