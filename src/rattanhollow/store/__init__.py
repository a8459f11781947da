"""The platform's object store: its interface, its HTTP adapter, its watch."""

from rattanhollow.store._api import (
    Event,
    EventType,
    Listing,
    ObjectStore,
    Stored,
    StoreFailure,
    Trouble,
)
from rattanhollow.store._follow import Follower, follow
from rattanhollow.store._http import http_store
from rattanhollow.store._update import update

__all__ = [
    "Event",
    "EventType",
    "Follower",
    "Listing",
    "ObjectStore",
    "StoreFailure",
    "Stored",
    "Trouble",
    "follow",
    "http_store",
    "update",
]
