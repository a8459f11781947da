"""The queue for the slots of one backend server where slots are scarce.

Decides who is next, and who can't be served in time. Does no I/O and reads no clock:
callers pass the times.
"""

from bisect import bisect_right, insort
from collections import OrderedDict
from collections.abc import Iterator
from itertools import accumulate
from typing import Generic, NamedTuple, TypeVar

from rattanhollow.flow import ReturnSchedule
from rattanhollow.serving._kept_room import KeptRoom
from rattanhollow.serving._slots import SlotQueue

T = TypeVar("T")

# One of so many grants goes to a lower priority while a higher one has work, one of so
# many turns of an organisation to work that misses its target while other work can
# still meet its own: neither waits forever, and most slots go where they help most.
LOWER_PRIORITY_EVERY = 8
MISSED_TARGET_EVERY = 8
# Weight of the newest grant or turn in the shares measured of them.
SHARE_SMOOTHING = 1 / 16
# Of the slots that become free, returns of refused work are given times for at most
# this fraction, so that new work finds room as well.
RETURN_RATIO = 0.5
# Callers that return sooner compete for the same slot.
MIN_RETRY_AFTER_S = 0.05
# Work that waits is refused only if it would miss its deadline even with this fraction
# of its estimated wait, as the time per statement varies.
REVIEW_RATIO = 0.8
# Work is begun only with twice the mean time per statement left, up to this much more
# than the mean: a write that its deadline cuts off has an unknown outcome.
MAX_RUN_MARGIN_S = 0.1

ON_ARRIVAL = "the queue for slots can't run it before its deadline"
WHILE_WAITING = "the queue for slots can no longer run it before its deadline"


class Waiting(NamedTuple, Generic[T]):
    """Work that waits.

    It is to be done by ``deadline_s``, and its caller hopes for ``target_s``.
    ``returns`` where a refusal reaches the caller, who may send it again, but not
    before ``retry_at_least_s``.
    """

    item: T
    organisation: str
    priority: int
    request_id: str
    queued_at_s: float
    target_s: float
    deadline_s: float
    returns: bool = True
    retry_at_least_s: float = 0.0


class Refusal(NamedTuple):
    """Why work is refused, and after which time it may be sent again."""

    detail: str
    retry_after_s: float


def _target_s(waiting: Waiting[T]) -> float:
    return waiting.target_s


def _deadline_s(waiting: Waiting[T]) -> float:
    return waiting.deadline_s


class _OrganisationQueue(Generic[T]):
    """What one organisation has waiting at one priority.

    ``prompt`` work can still meet its target, by target; ``late`` work can't, by
    deadline. ``late_ratio`` is the fraction of recent turns that late work got.
    """

    def __init__(self) -> None:
        self.prompt: list[Waiting[T]] = []
        self.late: list[Waiting[T]] = []
        self.late_ratio = 1.0
        self._passed_over = 0

    def __len__(self) -> int:
        return len(self.prompt) + len(self.late)

    def __iter__(self) -> Iterator[Waiting[T]]:
        return iter([*self.prompt, *self.late])

    def add(self, waiting: Waiting[T], late: bool) -> None:
        if late:
            insort(self.late, waiting, key=_deadline_s)
        else:
            insort(self.prompt, waiting, key=_target_s)

    def remove(self, waiting: Waiting[T]) -> None:
        (self.prompt if waiting in self.prompt else self.late).remove(waiting)

    def move_late(self, done_by_s: float) -> None:
        """Move work that can't be done by its target any longer."""
        missed = bisect_right(self.prompt, done_by_s, key=_target_s)
        for waiting in self.prompt[:missed]:
            insort(self.late, waiting, key=_deadline_s)
        del self.prompt[:missed]

    def pop(self) -> Waiting[T]:
        """Remove and return the work whose turn it is."""
        takes_late = not self.prompt or (
            bool(self.late) and self._passed_over >= MISSED_TARGET_EVERY - 1
        )
        if self.late:
            self.late_ratio += SHARE_SMOOTHING * (takes_late - self.late_ratio)
        if takes_late:
            self._passed_over = 0
            return self.late.pop(0)
        self._passed_over += bool(self.late)
        return self.prompt.pop(0)

    def prompt_turns(self, ahead: int) -> float:
        """Return the turns until prompt work behind ``ahead`` others has run."""
        return ahead + 1 + min(len(self.late), ahead // (MISSED_TARGET_EVERY - 1))

    def late_turns(self, ahead: int) -> float:
        """Return the turns until late work behind ``ahead`` others has run."""
        turns = max(len(self.prompt) + ahead + 1, (ahead + 1) / self.late_ratio)
        return min(turns, (ahead + 1) * MISSED_TARGET_EVERY)


class _Level(Generic[T]):
    """The work of one priority: each organisation has one turn in each round.

    ``ratio`` is the fraction of recent grants that it got while it had work.
    """

    def __init__(self) -> None:
        self.queues: OrderedDict[str, _OrganisationQueue[T]] = OrderedDict()
        self.ratio = 1.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, waiting: Waiting[T], late: bool) -> None:
        queue = self.queues.setdefault(waiting.organisation, _OrganisationQueue())
        queue.add(waiting, late)
        self._length += 1

    def pop(self, done_by_s: float) -> Waiting[T]:
        """Remove and return the work whose turn it is."""
        self._length -= 1
        organisation, queue = self.queues.popitem(last=False)
        queue.move_late(done_by_s)
        waiting = queue.pop()
        if queue:
            self.queues[organisation] = queue
        return waiting

    def remove(self, waiting: Waiting[T]) -> None:
        queue = self.queues[waiting.organisation]
        queue.remove(waiting)
        self._length -= 1
        if not queue:
            del self.queues[waiting.organisation]

    def grants_until(self, organisation: str, turns: float) -> float:
        """Return the level's grants until ``turns`` of an organisation are done."""
        return turns + sum(
            min(len(queue), turns)
            for name, queue in self.queues.items()
            if name != organisation
        )


class ScarceQueue(Generic[T]):
    """Admits at most ``slots`` units of work at a time, and refuses what can't be done.

    Order: by priority, then organisations in turn, then what can still meet its
    caller's target. Lower priorities and late work get a small share of the slots.
    """

    def __init__(self, slots: int) -> None:
        self._slots: SlotQueue[T] = SlotQueue(slots)
        self._levels: dict[int, _Level[T]] = {}
        self._schedule = ReturnSchedule()
        self._room = KeptRoom()
        self._since_lower = 0
        self._progress_at_s = float("-inf")

    @property
    def busy(self) -> int:
        """The number of slots in use."""
        return self._slots.busy

    @property
    def waiting(self) -> int:
        """The number of units of work that wait."""
        return sum(len(level) for level in self._levels.values())

    def try_acquire(self, now_s: float) -> bool:
        """Take a slot if one is free and no work waits for it."""
        if self.waiting or not self._slots.try_acquire():
            return False
        self._progress_at_s = now_s
        return True

    def release(self, cost_ms: float | None, now_s: float) -> None:
        """Free a slot; ``cost_ms`` is the server's time for the work, if it ran."""
        self._slots.release(cost_ms)
        self._progress_at_s = now_s

    def wait_ms(self) -> float:
        """Return the estimated wait of new work of the lowest priority."""
        if self._slots.busy < self._slots.slots:
            return 0.0
        return (self.waiting + 1) * self._slots.cost_ms / self._slots.slots

    def offer(self, waiting: Waiting[T], now_s: float) -> Refusal | None:
        """Queue work, or return why it can't be done in time."""
        level = self._levels.get(waiting.priority, _Level())
        queue = level.queues.get(waiting.organisation, _OrganisationQueue())
        claimed = self._room.claim(
            waiting.priority, waiting.organisation, waiting.request_id, now_s
        )
        for late in (False, True):
            begin_by_s = waiting.deadline_s - self._run_s
            by_s = waiting.deadline_s if late else waiting.target_s
            begin_by_s = min(begin_by_s, by_s - self._cost_s)
            if late:
                ahead = bisect_right(queue.late, by_s, key=_deadline_s)
                turns = queue.late_turns(ahead)
            else:
                ahead = bisect_right(queue.prompt, by_s, key=_target_s)
                turns = queue.prompt_turns(ahead)
            wait_s = self._wait_s(waiting, level, turns, now_s)
            if now_s + wait_s <= begin_by_s and not claimed:
                wait_s += self._wait_for_returns_s(waiting, turns, wait_s, now_s)
            if now_s + wait_s <= begin_by_s:
                self._add(waiting, late)
                return None
        return self._refuse(waiting, ON_ARRIVAL, wait_s, now_s)

    def review(self, now_s: float) -> list[tuple[Waiting[T], Refusal]]:
        """Remove and return the work that can no longer be done in time."""
        found = []
        for priority in sorted(self._levels):
            level = self._levels[priority]
            for queue in level.queues.values():
                queue.move_late(now_s + self._cost_s)
            lengths = sorted(len(queue) for queue in level.queues.values())
            sums = [0, *accumulate(lengths)]
            for queue in level.queues.values():
                turns = [queue.prompt_turns(n) for n in range(len(queue.prompt))]
                turns += [queue.late_turns(n) for n in range(len(queue.late))]
                for waiting, turn in zip(queue, turns, strict=True):
                    # The work that all organisations have within as many turns.
                    short = bisect_right(lengths, turn)
                    own = sums[short] + (len(lengths) - short) * turn
                    own += turn - min(turn, len(queue))
                    wait_s = self._grants(priority, level, own) * self._interval_s(
                        now_s
                    )
                    likely_s = now_s + REVIEW_RATIO * wait_s
                    if not self.has_time_for(waiting, likely_s):
                        found.append((waiting, wait_s))
        refused = []
        for waiting, wait_s in found:
            self.remove(waiting)
            refusal = self._refuse(waiting, WHILE_WAITING, wait_s, now_s)
            refused.append((waiting, refusal))
        return refused

    def acquire_next(self, now_s: float) -> Waiting[T] | None:
        """Take a free slot for the next waiting work and return that work."""
        if self._slots.busy >= self._slots.slots or not self._levels:
            return None
        priority = self._next_priority()
        for other, level in self._levels.items():
            level.ratio += SHARE_SMOOTHING * ((other == priority) - level.ratio)
        level = self._levels[priority]
        waiting = level.pop(now_s + self._cost_s)
        if not level.queues:
            del self._levels[priority]
        self._slots.busy += 1
        self._progress_at_s = now_s
        return waiting

    def remove(self, waiting: Waiting[T]) -> None:
        """Remove work that waits."""
        level = self._levels[waiting.priority]
        level.remove(waiting)
        if not level.queues:
            del self._levels[waiting.priority]

    def has_time_for(self, waiting: Waiting[T], now_s: float) -> bool:
        """Whether work that begins now can be done before its deadline."""
        return now_s + self._run_s <= waiting.deadline_s

    def refuse_granted(self, waiting: Waiting[T], now_s: float) -> Refusal:
        """Refuse work that got a slot with too little time left."""
        return self._refuse(waiting, WHILE_WAITING, 0.0, now_s)

    def drain(self) -> list[Waiting[T]]:
        """Remove and return all waiting work."""
        levels, self._levels = self._levels, {}
        return [
            waiting
            for level in levels.values()
            for queue in level.queues.values()
            for waiting in queue
        ]

    @property
    def _cost_s(self) -> float:
        return self._slots.cost_ms / 1000

    @property
    def _run_s(self) -> float:
        return self._cost_s + min(self._cost_s, MAX_RUN_MARGIN_S)

    def _interval_s(self, now_s: float) -> float:
        """Return the time between two grants; it grows while no slot becomes free."""
        silent_s = 0.0
        if self._slots.busy >= self._slots.slots:
            silent_s = now_s - self._progress_at_s
        return max(self._cost_s, silent_s) / self._slots.slots

    def _next_priority(self) -> int:
        """Return the priority whose turn it is: most often the highest one."""
        highest = min(self._levels)
        lower = [priority for priority in self._levels if priority != highest]
        if not lower:
            return highest
        self._since_lower += 1
        if self._since_lower < LOWER_PRIORITY_EVERY:
            return highest
        self._since_lower = 0
        return min(lower, key=lambda priority: (self._levels[priority].ratio, priority))

    def _add(self, waiting: Waiting[T], late: bool) -> None:
        self._levels.setdefault(waiting.priority, _Level()).add(waiting, late)

    def _wait_s(
        self, waiting: Waiting[T], level: _Level[T], turns: float, now_s: float
    ) -> float:
        own = level.grants_until(waiting.organisation, turns)
        return self._grants(waiting.priority, level, own) * self._interval_s(now_s)

    def _grants(self, priority: int, level: _Level[T], own: float) -> float:
        """Return all grants until a level has got ``own``.

        Higher priorities go first with what they have now, and with what they keep
        getting: that shows in the level's share of recent grants.
        """
        others = [other for other in self._levels if other != priority]
        higher = [other for other in others if other < priority]
        if not higher:
            extra = own / (LOWER_PRIORITY_EVERY - 1) if others else 0.0
            return own + extra
        ahead = sum(len(self._levels[other]) for other in higher)
        likely = max(ahead + own, own / level.ratio)
        return min(likely, own * LOWER_PRIORITY_EVERY * len(others))

    def _wait_for_returns_s(
        self, waiting: Waiting[T], turns: float, wait_s: float, now_s: float
    ) -> float:
        """Return the wait for refused work that is expected to return before."""
        interval_s = self._interval_s(now_s)
        expected = self._room.count_ahead(
            waiting.priority, waiting.organisation, turns, now_s, now_s + wait_s
        )
        return min(expected, wait_s / interval_s * RETURN_RATIO) * interval_s

    def _refuse(
        self, waiting: Waiting[T], detail: str, wait_s: float, now_s: float
    ) -> Refusal:
        """Return the refusal, with the time when the queue will have drained enough.

        The same work finds room once its wait and its run fit into its time.
        """
        allowed_s = waiting.deadline_s - waiting.queued_at_s
        excess_s = max(
            MIN_RETRY_AFTER_S,
            waiting.retry_at_least_s,
            wait_s + self._run_s - allowed_s,
        )
        if not waiting.returns:
            return Refusal(detail, excess_s)
        groups = max(1, self._schedule.active_groups(now_s))
        spacing_s = self._interval_s(now_s) / RETURN_RATIO * groups
        due_s, booked = self._schedule.book(
            waiting.organisation, now_s, now_s + excess_s, spacing_s
        )
        if booked:
            self._room.keep(
                waiting.priority, waiting.organisation, waiting.request_id, due_s
            )
        return Refusal(detail, due_s - now_s)
