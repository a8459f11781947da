"""The slots of one backend server, and who waits for them.

No network and no clock: times come with the calls.
"""

from typing import Generic, TypeVar

from rattanhollow.serving._fair_queue import FairQueue

T = TypeVar("T")

# Of the statements measured so far; a new server is taken for an average one.
FIRST_COST_MS = 25.0
COST_SMOOTHING = 0.05
LOWEST_PRIORITY = 1_000_000


class SlotQueue(Generic[T]):
    """At most ``slots`` pieces of work at a time.

    Those that wait go by priority, then by organisation in turn, then in order.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.cost_ms = FIRST_COST_MS
        self._measured = 1
        self._waiting: dict[int, FairQueue[T]] = {}

    @property
    def waiting(self) -> int:
        """How much work waits."""
        return sum(len(queue) for queue in self._waiting.values())

    def take(self) -> bool:
        """Take a slot that is free and that nobody waits for."""
        if self.busy >= self.slots or self.waiting:
            return False
        self.busy += 1
        return True

    def wait(self, item: T, organisation: str, priority: int) -> None:
        """Add work that waits for a slot."""
        self._waiting.setdefault(priority, FairQueue()).add(organisation, item)

    def give_up(self, item: T, organisation: str, priority: int) -> None:
        """Take out work that no longer waits."""
        self._waiting[priority].remove(organisation, item)

    def release(self, cost_ms: float | None = None) -> None:
        """Free a slot; ``cost_ms`` is how long the server worked, if it did."""
        self.busy -= 1
        if cost_ms is not None:
            self._measured += 1
            weight = max(COST_SMOOTHING, 1 / self._measured)
            self.cost_ms += weight * (cost_ms - self.cost_ms)

    def next(self) -> T | None:
        """Take a free slot for the work whose turn it is, and return that."""
        if self.busy >= self.slots:
            return None
        for priority in sorted(self._waiting):
            if self._waiting[priority]:
                self.busy += 1
                return self._waiting[priority].pop()
        return None

    def drain(self) -> list[T]:
        """Take out all work that waits."""
        waiting = []
        for queue in self._waiting.values():
            while queue:
                waiting.append(queue.pop())
        return waiting

    def wait_ms(self, priority: int) -> float:
        """Return how long new work of ``priority`` would wait, as far as is known."""
        if self.busy < self.slots:
            return 0.0
        ahead = sum(
            len(queue) for other, queue in self._waiting.items() if other <= priority
        )
        return (ahead + 1) * self.cost_ms / self.slots
