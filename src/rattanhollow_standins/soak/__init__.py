"""A randomized soak: real host processes, faults from outside, promises checked."""

from rattanhollow_standins.soak._faults import (
    AROUND_PROMOTIONS,
    RESTORES,
    SINGLE,
    FaultMix,
)
from rattanhollow_standins.soak._run import SoakReport, soak

__all__ = ["AROUND_PROMOTIONS", "RESTORES", "SINGLE", "FaultMix", "SoakReport", "soak"]
