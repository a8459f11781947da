"""Dividing a rate and burst among hosts by what they need.

An owner grants shares. A share counts until its time is up, or until its
holder confirmed a later one: so the shares that hosts may be using never add
up to more than the whole, whatever messages are lost.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

LEAST_WEIGHT = 0.05


class Share(NamedTuple):
    """A part of a rate and burst; ``number`` rises with each grant to a host."""

    number: int
    rate_per_s: float
    burst: float


class Holding(NamedTuple):
    """A share as its holder reports it, and how long it is still valid there."""

    share: Share
    valid_ms: int


class _Granted(NamedTuple):
    share: Share
    until_s: float


NOTHING = Share(0, 0.0, 0.0)


class ShareOwner:
    """Grants the shares of one rate and burst.

    A new owner does not know what an earlier one granted. Until
    ``confirming_until_s``, monotonic, it only confirms what holders report,
    which the earlier owner kept within the whole; that is ``valid_s`` after
    the earlier owner stopped, or no time where there was none.
    """

    def __init__(
        self,
        valid_s: float,
        confirming_until_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._valid_s = valid_s
        self._clock = clock
        self._confirming_until_s = confirming_until_s
        self._granted: dict[str, list[_Granted]] = {}
        self._demand_per_s: dict[str, float] = {}
        self._number = 0

    def grant(
        self,
        host: str,
        demand_per_s: float,
        holding: Holding | None,
        rate_per_s: float,
        burst: float,
    ) -> Share:
        """Return the next share of ``host``, out of ``rate_per_s`` and ``burst``."""
        now_s = self._clock()
        self._forget_expired(now_s)
        self._confirm(host, holding)
        self._demand_per_s[host] = demand_per_s
        if now_s < self._confirming_until_s:
            wanted = holding.share if holding and holding.valid_ms > 0 else NOTHING
        else:
            wanted = self._wanted(host, rate_per_s, burst)
        self._number += 1
        share = wanted._replace(number=self._number)
        granted = _Granted(share, now_s + self._valid_s)
        self._granted.setdefault(host, []).append(granted)
        return share

    def _wanted(self, host: str, rate_per_s: float, burst: float) -> Share:
        least = LEAST_WEIGHT * rate_per_s
        weights = {name: max(d, least) for name, d in self._demand_per_s.items()}
        part = weights[host] / sum(weights.values())
        others = [self._most(name) for name in self._granted if name != host]
        free_rate = rate_per_s - sum(share.rate_per_s for share in others)
        free_burst = burst - sum(share.burst for share in others)
        return Share(
            0,
            max(0.0, min(part * rate_per_s, free_rate)),
            max(0.0, min(part * burst, free_burst)),
        )

    def _most(self, host: str) -> Share:
        """Return the most that a host may be using now."""
        shares = [item.share for item in self._granted[host]]
        return Share(
            0,
            max((share.rate_per_s for share in shares), default=0.0),
            max((share.burst for share in shares), default=0.0),
        )

    def _confirm(self, host: str, holding: Holding | None) -> None:
        """Forget what ``host`` has replaced by the share that it reports."""
        if holding is None:
            return
        number = holding.share.number
        granted = self._granted.get(host, [])
        if any(item.share == holding.share for item in granted):
            self._granted[host] = [g for g in granted if g.share.number >= number]

    def _forget_expired(self, now_s: float) -> None:
        for host, granted in list(self._granted.items()):
            valid = [item for item in granted if item.until_s > now_s]
            if valid:
                self._granted[host] = valid
            else:
                del self._granted[host]
                self._demand_per_s.pop(host, None)
