"""Tokens, waiting operations and demand of one organisation on this host."""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.flow import TokenBucket

MAX_RETRY_AFTER_MS = 2_000
DEMAND_SMOOTHING = 0.4


class _TokenBatch(NamedTuple):
    remaining: int
    until_s: float


class Waiter:
    """An operation that waits for a token, at most until ``until_s``."""

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s
        self.decided = trio.Event()
        self.admitted = False

    def decide(self, admitted: bool) -> None:
        """End the wait."""
        self.admitted = admitted
        self.decided.set()


class OrganisationState:
    """Tokens, waiting operations and demand of one organisation on this host.

    ``bucket`` holds the tokens of this host's own share, ``income_per_s`` is how many
    tokens were used here lately. ``regions_tried`` is how many regions had too few
    tokens for the current waiters, ``min_wait_ms`` the shortest time until one of them
    has more, ``short_rounds`` how many rounds over all regions in a row ended so.
    ``wait_ms`` is the wait that the last of these rounds told, at ``told_at_s``.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.bucket = TokenBucket(clock)
        self.waiters: deque[Waiter] = deque()
        self.empty_until_s = -math.inf
        self.next_request_at_s = -math.inf
        self.wait_ms = 0
        self.told_at_s = -math.inf
        self.regions_tried = 0
        self.min_wait_ms = MAX_RETRY_AFTER_MS
        self.short_rounds = 0
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.taken = 0
        self.income_per_s = 0.0
        self._batches: deque[_TokenBatch] = deque()

    def take(self, now_s: float) -> bool:
        """Use a fetched token, or one of this host's own share."""
        while self._batches:
            first = self._batches.popleft()
            if first.until_s <= now_s:
                continue
            if first.remaining > 1:
                self._batches.appendleft(first._replace(remaining=first.remaining - 1))
            self.taken += 1
            return True
        return self.take_own()

    def take_own(self) -> bool:
        """Use a token of this host's own share."""
        taken = self.bucket.take()
        self.taken += taken
        return taken

    def add(self, count: int, until_s: float) -> None:
        """Store granted tokens."""
        if count:
            self._batches.append(_TokenBatch(count, until_s))

    def available_tokens(self, now_s: float) -> int:
        """Return the number of fetched tokens that have not expired."""
        return sum(item.remaining for item in self._batches if item.until_s > now_s)

    def admit_waiters(self, now_s: float) -> None:
        """Give the tokens there are to those who wait the longest."""
        while self.waiters and self.take(now_s):
            self.waiters.popleft().decide(admitted=True)

    def refuse_waiters(self) -> None:
        """End all waits without a token."""
        while self.waiters:
            self.waiters.popleft().decide(admitted=False)

    def refuse_hopeless(self, wait_s: Callable[[int], float], now_s: float) -> None:
        """End the waits that last too short for a token; ``wait_s(ahead)`` is due."""
        kept: deque[Waiter] = deque()
        for waiter in self.waiters:
            if now_s + wait_s(len(kept)) <= waiter.until_s:
                kept.append(waiter)
            else:
                waiter.decide(admitted=False)
        self.waiters = kept

    def update_demand(self, interval_s: float) -> None:
        """Count what arrived and was taken in the last interval."""
        taken_per_s = self.taken / max(interval_s, 1e-3)
        self.income_per_s += DEMAND_SMOOTHING * (taken_per_s - self.income_per_s)
        self.taken = 0
        arrivals_per_s = self.arrivals / max(interval_s, 1e-3)
        self.demand_per_s += DEMAND_SMOOTHING * (arrivals_per_s - self.demand_per_s)
        self.arrivals = 0
