"""The platform's object store: interface, HTTP adapter, update, followed copies."""

from typing import Any

from rattanhollow.store._api import (
    Event,
    EventType,
    Listing,
    ObjectStore,
    Stored,
    StoreFailure,
    Trouble,
)
from rattanhollow.store._follow import Changes, Follower, follow
from rattanhollow.store._json import Unreadable, decode_json, fault_of
from rattanhollow.store._update import update

__all__ = [
    "Changes",
    "Event",
    "EventType",
    "Follower",
    "Listing",
    "ObjectStore",
    "Stored",
    "StoreFailure",
    "Trouble",
    "Unreadable",
    "decode_json",
    "fault_of",
    "follow",
    "http_store",
    "update",
]


def __getattr__(name: str) -> Any:
    """Import the HTTP adapter when it is first used: its client is large."""
    if name != "http_store":
        raise AttributeError(name)
    from rattanhollow.store._http import http_store

    return http_store
