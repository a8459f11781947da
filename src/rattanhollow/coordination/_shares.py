"""Divides a rate and burst among hosts in proportion to their demand.

An owner grants shares. A share counts as in use until it expires, or until its
holder has confirmed a later one. The shares in use therefore never add up to more
than the whole rate and burst, even if messages are lost.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

# The lowest demand that a host is counted with, as a fraction of the rate.
MIN_DEMAND_FRACTION = 0.05


class Share(NamedTuple):
    """A share of a rate and burst; ``number`` increases with each grant."""

    number: int
    rate_per_s: float
    burst: float


class Holding(NamedTuple):
    """A share as its holder reports it, with its remaining validity there."""

    share: Share
    valid_ms: int


class _Granted(NamedTuple):
    share: Share
    expires_at_s: float


EMPTY_SHARE = Share(0, 0.0, 0.0)


class ShareOwner:
    """Grants the shares of one rate and burst.

    A new owner does not know what the previous one granted. Until
    ``confirming_until_s``, monotonic, it only confirms the shares that holders
    report, which the previous owner kept within the whole. This lasts for
    ``valid_s`` after the previous owner stopped; without a previous owner there is
    no such period.
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
        """Grant ``host`` its next share of ``rate_per_s`` and ``burst``."""
        now_s = self._clock()
        self._remove_expired(now_s)
        self._remove_replaced(host, holding)
        self._demand_per_s[host] = demand_per_s
        if now_s < self._confirming_until_s:
            amount = holding.share if holding and holding.valid_ms > 0 else EMPTY_SHARE
        else:
            amount = self._compute_share(host, rate_per_s, burst)
        self._number += 1
        share = amount._replace(number=self._number)
        granted = _Granted(share, now_s + self._valid_s)
        self._granted.setdefault(host, []).append(granted)
        return share

    def _compute_share(self, host: str, rate_per_s: float, burst: float) -> Share:
        min_weight = MIN_DEMAND_FRACTION * rate_per_s
        weights = {
            name: max(demand, min_weight) for name, demand in self._demand_per_s.items()
        }
        fraction = weights[host] / sum(weights.values())
        others = [self._max_in_use(name) for name in self._granted if name != host]
        free_rate = rate_per_s - sum(share.rate_per_s for share in others)
        free_burst = burst - sum(share.burst for share in others)
        return Share(
            0,
            max(0.0, min(fraction * rate_per_s, free_rate)),
            max(0.0, min(fraction * burst, free_burst)),
        )

    def _max_in_use(self, host: str) -> Share:
        """Return the highest rate and burst that a host may be using now."""
        shares = [item.share for item in self._granted[host]]
        return Share(
            0,
            max((share.rate_per_s for share in shares), default=0.0),
            max((share.burst for share in shares), default=0.0),
        )

    def _remove_replaced(self, host: str, holding: Holding | None) -> None:
        """Remove the shares that ``host`` replaced by the one that it reports."""
        if holding is None:
            return
        number = holding.share.number
        granted = self._granted.get(host, [])
        if any(item.share == holding.share for item in granted):
            self._granted[host] = [
                entry for entry in granted if entry.share.number >= number
            ]

    def _remove_expired(self, now_s: float) -> None:
        for host, granted in list(self._granted.items()):
            valid = [item for item in granted if item.expires_at_s > now_s]
            if valid:
                self._granted[host] = valid
            else:
                del self._granted[host]
                self._demand_per_s.pop(host, None)
