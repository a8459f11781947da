"""What callers ask and are answered, whichever protocol they speak."""

from rattanhollow.statements._answer import Answer, Completed, Refused, SessionState
from rattanhollow.statements._reason import NOTHING_KEPT, Reason
from rattanhollow.statements._statement import (
    Begin,
    Commit,
    Execute,
    Forget,
    Prepare,
    Read,
    Request,
    Rollback,
    SetValue,
    Statement,
    Write,
)

__all__ = [
    "NOTHING_KEPT",
    "Answer",
    "Begin",
    "Commit",
    "Completed",
    "Execute",
    "Forget",
    "Prepare",
    "Read",
    "Reason",
    "Refused",
    "Request",
    "Rollback",
    "SessionState",
    "SetValue",
    "Statement",
    "Write",
]
