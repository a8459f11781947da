"""Waiting for a slot of one backend server where slots are scarce."""

import math
from collections.abc import Callable

import trio

from rattanhollow.observe import Meter, kinds
from rattanhollow.serving._scarce_queue import Refusal, ScarceQueue, Waiting
from rattanhollow.serving._stopped import WorkStopped
from rattanhollow.serving._work import Blocker, Work, WorkResult, not_run

# How often waiting work is reviewed: callers notice a refusal that is later by more.
REVIEW_INTERVAL_S = 0.05

CALLER_LEFT = "the caller closed its connection while the work waited"


class _SlotRequest:
    """A task that waits for a slot.

    ``resumed`` is set once it has one, or with a ``result`` instead of a slot.
    """

    def __init__(self) -> None:
        self.resumed = trio.Event()
        self.result: WorkResult | None = None

    @property
    def granted(self) -> bool:
        return self.resumed.is_set() and self.result is None

    def end(self, result: WorkResult) -> None:
        self.result = result
        self.resumed.set()


class ScarceSlotWaits:
    """The slots of one server, and the work that waits for them.

    Has the interface of `SlotWaits`. Work that can't be done in time is refused when
    that becomes clear.
    """

    def __init__(
        self,
        slots: int,
        server_id: str,
        clock: Callable[[], float],
        meter: Meter,
        nursery: trio.Nursery,
    ) -> None:
        self._queue: ScarceQueue[_SlotRequest] = ScarceQueue(slots)
        self._server_id = server_id
        self._clock = clock
        self._meter = meter
        self._nursery = nursery
        self._reviews = False
        # By the name of the work's transaction.
        self._waiting: dict[str, Waiting[_SlotRequest]] = {}

    @property
    def busy(self) -> int:
        """The number of slots in use."""
        return self._queue.busy

    @property
    def waiting(self) -> int:
        """The number of units of work that wait."""
        return self._queue.waiting

    @property
    def wait_ms(self) -> int:
        """The estimated wait of new work of the lowest priority."""
        return int(self._queue.wait_ms())

    async def take(self, work: Work, deadline_s: float) -> None:
        """Wait for a slot.

        Raises:
            WorkStopped: no slot can be had in time, the caller left, or the server
                became unreachable.

        """
        queued_at_s = self._clock()
        estimate_ms = self._queue.wait_ms()
        if not self._queue.try_acquire(queued_at_s):
            await self._wait(work, queued_at_s, deadline_s)
        waited_ms = (self._clock() - queued_at_s) * 1000
        self._meter.time(kinds.QUEUE_WAIT_MS, waited_ms, self._server_id)
        self._meter.time(kinds.QUEUE_ESTIMATE_MS, estimate_ms, self._server_id)

    def free(self, cost_ms: float | None) -> None:
        """Free a slot; ``cost_ms`` is the server's time for the work, if it ran."""
        now_s = self._clock()
        self._queue.release(cost_ms, now_s)
        while (waiting := self._queue.acquire_next(now_s)) is not None:
            if self._queue.has_time_for(waiting, now_s):
                waiting.item.resumed.set()
                continue
            self._queue.release(None, now_s)
            refusal = self._queue.refuse_granted(waiting, now_s)
            waiting.item.end(self._refused(waiting, refusal, "waiting"))

    def withdraw(self, transaction: str) -> bool:
        """End the wait of work whose caller has left; False if none waits."""
        waiting = self._waiting.get(transaction)
        if waiting is None or waiting.item.resumed.is_set():
            return False
        self._queue.remove(waiting)
        waiting.item.end(caller_left(waiting.retry_at_least_s))
        self._meter.count(kinds.QUEUE_REFUSALS, self._server_id, "left")
        return True

    def turn_away_all(self) -> None:
        """End all waits without a slot."""
        detail = "the server became unreachable while the work was queued"
        for waiting in self._queue.drain():
            waiting.item.end(not_run(Blocker.NOT_SERVED, detail))

    async def _wait(self, work: Work, now_s: float, deadline_s: float) -> None:
        target_s = now_s + work.target_ms / 1000 if work.target_ms else math.inf
        waiting = Waiting(
            _SlotRequest(),
            work.organisation,
            work.priority,
            work.request_id,
            now_s,
            min(target_s, deadline_s),
            deadline_s,
            returns=not work.movable,
            retry_at_least_s=_retry_at_least_ms(work) / 1000,
        )
        refusal = self._queue.offer(waiting, now_s)
        if refusal is not None:
            raise WorkStopped(self._refused(waiting, refusal, "arrival"))
        if not self._reviews:
            self._reviews = True
            self._nursery.start_soon(self._review)
        self._waiting[work.transaction] = waiting
        request = waiting.item
        try:
            await request.resumed.wait()
        except trio.Cancelled:
            if request.granted:
                self.free(None)
            elif not request.resumed.is_set():
                self._queue.remove(waiting)
            raise
        finally:
            if self._waiting.get(work.transaction) is waiting:
                del self._waiting[work.transaction]
        if request.result is not None:
            raise WorkStopped(request.result)

    async def _review(self) -> None:
        """Refuse what can't be done in time any longer, while anything waits.

        A deadline that passes is found here as well.
        """
        try:
            while self._queue.waiting:
                for waiting, refusal in self._queue.review(self._clock()):
                    waiting.item.end(self._refused(waiting, refusal, "waiting"))
                await trio.sleep(REVIEW_INTERVAL_S)
        finally:
            self._reviews = False

    def _refused(
        self, waiting: Waiting[_SlotRequest], refusal: Refusal, cause: str
    ) -> WorkResult:
        self._meter.count(kinds.QUEUE_REFUSALS, self._server_id, cause)
        retry_after_ms = int(refusal.retry_after_s * 1000) + 1
        return not_run(Blocker.OVERLOADED, refusal.detail, retry_after_ms)


def caller_left(retry_at_least_s: float = 0.0) -> WorkResult:
    """Return the result of work that nobody waits for any longer."""
    return not_run(Blocker.OVERLOADED, CALLER_LEFT, int(retry_at_least_s * 1000))


def work_of_left_caller(work: Work) -> WorkResult:
    """Return the result of ``work``, for which nobody waits any longer."""
    return caller_left(_retry_at_least_ms(work) / 1000)


def _retry_at_least_ms(work: Work) -> int:
    """Return the lowest retry-after with which the router gives work up at once.

    A read on any server, known by its log position, is tried again at all of them
    unless the retry-after exceeds its budget at each.
    """
    return work.budget_ms if work.floor is not None else 0
