"""What a process holds for its callers: bytes and connections, within limits."""

from rattanhollow.limits._bytes import Account, ByteBudget, ByteLimits, Purpose
from rattanhollow.limits._connections import ConnectionLimit
from rattanhollow.limits._derive import (
    ENTRY_BYTES,
    CallerLimits,
    KeptEntries,
    derive_limits,
    text_bytes,
)

__all__ = [
    "ENTRY_BYTES",
    "Account",
    "ByteBudget",
    "ByteLimits",
    "CallerLimits",
    "ConnectionLimit",
    "KeptEntries",
    "Purpose",
    "derive_limits",
    "text_bytes",
]
