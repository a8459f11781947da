"""Serves backend servers: manages their connections, slots and queues."""

from rattanhollow.serving._backend_protocol import (
    BackendAdapter,
    BackendServer,
    Command,
    CommandKind,
    Connection,
    ExchangeFailure,
    OpenFailure,
    Reply,
    ServerStatus,
)
from rattanhollow.serving._cold_limit import NO_COLD_BOUND, ColdBound, ColdLimit
from rattanhollow.serving._connector import ServingParts
from rattanhollow.serving._fair_queue import FairQueue
from rattanhollow.serving._leader_use import (
    LEADER_USE_VALID_S,
    LeaderUse,
    always_allowed,
)
from rattanhollow.serving._presence import (
    CURRENT_CALLER,
    CallerPresence,
    WithdrawalNews,
)
from rattanhollow.serving._scarce_slot_waits import work_of_left_caller
from rattanhollow.serving._served_backend import ServedBackend
from rattanhollow.serving._serving import Serving
from rattanhollow.serving._work import (
    Blocker,
    ProofAnswer,
    ProofQuestion,
    Scope,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    not_run,
    unknown,
)

__all__ = [
    "CURRENT_CALLER",
    "LEADER_USE_VALID_S",
    "NO_COLD_BOUND",
    "BackendAdapter",
    "BackendServer",
    "Blocker",
    "CallerPresence",
    "ColdBound",
    "ColdLimit",
    "Command",
    "CommandKind",
    "Connection",
    "ExchangeFailure",
    "FairQueue",
    "LeaderUse",
    "OpenFailure",
    "ProofAnswer",
    "ProofQuestion",
    "Reply",
    "Scope",
    "ServedBackend",
    "ServerStatus",
    "Serving",
    "ServingParts",
    "WithdrawalNews",
    "Work",
    "WorkKind",
    "WorkOutcome",
    "WorkResult",
    "always_allowed",
    "not_run",
    "unknown",
    "work_of_left_caller",
]
