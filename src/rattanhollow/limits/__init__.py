"""What a process holds for its callers: bytes and connections, within limits."""

from rattanhollow.limits._bytes import Account, ByteBudget, ByteLimits, Purpose
from rattanhollow.limits._connections import ConnectionLimit
from rattanhollow.limits._derive import CallerLimits, derive_limits, text_bytes

__all__ = [
    "Account",
    "ByteBudget",
    "ByteLimits",
    "CallerLimits",
    "ConnectionLimit",
    "Purpose",
    "derive_limits",
    "text_bytes",
]
