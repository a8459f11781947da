"""The slots of one backend server and the queue for them.

Does no I/O and reads no clock: callers pass the times.
"""

from typing import Generic, TypeVar

from rattanhollow.serving._fair_queue import FairQueue

T = TypeVar("T")

# The assumed mean time per statement until statements have been measured.
INITIAL_COST_MS = 25.0
COST_SMOOTHING = 0.05
LOWEST_PRIORITY = 1_000_000


class SlotQueue(Generic[T]):
    """Admits at most ``slots`` units of work at a time.

    Waiting work is admitted by priority, then round-robin by organisation, then in
    order of arrival. ``cost_ms`` is the moving average of the time per statement.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.cost_ms = INITIAL_COST_MS
        self._sample_count = 1
        self._waiting: dict[int, FairQueue[T]] = {}

    @property
    def waiting(self) -> int:
        """The number of units of work that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    def try_acquire(self) -> bool:
        """Take a slot if one is free and no work waits for it."""
        if self.busy >= self.slots or self.waiting:
            return False
        self.busy += 1
        return True

    def enqueue(self, item: T, organisation: str, priority: int) -> None:
        """Queue work for a slot."""
        self._waiting.setdefault(priority, FairQueue()).add(organisation, item)

    def cancel_wait(self, item: T, organisation: str, priority: int) -> None:
        """Remove work from the queue."""
        self._waiting[priority].remove(organisation, item)

    def release(self, cost_ms: float | None = None) -> None:
        """Free a slot; ``cost_ms`` is the server's time for the work, if it ran."""
        self.busy -= 1
        if cost_ms is not None:
            self._sample_count += 1
            weight = max(COST_SMOOTHING, 1 / self._sample_count)
            self.cost_ms += weight * (cost_ms - self.cost_ms)

    def acquire_next(self) -> T | None:
        """Take a free slot for the next waiting work and return that work."""
        if self.busy >= self.slots:
            return None
        for priority in sorted(self._waiting):
            if self._waiting[priority]:
                self.busy += 1
                return self._waiting[priority].pop()
        return None

    def drain(self) -> list[T]:
        """Remove and return all waiting work."""
        waiting = []
        for queue in self._waiting.values():
            while queue:
                waiting.append(queue.pop())
        return waiting

    def wait_ms(self, priority: int) -> float:
        """Return the estimated wait of new work of ``priority``."""
        if self.busy < self.slots:
            return 0.0
        ahead = sum(
            len(queue) for other, queue in self._waiting.items() if other <= priority
        )
        return (ahead + 1) * self.cost_ms / self.slots
