"""The backend server's end of the line protocol."""

import select

import trio
from result import Err, Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.net import Keepalive, connect_from
from rattanhollow.platform import _words as words
from rattanhollow.platform._lines import LineReader, LineTooLong, is_whole, line
from rattanhollow.serving import (
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
from rattanhollow.statements import Reason, SessionState

RECEIVE_BYTES = 65_536
# A backend server answers within its statement's time; silence on the wire itself
# for this long means that something between the two ends lost the connection.
KEEPALIVE = Keepalive(idle_s=1, interval_s=1, probes=2, user_timeout_ms=2_000)
LOST = (trio.BrokenResourceError, trio.ClosedResourceError)

_REASONS = {
    "BUSY": Reason.BUSY,
    "ABORTED": Reason.ABORTED,
    "READONLY": Reason.NOT_LEADER,
    "LAGGING": Reason.BEHIND,
    "INDOUBT": Reason.IN_DOUBT,
    "TIMEOUT": Reason.TIMED_OUT,
    "FAILED": Reason.FAILED,
    "MALFORMED": Reason.MALFORMED,
    "NOSTMT": Reason.NO_STATEMENT,
}
_OPEN_FAILURES = {
    "WRONGNODE": OpenFailure.WRONG_SERVER,
    "CONNLIMIT": OpenFailure.TOO_MANY,
    "BUSY": OpenFailure.BUSY,
}
_STATES = {"I": SessionState.IDLE, "T": SessionState.OPEN, "E": SessionState.FAILED}


class _Broken(Exception):
    """The connection ended, or what came over it isn't the protocol."""


class LineConnection:
    """A connection to a backend server."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._reader = LineReader()
        self._lines: list[str] = []
        self._closed = False

    @property
    def quiet(self) -> bool:
        """Whether it is open, with nothing to read: an end would be readable."""
        if self._closed or self._lines or self._reader.pending_bytes:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def abort(self) -> None:
        """Close at once; a task that waits gets `ExchangeFailure`."""
        if not self._closed:
            self._closed = True
            self._stream.socket.close()

    async def start(self, *fields: str) -> str:
        """Send the first line and return the answer to it.

        Raises:
            _Broken: the connection ended.

        """
        await self._send(line(*fields))
        return await self._read_line()

    async def run(self, command: Command) -> Result[Reply, ExchangeFailure]:
        """Run one command."""
        replies = await self.run_all([command])
        return replies.map(lambda items: items[0])

    async def run_all(
        self, commands: list[Command]
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands that need not wait for one another's replies."""
        if self._closed:
            return Err(ExchangeFailure("the connection was closed", sent=False))
        try:
            await self._send(b"".join(encode_command(item) for item in commands))
            return Ok([await self._read_reply() for _ in commands])
        except _Broken as error:
            self.abort()
            return Err(ExchangeFailure(str(error)))
        except trio.Cancelled:
            self.abort()
            raise

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except LOST as error:
            raise _Broken(f"while sending: {error}") from error

    async def _read_line(self) -> str:
        while not self._lines:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    raise _Broken("closed by the server")
                self._lines = self._reader.feed(bytes(data))
            except LOST as error:
                raise _Broken(f"while receiving: {error}") from error
            except LineTooLong as error:
                raise _Broken(str(error)) from error
        return self._lines.pop(0)

    async def _read_reply(self) -> Reply:
        lines = [await self._read_line()]
        while not lines[-1].startswith(words.READY):
            lines.append(await self._read_line())
        return parse_lines(lines)


def parse_lines(lines: list[str]) -> Reply:
    """Return the reply that the lines up to READY spell.

    Raises:
        _Broken: they are no reply.

    """
    rows: list[str] = []
    proof, reason, detail = "", None, ""
    for text in lines[:-1]:
        word, _, rest = text.partition(" ")
        if word == words.ROW:
            rows.append(rest)
        elif word == words.COMPLETE:
            proof = rest
        elif word == words.ERROR:
            code, _, detail = rest.partition(" ")
            # A code that isn't known promises nothing.
            reason = _REASONS.get(code, Reason.IN_DOUBT)
        else:
            raise _Broken(f"unexpected line {text[:20]!r}")
    state, position = parse_ready(lines[-1].partition(" ")[2])
    return Reply(tuple(rows), proof, reason, detail, state, position)


def parse_ready(text: str) -> tuple[SessionState, Position | None]:
    """Return the state and the log's end behind a READY.

    Raises:
        _Broken: the text has another form.

    """
    state, _, position = text.partition(" ")
    if state not in _STATES:
        raise _Broken(f"unknown state {state[:20]!r}")
    return _STATES[state], parse_position(position)


def parse_position(text: str) -> Position | None:
    """Return a position TERM.NUMBER, None where there is none."""
    term, separator, number = text.partition(".")
    if not separator or not (is_whole(term) and is_whole(number)):
        return None
    return Position(int(term), int(number))


def encode_command(command: Command) -> bytes:
    """Return the line that makes a backend server run ``command``."""
    text = _ENCODERS[command.kind](command)
    if command.floor is not None:
        floor = f"{command.floor.term}.{command.floor.offset}"
        text = f"{words.SINCE} {floor} {text}"
    return line(words.QUERY, command.request_id or words.OWN_ID, text)


_ENCODERS = {
    CommandKind.BEGIN: lambda command: words.BEGIN,
    CommandKind.BEGIN_READ_ONLY: lambda command: f"{words.BEGIN} {words.READ}",
    CommandKind.COMMIT: lambda command: words.COMMIT,
    CommandKind.ROLLBACK: lambda command: words.ROLLBACK,
    CommandKind.READ: lambda command: command.text,
    CommandKind.WRITE: lambda command: command.text,
    CommandKind.EXECUTE: lambda c: f"{words.EXECUTE} {c.name} {c.text}",
    CommandKind.SET: lambda c: f"{words.SET} {c.name} {c.text}",
    CommandKind.PREPARE_READ: (
        lambda c: f"{words.PREPARE} {c.name} {words.READ} {c.text}"
    ),
    CommandKind.PREPARE_WRITE: (
        lambda c: f"{words.PREPARE} {c.name} {words.WRITE} {c.text}"
    ),
    CommandKind.FORGET_SESSION: lambda command: words.RESET,
    CommandKind.STATUS: lambda command: words.STATUS,
    CommandKind.SUSPEND_RECEIVING: lambda command: f"{words.SUSPEND} {command.term}",
    CommandKind.RESUME_RECEIVING: lambda command: words.RESUME,
    CommandKind.STEP_DOWN: lambda command: f"{words.STEPDOWN} {command.term}",
}


def parse_status(reply: Reply) -> ServerStatus | None:
    """Return what the row of a STATUS says, None where it has another form."""
    if reply.reason is not None or len(reply.rows) != 1:
        return None
    fields = reply.rows[0].split(" ")
    if len(fields) != 7:
        return None
    role, term, position, held, lag_ms, busy, connections = fields
    received = parse_position(position)
    numbers = (term, held, lag_ms, busy, connections)
    if received is None or not all(is_whole(number) for number in numbers):
        return None
    return ServerStatus(
        leads=role == words.PRIMARY,
        term=int(term),
        received=received,
        held_term=int(held),
        lag_ms=int(lag_ms),
        busy=int(busy),
        connections=int(connections),
    )


def line_backend(local_address: str) -> BackendAdapter:
    """Return the backend server's end; connections leave from ``local_address``."""

    async def open_connection(
        server: BackendServer, organisation: str
    ) -> Result[Connection, OpenFailure]:
        try:
            stream = await connect_from(
                local_address, server.address, server.port, KEEPALIVE
            )
        except OSError:
            return Err(OpenFailure.UNREACHABLE)
        connection = LineConnection(stream)
        try:
            answer = await connection.start(
                words.CONNECT, server.service, organisation, server.id
            )
        except (_Broken, OSError):
            connection.abort()
            return Err(OpenFailure.UNREACHABLE)
        except trio.Cancelled:
            connection.abort()
            raise
        word, _, rest = answer.partition(" ")
        if word == words.READY:
            return Ok(connection)
        connection.abort()
        code = rest.partition(" ")[0]
        return Err(_OPEN_FAILURES.get(code, OpenFailure.UNREACHABLE))

    return BackendAdapter(open_connection, parse_status)
