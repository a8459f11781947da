"""What a host asks of the host that serves a backend server, and the answer."""

import enum
from typing import NamedTuple

from rattanhollow.coordination import Position
from rattanhollow.statements import Reason


class WorkKind(enum.Enum):
    """What is to be run."""

    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Scope(enum.Enum):
    """The transaction that a piece of work runs in.

    ``ALONE``: none. ``PROVEN``: one of its own, in which the server proves that
    it leads. ``BEGIN``, ``BEGIN_READ_ONLY``: it opens the caller's transaction.
    ``WITHIN``: the caller's transaction is open.
    """

    ALONE = "alone"
    PROVEN = "proven"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    WITHIN = "within"


class Work(NamedTuple):
    """One statement for one backend server.

    ``text`` is handed on unchanged; of a prepared statement it is the arguments
    and ``shape`` what was prepared. ``values`` are the session's, all of them.
    ``transaction`` identifies the caller's transaction over the fleet. After
    ``budget_ms`` nobody waits for the answer any more. ``target_ms`` is the
    latency that the caller expects. ``movable`` work can be done by another
    server.
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
    """What became of a piece of work.

    ``DONE``: the server succeeded. ``REFUSED``: the server refused it, for a
    reason. ``NOT_RUN``: no byte of it reached the server. ``UNKNOWN``: it may
    have run; a transaction that was not being committed is rolled back.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Blocker(enum.Enum):
    """Why work was not run, or its fate is unknown.

    ``FAILING``: the server fails most of its work, and another one can do it.
    ``NOT_SERVED``: this host can't reach the server or knows none of that
    identifier. ``OVERLOADED``: the queue is too long. ``NO_TRANSACTION``: the
    transaction is not open here any more. ``SWITCHING``: the primary is being
    replaced. ``LOST``: the exchange with the
    server broke off. ``HOST_LOST``: the serving host can't be reached.
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
    """The answer to a `Work`.

    ``position`` is the end of the server's log behind the work, ``led`` whether
    the server proved that it led when it ran. ``open`` whether the caller's
    transaction is still open. ``wait_ms`` is how long new work would wait now,
    ``retry_after_ms`` when a refused one may come back.
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
    """Return the answer to work of which no byte reached the server."""
    return WorkResult(
        WorkOutcome.NOT_RUN,
        blocker=blocker,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def unknown(blocker: Blocker, detail: str) -> WorkResult:
    """Return the answer to work that may have run."""
    return WorkResult(WorkOutcome.UNKNOWN, blocker=blocker, detail=detail)


class ProofQuestion(NamedTuple):
    """Asks for a log position that a primary has proven."""

    server: str


class ProofAnswer(NamedTuple):
    """``position`` was proven behind the question; None: no proof.

    ``denied`` where the server said that it doesn't lead.
    """

    position: Position | None
    detail: str = ""
    denied: bool = False
