"""Requests to the serving host of a backend server, and their results."""

import enum
from typing import NamedTuple

from rattanhollow.coordination import Position
from rattanhollow.statements import Reason


class WorkKind(enum.Enum):
    """The kind of a statement."""

    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Scope(enum.Enum):
    """The transaction in which work runs.

    ``ALONE``: none. ``PROVEN``: its own transaction, in which the server proves that
    it leads. ``BEGIN``, ``BEGIN_READ_ONLY``: the work opens the caller's transaction.
    ``WITHIN``: the caller's open transaction.
    """

    ALONE = "alone"
    PROVEN = "proven"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    WITHIN = "within"


class Work(NamedTuple):
    """One statement for one backend server.

    ``text`` is passed on unchanged; for a prepared statement it holds the arguments,
    and ``shape`` is the prepared text. ``values`` are all values of the session.
    ``transaction`` identifies the caller's transaction throughout the fleet. After
    ``budget_ms`` the caller no longer waits for the result. ``target_ms`` is the
    latency that the caller expects. ``movable`` work can run at another server
    instead.
    """

    server: str
    organisation: str
    request_id: str
    kind: WorkKind
    scope: Scope
    text: str = ""
    shape: str = ""
    shape_writes: bool = False
    values: tuple[tuple[str, str], ...] = ()
    floor: Position | None = None
    transaction: str = ""
    priority: int = 0
    budget_ms: int = 0
    target_ms: int = 0
    movable: bool = False


class WorkOutcome(enum.Enum):
    """How work ended.

    ``DONE``: the server ran it successfully. ``REFUSED``: the server refused it and
    gave a reason. ``NOT_RUN``: no byte of it reached the server. ``UNKNOWN``: it may
    have run; a transaction that was not being committed is rolled back.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Blocker(enum.Enum):
    """Why work was not run, or why its outcome is unknown.

    ``NOT_SERVED``: this host cannot reach the server or knows none of that
    identifier. ``OVERLOADED``: the queue is too long. ``NO_TRANSACTION``: the
    transaction is no longer open at this host. ``SWITCHING``: the primary is being
    replaced. ``FAILING``: the server fails much of its work, and another server can
    run it. ``LOST``: the exchange with the server was interrupted. ``HOST_LOST``: the
    serving host cannot be reached.
    """

    NONE = "none"
    NOT_SERVED = "not served"
    OVERLOADED = "overloaded"
    NO_TRANSACTION = "no transaction"
    SWITCHING = "switching"
    FAILING = "failing"
    LOST = "lost"
    HOST_LOST = "host lost"


class WorkResult(NamedTuple):
    """The result of a `Work`.

    ``position`` is the end of the server's log after the work, ``led`` whether the
    server proved that it led when it ran the work, ``open`` whether the caller's
    transaction is still open. ``wait_ms`` is the estimated wait of new work, and
    ``retry_after_ms`` the delay after which refused work may be sent again.
    """

    outcome: WorkOutcome
    rows: tuple[str, ...] = ()
    proof: str = ""
    reason: Reason | None = None
    detail: str = ""
    blocker: Blocker = Blocker.NONE
    position: Position | None = None
    led: bool = False
    open: bool = False
    wait_ms: int = 0
    retry_after_ms: int = 0


def not_run(blocker: Blocker, detail: str, retry_after_ms: int = 0) -> WorkResult:
    """Return the result of work of which no byte reached the server."""
    return WorkResult(
        WorkOutcome.NOT_RUN,
        blocker=blocker,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def unknown(blocker: Blocker, detail: str) -> WorkResult:
    """Return the result of work that may have run."""
    return WorkResult(WorkOutcome.UNKNOWN, blocker=blocker, detail=detail)


class ProofQuestion(NamedTuple):
    """Requests a log position that the server proves as the primary."""

    server: str


class ProofAnswer(NamedTuple):
    """The response to a `ProofQuestion`.

    ``position`` was proven after the request was made, None if it was not proven.
    ``denied`` is set where the server stated that it does not lead.
    """

    position: Position | None
    detail: str = ""
    denied: bool = False
