"""The interface to a backend server's protocol that serving relies on."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from result import Result

from rattanhollow.coordination import Position
from rattanhollow.statements import Reason, SessionState
from rattanhollow.store import NO_REVISION, Revision


class BackendServer(NamedTuple):
    """One backend server, as it describes itself in the store.

    ``leads`` is the server's own claim. ``born_ms`` changes with each start, even
    under the same ``id``. ``cold_ms`` is how long it stays slow after a start.
    ``version`` is the store's version of the description.
    """

    id: str
    service: str
    address: str
    port: int
    zone: str
    slots: int
    draining: bool
    leads: bool
    cold_ms: int
    born_ms: int
    version: Revision = NO_REVISION


class ServerStatus(NamedTuple):
    """A backend server's report on its own log.

    ``term`` is the newest term that it knows, ``received`` the end of its log, and
    ``held_term`` the term at which it stopped receiving, 0 if it did not.
    """

    leads: bool
    term: int
    received: Position
    held_term: int
    lag_ms: int
    busy: int
    connections: int


class CommandKind(enum.Enum):
    """The kinds of commands to a backend server."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    SET = "set"
    PREPARE_READ = "prepare read"
    PREPARE_WRITE = "prepare write"
    FORGET_SESSION = "forget session"
    STATUS = "status"
    SUSPEND_RECEIVING = "hold"
    RESUME_RECEIVING = "let go"
    STEP_DOWN = "step down"


class Command(NamedTuple):
    """One command; the meaning of ``text`` and ``name`` depends on its kind.

    ``request_id`` is the caller's, or empty for a command of the proxy itself. With a
    ``floor``, the server refuses the command if its log lacks that position.
    """

    kind: CommandKind
    text: str = ""
    name: str = ""
    request_id: str = ""
    floor: Position | None = None
    term: int = 0


class Reply(NamedTuple):
    """A complete reply of a backend server.

    ``reason`` is None on success. ``position`` is the end of its log.
    """

    rows: tuple[str, ...]
    proof: str
    reason: Reason | None
    detail: str
    state: SessionState
    position: Position | None


class ExchangeFailure(NamedTuple):
    """An exchange that was not completed.

    ``sent`` is whether any byte may have been sent.
    """

    reason: str
    sent: bool = True


class OpenFailure(enum.Enum):
    """Why a connection could not be opened."""

    UNREACHABLE = "no answer"
    WRONG_SERVER = "another server answers there"
    TOO_MANY = "it has no room for another connection"
    BUSY = "it is busy"


class Connection(Protocol):
    """A connection to one backend server, for one organisation.

    Used by one task at a time. After an `ExchangeFailure` it must be closed.
    """

    async def run(self, command: Command) -> Result[Reply, ExchangeFailure]:
        """Run one command."""

    async def run_all(
        self, commands: list[Command]
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands without waiting for each reply before sending the next."""

    @property
    def quiet(self) -> bool:
        """Whether the connection is open and has no unread data."""

    def abort(self) -> None:
        """Close at once; a waiting task receives an `ExchangeFailure`."""


OpenConnection = Callable[
    [BackendServer, str], Awaitable[Result[Connection, OpenFailure]]
]


class BackendAdapter(NamedTuple):
    """Opens connections to backend servers and parses their status.

    ``open(server, organisation)`` has no timeout of its own; callers set one.
    ``status(reply)`` parses the reply to a STATUS command, None if it is malformed.
    """

    open: OpenConnection
    status: Callable[[Reply], ServerStatus | None]
