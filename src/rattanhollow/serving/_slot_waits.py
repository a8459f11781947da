"""Waiting for a slot of one backend server."""

from collections.abc import Callable

import trio

from rattanhollow.observe import Meter, kinds
from rattanhollow.serving._slots import LOWEST_PRIORITY, SlotQueue
from rattanhollow.serving._stopped import WorkStopped
from rattanhollow.serving._work import Blocker, Work, not_run


class _SlotRequest:
    """A task that waits for a slot.

    ``granted`` is set once it has one. ``resumed`` is also set without a slot where
    the server became unreachable.
    """

    def __init__(self) -> None:
        self.resumed = trio.Event()
        self.granted = False


class SlotWaits:
    """The slots of one server, and the work that waits for them."""

    def __init__(
        self, slots: int, server_id: str, clock: Callable[[], float], meter: Meter
    ) -> None:
        self._queue: SlotQueue[_SlotRequest] = SlotQueue(slots)
        self._server_id = server_id
        self._clock = clock
        self._meter = meter

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
        return int(self._queue.wait_ms(LOWEST_PRIORITY))

    async def take(self, work: Work, deadline_s: float) -> None:
        """Wait for a slot.

        Raises:
            WorkStopped: no slot can be had in time, or the server became unreachable.

        """
        queued_at_s = self._clock()
        estimate_ms = self._queue.wait_ms(work.priority)
        await self._take(work, deadline_s)
        waited_ms = (self._clock() - queued_at_s) * 1000
        self._meter.time(kinds.QUEUE_WAIT_MS, waited_ms, self._server_id)
        self._meter.time(kinds.QUEUE_ESTIMATE_MS, estimate_ms, self._server_id)

    def free(self, cost_ms: float | None) -> None:
        """Free a slot; ``cost_ms`` is the server's time for the work, if it ran."""
        self._queue.release(cost_ms)
        request = self._queue.acquire_next()
        if request is not None:
            request.granted = True
            request.resumed.set()

    def turn_away_all(self) -> None:
        """End all waits without a slot."""
        for request in self._queue.drain():
            request.resumed.set()

    async def _take(self, work: Work, deadline_s: float) -> None:
        if self._queue.try_acquire():
            return
        wait_ms = self._queue.wait_ms(work.priority)
        if self._clock() + wait_ms / 1000 > deadline_s:
            raise _overloaded("the queue for slots is too long", wait_ms)
        request = _SlotRequest()
        self._queue.enqueue(request, work.organisation, work.priority)
        try:
            with trio.move_on_after(max(0.0, deadline_s - self._clock())):
                await request.resumed.wait()
        except trio.Cancelled:
            self._leave(request, work)
            raise
        if not request.resumed.is_set():
            self._leave(request, work)
            raise _overloaded("no slot was free before the deadline", wait_ms)
        if not request.granted:
            detail = "the server became unreachable while the work was queued"
            raise WorkStopped(not_run(Blocker.NOT_SERVED, detail))
        if deadline_s - self._clock() < self._queue.cost_ms / 1000:
            self.free(None)
            raise _overloaded("too little time was left after queueing", wait_ms)

    def _leave(self, request: _SlotRequest, work: Work) -> None:
        if request.granted:
            self.free(None)
        elif not request.resumed.is_set():
            self._queue.cancel_wait(request, work.organisation, work.priority)


def _overloaded(detail: str, wait_ms: float) -> WorkStopped:
    return WorkStopped(not_run(Blocker.OVERLOADED, detail, int(wait_ms)))
