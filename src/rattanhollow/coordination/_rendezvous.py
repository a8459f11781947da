"""Rendezvous hashing: the same ranking of hosts everywhere, without talking."""

import hashlib
from collections.abc import Iterable


def ranked(work: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order in which they should do ``work``."""
    return sorted(hosts, key=lambda host: _weight(work, host), reverse=True)


def _weight(work: str, host: str) -> bytes:
    return hashlib.blake2b(f"{work}\0{host}".encode(), digest_size=8).digest()
