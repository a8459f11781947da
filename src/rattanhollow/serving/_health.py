"""Detects backend servers that respond but fail much of their work.

Such a server responds quickly and passes health checks, so only the outcomes of its
work reveal the fault. Does no I/O and reads no clock: callers pass the times.
"""

from collections import deque

# Older outcomes are disregarded: such faults appear and disappear within seconds.
WINDOW_S = 2.0
# The failure ratio from which a server counts as failing, and the number of outcomes
# required for it: a few bad statements alone do not reach it.
FAILING_RATIO = 0.3
MIN_OUTCOMES = 5
# How often a failing server still receives work that another server could do.
PROBE_INTERVAL_S = 0.25


class Health:
    """The recent outcomes of work at one server."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._last_probe_at_s = float("-inf")

    def record_outcome(self, failed: bool, now_s: float) -> None:
        """Record whether a unit of work that the server ran failed."""
        self._outcomes.append((now_s, failed))
        self._failures += failed
        self._drop_old_outcomes(now_s)

    def is_failing(self, now_s: float) -> bool:
        """Whether `FAILING_RATIO` of at least `MIN_OUTCOMES` recent outcomes failed."""
        self._drop_old_outcomes(now_s)
        count = len(self._outcomes)
        return count >= MIN_OUTCOMES and self._failures >= FAILING_RATIO * count

    def should_divert(self, now_s: float) -> bool:
        """Whether work that another server can do should go to that server.

        Once per `PROBE_INTERVAL_S` the work is admitted, as a probe for recovery.
        """
        if not self.is_failing(now_s):
            return False
        if now_s - self._last_probe_at_s < PROBE_INTERVAL_S:
            return True
        self._last_probe_at_s = now_s
        return False

    def _drop_old_outcomes(self, now_s: float) -> None:
        while self._outcomes and now_s - self._outcomes[0][0] > WINDOW_S:
            self._failures -= self._outcomes.popleft()[1]
