"""When refused work is to be sent again.

Does no I/O and reads no clock: callers pass the times.
"""

from typing import NamedTuple

# Callers keep no request for longer.
MAX_RETURN_S = 10.0
# Successive multiples of it, modulo 1, are spread evenly however many there are.
_GOLDEN_RATIO = 0.618033988749895
# Groups remembered before those whose last return is past are forgotten.
_GROUPS_KEPT = 256


class Return(NamedTuple):
    """When work is to be sent again; ``booked`` where the time is its own."""

    due_s: float
    booked: bool


class ReturnSchedule:
    """Spreads the returns of refused work, in the order of the refusals.

    Each group (an organisation) has a row of times of its own, so that a group that is
    refused often does not delay the others.
    """

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}
        self._overflows = 0

    def active_groups(self, now_s: float) -> int:
        """Return how many groups have returns ahead."""
        return sum(next_s > now_s for next_s in self._next_s.values())

    def book(
        self, group: str, now_s: float, earliest_s: float, spacing_s: float
    ) -> Return:
        """Return the next time for ``group``, ``spacing_s`` after its previous one.

        Where it would be later than `MAX_RETURN_S`, the returns are spread over the
        second half of that time instead.
        """
        due_s = max(earliest_s, self._next_s.get(group, now_s))
        if due_s - now_s > MAX_RETURN_S:
            self._overflows += 1
            fraction = 0.5 + 0.5 * (self._overflows * _GOLDEN_RATIO % 1.0)
            return Return(now_s + MAX_RETURN_S * fraction, booked=False)
        if len(self._next_s) >= _GROUPS_KEPT:
            self._next_s = {g: s for g, s in self._next_s.items() if s > now_s}
        self._next_s[group] = due_s + spacing_s
        return Return(due_s, booked=True)
