"""Building frames."""

import struct
from collections.abc import Iterable, Sequence

PROTOCOL_VERSION = 196_608
CANCEL_CODE = 80_877_102
TEXT_OID = 25
VARIABLE_SIZE = -1

_LENGTH = struct.Struct("!I")


def frame(kind: bytes, payload: bytes = b"") -> bytes:
    """Return one frame of type ``kind``."""
    return kind + _LENGTH.pack(len(payload) + 4) + payload


def cstring(text: str) -> bytes:
    """Return a zero-terminated string."""
    return text.encode() + b"\0"


def startup(parameters: dict[str, str]) -> bytes:
    """Return a startup message with ``parameters``."""
    pairs = b"".join(cstring(k) + cstring(v) for k, v in parameters.items())
    body = _LENGTH.pack(PROTOCOL_VERSION) + pairs + b"\0"
    return _LENGTH.pack(len(body) + 4) + body


def cancel_request(process_id: int, secret: int) -> bytes:
    """Return the message that asks to cancel what a connection runs."""
    return struct.pack("!IIII", 16, CANCEL_CODE, process_id, secret)


def password(text: str) -> bytes:
    """Return a password message."""
    return frame(b"p", cstring(text))


def query(sql: str) -> bytes:
    """Return a simple query."""
    return frame(b"Q", cstring(sql))


def terminate() -> bytes:
    """Return the message that ends a connection."""
    return frame(b"X")


def parse_statement(name: bytes, body: bytes) -> bytes:
    """Return a Parse for ``name``; ``body`` is the text and the parameter types."""
    return frame(b"P", name + b"\0" + body)


def close_statement(name: bytes) -> bytes:
    """Return a Close for the prepared statement ``name``."""
    return frame(b"C", b"S" + name + b"\0")


def describe_statement(name: bytes) -> bytes:
    """Return a Describe for the prepared statement ``name``."""
    return frame(b"D", b"S" + name + b"\0")


def authentication_ok() -> bytes:
    """Return the message that accepts a login."""
    return frame(b"R", _LENGTH.pack(0))


def authentication_password() -> bytes:
    """Return the message that asks for a password."""
    return frame(b"R", _LENGTH.pack(3))


def negotiate_version(minor: int) -> bytes:
    """Return the message that offers an older minor version than was asked for."""
    return frame(b"v", struct.pack("!II", minor, 0))


def backend_key_data(process_id: int, secret: int) -> bytes:
    """Return the message that tells a caller how to cancel."""
    return frame(b"K", struct.pack("!II", process_id, secret))


def parameter_status(name: str, value: str) -> bytes:
    """Return a report of one parameter."""
    return frame(b"S", cstring(name) + cstring(value))


def ready_for_query(status: bytes) -> bytes:
    """Return ReadyForQuery; ``status`` is ``b"I"``, ``b"T"`` or ``b"E"``."""
    return frame(b"Z", status)


def command_complete(tag: str) -> bytes:
    """Return CommandComplete."""
    return frame(b"C", cstring(tag))


def empty_query() -> bytes:
    """Return EmptyQueryResponse."""
    return frame(b"I")


def error_response(
    sqlstate: str, message: str, severity: str = "ERROR", detail: str = ""
) -> bytes:
    """Return ErrorResponse; ``severity`` is ``ERROR`` or ``FATAL``."""
    fields = [b"S" + cstring(severity), b"V" + cstring(severity)]
    fields.append(b"C" + cstring(sqlstate))
    fields.append(b"M" + cstring(message))
    if detail:
        fields.append(b"D" + cstring(detail))
    return frame(b"E", b"".join(fields) + b"\0")


def row_description(
    names: Sequence[str], type_oids: Sequence[int] | None = None
) -> bytes:
    """Return RowDescription for text columns, or for ``type_oids``."""
    oids = type_oids or [TEXT_OID] * len(names)
    columns = [
        cstring(name) + struct.pack("!IhIhih", 0, 0, oid, VARIABLE_SIZE, -1, 0)
        for name, oid in zip(names, oids, strict=True)
    ]
    return frame(b"T", struct.pack("!H", len(columns)) + b"".join(columns))


def data_row(values: Iterable[bytes | None]) -> bytes:
    """Return DataRow; ``None`` is NULL."""
    parts = []
    for value in values:
        if value is None:
            parts.append(b"\xff\xff\xff\xff")
        else:
            parts.append(_LENGTH.pack(len(value)) + value)
    return frame(b"D", struct.pack("!H", len(parts)) + b"".join(parts))
