"""Whether reads leave their zone or region, and which share of them.

For each service, the host compares the time that a read takes within reach (its zone,
then its region) with the time beyond, which includes the configured cost of the
crossing. While leaving pays, it sends out a share of its reads, and regulates that
share until both are equal. Hosts of one zone measure the same queues, so that their
shares agree without messages. Does no I/O; the clock is passed in.
"""

from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.observe import log_event
from rattanhollow.routing._home_regions import HomeRegions

# Several results for each step even at a host with ten reads a second of a service.
STEP_S = 0.1
# The time beyond is measured by few reads, and averaged over about this time.
SMOOTHING_S = 0.3
# An excess of `EXCESS_MS` sends out all that may leave at once, as the queue of a zone
# with twice its load grows by that much in 0.1 s; a smaller one sends the same part of
# it. The integral part removes what remains. With a tenth of the first, a zone with
# twice its load refused reads for two seconds in simulations.
EXCESS_MS = 100.0
INTEGRAL_PER_S = 0.3
# Measurements of equal queues differ by about this part of them. Without it, a zone
# beside others that were full, too, sent out 0.21 of its reads in simulations, with it
# 0.15.
NOISE_RATIO = 0.1
# Load comes back at least at this rate once the zone could take it.
RETURN_PER_S = 0.1
# Some reads stay, to measure the zone, however long its queues are.
LARGEST_SHARE = 0.95
# While leaving may pay again soon, few reads go on measuring the other side.
SMALLEST_SHARE = 0.01
# An overflow ends once leaving has not paid for this time.
END_AFTER_S = 3.0
# Without measurements of the zone, the share halves in this time. With 1 s, hosts with
# few reads forgot a share that had to stay.
UNKNOWN_HALF_S = 3.0
# An overflow is reported once its share, averaged over some seconds, reaches this;
# queues that last for a few statements are not worth a line.
REPORTED_SHARE = 0.1
REPORT_SMOOTHING_S = 3.0
# The time beyond is remembered this long, as few reads measure it.
BEYOND_VALID_S = 5.0


class CrossingCosts(NamedTuple):
    """The wait that a read must save to leave its zone or its region.

    The feature is off where both are 0.
    """

    zone_ms: int = 0
    region_ms: int = 0

    @property
    def are_set(self) -> bool:
        """Whether the deployment asks for the feature."""
        return self.zone_ms > 0 or self.region_ms > 0

    def of_distance(self, distance: int) -> int:
        """Return the cost of a distance as told by `ZoneTopology`."""
        return (0, self.zone_ms, max(self.zone_ms, self.region_ms))[distance]


class BoundaryKey(NamedTuple):
    """What reads of a service leave.

    ``leaves`` is "zone", "region", or "elsewhere" for the replicas of other regions,
    after which there is the primary only.
    """

    service: str
    leaves: str
    homes: HomeRegions | None = None


class OtherSide(NamedTuple):
    """The time of a read beyond a boundary, None if unknown, and the crossing cost."""

    time_ms: float | None
    crossing_ms: float

    def total_ms(self, idle_ms: float) -> float:
        """Return both together; an unknown other side counts as idle."""
        return self.crossing_ms + (idle_ms if self.time_ms is None else self.time_ms)


class _Boundary:
    """The state of one boundary that reads of a service may cross."""

    def __init__(self, now_s: float) -> None:
        self.is_open = False
        self.is_reported = False
        self.share = 0.0
        self.mean_share = 0.0
        self.updated_at_s = now_s
        self.beyond_ms = 0.0
        self.beyond_at_s = float("-inf")
        self.difference = 0.0
        self.paid_at_s = now_s
        self.opened_at_s = now_s
        self.kept = 0
        self.sent = 0


class ZoneOverflow:
    """The shares of reads that leave, for each boundary."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._boundaries: dict[BoundaryKey, _Boundary] = {}

    def share(self, key: BoundaryKey) -> float:
        """Return the share of reads that are to cross a boundary."""
        boundary = self._boundaries.get(key)
        return boundary.share if boundary is not None else 0.0

    def record_choice(self, key: BoundaryKey, crosses: bool) -> None:
        """Count a read that crosses, or stays, while there is an overflow."""
        boundary = self._boundaries.get(key)
        if boundary is None or not boundary.is_open:
            return
        if crosses:
            boundary.sent += 1
        else:
            boundary.kept += 1

    def is_due(self, key: BoundaryKey) -> bool:
        """Whether `update` has not been called for the time of a step."""
        boundary = self._boundaries.get(key)
        return boundary is None or self._clock() - boundary.updated_at_s >= STEP_S

    def update(
        self,
        key: BoundaryKey,
        here_ms: float | None,
        beyond: OtherSide,
        idle_ms: float,
    ) -> None:
        """Take measurements of both sides, ``here_ms`` None if unknown.

        ``idle_ms`` is the time of a read without a wait, which is assumed of an
        unknown other side: the first reads sent there measure it.
        """
        now_s = self._clock()
        boundary = self._boundaries.get(key)
        if boundary is None:
            boundary = self._boundaries[key] = _Boundary(now_s)
        idle_s = now_s - boundary.updated_at_s
        elapsed_s = min(1.0, idle_s)
        boundary.updated_at_s = now_s
        if beyond.time_ms is not None:
            is_known = now_s - boundary.beyond_at_s < BEYOND_VALID_S
            weight = min(1.0, elapsed_s / SMOOTHING_S) if is_known else 1.0
            boundary.beyond_ms += weight * (beyond.time_ms - boundary.beyond_ms)
            boundary.beyond_at_s = now_s
        elif now_s - boundary.beyond_at_s >= BEYOND_VALID_S:
            boundary.beyond_ms = idle_ms
        crossing_ms = beyond.crossing_ms
        if here_ms is None:
            self._shrink(key, boundary, idle_s)
            return
        noise_ms = NOISE_RATIO * boundary.beyond_ms
        excess_ms = here_ms - boundary.beyond_ms - noise_ms - crossing_ms
        if excess_ms > 0:
            boundary.paid_at_s = now_s
            _open(boundary)
        if not boundary.is_open:
            return
        _regulate(boundary, excess_ms, crossing_ms, elapsed_s)
        self._report(key, boundary, here_ms, crossing_ms)
        if now_s - boundary.paid_at_s >= END_AFTER_S:
            if boundary.share <= SMALLEST_SHARE:
                self._close(key, boundary, "no gain")

    def _report(
        self, key: BoundaryKey, boundary: _Boundary, here_ms: float, crossing_ms: float
    ) -> None:
        """Log that an overflow has begun, once it is worth that."""
        if boundary.is_reported or boundary.mean_share < REPORTED_SHARE:
            return
        boundary.is_reported = True
        log_event(
            "overflow.begin",
            service=key.service,
            leaves=key.leaves,
            share=round(boundary.share, 2),
            here_ms=int(here_ms),
            beyond_ms=int(boundary.beyond_ms),
            crossing_ms=int(crossing_ms),
        )

    def _shrink(self, key: BoundaryKey, boundary: _Boundary, elapsed_s: float) -> None:
        if not boundary.is_open:
            return
        boundary.share *= 0.5 ** (elapsed_s / UNKNOWN_HALF_S)
        if boundary.share <= SMALLEST_SHARE:
            self._close(key, boundary, "unknown")

    def _close(self, key: BoundaryKey, boundary: _Boundary, reason: str) -> None:
        boundary.is_open = False
        boundary.share = 0.0
        if not boundary.is_reported:
            return
        boundary.is_reported = False
        log_event(
            "overflow.end",
            service=key.service,
            leaves=key.leaves,
            reason=reason,
            lasted_s=round(boundary.updated_at_s - boundary.opened_at_s, 1),
            sent=boundary.sent,
            kept=boundary.kept,
        )


def _open(boundary: _Boundary) -> None:
    if boundary.is_open:
        return
    boundary.is_open = True
    boundary.opened_at_s = boundary.updated_at_s
    boundary.difference = boundary.mean_share = 0.0
    boundary.kept = boundary.sent = 0


def _regulate(
    boundary: _Boundary, excess_ms: float, crossing_ms: float, elapsed_s: float
) -> None:
    """Set the share: larger while leaving pays, smaller while it does not."""
    difference = min(1.0, max(-1.0, excess_ms / EXCESS_MS))
    step = INTEGRAL_PER_S * difference * elapsed_s
    if excess_ms < -crossing_ms / 2:
        step = min(step, -RETURN_PER_S * elapsed_s)
    share = boundary.share + difference - boundary.difference + step
    boundary.difference = difference
    boundary.share = min(LARGEST_SHARE, max(SMALLEST_SHARE, share))
    weight = min(1.0, elapsed_s / REPORT_SMOOTHING_S)
    boundary.mean_share += weight * (boundary.share - boundary.mean_share)
