"""PostgreSQL's protocol for one connection to a stand-in member."""

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

import trio

from rattanhollow.pgwire import (
    ConnectionLost,
    Frame,
    ProtocolViolation,
    Wire,
    authentication_ok,
    authentication_password,
    backend_key_data,
    command_complete,
    cstrings,
    data_row,
    empty_query,
    error_response,
    parameter_status,
    parse_fields,
    ready_for_query,
    row_description,
)
from rattanhollow_standins.database._engine import (
    Rows,
    SqlError,
    Statement,
    as_text,
    split_statements,
    translate,
    writes,
)
from rattanhollow_standins.database._member import StandInMember
from rattanhollow_standins.database._session import NO_ROWS, Session

FRAME_LIMIT_BYTES = 64 << 20
# A long answer is encoded and sent in parts: hosts run beside the stand-in, and in one
# step a quarter of a gigabyte would keep them from all else for seconds.
PART_BYTES = 1 << 16
CANCEL_CODE = 80_877_102
TLS_CODE = 80_877_103
NO_DATA = b"n\0\0\0\4"

_INTEGERS = {20: "!q", 21: "!h", 23: "!i"}
_FLOATS = {700: "!f", 701: "!d"}


class Prepared(NamedTuple):
    """A prepared statement and the types that its parameters were given."""

    sql: str
    oids: tuple[int, ...]


class Portal:
    """A bound statement; ``rows`` once it ran."""

    def __init__(self, statement: Statement) -> None:
        self.statement = statement
        self.rows: Rows | None = None
        self.sent = 0


class Silent(Exception):
    """The connection must end without another word."""


class Connection:
    """One connection; ``serial`` orders them by age."""

    def __init__(
        self,
        member: StandInMember,
        stream: trio.SocketStream,
        serial: int,
        slots: trio.CapacityLimiter,
    ) -> None:
        self.serial = serial
        self.secret = serial * 7919 + 13
        self.session: Session | None = None
        self._member = member
        self._stream = stream
        self._slots = slots
        self._wire = Wire(stream, FRAME_LIMIT_BYTES)
        self._epoch = member.epoch
        self._peer = stream.socket.getpeername()[0]
        self._statements: dict[bytes, Prepared] = {}
        self._portals: dict[bytes, Portal] = {}
        self._out: list[bytes | Iterator[bytes]] = []
        self._skipping = False
        self._committed = False

    async def pass_gate(self) -> None:
        """Wait while faults let nothing through; end where connections must."""
        member = self._member
        while True:
            if self._epoch != member.epoch or not member.alive:
                raise Silent
            faults = member.faults
            silent = self.serial < member.silenced_before
            cut = faults.cut_callers or self._peer in faults.cut_addresses
            if not (cut or faults.frozen or silent):
                return
            await member.changed()

    async def read_startup(self) -> dict[str, str] | tuple[int, int]:
        """Return the startup parameters, or the key data of a cancel request."""
        while True:
            length, code = struct.unpack("!II", await self._exactly(8))
            body = await self._exactly(length - 8)
            if code == TLS_CODE:
                await self._stream.send_all(b"N")
                continue
            if code == CANCEL_CODE:
                return struct.unpack("!II", body)
            self._member.received_bytes.append(body)
            parts = cstrings(body)
            return dict(zip(parts[0:-1:2], parts[1:-1:2], strict=False))

    async def _exactly(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            part = await self._stream.receive_some(size - len(data))
            if not part:
                raise ConnectionLost("closed")
            data += part
        return data

    async def refuse(self, sqlstate: str, message: str) -> None:
        """Refuse the login."""
        await self._wire.send(error_response(sqlstate, message, "FATAL"))

    async def log_in(self, secret: str) -> bool:
        """Check the password; whether it is right."""
        await self._wire.send(authentication_password())
        frame = await self._wire.read_frame()
        self._member.received_bytes.append(frame.raw)
        if cstrings(frame.payload)[0] != secret:
            await self.refuse("28P01", "wrong password")
            return False
        self.session = Session(self._member, self._slots)
        greeting = [
            authentication_ok(),
            parameter_status("server_version", "15.0"),
            parameter_status("client_encoding", "UTF8"),
            backend_key_data(self.serial, self.secret),
            ready_for_query(b"I"),
        ]
        await self.pass_gate()
        await self._wire.send(b"".join(greeting))
        return True

    async def run(self) -> None:
        """Answer frames until the connection ends."""
        while True:
            frame = await self._wire.read_frame()
            self._member.received_bytes.append(frame.raw)
            await self.pass_gate()
            if frame.kind == ord("X"):
                return
            await self._take(frame)

    async def _take(self, frame: Frame) -> None:
        kind = chr(frame.kind)
        if kind == "Q":
            await self._simple(cstrings(frame.payload)[0])
        elif kind == "S":
            await self._sync()
        elif kind == "H":
            await self._flush()
        elif not self._skipping:
            await self._extended(kind, frame)

    async def _simple(self, text: str) -> None:
        session = self._live_session()
        statements = split_statements(text)
        if not statements:
            self._out.append(empty_query())
        try:
            for sql in statements:
                rows, report = await session.run(Statement(sql))
                self._add_report(report)
                self._describe(rows)
                self._add_rows(rows, 0)
            self._add_report(session.end_request())
        except SqlError as error:
            self._fail(error)
        await self._ready()

    async def _sync(self) -> None:
        session = self._live_session()
        try:
            if not self._skipping:
                self._add_report(session.end_request())
        except SqlError as error:
            self._fail(error)
        self._skipping = False
        self._portals.clear()
        await self._ready()

    async def _extended(self, kind: str, frame: Frame) -> None:
        handlers = {
            "P": self._parse,
            "B": self._bind,
            "D": self._describe_message,
            "E": self._execute,
            "C": self._close,
        }
        try:
            await handlers[kind](frame)
        except SqlError as error:
            self._fail(error)
            self._skipping = True

    async def _parse(self, frame: Frame) -> None:
        name, body = parse_fields(frame)
        text, _, types = body.partition(b"\0")
        (count,) = struct.unpack_from("!H", types)
        oids = struct.unpack_from(f"!{count}I", types, 2)
        if name and name in self._statements:
            raise SqlError("42P05", f"prepared statement {name!r} exists")
        self._statements[name] = Prepared(text.decode(), oids)
        self._out.append(b"1\0\0\0\4")

    async def _bind(self, frame: Frame) -> None:
        portal, name, rest = frame.payload.split(b"\0", 2)
        prepared = self._statements.get(name)
        if prepared is None:
            raise SqlError("26000", f"no prepared statement {name!r}")
        values = _parameters(rest, prepared.oids)
        self._portals[portal] = Portal(Statement(prepared.sql, values))
        self._out.append(b"2\0\0\0\4")

    async def _describe_message(self, frame: Frame) -> None:
        name = frame.payload[1:-1]
        if frame.payload[:1] == b"P":
            await self._run_portal(self._portal(name))
            self._describe(self._portal(name).rows or NO_ROWS, required=True)
            return
        prepared = self._statements.get(name)
        if prepared is None:
            raise SqlError("26000", f"no prepared statement {name!r}")
        count = translate(prepared.sql).count("?")
        types = [*prepared.oids, *[25] * count][:count]
        body = struct.pack(f"!H{count}I", count, *types)
        self._out.append(b"t" + struct.pack("!I", len(body) + 4) + body)
        await self._describe_statement(prepared, count)

    async def _describe_statement(self, prepared: Prepared, count: int) -> None:
        if writes(prepared.sql):
            self._out.append(NO_DATA)
            return
        nulls = (None,) * count
        rows, _ = await self._live_session().run(Statement(prepared.sql, nulls))
        self._describe(rows, required=True)

    async def _run_portal(self, portal: Portal) -> None:
        if portal.rows is not None:
            return
        if not portal.statement.sql.strip():
            portal.rows = NO_ROWS
            return
        rows, report = await self._live_session().run(portal.statement)
        portal.rows = rows
        self._add_report(report)

    async def _execute(self, frame: Frame) -> None:
        name, _, rest = frame.payload.partition(b"\0")
        (limit,) = struct.unpack("!I", rest)
        portal = self._portal(name)
        await self._run_portal(portal)
        if not portal.statement.sql.strip():
            self._out.append(empty_query())
            return
        assert portal.rows is not None
        if limit and len(portal.rows.rows) - portal.sent > limit:
            part = portal.rows.rows[portal.sent : portal.sent + limit]
            self._out.append(map(_data, part))
            portal.sent += limit
            self._out.append(b"s\0\0\0\4")
            return
        self._add_rows(portal.rows, portal.sent)

    async def _close(self, frame: Frame) -> None:
        name = frame.payload[1:-1]
        kept = self._statements if frame.payload[:1] == b"S" else self._portals
        kept.pop(name, None)
        self._out.append(b"3\0\0\0\4")

    def _portal(self, name: bytes) -> Portal:
        if name not in self._portals:
            raise SqlError("34000", f"no portal {name!r}")
        return self._portals[name]

    def _live_session(self) -> Session:
        assert self.session is not None
        return self.session

    def _describe(self, rows: Rows, required: bool = False) -> None:
        if rows.columns:
            self._out.append(row_description(rows.columns, rows.oids))
        elif required:
            self._out.append(NO_DATA)

    def _add_rows(self, rows: Rows, start: int) -> None:
        self._out.append(map(_data, rows.rows[start:]))
        self._out.append(command_complete(rows.tag))

    def _add_report(self, report: bytes) -> None:
        if report:
            self._out.append(report)
            self._committed = self._committed or b"replication_position" in report

    def _fail(self, error: SqlError) -> None:
        session = self._live_session()
        if session.status == b"I":
            session.roll_back()
        self._out.append(error_response(error.sqlstate, str(error)))

    async def _ready(self) -> None:
        self._out.append(ready_for_query(self._live_session().status))
        await self._flush()

    async def _flush(self) -> None:
        faults = self._member.faults
        if self._committed and faults.lose_commit_answers:
            faults.lose_commit_answers -= 1
            raise Silent
        self._committed = False
        if faults.answer_delay_s:
            await trio.sleep(faults.answer_delay_s)
        await self.pass_gate()
        part = bytearray()
        for item in self._out:
            for data in (item,) if isinstance(item, bytes) else item:
                part += data
                if len(part) >= PART_BYTES:
                    await self._wire.send(bytes(part))
                    part.clear()
        self._out.clear()
        if part:
            await self._wire.send(bytes(part))


def _data(row: tuple[Any, ...]) -> bytes:
    return data_row([as_text(value) for value in row])


def _parameters(rest: bytes, oids: tuple[int, ...]) -> tuple[Any, ...]:
    (format_count,) = struct.unpack_from("!H", rest)
    formats = struct.unpack_from(f"!{format_count}H", rest, 2)
    offset = 2 + 2 * format_count
    (count,) = struct.unpack_from("!H", rest, offset)
    offset += 2
    values: list[Any] = []
    for at in range(count):
        (length,) = struct.unpack_from("!i", rest, offset)
        offset += 4
        if length < 0:
            values.append(None)
            continue
        raw = rest[offset : offset + length]
        offset += length
        binary = formats[at if format_count > 1 else 0] if format_count else 0
        oid = oids[at] if at < len(oids) else 0
        values.append(_value(raw, oid, bool(binary)))
    return tuple(values)


def _value(raw: bytes, oid: int, binary: bool) -> Any:
    if oid in _INTEGERS:
        return struct.unpack(_INTEGERS[oid], raw)[0] if binary else int(raw)
    if oid in _FLOATS:
        return struct.unpack(_FLOATS[oid], raw)[0] if binary else float(raw)
    if oid == 16:
        return int(raw in (b"\1", b"t", b"true"))
    if oid == 17:
        return raw if binary else bytes.fromhex(raw.decode().removeprefix("\\x"))
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise ProtocolViolation("parameter is not UTF-8") from None
