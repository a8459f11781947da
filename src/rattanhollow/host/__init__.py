"""A host of the fleet: wiring, start and stop."""

from rattanhollow.host._ends import Ends
from rattanhollow.host._platform import platform_ends
from rattanhollow.host._root import Host, build_host
from rattanhollow.host._run import run_host

__all__ = ["Ends", "Host", "build_host", "platform_ends", "run_host"]
