"""A token bucket whose rate and burst may change while it runs."""

import time
from collections.abc import Callable

LONGEST_WAIT_S = 60.0


class TokenBucket:
    """Holds up to ``burst`` tokens, refilled at ``rate_per_s``; begins empty.

    A change of rate and burst never adds tokens, so that the sum over several
    buckets keeps to the sum of their rates and bursts.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._rate_per_s = 0.0
        self._burst = 0.0
        self._level = 0.0
        self._filled_at_s = clock()

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        self._fill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def start_with(self, tokens: float) -> None:
        """Begin with some tokens, which the bucket's user accounts for."""
        self._level = tokens

    def add(self, tokens: float) -> None:
        """Add tokens, up to the burst; the bucket's user accounts for them."""
        self._fill()
        self._level = min(self._burst, self._level + tokens)

    def take(self) -> bool:
        """Take one token, if there is one."""
        self._fill()
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_for_token_s(self) -> float:
        """Return when the next token is there, at the present rate."""
        self._fill()
        missing = max(0.0, 1 - self._level)
        if not missing:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s > 0 else LONGEST_WAIT_S

    def _fill(self) -> None:
        now_s = self._clock()
        added = (now_s - self._filled_at_s) * self._rate_per_s
        self._filled_at_s = now_s
        self._level = min(self._burst, self._level + added)
