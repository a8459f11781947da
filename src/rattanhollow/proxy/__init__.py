"""The proxy process: callers on one side, backend servers on the other."""

from rattanhollow.proxy._guards import ALL_GUARDS, Guards
from rattanhollow.proxy._root import Proxy, build_proxy

__all__ = ["ALL_GUARDS", "Guards", "Proxy", "build_proxy"]
