"""The limits for callers, from what the process may use."""

import resource
import sys
from collections import UserDict
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from rattanhollow.limits._bytes import ByteLimits

K = TypeVar("K")
V = TypeVar("V")
KB, MB = 1024, 1_000_000
# An entry of a dictionary, with its share of empty ones and its objects.
ENTRY_BYTES = 200
# The process itself, what sessions need besides, and the copies that one line of full
# size has while it is read and sent.
BASE_BYTES = 64 * MB
# What is freed isn't returned at once: twice the held bytes become resident.
RESIDENT_PER_HELD = 2
# Where no memory is given, nothing is known to be scarce.
UNKNOWN_MEMORY_HELD_BYTES = 1 << 30
ORGANISATION_SHARE = 0.75
CONNECTION_SHARE = 0.5
# A quarter of the descriptors is kept for other hosts and backend servers; at least
# what the process itself (32), the readiness and metrics addresses (32) and a small
# fleet's servers and links (48) need.
RESERVED_SHARE = 4
RESERVED_AT_LEAST = 112
DESCRIPTORS_AT_MOST = 1_000_000


class CallerLimits(NamedTuple):
    """All limits, as settings give them or derived: 0 stands for derived."""

    memory_mb: int = 0
    descriptors: int = 0
    held_kb: int = 0
    organisation_kb: int = 0
    connection_kb: int = 0
    callers: int = 0
    http_connections: int = 16
    pause_ms: int = 2_000

    @property
    def byte_limits(self) -> ByteLimits:
        """The limits on held bytes."""
        return ByteLimits(
            self.held_kb * KB,
            self.organisation_kb * KB,
            self.connection_kb * KB,
            self.pause_ms / 1000,
        )


def derive_limits(given: CallerLimits, base_bytes: int = BASE_BYTES) -> CallerLimits:
    """Return limits with each one that isn't given derived from the others.

    ``base_bytes`` is kept for the process itself.
    """
    held_kb = given.held_kb or _held_bytes(given.memory_mb, base_bytes) // KB
    descriptors = given.descriptors or _descriptors_allowed()
    reserved = max(RESERVED_AT_LEAST, descriptors // RESERVED_SHARE)
    return given._replace(
        held_kb=held_kb,
        organisation_kb=given.organisation_kb or int(ORGANISATION_SHARE * held_kb),
        connection_kb=given.connection_kb or int(CONNECTION_SHARE * held_kb),
        descriptors=descriptors,
        callers=given.callers or max(1, descriptors - reserved),
    )


class KeptEntries(UserDict[K, V]):
    """A dictionary that knows the memory of its entries, by ``size(key, value)``."""

    def __init__(self, size: Callable[[K, V], int]) -> None:
        self.kept_bytes = 0
        self._size = size
        super().__init__()

    def __setitem__(self, key: K, value: V) -> None:
        if key in self.data:
            del self[key]
        super().__setitem__(key, value)
        self.kept_bytes += ENTRY_BYTES + self._size(key, value)

    def __delitem__(self, key: K) -> None:
        value = self.data[key]
        super().__delitem__(key)
        self.kept_bytes -= ENTRY_BYTES + self._size(key, value)


def text_bytes(*texts: str) -> int:
    """Return the memory that texts take: up to four bytes a character."""
    return sum(sys.getsizeof(text) for text in texts)


def _held_bytes(memory_mb: int, base_bytes: int) -> int:
    if not memory_mb:
        return UNKNOWN_MEMORY_HELD_BYTES
    return (memory_mb * MB - base_bytes) // RESIDENT_PER_HELD


def _descriptors_allowed() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return DESCRIPTORS_AT_MOST
    return min(soft, DESCRIPTORS_AT_MOST)
