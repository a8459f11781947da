"""The clock that counts the time for which a host was suspended, too."""

import time


def now_s() -> float:
    """Return seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
