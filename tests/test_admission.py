"""Admission where slots and tokens are scarce.

No network, simulated time. Thresholds are what callers need: an answer within their
target, or a refusal at once with a time at which the same request succeeds.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import pytest
import trio
from result import Err, Result

from jumping import run_jumping
from rate_fleet import RateFleet
from rattanhollow.flow import MAX_RETURN_S, ReturnSchedule
from rattanhollow.host._withdrawing_peers import WithdrawingPeers
from rattanhollow.limits import ByteBudget, ByteLimits
from rattanhollow.observe import Meter
from rattanhollow.peer import AskFailure, Message, PeerAddress, Peers
from rattanhollow.platform import LineCaller
from rattanhollow.serving import (
    CURRENT_CALLER,
    BackendServer,
    CallerPresence,
    Scope,
    ServedBackend,
    Serving,
    WithdrawalNews,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    always_allowed,
)
from rattanhollow.serving._scarce_slot_waits import ScarceSlotWaits
from rattanhollow.serving._stopped import WorkStopped
from rattanhollow.session import DepartureWatch, Farewell
from rattanhollow.statements import Answer, Completed, Read, Request
from rattanhollow_standins.platform import memory_end
from test_serving import SERVICE, Stage, work

SLOTS = 6
COST_S = 0.025
# What the slots can run.
CAPACITY_PER_S = SLOTS / COST_S
BUDGET_S = 2.0
TARGET_S = 0.4
# A refusal that a caller takes for an immediate one.
AT_ONCE_S = 0.1


class Try(NamedTuple):
    """One attempt of a caller."""

    organisation: str
    priority: int
    began_s: float
    took_s: float
    retry_after_s: float | None


class Callers:
    """Callers of one queue for slots; each returns when it is told to."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.rng = random.Random(seed)
        self.waits = ScarceSlotWaits(SLOTS, "i-0", trio.current_time, Meter(), nursery)
        self.tries: list[Try] = []
        self.unserved = 0
        self._nursery = nursery
        self._ids = 0

    async def call(
        self, organisation: str, priority: int = 0, most_tries: int = 1
    ) -> None:
        """Send one request, and again after each refusal."""
        self._ids += 1
        request_id = f"r{self._ids}"
        for number in range(most_tries):
            began_s = trio.current_time()
            item = Work(
                "i-0",
                organisation,
                request_id,
                WorkKind.READ,
                Scope.ALONE,
                transaction=f"{request_id}-{number}",
                priority=priority,
                budget_ms=int(BUDGET_S * 1000),
                target_ms=int(TARGET_S * 1000),
            )
            retry_after_s = None
            try:
                await self.waits.take(item, began_s + BUDGET_S)
                cost_s = self.rng.uniform(0.5, 1.5) * COST_S
                await trio.sleep(cost_s)
                self.waits.free(cost_s * 1000)
            except WorkStopped as stopped:
                assert stopped.result.outcome is WorkOutcome.NOT_RUN
                retry_after_s = stopped.result.retry_after_ms / 1000
            took_s = trio.current_time() - began_s
            self.tries.append(
                Try(organisation, priority, began_s, took_s, retry_after_s)
            )
            if retry_after_s is None:
                return
            await trio.sleep(retry_after_s)
        self.unserved += 1

    async def send(
        self, organisation: str, per_s: float, seconds: float, priority: int = 0
    ) -> None:
        """Send requests at random times."""
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.expovariate(per_s))
            self._nursery.start_soon(self.call, organisation, priority)

    def in_target(self, organisation: str) -> float:
        """Return the fraction of an organisation's attempts done within the target."""
        tries = [each for each in self.tries if each.organisation == organisation]
        done = [t for t in tries if t.retry_after_s is None and t.took_s <= TARGET_S]
        return len(done) / len(tries)


def with_callers(
    scenario: Callable[[Callers, trio.Nursery], Awaitable[Any]], seed: int
) -> Callers:
    """Run a scenario, and let all callers finish."""
    made: list[Callers] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            made.append(Callers(nursery, seed))
            async with trio.open_nursery() as sending:
                await scenario(made[0], sending)
            await trio.sleep(3 * MAX_RETURN_S)
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)
    return made[0]


@pytest.mark.parametrize("seed", range(4))
def test_a_queue_that_outgrows_its_deadlines_refuses_at_once(seed: int) -> None:
    """Twice the capacity for eight seconds: work used to wait in vain, or too long."""

    async def scenario(callers: Callers, sending: trio.Nursery) -> None:
        sending.start_soon(callers.send, "kirk", 2 * CAPACITY_PER_S, 8.0)

    callers = with_callers(scenario, seed)
    refused = [each for each in callers.tries if each.retry_after_s is not None]
    at_once = [each for each in refused if each.took_s <= AT_ONCE_S]
    assert len(at_once) >= 0.9 * len(refused)
    assert all(t.took_s < BUDGET_S for t in refused)
    # The capacity is half of what is asked, and most of it is of use to callers.
    assert callers.in_target("kirk") >= 0.5 * 0.8


@pytest.mark.parametrize("seed", range(4))
def test_a_flooding_organisation_delays_no_small_one(seed: int) -> None:
    """Five times the capacity beside six organisations far below their share."""

    async def scenario(callers: Callers, sending: trio.Nursery) -> None:
        sending.start_soon(callers.send, "flood", 5 * CAPACITY_PER_S, 6.0)
        for number in range(6):
            sending.start_soon(callers.send, f"s{number}", CAPACITY_PER_S / 30, 6.0)

    callers = with_callers(scenario, seed)
    assert min(callers.in_target(f"s{number}") for number in range(6)) >= 0.98
    # What the small ones leave is used.
    done = [t for t in callers.tries if t.retry_after_s is None]
    assert len(done) >= 0.95 * CAPACITY_PER_S * 6.0


@pytest.mark.parametrize("seed", range(4))
def test_a_burst_that_returns_is_spread_and_served(seed: int) -> None:
    """A thousand at once, four times what fits: on return nearly all are served."""

    async def scenario(callers: Callers, sending: trio.Nursery) -> None:
        for _ in range(1_000):
            sending.start_soon(callers.call, "kirk", 0, 2)

    callers = with_callers(scenario, seed)
    returns = sorted(t.began_s for t in callers.tries if t.began_s > 0.01)
    assert len(returns) > 300
    densest = max(sum(a <= b < a + 0.5 for b in returns) for a in returns)
    assert densest <= CAPACITY_PER_S * 0.5
    assert callers.unserved <= 0.02 * 1_000


@pytest.mark.parametrize("seed", range(2))
def test_refused_work_that_returns_goes_before_new_work(seed: int) -> None:
    """A burst returns into a load that by itself exceeds the capacity."""

    async def scenario(callers: Callers, sending: trio.Nursery) -> None:
        for _ in range(800):
            sending.start_soon(callers.call, "kirk", 0, 2)
        sending.start_soon(callers.send, "rennie", 1.2 * CAPACITY_PER_S, 6.0)

    callers = with_callers(scenario, seed)
    returned = [t for t in callers.tries if t.organisation == "kirk" and t.began_s > 0]
    assert sum(t.retry_after_s is None for t in returned) >= 0.9 * len(returned)


@pytest.mark.parametrize("seed", range(2))
def test_a_low_priority_is_served_less_but_not_never(seed: int) -> None:
    """Priority 0 alone exceeds the capacity; two lower ones ask for some more."""

    async def scenario(callers: Callers, sending: trio.Nursery) -> None:
        for priority, load in enumerate((1.2, 0.4, 0.2)):
            rate_per_s = load * CAPACITY_PER_S
            sending.start_soon(callers.send, f"o{priority}", rate_per_s, 8.0, priority)

    callers = with_callers(scenario, seed)
    served = [
        sum(t.retry_after_s is None for t in callers.tries if t.priority == priority)
        for priority in range(3)
    ]
    total = sum(served)
    assert served[0] >= 0.8 * total
    assert min(served[1:]) >= 0.03 * total


def test_returns_beyond_the_horizon_are_not_bunched() -> None:
    """A flood of refusals; one organisation's returns don't delay another's."""
    schedule = ReturnSchedule()
    due_s = [schedule.book("flood", 0.0, 0.1, 0.05).due_s for _ in range(2_000)]
    assert max(due_s) <= MAX_RETURN_S
    assert max(sum(a <= b < a + 0.1 for b in due_s) for a in due_s) < 60
    assert schedule.book("small", 0.0, 0.1, 0.05).due_s == 0.1


class Connection:
    """A caller's connection that ends at a time."""

    def __init__(self, left_at_s: float) -> None:
        self._left_at_s = left_at_s

    async def until_left(self) -> None:
        """Return at that time."""
        await trio.sleep_until(self._left_at_s)


def scarce(stage: Stage) -> tuple[Serving, ServedBackend]:
    """Return the serving of a stage's primary, with scarce slots."""
    database = stage.databases[0]
    server = BackendServer(
        id=database.id,
        service=SERVICE,
        address="10.0.0.1",
        port=1,
        zone=database.zone,
        slots=database.slot_count,
        draining=False,
        leads=True,
        cold_ms=0,
        born_ms=1,
    )
    known = {server.id: server}
    serving = Serving(
        memory_end([stage.group], stage.opened),
        lambda server: True,
        known.get,
        lambda service: 10,
        lambda: 3_000,
        trio.current_time,
        Meter(),
        always_allowed,
        lambda server_id: True,
        scarce_slots=True,
    )
    serving._nursery = stage.parts.nursery
    served = serving.serve(server.id)
    assert served is not None
    known.clear()
    return serving, served


def on_scarce_stage(scenario: Callable[[Stage, Serving], Awaitable[Any]]) -> None:
    """Run a scenario with a primary that takes half a second for a statement."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery)
            stage.databases[0].work_s = 0.5
            await scenario(stage, scarce(stage)[0])
            nursery.cancel_scope.cancel()

    run_jumping(main)


async def call_and_leave(
    serving: Serving, item: Work, after_s: float, results: list[WorkResult]
) -> None:
    """Run work for a caller that leaves."""

    async def handle(request: Request) -> Answer:
        results.append(await serving.run_work(item))
        return Completed()

    connection: Any = Connection(trio.current_time() + after_s)
    async with trio.open_nursery() as nursery:
        departures = DepartureWatch()
        nursery.start_soon(departures.run)
        await departures.handle(connection, handle, Request("r", Read("READ a")))
        nursery.cancel_scope.cancel()


def test_callers_that_leave_free_their_places() -> None:
    """Forty callers leave while they wait: none of their work runs, nobody waits."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        results: list[WorkResult] = []
        async with trio.open_nursery() as nursery:
            for number in range(43):
                item = work(transaction=f"t{number}", budget_ms=30_000)
                nursery.start_soon(call_and_leave, serving, item, 0.2, results)
            await trio.sleep(0.25)
            assert len(results) == 40
            assert {result.outcome for result in results} == {WorkOutcome.NOT_RUN}
            served = serving.find("i-0")
            assert served is not None and served._slots.waiting == 0
        # What had been sent keeps its outcome, though its callers are gone.
        assert [r.outcome for r in results[40:]] == [WorkOutcome.DONE] * 3
        assert len(stage.runs()) == 3

    on_scarce_stage(scenario)


def test_a_write_that_was_sent_keeps_its_outcome() -> None:
    """The caller of a write leaves while the server runs it."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        results: list[WorkResult] = []
        item = work(WorkKind.WRITE, transaction="t")
        await call_and_leave(serving, item, 0.1, results)
        assert results[0].outcome is WorkOutcome.DONE
        assert stage.runs() == ["WRITE a 1"]

    on_scarce_stage(scenario)


class FakePeers(Peers):
    """Links to a host that doesn't answer for a second, and keeps the news."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.told: list[Message] = []
        self._nursery = nursery

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Lose the question."""
        await trio.sleep(1.0)
        return Err(AskFailure("dark", sent=True))

    async def tell(self, peer: PeerAddress, news: Message) -> None:
        """Keep the news."""
        self.told.append(news)


class FakeWithdrawingPeers(WithdrawingPeers, FakePeers):
    """The same, with withdrawals."""


@pytest.mark.parametrize("left_after_s", [0.5, 1.5])
def test_the_serving_host_is_lost(left_after_s: float) -> None:
    """The wait ends as without withdrawals, and later departures tell nobody."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            peers = FakeWithdrawingPeers(nursery)
            caller = CallerPresence()
            CURRENT_CALLER.set(caller)
            nursery.start_soon(leave, caller)
            host = PeerAddress("host-1", "10.0.0.1", 1, "")
            answer = await peers.ask(host, work(transaction="t"), 1_000)
            assert answer == Err(AskFailure("dark", sent=True))
            await trio.sleep(1.0)
        expected = [WithdrawalNews("i-0", "t")] if left_after_s < 1.0 else []
        assert peers.told == expected
        again = await peers.ask(host, work(transaction="t2"), 1_000)
        assert again.unwrap().outcome is WorkOutcome.NOT_RUN  # type: ignore[union-attr]

    async def leave(caller: CallerPresence) -> None:
        await trio.sleep(left_after_s)
        caller.leave()

    run_jumping(main)


def test_the_link_to_the_serving_host_is_lost() -> None:
    """No withdrawal arrives: the work that waits there ends by its budget."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        stage.databases[0].work_s = 5.0
        results: list[WorkResult] = []

        async def run(item: Work) -> None:
            results.append(await serving.run_work(item))

        async with trio.open_nursery() as nursery:
            for number in range(3):
                item = work(transaction=f"long-{number}", budget_ms=10_000)
                nursery.start_soon(run, item)
            await trio.sleep(0.1)
            for number in range(20):
                nursery.start_soon(run, work(transaction=f"t{number}", budget_ms=600))
            await trio.sleep(0.6)
            assert [r.outcome for r in results] == [WorkOutcome.NOT_RUN] * 20
            assert all(result.retry_after_ms > 0 for result in results)
            nursery.cancel_scope.cancel()

    on_scarce_stage(scenario)


def test_callers_that_leave_wait_for_no_connection() -> None:
    """Open transactions hold all connections; who waits for one leaves."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        stage.databases[0].work_s = 0.01
        for number in range(8):
            begin = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction=f"tx{number}")
            assert (await serving.run_work(begin)).open
        results: list[WorkResult] = []
        with trio.fail_after(0.5):
            item = work(transaction="t", budget_ms=30_000)
            await call_and_leave(serving, item, 0.2, results)
        assert results[0].outcome is WorkOutcome.NOT_RUN

    on_scarce_stage(scenario)


def test_a_refused_statement_ends_its_transaction() -> None:
    """The caller is told that it is aborted: its connection must not stay taken."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        begin = work(WorkKind.WRITE, scope=Scope.BEGIN, transaction="tx")
        assert (await serving.run_work(begin)).open
        async with trio.open_nursery() as nursery:
            for number in range(3):
                item = work(transaction=f"t{number}", budget_ms=3_000)
                nursery.start_soon(serving.run_work, item)
            await trio.sleep(0.1)
            within = work(WorkKind.WRITE, scope=Scope.WITHIN, transaction="tx")
            refused = await serving.run_work(within._replace(budget_ms=20))
            assert refused.outcome is WorkOutcome.NOT_RUN
            assert not refused.open
        await trio.sleep(0.1)
        served = serving.find("i-0")
        assert served is not None and served.idle

    on_scarce_stage(scenario)


def test_the_store_is_lost() -> None:
    """Nothing is known of the store's servers any longer: the queue goes on."""

    async def scenario(stage: Stage, serving: Serving) -> None:
        results: list[WorkResult] = []

        async def run(item: Work) -> None:
            results.append(await serving.run_work(item))

        async with trio.open_nursery() as nursery:
            for number in range(12):
                item = work(transaction=f"t{number}", budget_ms=1_200)
                nursery.start_soon(run, item)
        done = [result for result in results if result.outcome is WorkOutcome.DONE]
        assert len(done) >= 6
        assert len(stage.runs()) == len(done)

    on_scarce_stage(scenario)


def test_what_a_caller_sends_ahead_is_kept() -> None:
    """Pipelined requests survive the watch of the connection, and its end is seen."""

    async def main() -> None:
        own, other = trio.testing.memory_stream_pair()
        budget = ByteBudget(ByteLimits(1 << 30, 1 << 30, 1 << 30, 1.0), lambda: 0.0)
        caller = LineCaller(own, budget.open())  # type: ignore[arg-type]
        await other.send_all(b"CONNECT r k\r\nQUERY 1 READ a\r\n")
        await caller.receive()
        await caller.receive()
        await other.send_all(b"QUERY 2 READ b\r\nQUERY 3")
        with trio.move_on_after(1.0) as watching:
            await caller.until_left()
        assert watching.cancelled_caught
        await other.send_all(b" READ c\r\n")
        await other.aclose()
        await caller.until_left()
        received = [await caller.receive() for _ in range(3)]
        assert received[:2] == [
            Request("2", Read("READ b")),
            Request("3", Read("READ c")),
        ]
        assert isinstance(received[2], Farewell)

    run_jumping(main)


@pytest.mark.parametrize("seed", range(3))
def test_operations_wait_only_for_tokens_that_come(seed: int) -> None:
    """Three times all rates: few operations wait in vain, and no more are admitted."""

    def flood(scarce: bool) -> RateFleet:
        rng = random.Random(seed)
        fleet = RateFleet(rng, 6, (40.0, 25.0), scarce=scarce)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for name in fleet.records:
                    nursery.start_soon(fleet.run_host, name, 0.0)
                await trio.sleep(4.0)
                until_s = trio.current_time() + 6.0
                while trio.current_time() < until_s:
                    await trio.sleep(rng.expovariate(3 * 65.0))
                    name = rng.choices(["o0", "o1"], (40.0, 25.0))[0]
                    nursery.start_soon(fleet.operate, name, 1, 1_000)
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()

        run_jumping(main, seed)
        return fleet

    before, after = flood(scarce=False), flood(scarce=True)

    def waited_in_vain_s(fleet: RateFleet) -> float:
        refused = [each for each in fleet.outcomes if not each.admitted]
        return sum(each.took_s for each in refused) / len(refused)

    for name in after.organisations:
        assert after.largest_excess(name) <= after.allowed_excess(name)
        admitted = len(after.admitted[name])
        assert admitted >= 0.95 * len(before.admitted[name])
    assert waited_in_vain_s(after) < 0.5 * waited_in_vain_s(before)
