"""Reading the frames that the proxy must understand."""

import struct
from typing import NamedTuple

from rattanhollow.pgwire._build import frame
from rattanhollow.pgwire._frames import Frame, ProtocolViolation


class ErrorFields(NamedTuple):
    """The fields of an ErrorResponse that decide what happens next."""

    severity: str
    sqlstate: str
    message: str


def cstrings(payload: bytes) -> list[str]:
    """Split zero-terminated strings; the empty tail is dropped.

    Raises:
        ProtocolViolation: the last string has no end, or is not UTF-8.

    """
    if not payload.endswith(b"\0"):
        raise ProtocolViolation("string without end")
    try:
        return payload[:-1].decode().split("\0")
    except UnicodeDecodeError as error:
        raise ProtocolViolation("string is not UTF-8") from error


def error_fields(frame: Frame) -> ErrorFields:
    """Return what an ErrorResponse says."""
    found = {"S": "ERROR", "C": "XX000", "M": ""}
    for part in frame.payload.split(b"\0"):
        if part:
            found[chr(part[0])] = part[1:].decode(errors="replace")
    return ErrorFields(found["S"], found["C"], found["M"])


def parameter(frame: Frame) -> tuple[str, str]:
    """Return name and value of a ParameterStatus.

    Raises:
        ProtocolViolation: there are no two strings.

    """
    texts = cstrings(frame.payload)
    if len(texts) < 2:
        raise ProtocolViolation("ParameterStatus without a value")
    return texts[0], texts[1]


def parse_fields(frame: Frame) -> tuple[bytes, bytes]:
    """Return the name of a Parse, and its text with the parameter types.

    Raises:
        ProtocolViolation: the frame has no name or no text.

    """
    name, separator, body = frame.payload.partition(b"\0")
    if not separator or b"\0" not in body:
        raise ProtocolViolation("Parse without name or text")
    return name, body


def bind_names(frame: Frame) -> tuple[bytes, bytes]:
    """Return portal and statement name of a Bind.

    Raises:
        ProtocolViolation: a name has no end.

    """
    parts = frame.payload.split(b"\0", 2)
    if len(parts) < 3:
        raise ProtocolViolation("Bind without names")
    return parts[0], parts[1]


def rename_bind(raw: Frame, statement: bytes) -> bytes:
    """Return the Bind with another statement name."""
    portal, _, rest = raw.payload.split(b"\0", 2)
    return frame(b"B", portal + b"\0" + statement + b"\0" + rest)


def rows_as_text(frames: list[Frame]) -> list[list[str | None]]:
    """Return the values of the DataRow frames among ``frames``."""
    return [_row(item.payload) for item in frames if item.kind == ord("D")]


def _row(payload: bytes) -> list[str | None]:
    (count,) = struct.unpack_from("!H", payload)
    offset = 2
    values: list[str | None] = []
    for _ in range(count):
        (length,) = struct.unpack_from("!i", payload, offset)
        offset += 4
        if length < 0:
            values.append(None)
            continue
        values.append(payload[offset : offset + length].decode())
        offset += length
    return values
