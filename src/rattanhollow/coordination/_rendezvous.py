"""Rendezvous hashing: every host computes the same ranking without communication."""

import hashlib
from collections.abc import Iterable


def ranked(work: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order of preference for the task named ``work``."""
    return sorted(hosts, key=lambda host: _weight(work, host), reverse=True)


def _weight(work: str, host: str) -> bytes:
    return hashlib.blake2b(f"{work}\0{host}".encode(), digest_size=8).digest()
