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
from rattanhollow.store._difference import (
    LARGE_OBJECT_BYTES,
    Step,
    Unfit,
    apply_steps,
    compress,
    decompress,
    digest_bytes,
    encode_content,
    make_step,
)
from rattanhollow.store._era import (
    ERA_HEADER,
    EraMonitor,
    check_condition,
    check_events,
)
from rattanhollow.store._follow import Changes, Follower, follow
from rattanhollow.store._json import Unreadable, decode_json, fault_of
from rattanhollow.store._revision import (
    NO_REVISION,
    Revision,
    revision_from_wire,
    revision_to_wire,
)
from rattanhollow.store._tokens import is_token_of, next_token
from rattanhollow.store._update import update

__all__ = [
    "ERA_HEADER",
    "LARGE_OBJECT_BYTES",
    "NO_REVISION",
    "Changes",
    "EraMonitor",
    "Event",
    "EventType",
    "Follower",
    "Listing",
    "ObjectStore",
    "Revision",
    "Step",
    "Stored",
    "StoreFailure",
    "Trouble",
    "Unfit",
    "Unreadable",
    "apply_steps",
    "check_condition",
    "check_events",
    "compress",
    "decode_json",
    "decompress",
    "digest_bytes",
    "encode_content",
    "fault_of",
    "follow",
    "http_store",
    "is_token_of",
    "make_step",
    "next_token",
    "revision_from_wire",
    "revision_to_wire",
    "update",
]


def __getattr__(name: str) -> Any:
    """Import the HTTP adapter when it is first used: its client is large."""
    if name != "http_store":
        raise AttributeError(name)
    from rattanhollow.store._http import http_store

    return http_store
