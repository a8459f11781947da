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
    "Fate",
    "Lost",
    "Obstacle",
    "OpenFailure",
    "ProofAnswer",
    "ProofQuestion",
    "Reply",
    "Scope",
    "ServerStatus",
    "Work",
    "WorkKind",
    "not_run",
    "unknown",
]
