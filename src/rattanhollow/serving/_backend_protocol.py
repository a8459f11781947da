"""What serving needs of a backend server's protocol."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from result import Result

from rattanhollow.coordination import Position
from rattanhollow.statements import Reason, SessionState


class BackendServer(NamedTuple):
    """One backend server, as it describes itself in the store.

    ``leads`` is its own opinion. ``born_ms`` differs each time it starts, also
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
    version: int = 0


class ServerStatus(NamedTuple):
    """What a backend server says of its own log.

    ``term`` is the newest it knows, ``received`` how far its log reaches,
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
    """What a command makes a backend server do."""

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
    """One command; ``text`` and ``name`` mean what its kind needs.

    ``request_id`` is the caller's, empty for a command of the proxy's own.
    ``floor`` makes the server refuse where its log lacks that position.
    """

    kind: CommandKind
    text: str = ""
    name: str = ""
    request_id: str = ""
    floor: Position | None = None
    term: int = 0


class Reply(NamedTuple):
    """A whole answer of a backend server.

    ``reason`` is None for a success. ``position`` is the end of its log.
    """

    rows: tuple[str, ...]
    proof: str
    reason: Reason | None
    detail: str
    state: SessionState
    position: Position | None


class ExchangeFailure(NamedTuple):
    """An exchange that didn't end; ``sent`` whether any byte may have left."""

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

    Used by one task at a time. After a `ExchangeFailure` it must be closed.
    """

    async def run(self, command: Command) -> Result[Reply, ExchangeFailure]:
        """Run one command."""

    async def run_all(
        self, commands: list[Command]
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands that need not wait for one another's replies."""

    @property
    def quiet(self) -> bool:
        """Whether it is open, with nothing to read."""

    def abort(self) -> None:
        """Close at once; a task that waits gets `ExchangeFailure`."""


Open = Callable[[BackendServer, str], Awaitable[Result[Connection, OpenFailure]]]


class BackendAdapter(NamedTuple):
    """How backend servers are reached.

    ``open(server, organisation)``; the caller bounds its time.
    ``status(reply)`` reads the answer to a STATUS command.
    """

    open: Open
    status: Callable[[Reply], ServerStatus | None]
