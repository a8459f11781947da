"""Room in a queue that is kept for work which was refused and told when to return.

Does no I/O and reads no clock: callers pass the times.
"""

from bisect import bisect_right
from typing import NamedTuple

# Callers return up to a round trip between regions after the time, or a little before
# it, as their timers may fire early.
LATE_RETURN_S = 0.25
EARLY_RETURN_S = 0.02


class _Return(NamedTuple):
    due_s: float
    request_id: str


def _due_s(expected: _Return) -> float:
    return expected.due_s


class KeptRoom:
    """The returns that are expected.

    A return is recognised by its request identifier. As callers may number retries
    anew, other work of the same organisation takes the place of a return that is due.
    """

    def __init__(self) -> None:
        # In order of time, by priority and organisation.
        self._expected: dict[tuple[int, str], list[_Return]] = {}

    def keep(
        self, priority: int, organisation: str, request_id: str, due_s: float
    ) -> None:
        """Expect the return of refused work at ``due_s``, the last of its kind."""
        expected = self._expected.setdefault((priority, organisation), [])
        expected.append(_Return(due_s, request_id))

    def claim(
        self, priority: int, organisation: str, request_id: str, now_s: float
    ) -> bool:
        """Whether work is an expected return that is due; it is expected no longer."""
        key = (priority, organisation)
        self._forget_missed(key, now_s)
        expected = self._expected.get(key, [])
        due = bisect_right(expected, now_s + EARLY_RETURN_S, key=_due_s)
        if not due:
            return False
        ids = [each.request_id for each in expected[:due]]
        del expected[ids.index(request_id) if request_id in ids else 0]
        if not expected:
            del self._expected[key]
        return True

    def count_ahead(
        self,
        priority: int,
        organisation: str,
        turns: float,
        now_s: float,
        until_s: float,
    ) -> float:
        """Return how many returns due by ``until_s`` go before other work.

        The work is the organisation's ``turns``-th; another organisation has as many
        turns before it, if that has the same priority.
        """
        ahead = 0.0
        for key in list(self._expected):
            level, name = key
            if level > priority:
                continue
            self._forget_missed(key, now_s)
            expected = self._expected.get(key, [])
            count = bisect_right(expected, until_s, key=_due_s)
            shares_turns = level == priority and name != organisation
            ahead += min(count, turns) if shares_turns else count
        return ahead

    def _forget_missed(self, key: tuple[int, str], now_s: float) -> None:
        expected = self._expected.get(key, [])
        missed = bisect_right(expected, now_s - LATE_RETURN_S, key=_due_s)
        del expected[:missed]
        if not expected:
            self._expected.pop(key, None)
