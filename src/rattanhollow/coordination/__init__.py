"""Coordination primitives that are usable without the proxy.

Log positions, the read index, the state of a database group, primary election,
leases, distributed rate limits, and the assignment of tasks to hosts.
"""

from rattanhollow.coordination._election import (
    ElectionFailure,
    GroupControl,
    MemberStatus,
    Step,
    elect,
    follow_all,
)
from rattanhollow.coordination._group import (
    GROUP_KIND,
    NO_GROUP,
    GroupState,
    Succession,
    Survival,
    group_state_from_spec,
    group_state_spec,
    survival_of,
)
from rattanhollow.coordination._lease import LEASE_KIND, Lease
from rattanhollow.coordination._position import ORIGIN, Position, parse_position
from rattanhollow.coordination._read_index import IndexReading, ReadIndex
from rattanhollow.coordination._rendezvous import ranked
from rattanhollow.coordination._shares import Holding, Share, ShareOwner
from rattanhollow.coordination._suspicion import Vote, agreed
from rattanhollow.coordination._token_pool import (
    DEPOSIT_LIFETIME_S,
    KEPT_FRACTION,
    SHARDS,
    TOKEN_LIFETIME_S,
    Depositor,
    Stamp,
    TokenBroker,
    TokenGrant,
    TokenWant,
    UnusedDeposit,
    kept_fraction,
    shard_of,
)
from rattanhollow.flow import TokenBucket

__all__ = [
    "DEPOSIT_LIFETIME_S",
    "GROUP_KIND",
    "KEPT_FRACTION",
    "SHARDS",
    "LEASE_KIND",
    "NO_GROUP",
    "ORIGIN",
    "Depositor",
    "ElectionFailure",
    "GroupControl",
    "GroupState",
    "Holding",
    "IndexReading",
    "Lease",
    "MemberStatus",
    "Position",
    "ReadIndex",
    "Share",
    "ShareOwner",
    "Stamp",
    "Step",
    "Succession",
    "Survival",
    "TOKEN_LIFETIME_S",
    "TokenBroker",
    "TokenBucket",
    "TokenGrant",
    "TokenWant",
    "UnusedDeposit",
    "Vote",
    "agreed",
    "elect",
    "follow_all",
    "group_state_from_spec",
    "group_state_spec",
    "kept_fraction",
    "parse_position",
    "ranked",
    "shard_of",
    "survival_of",
]
