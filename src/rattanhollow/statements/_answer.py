"""What a session answers."""

import enum
from typing import NamedTuple

from rattanhollow.statements._reason import Reason


class SessionState(enum.Enum):
    """Whether a transaction is open, and whether it can still succeed."""

    IDLE = "no transaction"
    OPEN = "in a transaction"
    FAILED = "in a transaction that can only be rolled back"


class Completed(NamedTuple):
    """A success; ``proof`` is the backend server's, empty where none was asked."""

    rows: tuple[str, ...] = ()
    proof: str = ""


class Refused(NamedTuple):
    """A refusal; ``retry_after_ms`` is when a new attempt makes sense, 0 if unknown.

    ``ends`` where the session can't go on.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    ends: bool = False


Answer = Completed | Refused
