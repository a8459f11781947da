"""What is known of a replica's lag from the positions that its log lacked.

Does no I/O and reads no clock: callers pass the times.
"""

from rattanhollow.coordination import Position

# How long a position that the log lacked is assumed to be missing still: replicas
# lag for seconds at a time, and each attempt occupies one of their slots.
LAG_RETRY_INTERVAL_S = 0.1


class Lag:
    """The last position that the server's log lacked, and since when it lacks all."""

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._missing: tuple[Position, float] | None = None

    def record_missing(self, floor: Position | None, now_s: float) -> None:
        """Record that the log lacked the position that a read required."""
        if floor is not None:
            self._missing = (floor, now_s)
        if self._since_s is None:
            self._since_s = now_s

    def record_present(self) -> None:
        """Record that the log had the position that a read required."""
        self._since_s = None

    def lacked_recently(self, floor: Position, now_s: float) -> bool:
        """Whether the log just lacked this position or an earlier one."""
        if self._missing is None:
            return False
        missing, at_s = self._missing
        return floor >= missing and now_s - at_s < LAG_RETRY_INTERVAL_S

    def lagging_s(self, now_s: float) -> float:
        """Return for how long the log has lacked every required position."""
        return now_s - self._since_s if self._since_s is not None else 0.0
