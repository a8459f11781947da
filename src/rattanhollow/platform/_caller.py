"""The caller's end of the line protocol."""

from collections import deque

import trio

from rattanhollow.limits import Account, Purpose, text_bytes
from rattanhollow.platform import _words as words
from rattanhollow.platform._lines import LineReader, LineTooLong, line, text_of
from rattanhollow.session import BadLine, Farewell, NoRoom, Opening, Received
from rattanhollow.statements import (
    Answer,
    Begin,
    Commit,
    Completed,
    Execute,
    Forget,
    Prepare,
    Read,
    Reason,
    Refused,
    Request,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Write,
)

RECEIVE_BYTES = 16_384
# How much of a caller is kept while its request is handled. A caller that sends more is
# not read, and found to have left only afterwards.
READ_AHEAD_CHARACTERS = RECEIVE_BYTES
READ_AHEAD_LINES = 64
# A request that crossed the farewell arrives within a round trip.
LINGER_S = 0.15
# The text, and the command that is sent to the backend server.
COPIES_HELD = 2
# Shorter lines are never refused for memory, so that a COMMIT or ROLLBACK always runs.
SMALL_LINE_BYTES = 4_096
LINE_HEAD_BYTES = 80
REQUEST_ID_BYTES = 100
LOST = (trio.BrokenResourceError, trio.ClosedResourceError)

_CODES = {
    Reason.BUSY: "BUSY",
    Reason.OVER_RATE: "BUSY",
    Reason.ABORTED: "ABORTED",
    Reason.NOT_LEADER: "READONLY",
    Reason.BEHIND: "LAGGING",
    Reason.IN_DOUBT: "INDOUBT",
    Reason.TIMED_OUT: "TIMEOUT",
    Reason.FAILED: "FAILED",
    Reason.MALFORMED: "MALFORMED",
    Reason.NO_STATEMENT: "NOSTMT",
    Reason.NO_KEY: "NOAUTH",
    Reason.NO_ROUTE: "NODB",
}
_STATES = {SessionState.IDLE: "I", SessionState.OPEN: "T", SessionState.FAILED: "E"}


class LineCaller:
    """One caller's connection; one task reads and answers."""

    def __init__(self, stream: trio.SocketStream, account: Account) -> None:
        self._stream = stream
        self._account = account
        self._reader = LineReader()
        self._lines: deque[bytearray] = deque()
        self._opened = False
        self._ended: Farewell | BadLine | None = None

    @property
    def mid_request(self) -> bool:
        """Whether a request, or a part of one, has arrived and isn't answered."""
        return bool(self._lines) or self._reader.pending_bytes > 0

    async def receive(self) -> Received:
        """Return the next thing that the caller says; the first is an `Opening`."""
        while not self._lines:
            if self._ended is None:
                await self._read()
            if self._ended is not None:
                return self._ended
        raw = self._lines.popleft()
        self._hold_received()
        # Its memory is refused before the line is decoded, which may take four times
        # as much; many lines may arrive at once.
        held_bytes = COPIES_HELD * len(raw) * (1 if raw.isascii() else 4)
        if len(raw) <= SMALL_LINE_BYTES:
            self._account.hold(Purpose.STATEMENT, held_bytes)
        elif not self._account.try_hold(Purpose.STATEMENT, held_bytes):
            return NoRoom(request_id_of(raw))
        text = text_of(raw)
        if self._opened:
            return parse_request(text)
        self._opened = True
        return parse_opening(text)

    async def until_left(self) -> None:
        """Return once the caller has closed its side; may be cancelled.

        What it sends meanwhile is kept for `receive`, up to a limit.
        """
        while self._ended is None and self._may_read_ahead():
            await self._read()
        if not isinstance(self._ended, Farewell):
            await trio.sleep_forever()

    def _may_read_ahead(self) -> bool:
        kept = self._reader.pending_bytes + sum(map(len, self._lines))
        return kept < READ_AHEAD_CHARACTERS and len(self._lines) < READ_AHEAD_LINES

    async def _read(self) -> None:
        """Add the lines that arrive next, or record how the connection ended."""
        await self._account.wait_for_room()
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except LOST as error:
            self._ended = Farewell(f"lost: {error}")
            return
        if not data:
            self._ended = Farewell("closed")
            return
        try:
            self._lines.extend(self._reader.feed_raw(bytes(data)))
        except LineTooLong:
            self._ended = BadLine(framing_lost=True)
            return
        self._hold_received()

    async def welcome(self) -> bool:
        """Tell the caller that its session has begun; False where it is gone."""
        return await self._send(line(words.READY, "I", words.NOTHING))

    async def answer(self, answer: Answer, state: SessionState) -> bool:
        """Send an answer; False where the caller is gone."""
        rows = answer.rows if isinstance(answer, Completed) else ()
        data = encode_answer(answer, state)
        self._account.hold(Purpose.RESPONSE, len(data) + text_bytes(*rows))
        sent = await self._send(data)
        self._account.hold(Purpose.RESPONSE, 0)
        return sent

    async def refuse(self, refused: Refused) -> bool:
        """Send an error that ends the session; False where the caller is gone."""
        return await self._send(_error(refused))

    async def dismiss(self, refused: Refused) -> None:
        """Send an error to a caller that waits for nothing, and say goodbye.

        What still arrives is read and dropped: closing a connection with unread
        bytes would reset it, and the error with it.
        """
        if not await self._send(_error(refused)):
            return
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
            except LOST:
                return

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    def _hold_received(self) -> None:
        lines_bytes = sum(LINE_HEAD_BYTES + len(raw) for raw in self._lines)
        held_bytes = self._reader.pending_bytes + lines_bytes
        self._account.hold(Purpose.RECEIVED, held_bytes)

    async def _send(self, data: bytes) -> bool:
        try:
            await self._stream.send_all(data)
        except LOST:
            return False
        return True


def request_id_of(raw: bytearray) -> str:
    """Return the identifier of a request that isn't decoded, for the log."""
    head = text_of(raw[:REQUEST_ID_BYTES].rpartition(b" ")[0])
    word, _, rest = head.partition(" ")
    return rest.partition(" ")[0] if word == words.QUERY else ""


def parse_opening(text: str) -> Opening | BadLine:
    """Return what the first line of a session says."""
    word, _, rest = text.partition(" ")
    route, _, key = rest.partition(" ")
    if word != words.CONNECT or not route or " " in key:
        return BadLine(framing_lost=True)
    return Opening(route, key)


def parse_request(text: str) -> Request | Farewell | BadLine:
    """Return what a later line of a session says."""
    word, _, rest = text.partition(" ")
    if word == words.RELEASE and not rest:
        return Farewell("released")
    if word != words.QUERY:
        return BadLine(framing_lost=True)
    request_id, _, statement_text = rest.partition(" ")
    if not request_id:
        return BadLine(framing_lost=True)
    statement = parse_statement(statement_text)
    # An identifier of ours would make a caller's statement look like our own.
    if statement is None or request_id == words.OWN_ID:
        return BadLine(framing_lost=False)
    return Request(request_id, statement)


def parse_statement(text: str) -> Statement | None:
    """Return the statement that ``text`` spells, None where it is none."""
    word, _, rest = text.partition(" ")
    if word == words.BEGIN and rest in ("", words.READ):
        return Begin(read_only=rest == words.READ)
    if word == words.COMMIT and not rest:
        return Commit()
    if word == words.ROLLBACK and not rest:
        return Rollback()
    if word == words.READ and rest and " " not in rest:
        return Read(text)
    if word == words.WRITE and " " in rest:
        return Write(text)
    return _parse_session_statement(word, rest)


def _parse_session_statement(word: str, rest: str) -> Statement | None:
    name, _, more = rest.partition(" ")
    if not name:
        return None
    if word == words.SET:
        return SetValue(name, more)
    if word == words.EXECUTE and more:
        return Execute(name, more)
    if word == words.DEALLOC and not more:
        return Forget(name)
    if word == words.PREPARE:
        kind, _, shape = more.partition(" ")
        if kind in (words.READ, words.WRITE) and shape:
            return Prepare(name, kind == words.WRITE, shape)
    return None


def encode_answer(answer: Answer, state: SessionState) -> bytes:
    """Return the lines of an answer, with the state of the session behind it."""
    ready = line(words.READY, _STATES[state], words.NOTHING)
    if isinstance(answer, Completed):
        rows = [line(words.ROW, row) for row in answer.rows]
        complete = line(words.COMPLETE, answer.proof or words.NOTHING)
        return b"".join([*rows, complete, ready])
    return _error(answer) + ready


def _error(refused: Refused) -> bytes:
    detail = refused.detail or refused.reason.value
    if refused.retry_after_ms:
        detail = f"retry_after_ms={refused.retry_after_ms} {detail}"
    return line(words.ERROR, _CODES[refused.reason], detail)
