"""Whether a backend server fails most of what it is given.

Answers quickly and says that it is well, but fails: only the outcomes show it.
No network and no clock: times come with the calls.
"""

from collections import deque

# What is older says little: such faults come and go within seconds.
WINDOW_S = 2.0
# A part of failures that single bad statements don't reach, out of so many.
FAILING_PART = 0.3
LEAST_OUTCOMES = 5
# How often a failing server is given work that could go elsewhere.
PROBE_INTERVAL_S = 0.25


class Health:
    """The outcomes of the last work at one server."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._probed_at_s = float("-inf")

    def note(self, failed: bool, now_s: float) -> None:
        """Note how a piece of work ended that the server ran."""
        self._outcomes.append((now_s, failed))
        self._failures += failed
        self._forget(now_s)

    def is_failing(self, now_s: float) -> bool:
        """Whether the server fails a good part of its work."""
        self._forget(now_s)
        count = len(self._outcomes)
        return count >= LEAST_OUTCOMES and self._failures >= FAILING_PART * count

    def turns_away(self, now_s: float) -> bool:
        """Whether work that another server can do should go there.

        Now and then it is let through, to find out whether the server is well.
        """
        if not self.is_failing(now_s):
            return False
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return True
        self._probed_at_s = now_s
        return False

    def failing_part(self, now_s: float) -> float:
        """Return the part of the last work that failed, 0 where too little is known."""
        self._forget(now_s)
        count = len(self._outcomes)
        return self._failures / count if count >= LEAST_OUTCOMES else 0.0

    def _forget(self, now_s: float) -> None:
        while self._outcomes and now_s - self._outcomes[0][0] > WINDOW_S:
            self._failures -= self._outcomes.popleft()[1]
