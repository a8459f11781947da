"""A cold server gets no more than its bound in any second, whoever serves it.

The load: a full fleet sends as fast as it may to a server that has just started.
No network, simulated time.
"""

import random
from typing import Any

import pytest
import trio

from rattanhollow.serving import (
    BackendServer,
    ColdBound,
    ColdLimit,
    CommandKind,
    LeaderUse,
    Scope,
    ServedBackend,
    WorkKind,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.store import Revision
from test_serving import Stage, on_stage, work

BOUND = ColdBound(per_s=10, cold_s=4, excess_ratio=1.5, slack=5)
WARM = 10_000


class Clock:
    """Simulated time, also as the time of day."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def server(cold_ms: int = 3_000, born_s: float = 99.0, version: int = 1) -> Any:
    """Return a server that started a second ago."""
    return BackendServer(
        "i-0", "s", "10.0.0.1", 1, "z", 5, False, False, cold_ms, int(born_s * 1000)
    )._replace(version=Revision(version))


def limit(clock: Clock, is_first: bool = True, **described: Any) -> ColdLimit:
    """Return the limit of a host that has just begun to serve the server."""
    found = ColdLimit(clock, clock)
    found.update(server(**described), BOUND, is_first)
    return found


def send_eagerly(limits: list[ColdLimit], clock: Clock, until_s: float) -> list[float]:
    """Let all hosts send whenever they may, and return when they did."""
    sent = []
    while clock.now_s < until_s:
        for each in limits:
            while not each.wait_s() and len(sent) < WARM:
                each.record_sent()
                sent.append(clock.now_s)
        clock.now_s += 0.01
    return sent


def most_in_a_second(sent: list[float]) -> int:
    """Return the most requests that any window of a second holds."""
    return max((sum(a <= b < a + 1.0 for b in sent) for a in sent), default=0)


@pytest.mark.parametrize("others", [0, 1, 2])
def test_hosts_that_serve_at_once_stay_within_the_bound(others: int) -> None:
    """Two or three hosts that take themselves for the serving host added up."""
    clock = Clock()
    limits = [limit(clock), *(limit(clock, is_first=False) for _ in range(others))]
    sent = send_eagerly(limits, clock, 102.9)
    assert 0 < most_in_a_second(sent) <= BOUND.per_window


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_die_and_are_replaced_stay_within_the_bound(seed: int) -> None:
    """A new serving host doesn't know what the last one sent within the second."""
    rng = random.Random(seed)
    clock = Clock()
    sent: list[float] = []
    while clock.now_s < 102.5:
        replaced_at_s = clock.now_s + rng.uniform(0.05, 1.5)
        sent += send_eagerly([limit(clock)], clock, min(replaced_at_s, 102.5))
    assert most_in_a_second(sent) <= BOUND.per_window


def test_a_server_is_cold_until_the_later_of_both_bounds() -> None:
    """A lagging entry says less than is true: the start counts, too."""
    clock = Clock()
    found = limit(clock, cold_ms=100)
    clock.now_s = 102.9
    assert found.applies and found._allowed_per_window(clock.now_s) == 10
    clock.now_s = 106.0
    assert not found.applies and found.wait_s() == 0.0


def test_the_load_grows_without_a_step_when_the_server_is_warm() -> None:
    """The server got its whole load at once at the end of its cold period."""
    clock = Clock()
    found = limit(clock)
    sent = send_eagerly([found], clock, 104.9)
    assert most_in_a_second([s for s in sent if s < 103.0]) <= 10
    assert 10 < most_in_a_second([s for s in sent if 103.4 <= s < 104.0]) <= 40


def test_a_warm_server_and_one_without_a_bound_have_no_limit() -> None:
    """Deployments without the setting are served as before."""
    clock = Clock()
    warm = ColdLimit(clock, clock)
    warm.update(server(cold_ms=0, born_s=1.0), BOUND, is_first=True)
    unbounded = ColdLimit(clock, clock)
    unbounded.update(server(), ColdBound(0.0), is_first=True)
    assert warm.wait_s() == unbounded.wait_s() == 0.0


def cold_backend(stage: Stage, slots: int = 3, cold_ms: int = 3_000) -> ServedBackend:
    """Serve the primary as a server that has just started."""
    described = stage.primary.server._replace(cold_ms=cold_ms, born_ms=0, slots=slots)
    parts = stage.parts._replace(
        cold_bound=lambda service: BOUND, unix_clock=lambda: WARM
    )
    return ServedBackend(described, 10 + slots, parts)


def test_work_that_can_move_leaves_a_cold_server_at_once() -> None:
    """It waited for its turn there, while another server could run it."""

    async def scenario(stage: Stage) -> None:
        result = await cold_backend(stage).run(work(movable=True))
        assert result.outcome is WorkOutcome.NOT_RUN
        assert 0 < result.retry_after_ms <= 1_001
        assert trio.current_time() == 0.0

    on_stage(scenario)


def test_work_that_only_a_cold_server_can_run_waits_or_is_refused() -> None:
    """A crowd of writes at a cold primary: in turn, or refused before its deadline."""

    async def scenario(stage: Stage) -> None:
        served = cold_backend(stage)
        results: list[WorkResult] = []

        async def send_work() -> None:
            item = work(WorkKind.WRITE, scope=Scope.ALONE, budget_ms=1_500)
            results.append(await served.run(item))

        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(send_work)
        done = [r for r in results if r.outcome is WorkOutcome.DONE]
        refused = [r for r in results if r.outcome is WorkOutcome.NOT_RUN]
        assert len(done) + len(refused) == len(results)
        assert 0 < len(done) <= 10 and len(stage.runs()) == len(done)

    on_stage(scenario)


def test_a_time_of_day_that_jumps_shortens_no_cold_period() -> None:
    """The server's own figure holds where the start seems to be long ago."""
    clock = Clock()
    ahead = ColdLimit(clock, lambda: clock.now_s + 500.0)
    ahead.update(server(), BOUND, is_first=True)
    clock.now_s = 102.9
    assert ahead.applies and ahead._allowed_per_window(clock.now_s) == 10


def test_a_cold_period_ends_without_news_from_the_store() -> None:
    """The store is silent: the last description counts down by itself."""
    clock = Clock()
    found = limit(clock)
    clock.now_s = 106.0
    assert not found.wait_s()


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_served_all_along_replace_each_other_within_the_bound(
    seed: int,
) -> None:
    """Each took the first host's part at once, after the last one had used its own."""
    rng = random.Random(seed)
    clock = Clock()
    hosts = [limit(clock, is_first=False) for _ in range(4)]
    clock.now_s += 1.0
    sent: list[float] = []
    for first in hosts:
        first.update(server(), BOUND, is_first=True)
        until_s = min(clock.now_s + rng.uniform(0.05, 0.5), 102.9)
        sent += send_eagerly([first], clock, until_s)
    assert most_in_a_second(sent) <= BOUND.per_window


def test_a_bound_that_operators_change_holds_for_a_server_that_is_served() -> None:
    """A removed bound held on, and a longer cold period began with the next entry."""
    clock = Clock()
    found = limit(clock, cold_ms=0, born_s=99.0)
    clock.now_s = 101.0
    assert found.applies
    found.update(server(cold_ms=0), BOUND._replace(per_s=0.0), is_first=True)
    assert not found.applies
    found.update(server(cold_ms=0), BOUND._replace(cold_s=20.0), is_first=True)
    clock.now_s = 118.0
    assert found.applies


def test_work_that_met_others_on_its_way_leaves_a_cold_server_at_once() -> None:
    """All of a crowd were let in, and those without a turn waited for one."""

    async def scenario(stage: Stage) -> None:
        served = cold_backend(stage)
        await trio.sleep(1.0)
        results: list[WorkResult] = []

        async def send_work() -> None:
            results.append(await served.run(work(movable=True, budget_ms=1_500)))

        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(send_work)
        assert trio.current_time() < 1.1
        assert 0 < len(stage.runs()) <= 10 and len(results) == 40

    on_stage(scenario)


def test_work_without_a_turn_before_its_deadline_is_refused_at_once() -> None:
    """It was held until shortly before its deadline, and then refused."""

    async def scenario(stage: Stage) -> None:
        served = cold_backend(stage)
        refused_at_s: list[float] = []

        async def send_work() -> None:
            item = work(WorkKind.WRITE, scope=Scope.ALONE, budget_ms=1_500)
            result = await served.run(item)
            if result.outcome is WorkOutcome.NOT_RUN:
                assert result.retry_after_ms > 500
                refused_at_s.append(trio.current_time())

        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(send_work)
        assert len(refused_at_s) >= 10 and max(refused_at_s) < 1.1

    on_stage(scenario)


@pytest.mark.parametrize("scope", [Scope.ALONE, Scope.BEGIN])
def test_nothing_is_sent_in_a_bunch_behind_a_slow_check(scope: Scope) -> None:
    """Work was counted before the check of the primary, and sent behind it.

    The beginnings of transactions were not counted at all.
    """

    async def check(server: BackendServer) -> LeaderUse:
        if 1.9 < trio.current_time() < 2.1:
            await trio.sleep(0.9)
        return LeaderUse.ALLOWED

    async def scenario(stage: Stage) -> None:
        stage.parts = stage.parts._replace(check_leader_use=check)
        served = cold_backend(stage, slots=30, cold_ms=5_000)
        sent_at_s: list[float] = []
        _record_commands(served, sent_at_s)

        async def send_work(number: int) -> None:
            transaction = f"t{number}"
            item = work(WorkKind.WRITE, scope=scope, transaction=transaction)
            await served.run(item._replace(budget_ms=6_000))

        async with trio.open_nursery() as nursery:
            await trio.sleep(1.0)
            for number in range(30):
                nursery.start_soon(send_work, number)
        cold = [s for s in sent_at_s if s < 5.0]
        assert 10 < len(cold) and most_in_a_second(cold) <= BOUND.per_window / 2

    on_stage(scenario)


def _record_commands(served: ServedBackend, sent_at_s: list[float]) -> None:
    """Note when commands of work are sent; rollbacks are the proxy's own."""
    connector = served._connector
    exchange = connector.exchange

    async def record(connection: Any, commands: Any, timeout_s: float) -> Any:
        sent_at_s.extend(
            trio.current_time()
            for command in commands
            if command.kind is not CommandKind.ROLLBACK
        )
        return await exchange(connection, commands, timeout_s)

    connector.exchange = record  # type: ignore[method-assign]
