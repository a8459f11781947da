"""From an accepted connection to a logged-in caller."""

import ssl
import struct
from typing import NamedTuple

import trio

from rattanhollow.configuration import Key
from rattanhollow.limits import Account
from rattanhollow.observe import log_event
from rattanhollow.pgwire import (
    ConnectionLost,
    ProtocolViolation,
    Wire,
    authentication_ok,
    authentication_password,
    backend_key_data,
    cstrings,
    error_response,
    negotiate_version,
    parameter_status,
    ready_for_query,
)
from rattanhollow.pgwire.kinds import PASSWORD
from rattanhollow.proxy._caller import IDLE, Caller
from rattanhollow.proxy._local import OWN_PREFIX, set_own
from rattanhollow.proxy._service import Service
from rattanhollow.verdict import Refusal, not_run, sqlstates

TLS_REQUEST = 80_877_103
GSS_REQUEST = 80_877_104
CANCEL_REQUEST = 80_877_102
PROTOCOL_3_0 = 196_608
PROTOCOL_MAJOR = 3
LARGEST_STARTUP_BYTES = 10_000


REPORTED = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
}
NOT_SETTINGS = frozenset({"user", "database", "options", "replication"})


class Cancel(NamedTuple):
    """A connection that only asks to cancel another one's request."""

    process_id: int
    secret: int


class Login(NamedTuple):
    """The parameters of a startup message, over ``stream``."""

    stream: trio.abc.Stream
    parameters: dict[str, str]
    minor_version: int


async def read_startup(
    stream: trio.abc.Stream, tls: ssl.SSLContext | None, require_tls: bool
) -> Login | Cancel:
    """Read the startup message; turns TLS on where the caller asks for it.

    Raises:
        ConnectionLost: the connection ended.
        ProtocolViolation: the bytes are no startup message.

    """
    encrypted = False
    while True:
        code, body = await _read_packet(stream)
        if code == TLS_REQUEST and tls is not None and not encrypted:
            await stream.send_all(b"S")
            stream = trio.SSLStream(
                stream, tls, server_side=True, https_compatible=True
            )
            encrypted = True
        elif code in (TLS_REQUEST, GSS_REQUEST):
            await stream.send_all(b"N")
        elif code == CANCEL_REQUEST and len(body) == 8:
            return Cancel(*struct.unpack("!II", body))
        elif code >> 16 == PROTOCOL_MAJOR:
            break
        else:
            raise ProtocolViolation(f"unknown protocol {code}")
    if require_tls and not encrypted:
        await refuse(stream, not_run("TLS is required", sqlstates.TLS_NEEDED))
        raise ConnectionLost("no TLS")
    parts = cstrings(body)
    names, values = parts[0:-1:2], parts[1:-1:2]
    return Login(stream, dict(zip(names, values, strict=False)), code & 0xFFFF)


async def _read_packet(stream: trio.abc.Stream) -> tuple[int, bytes]:
    head = await _read_exactly(stream, 8)
    length, code = struct.unpack("!II", head)
    if not 8 <= length <= LARGEST_STARTUP_BYTES:
        raise ProtocolViolation(f"startup message of {length} bytes")
    return code, await _read_exactly(stream, length - 8)


async def _read_exactly(stream: trio.abc.Stream, size: int) -> bytes:
    data = b""
    while len(data) < size:
        try:
            part = await stream.receive_some(size - len(data))
        except trio.BrokenResourceError as error:
            raise ConnectionLost(str(error)) from error
        if not part:
            raise ConnectionLost("closed by the caller")
        data += part
    return data


async def refuse(stream: trio.abc.Stream, refusal: Refusal) -> None:
    """Tell a caller that it can't log in."""
    error = error_response(refusal.sqlstate, refusal.message, "FATAL")
    try:
        await stream.send_all(error)
    except trio.BrokenResourceError:
        return


async def log_in(login: Login, service: Service, account: Account) -> Caller | None:
    """Check the caller's key and return its session, or None where refused.

    Raises:
        ConnectionLost: the connection ended.
        ProtocolViolation: a frame that has no place here.

    """
    wire = Wire(login.stream, service.settings.limits.frame_bytes, account)
    parameters = login.parameters
    if parameters.get("replication", "false") not in ("false", "off", "0"):
        refusal = not_run("replication mode is not carried", sqlstates.NOT_CARRIED)
        await refuse(login.stream, refusal)
        return None
    if login.minor_version:
        await wire.send(negotiate_version(0))
    organisation = parameters.get("user", "")
    group = service.groups.get(parameters.get("database", organisation))
    key = await _check_key(wire, organisation, service)
    if not service.is_fresh():
        refusal = not_run("this host can't learn the newest configuration")
        await refuse(login.stream, refusal)
        return None
    if key is None:
        log_event("caller.refused", organisation=organisation, reason="bad key")
        refusal = not_run("no such organisation and key", sqlstates.BAD_LOGIN)
        await refuse(login.stream, refusal)
        return None
    if group is None:
        refusal = not_run("no such database", sqlstates.NO_DATABASE)
        await refuse(login.stream, refusal)
        return None
    limits = service.configuration().organisations[organisation]
    caller = Caller(wire, limits, key, group, account)
    account.belong_to(organisation)
    refused = _take_parameters(caller, parameters)
    if refused is not None:
        await refuse(login.stream, refused)
        return None
    service.callers.add(caller, service.rng)
    service.watchdog.add(wire)
    await wire.send(_greeting(caller))
    return caller


async def _check_key(wire: Wire, organisation: str, service: Service) -> Key | None:
    await wire.send(authentication_password())
    frame = await wire.read_frame()
    if frame.kind != PASSWORD:
        raise ProtocolViolation("expected a password")
    return service.configuration().key_of(organisation, cstrings(frame.payload)[0])


def _take_parameters(caller: Caller, parameters: dict[str, str]) -> Refusal | None:
    wanted = {k: v for k, v in parameters.items() if k not in NOT_SETTINGS}
    wanted.update(_options(parameters.get("options", "")))
    for name, value in wanted.items():
        if name.startswith(OWN_PREFIX):
            made = set_own(caller, name, value)
            if made.is_err():
                return made.unwrap_err()
        elif name.startswith("_pq_."):
            continue
        elif name.lower() == "client_encoding" and _is_utf8(value):
            continue
        else:
            caller.settings[name.lower()] = _set_text(name, value)
    return None


def _is_utf8(value: str) -> bool:
    return value.strip("'\"").upper().replace("-", "") in ("UTF8", "UNICODE")


def _set_text(name: str, value: str) -> str:
    quoted_name = '"' + name.lower().replace('"', '""') + '"'
    quoted_value = "'" + value.replace("'", "''") + "'"
    return f"SET {quoted_name} TO {quoted_value}"


def _options(text: str) -> dict[str, str]:
    """Return the settings in an ``options`` parameter: ``-c name=value``."""
    found = {}
    words = text.replace("-c", " ").split()
    for word in words:
        name, separator, value = word.partition("=")
        if separator:
            found[name.lstrip("-")] = value
    return found


def _greeting(caller: Caller) -> bytes:
    reports = [parameter_status(name, value) for name, value in REPORTED.items()]
    return b"".join(
        [
            authentication_ok(),
            *reports,
            caller.token_status(),
            backend_key_data(caller.process_id, caller.secret),
            ready_for_query(IDLE),
        ]
    )
