"""Reading one request of a caller: a simple query, or frames up to a Sync."""

import hashlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

from rattanhollow.limits import Account, Purpose
from rattanhollow.pgwire import (
    Frame,
    ProtocolViolation,
    Wire,
    bind_names,
    close_statement,
    cstrings,
    describe_statement,
    parse_fields,
    parse_statement,
    rename_bind,
)
from rattanhollow.pgwire.kinds import (
    BIND,
    CLOSE,
    DESCRIBE,
    EXECUTE,
    FLUSH,
    PARSE,
    QUERY,
    SYNC,
    TERMINATE,
)
from rattanhollow.proxy._caller import Caller, PreparedStatement
from rattanhollow.sql import Kind, Statement, together

COPY_FRAMES = frozenset(b"dcf")
BATCH_FRAMES = frozenset({PARSE, BIND, DESCRIBE, EXECUTE, CLOSE})
LARGEST_BATCH_BYTES = 64 << 20
FRAME_HEAD_BYTES = 120
# The frame, its text, what is read of it and what is sent to the server; a text that
# isn't ASCII takes up to four bytes a character.
COPIES = 4
WIDE_COPIES = 10
STATEMENT_PREFIX = b"rh_"
NEVER_PREPARED = b"rh_none"

Classify = Callable[[str], Statement]


class Batch(NamedTuple):
    """A request.

    ``frames`` are the caller's, the last one a Query, Sync or Flush;
    ``statement`` is what they do all together; ``text`` is the first text.
    """

    frames: tuple[Frame, ...]
    statement: Statement
    text: str = ""

    @property
    def simple(self) -> bool:
        """Whether this is a simple query."""
        return self.frames[0].kind == QUERY

    @property
    def flushed(self) -> bool:
        """Whether this ends in a Flush, so that more frames follow."""
        return self.frames[-1].kind == FLUSH


class ParseMark(NamedTuple):
    """A ParseComplete to come: for which statement, and whether the caller asked."""

    name: bytes
    asked: bool


class Prepared(NamedTuple):
    """A batch as it goes to one connection.

    ``parses`` tells what the ParseCompletes to come are for; ``closes`` for
    each CloseComplete whether the caller asked; ``answers`` counts the
    caller's frames that are answered one by one.
    """

    data: bytes
    parses: tuple[ParseMark, ...] = ()
    closes: tuple[bool, ...] = ()
    answers: int = 0


def batch_bytes(frames: Sequence[Frame]) -> int:
    """Return the memory of a request while it runs, its text and copies included."""
    return sum(
        FRAME_HEAD_BYTES + len(f.raw) * (COPIES if f.raw.isascii() else WIDE_COPIES)
        for f in frames
    )


async def read_batch(wire: Wire, account: Account) -> list[Frame] | None:
    """Return the frames of the next request, or None where the caller ends.

    The account holds those that were read.

    Raises:
        ConnectionLost: the connection ended.
        ProtocolViolation: a frame that has no place here.

    """
    frames: list[Frame] = []
    size_bytes = 0
    while True:
        frame = await wire.read_frame()
        if frame.kind == TERMINATE:
            return None
        if frame.kind in COPY_FRAMES:
            continue
        size_bytes += len(frame.raw)
        heads_bytes = FRAME_HEAD_BYTES * len(frames)
        account.hold(Purpose.STATEMENT, size_bytes + heads_bytes)
        if size_bytes > LARGEST_BATCH_BYTES:
            raise ProtocolViolation("too many frames without a Sync")
        if frame.kind == QUERY and not frames:
            return [frame]
        if frame.kind not in BATCH_FRAMES and frame.kind not in (SYNC, FLUSH):
            raise ProtocolViolation(f"frame type {chr(frame.kind)!r} is not carried")
        frames.append(frame)
        if frame.kind in (SYNC, FLUSH):
            return frames


def understand(caller: Caller, frames: list[Frame], classify: Classify) -> Batch:
    """Return the batch that ``frames`` are; statements they prepare are kept.

    Raises:
        ProtocolViolation: a frame can't be read.

    """
    if frames[0].kind == QUERY:
        texts = cstrings(frames[0].payload)
        if len(texts) != 1:
            raise ProtocolViolation("Query with more than its text")
        text = texts[0]
        return Batch(tuple(frames), classify(text), text)
    executed: list[Statement] = []
    bound_texts: list[str] = []
    portals: dict[bytes, Statement] = {}
    for frame in frames:
        if frame.kind == PARSE:
            prepared = _keep(caller, frame)
            found = classify(prepared.text)
            if found.kind is Kind.REFUSED:
                executed.append(found)
        elif frame.kind == BIND:
            portal, name = bind_names(frame)
            known = caller.statements.get(name)
            text = known.text if known else ""
            portals[portal] = classify(text) if known else Statement(Kind.WRITE)
            bound_texts.append(text)
        elif frame.kind == EXECUTE:
            portal = frame.payload.split(b"\0", 1)[0]
            executed.append(portals.get(portal, Statement(Kind.WRITE)))
    return Batch(tuple(frames), _together(executed), "".join(bound_texts[:1]))


def _keep(caller: Caller, frame: Frame) -> PreparedStatement:
    name, body = parse_fields(frame)
    try:
        text = body.split(b"\0", 1)[0].decode()
    except UnicodeDecodeError as error:
        raise ProtocolViolation("statement is not UTF-8") from error
    backend_name = b""
    if name:
        digest = hashlib.blake2b(body, digest_size=12).hexdigest()
        backend_name = STATEMENT_PREFIX + digest.encode()
    prepared = PreparedStatement(backend_name, body, text)
    caller.statements[name] = prepared
    return prepared


def _together(executed: list[Statement]) -> Statement:
    if len(executed) == 1:
        return executed[0]
    return together(executed)


class _Rewriter:
    """Rewrites the frames of one batch for one connection."""

    def __init__(self, caller: Caller, known: set[bytes]) -> None:
        self._caller = caller
        self._have = set(known)
        self._unnamed_is_set = False
        self.data: list[bytes] = []
        self.parses: list[ParseMark] = []
        self.closes: list[bool] = []

    def take(self, frame: Frame) -> None:
        """Add ``frame``, and before it what the connection lacks for it."""
        if frame.kind == PARSE:
            self._parse(frame)
        elif frame.kind == BIND:
            self._bind(frame)
        elif frame.kind == DESCRIBE and frame.payload[:1] == b"S":
            self._describe(frame)
        elif frame.kind == CLOSE:
            self._close(frame)
        else:
            self.data.append(frame.raw)

    def _parse(self, frame: Frame) -> None:
        name, body = parse_fields(frame)
        if not name:
            self._unnamed_is_set = True
            self.data.append(frame.raw)
            self.parses.append(ParseMark(b"", True))
            return
        backend_name = self._caller.statements[name].backend_name
        if backend_name in self._have:
            self.data.append(close_statement(backend_name))
            self.closes.append(False)
        self.data.append(parse_statement(backend_name, body))
        self.parses.append(ParseMark(backend_name, True))
        self._have.add(backend_name)

    def _bind(self, frame: Frame) -> None:
        _, name = bind_names(frame)
        statement = self._caller.statements.get(name)
        if statement is None:
            self.data.append(frame.raw)
            return
        self._ensure(statement)
        self.data.append(rename_bind(frame, statement.backend_name))

    def _describe(self, frame: Frame) -> None:
        statement = self._caller.statements.get(frame.payload[1:-1])
        if statement is None:
            self.data.append(frame.raw)
            return
        self._ensure(statement)
        self.data.append(describe_statement(statement.backend_name))

    def _close(self, frame: Frame) -> None:
        self.closes.append(True)
        if frame.payload[:1] != b"S":
            self.data.append(frame.raw)
            return
        # The server's statement is shared and stays: a name that it never
        # has is closed instead, for the sake of the answer.
        self._caller.statements.pop(frame.payload[1:-1], None)
        self.data.append(close_statement(NEVER_PREPARED))

    def _ensure(self, statement: PreparedStatement) -> None:
        name = statement.backend_name
        if name in self._have or (not name and self._unnamed_is_set):
            return
        self.data.append(parse_statement(name, statement.body))
        self.parses.append(ParseMark(name, False))
        if name:
            self._have.add(name)
        else:
            self._unnamed_is_set = True


def prepare(caller: Caller, batch: Batch, known: set[bytes]) -> Prepared:
    """Return ``batch`` for a connection that has the statements ``known``.

    Named statements go by names made of their text, so that callers share
    them; one that the connection lacks is prepared on the way.
    """
    if batch.simple:
        return Prepared(batch.frames[0].raw)
    rewriter = _Rewriter(caller, known)
    for frame in batch.frames:
        rewriter.take(frame)
    return Prepared(
        b"".join(rewriter.data),
        tuple(rewriter.parses),
        tuple(rewriter.closes),
        sum(frame.kind not in (SYNC, FLUSH) for frame in batch.frames),
    )
