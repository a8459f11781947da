"""A randomized soak: real host processes, faults from outside, promises checked."""

from rattanhollow_standins.soak._run import SoakReport, soak

__all__ = ["SoakReport", "soak"]
