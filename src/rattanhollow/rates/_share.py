"""The share of every rate that this host has, and what nobody has used of it yet."""

import math
from collections.abc import Callable

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import kept_fraction
from rattanhollow.flow import TokenBucket
from rattanhollow.membership import HostDirectory, HostRecord


class HostShare:
    """An equal share of each rate for every listed host.

    ``settle_s`` is the time after its registration until all other hosts count a new
    host, ``process_started_at_s`` when this host's process began.
    """

    def __init__(
        self,
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        clock: Callable[[], float],
        process_started_at_s: float,
        settle_s: float,
    ) -> None:
        # Since when nobody has used what this host keeps of its share.
        self.unused_since_s = math.inf
        self._own = own
        self._hosts = hosts
        self._clock = clock
        self._process_started_at_s = process_started_at_s
        self._settle_s = settle_s
        self._counted_from_s = math.inf

    def registered(self, anew: bool) -> None:
        """Record that the store has this host's record, so others will count it.

        Unless the record is new (``anew``), they already count a previous start, which
        used nothing since this process began.
        """
        if self._counted_from_s < math.inf:
            return
        self._counted_from_s = self._clock()
        self.unused_since_s = self._process_started_at_s
        if anew:
            self._counted_from_s += self._settle_s
            self.unused_since_s = self._counted_from_s

    def unregistered(self) -> None:
        """Record that the store lost this host's record: others divide its share."""
        self._counted_from_s = math.inf
        self.unused_since_s = math.inf

    @property
    def is_counted(self) -> bool:
        """Whether the other hosts count this one."""
        return self._clock() >= self._counted_from_s

    @property
    def fraction(self) -> float:
        """The share of each rate.

        Zero until the other hosts can know of this host: until then their shares
        are computed without it, and the sum would exceed the rate.
        """
        if not self.is_counted:
            return 0.0
        listed = self._hosts.find(self._own().name) is not None
        return 1.0 / (self._hosts.count + (0 if listed else 1))

    def credit_unused(
        self, bucket: TokenBucket, limits: Organisation, used_until_s: float
    ) -> None:
        """Fill a new bucket with what nobody used so far of the kept share.

        An earlier bucket of the organisation was used until ``used_until_s``.
        """
        unused_s = self._clock() - max(self.unused_since_s, used_until_s)
        if unused_s > 0:
            kept = self.fraction * kept_fraction(limits.burst, self.fraction)
            bucket.add(limits.rate_per_s * kept * unused_s)
