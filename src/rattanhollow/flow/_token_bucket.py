"""A token bucket whose rate and burst may change while it runs."""

import time
from collections.abc import Callable

MAX_WAIT_S = 60.0


class TokenBucket:
    """Holds up to ``burst`` tokens, refilled at ``rate_per_s``; starts empty.

    Resizing never adds tokens, so several buckets together never exceed the sum
    of their rates and bursts.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._rate_per_s = 0.0
        self._burst = 0.0
        self._tokens = 0.0
        self._refilled_at_s = clock()

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def set_initial_tokens(self, tokens: float) -> None:
        """Set the initial number of tokens, which the caller accounts for."""
        self._tokens = tokens

    def add(self, tokens: float) -> None:
        """Add tokens, up to the burst; the caller accounts for them."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self) -> bool:
        """Take one token if available and return whether one was taken."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def time_to_next_token_s(self, count: int = 1) -> float:
        """Return the time until the next ``count`` tokens at the current rate."""
        self._refill()
        missing = max(0.0, count - self._tokens)
        if not missing:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s > 0 else MAX_WAIT_S

    def _refill(self) -> None:
        now_s = self._clock()
        added = (now_s - self._refilled_at_s) * self._rate_per_s
        self._refilled_at_s = now_s
        self._tokens = min(self._burst, self._tokens + added)
