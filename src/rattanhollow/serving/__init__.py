"""Serving backend servers: their connections, slots and queues."""

from rattanhollow.serving._end import (
    BackendEnd,
    BackendServer,
    Command,
    CommandKind,
    Connection,
    Lost,
    OpenFailure,
    Reply,
    ServerStatus,
)
from rattanhollow.serving._fair_queue import FairQueue
from rattanhollow.serving._served import Served, ServingParts
from rattanhollow.serving._serving import Serving
from rattanhollow.serving._work import (
    Done,
    Fate,
    Obstacle,
    ProofAnswer,
    ProofQuestion,
    Scope,
    Work,
    WorkKind,
    not_run,
    unknown,
)

__all__ = [
    "BackendEnd",
    "BackendServer",
    "Command",
    "CommandKind",
    "Connection",
    "Done",
    "FairQueue",
    "Fate",
    "Lost",
    "Obstacle",
    "OpenFailure",
    "ProofAnswer",
    "ProofQuestion",
    "Reply",
    "Scope",
    "Served",
    "ServerStatus",
    "Serving",
    "ServingParts",
    "Work",
    "WorkKind",
    "not_run",
    "unknown",
]
