"""One exchange with a backend server: a batch out, its answer back."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Err, Ok, Result

from rattanhollow.backend import BackendConnection
from rattanhollow.coordination import Position, parse_position
from rattanhollow.pgwire import (
    ConnectionLost,
    ErrorFields,
    Frame,
    ProtocolViolation,
    error_fields,
    parameter,
)
from rattanhollow.pgwire.kinds import (
    CLOSE_COMPLETE,
    COMMAND_COMPLETE,
    ERROR,
    PARAMETER,
    PARSE_COMPLETE,
    READY,
)
from rattanhollow.proxy._batch import Prepared

COPY_ANSWERS = frozenset(b"GHW")
ANSWER_ENDS = frozenset(b"123CIsTnE")
POSITION_PREFIX = b"replication_position\0"
POSITION_START = 5
LARGEST_HELD_BYTES = 64 << 20

Relay = Callable[[bytes], Awaitable[None]]


class Outcome(NamedTuple):
    """An exchange that ended well, also where its answer is an error.

    ``status`` is the transaction status; ``position`` the last commit's;
    ``error`` the first error; ``tail`` what the caller has not been sent yet.
    """

    status: bytes
    position: Position | None
    error: ErrorFields | None
    tail: bytes


class Broken(NamedTuple):
    """An exchange that did not end, and why."""

    reason: str


class CallerLost(Exception):
    """The caller's connection broke while it was sent an answer."""


class _Progress:
    """What an exchange has seen so far."""

    def __init__(self, prepared: Prepared) -> None:
        self.parses = deque(prepared.parses)
        self.closes = deque(prepared.closes)
        self.position: Position | None = None
        self.error: ErrorFields | None = None
        self.status = b""
        self.out: list[bytes] = []
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.answers = 0


async def exchange(
    connection: BackendConnection,
    prepared: Prepared,
    relay: Relay,
    timeout_ms: int,
    hold: bool,
    until_answers: int = 0,
) -> Result[Outcome, Broken]:
    """Send a batch and relay its answer; see `receive_answer`."""
    connection.usable = False
    connection.wire.expire_in(timeout_ms)
    try:
        await connection.wire.send(prepared.data)
    except ConnectionLost as error:
        return Err(Broken(f"{connection.member.name}: {error}"))
    return await receive_answer(
        connection, prepared, relay, timeout_ms, hold, until_answers
    )


async def receive_answer(
    connection: BackendConnection,
    prepared: Prepared,
    relay: Relay,
    timeout_ms: int,
    hold: bool,
    until_answers: int = 0,
) -> Result[Outcome, Broken]:
    """Relay the answer to a batch that was sent.

    With ``hold``, everything from the first CommandComplete on is returned
    in ``tail`` instead of being sent, so that a commit can be confirmed first.
    ``until_answers`` above 0 ends after as many answers, for a Flush. Silence
    of ``timeout_ms`` breaks the exchange. After ``Broken`` the connection is
    not usable.

    Raises:
        CallerLost: from ``relay``.

    """
    progress = _Progress(prepared)
    connection.usable = False
    try:
        while not await _take_frames(
            connection, progress, relay, timeout_ms, hold, until_answers
        ):
            pass
    except (ConnectionLost, ProtocolViolation) as error:
        return Err(Broken(f"{connection.member.name}: {error}"))
    connection.wire.expire_never()
    connection.usable = True
    tail = b"".join(progress.out) + b"".join(progress.held)
    return Ok(
        Outcome(
            progress.status,
            progress.position,
            progress.error,
            tail,
        )
    )


async def _take_frames(
    connection: BackendConnection,
    progress: _Progress,
    relay: Relay,
    timeout_ms: int,
    hold: bool,
    until_answers: int,
) -> bool:
    """Read what is there; whether the exchange ended."""
    connection.wire.expire_in(timeout_ms)
    frames = await connection.wire.read_frames()
    for frame in frames:
        _take_frame(connection, progress, frame, hold)
        if frame.kind == READY:
            return True
        if until_answers and (progress.error or progress.answers >= until_answers):
            return True
    if progress.out:
        data = b"".join(progress.out)
        progress.out.clear()
        connection.wire.expire_never()
        await relay(data)
    return False


def reported_position(text: str) -> Position:
    """Return a position as a backend server reports it.

    Raises:
        ProtocolViolation: the text is none.

    """
    try:
        return parse_position(text)
    except ValueError as error:
        raise ProtocolViolation(str(error)) from None


def _take_frame(
    connection: BackendConnection, progress: _Progress, frame: Frame, hold: bool
) -> None:
    kind = frame.kind
    if kind == PARAMETER:
        if frame.raw.startswith(POSITION_PREFIX, POSITION_START):
            progress.position = reported_position(parameter(frame)[1])
            return
    elif kind == READY:
        progress.status = frame.raw[POSITION_START:]
    elif kind == ERROR:
        progress.error = progress.error or error_fields(frame)
    elif kind == PARSE_COMPLETE:
        if not _parsed(connection, progress):
            return
    elif kind == CLOSE_COMPLETE:
        if progress.closes and not progress.closes.popleft():
            return
    elif kind in COPY_ANSWERS:
        raise ProtocolViolation("COPY is not carried")
    if kind in ANSWER_ENDS:
        progress.answers += 1
    if hold and (progress.held or kind == COMMAND_COMPLETE):
        progress.held.append(frame.raw)
        progress.held_bytes += len(frame.raw)
        if progress.held_bytes > LARGEST_HELD_BYTES:
            raise ProtocolViolation("the answer behind a commit is too large")
        return
    progress.out.append(frame.raw)


def _parsed(connection: BackendConnection, progress: _Progress) -> bool:
    """Remember a prepared statement; whether the caller awaits the answer."""
    if not progress.parses:
        return True
    mark = progress.parses.popleft()
    if mark.name:
        connection.statements.add(mark.name)
    return mark.asked
