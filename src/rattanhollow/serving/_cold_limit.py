"""Limits what a backend server gets while it is cold, shortly after its start.

The limit holds for all hosts together, although each host counts only what it sends
itself: the server's first serving host uses half of it, any other a quarter, so that it
holds while a second and a third host serve the server in place of the first. Does no
I/O; clocks are passed in.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.serving._backend_protocol import BackendServer

WINDOW_S = 1.0
FIRST_HOST_FRACTION = 0.5
OTHER_HOST_FRACTION = 0.25
# After the cold period the limit doubles in each of these intervals, until it ends:
# callers would notice a step in a server's load.
RAMP_DOUBLING_S = 0.5
RAMP_S = 2.0


class ColdBound(NamedTuple):
    """The operators' bound for the cold servers of a service.

    In any window of a second a server gets at most ``per_s`` * ``excess_ratio`` +
    ``slack`` requests; there is no bound where ``per_s`` is 0. A server is cold for at
    least ``cold_s`` after its start.
    """

    per_s: float
    cold_s: float = 0.0
    excess_ratio: float = 1.0
    slack: int = 0

    @property
    def per_window(self) -> float:
        """The requests that all hosts together may send within a window."""
        return self.per_s * self.excess_ratio + self.slack


NO_COLD_BOUND = ColdBound(0.0)


class ColdLimit:
    """The limit of one server, and what this host sent to it within the last second.

    ``clock()`` is monotonic, ``unix_clock()`` the time of day, both in seconds.
    """

    def __init__(
        self, clock: Callable[[], float], unix_clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._unix_clock = unix_clock
        # Another host, or an earlier process of this one, may have used the limit
        # within the last second.
        self._not_before_s = clock() + WINDOW_S
        self._sent_at_s: deque[float] = deque()
        self._described: BackendServer | None = None
        self._bound = NO_COLD_BOUND
        self._described_at_s = 0.0
        self._first_since_s: float | None = None
        self._cold_until_s = float("-inf")

    def update(self, server: BackendServer, bound: ColdBound, is_first: bool) -> None:
        """Use a newer description of the server, and the bound in force.

        ``is_first`` is whether this host is the server's first serving host.
        """
        now_s = self._clock()
        if not is_first:
            self._first_since_s = None
        elif self._first_since_s is None:
            self._first_since_s = now_s
        if server == self._described and bound == self._bound:
            return
        self._bound = bound
        if server != self._described:
            self._described, self._described_at_s = server, now_s
        since_start_s = self._unix_clock() - server.born_ms / 1000
        described_s = now_s - self._described_at_s
        left_s = max(
            server.cold_ms / 1000 - described_s, bound.cold_s - since_start_s, 0.0
        )
        if left_s > 0:
            self._cold_until_s = now_s + left_s
        else:
            # The server is warm; the ramp begins now, unless it began before.
            self._cold_until_s = min(self._cold_until_s, now_s)

    @property
    def applies(self) -> bool:
        """Whether the server is cold, or was until a moment ago."""
        ramp_ends_at_s = self._cold_until_s + RAMP_S
        return self._bound.per_s > 0 and self._clock() < ramp_ends_at_s

    def wait_s(self, ahead: int = 0) -> float:
        """Return how long a request has to wait, 0 if it may be sent now.

        ``ahead`` is how many others wait that are sent before it.
        """
        if not self.applies:
            return 0.0
        now_s = self._clock()
        while self._sent_at_s and now_s - self._sent_at_s[0] >= WINDOW_S:
            self._sent_at_s.popleft()
        allowed = self._allowed_per_window(now_s)
        if allowed < 1:
            return max(0.0, self._cold_until_s - now_s)
        times_s = list(self._sent_at_s)[-allowed:]
        for _ in range(ahead + 1):
            next_s = max(now_s, self._not_before_s)
            if len(times_s) >= allowed:
                next_s = max(next_s, times_s[-allowed] + WINDOW_S)
            times_s.append(next_s)
        return times_s[-1] - now_s

    def record_sent(self, commands: int = 1) -> None:
        """Record that requests are sent now."""
        if self.applies:
            self._sent_at_s.extend([self._clock()] * commands)

    def _allowed_per_window(self, now_s: float) -> int:
        warm_s = max(0.0, now_s - self._cold_until_s)
        growth = 2.0 ** (warm_s / RAMP_DOUBLING_S)
        return int(self._bound.per_window * self._fraction(now_s) * growth)

    def _fraction(self, now_s: float) -> float:
        """Return the part of the bound that is this host's.

        A host that was first before may have used the first host's part in the last
        second.
        """
        since_s = self._first_since_s
        if since_s is None or now_s - since_s < WINDOW_S:
            return OTHER_HOST_FRACTION
        return FIRST_HOST_FRACTION
