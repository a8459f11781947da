"""A database proxy with session consistency, and the parts it coordinates with.

The coordination parts can be used without the proxy; see ``docs/library.md``.
"""

from rattanhollow import (
    _process_start,  # noqa: F401  (before anything that takes long)
    _trio_import,  # noqa: F401  (before any other import of trio)
)
from rattanhollow.coordination import (
    GroupControl,
    GroupState,
    Lease,
    Position,
    ReadIndex,
    ShareOwner,
    TokenBucket,
    Vote,
    agreed,
    elect,
    ranked,
    survival_of,
)
from rattanhollow.store import Follower, ObjectStore, follow, update
from rattanhollow.verdict import Refusal, Verdict

__all__ = [
    "Follower",
    "GroupControl",
    "GroupState",
    "Lease",
    "ObjectStore",
    "Position",
    "ReadIndex",
    "Refusal",
    "ShareOwner",
    "TokenBucket",
    "Verdict",
    "Vote",
    "agreed",
    "elect",
    "follow",
    "ranked",
    "survival_of",
    "update",
]
