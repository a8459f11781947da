"""One connection to a backend server."""

import itertools
import select
import time
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.configuration import Member
from rattanhollow.net import CALLER_KEEPALIVE, tune_socket
from rattanhollow.pgwire import (
    ConnectionLost,
    Frame,
    ProtocolViolation,
    Watchdog,
    Wire,
    error_fields,
    parameter,
    password,
    query,
    startup,
)
from rattanhollow.pgwire.kinds import AUTHENTICATION, ERROR, KEY_DATA, PARAMETER, READY

FRAME_LIMIT_BYTES = 1 << 30


_serials = itertools.count(1)


class Credentials(NamedTuple):
    """How the proxy logs in at backend servers, and from which address."""

    user: str
    password: str
    connect_timeout_ms: int
    local_address: str | None = None


class Answer(NamedTuple):
    """The frames up to ReadyForQuery of a command of the proxy's own."""

    frames: list[Frame]

    @property
    def error(self) -> Frame | None:
        """The first ErrorResponse."""
        return next((item for item in self.frames if item.kind == ERROR), None)


class BackendConnection:
    """A logged-in connection; used by one task at a time.

    ``settings`` are the session settings in force on it, ``statements`` the
    names of the statements prepared on it. ``usable`` is False once its state
    is in doubt: it is closed then, never handed on.
    """

    def __init__(
        self, wire: Wire, descriptor: int, member: Member, database: str
    ) -> None:
        self.wire = wire
        self._descriptor = descriptor
        self.member = member
        self.database = database
        self.serial = next(_serials)
        self.process_id = 0
        self.secret = 0
        self.parameters: dict[str, str] = {}
        self.settings: tuple[str, ...] = ()
        self.statements: set[bytes] = set()
        self.usable = True
        self.idle_since_s = time.monotonic()

    @property
    def quiet(self) -> bool:
        """Whether an idle connection is as it should be: open, with nothing to read.

        A server that ended it has sent an end, or an error, by then.
        """
        if self.wire.closed or self.wire.has_frames:
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return not poll.poll(0)

    async def command(self, sql: str, timeout_ms: int) -> Result[Answer, str]:
        """Run a command of the proxy's own and return its whole answer.

        After an ``Err`` the connection is not usable any more.
        """
        self.usable = False
        self.wire.expire_in(timeout_ms)
        try:
            await self.wire.send(query(sql))
            answer = Answer(await self.read_until_ready())
        except (ConnectionLost, ProtocolViolation) as error:
            return Err(f"{self.member.name}: {error}")
        self.wire.expire_never()
        self.usable = True
        return Ok(answer)

    async def read_until_ready(self) -> list[Frame]:
        """Return all frames up to and with the next ReadyForQuery.

        Raises:
            ConnectionLost: the connection ended before.
            ProtocolViolation: the bytes are no frames.

        """
        collected: list[Frame] = []
        while True:
            for frame in await self.wire.read_frames():
                collected.append(frame)
            if collected[-1].kind == READY:
                return collected

    async def close(self) -> None:
        """Close at once."""
        self.usable = False
        await self.wire.aclose()


async def open_connection(
    member: Member, database: str, credentials: Credentials, watchdog: Watchdog
) -> Result[BackendConnection, str]:
    """Connect and log in, within the connect timeout of ``credentials``.

    ``watchdog`` keeps the connection's deadlines from then on.
    """
    try:
        with trio.fail_after(credentials.connect_timeout_ms / 1000):
            stream = await trio.open_tcp_stream(
                member.address, member.port, local_address=credentials.local_address
            )
            try:
                opened = await _log_in(stream, member, database, credentials)
            except BaseException:
                await trio.aclose_forcefully(stream)
                raise
            if opened.is_ok():
                watchdog.add(opened.unwrap().wire)
            return opened
    except trio.TooSlowError:
        return Err(f"{member.name}: no connection in time")
    except (OSError, ConnectionLost, ProtocolViolation) as error:
        return Err(f"{member.name}: {type(error).__name__} {error}")


async def _log_in(
    stream: trio.SocketStream,
    member: Member,
    database: str,
    credentials: Credentials,
) -> Result[BackendConnection, str]:
    tune_socket(stream, CALLER_KEEPALIVE)
    wire = Wire(stream, FRAME_LIMIT_BYTES)
    descriptor = stream.socket.fileno()
    connection = BackendConnection(wire, descriptor, member, database)
    await wire.send(startup({"user": credentials.user, "database": database}))
    while True:
        frame = await wire.read_frame()
        if frame.kind == AUTHENTICATION:
            if int.from_bytes(frame.payload[:4]) != 0:
                await wire.send(password(credentials.password))
        elif frame.kind == KEY_DATA:
            connection.process_id = int.from_bytes(frame.payload[:4])
            connection.secret = int.from_bytes(frame.payload[4:8])
        elif frame.kind == PARAMETER:
            name, value = parameter(frame)
            connection.parameters[name] = value
        elif frame.kind == ERROR:
            fields = error_fields(frame)
            await wire.aclose()
            return Err(f"{member.name}: {fields.sqlstate} {fields.message}")
        elif frame.kind == READY:
            return Ok(connection)
