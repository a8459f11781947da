"""A small caller: PostgreSQL's simple query protocol on trio."""

from typing import NamedTuple

import trio

from rattanhollow.pgwire import (
    ConnectionLost,
    ErrorFields,
    Frame,
    Wire,
    error_fields,
    parameter,
    password,
    query,
    rows_as_text,
    startup,
    terminate,
)

FRAME_LIMIT_BYTES = 64 << 20


class Place(NamedTuple):
    """Where a caller logs in, and as whom."""

    address: str
    port: int
    user: str
    password: str
    database: str


class Result(NamedTuple):
    """The answer to one query; ``error`` is the first error."""

    rows: list[list[str | None]]
    error: ErrorFields | None
    status: bytes


class LoginRefused(Exception):
    """The login was refused; the text is the server's."""


class Client:
    """A logged-in caller; ``parameters`` are those reported by the server."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.parameters: dict[str, str] = {}
        self.key_data = (0, 0)

    async def run(self, sql: str) -> Result:
        """Run a simple query.

        Raises:
            ConnectionLost: the connection ended.

        """
        await self.wire.send(query(sql))
        return await self.read_result()

    async def read_result(self) -> Result:
        """Read frames up to ReadyForQuery; errors as `run`."""
        frames: list[Frame] = []
        while True:
            frame = await self.wire.read_frame()
            frames.append(frame)
            if frame.kind == ord("S"):
                name, value = parameter(frame)
                self.parameters[name] = value
            if frame.kind == ord("Z"):
                break
            if frame.kind == ord("E") and error_fields(frame).severity == "FATAL":
                raise ConnectionLost(error_fields(frame).message)
        errors = [error_fields(item) for item in frames if item.kind == ord("E")]
        first = errors[0] if errors else None
        return Result(rows_as_text(frames), first, frames[-1].payload)

    async def close(self) -> None:
        """Say goodbye and close."""
        try:
            await self.wire.send(terminate())
        except ConnectionLost:
            pass
        await self.wire.aclose()


async def connect(place: Place, **parameters: str) -> Client:
    """Log in.

    Raises:
        ConnectionLost: nobody listens, or the connection ended.
        LoginRefused: the server refused the login.

    """
    try:
        stream = await trio.open_tcp_stream(place.address, place.port)
    except OSError as error:
        raise ConnectionLost(str(error)) from None
    client = Client(Wire(stream, FRAME_LIMIT_BYTES))
    try:
        await _log_in(client, place, parameters)
    except BaseException:
        await trio.aclose_forcefully(stream)
        raise
    return client


async def _log_in(client: Client, place: Place, parameters: dict[str, str]) -> None:
    wire = client.wire
    await wire.send(
        startup({"user": place.user, "database": place.database, **parameters})
    )
    while True:
        frame = await wire.read_frame()
        if frame.kind == ord("R") and int.from_bytes(frame.payload[:4]) == 3:
            await wire.send(password(place.password))
        elif frame.kind == ord("S"):
            name, value = parameter(frame)
            client.parameters[name] = value
        elif frame.kind == ord("K"):
            payload = frame.payload
            client.key_data = (
                int.from_bytes(payload[:4]),
                int.from_bytes(payload[4:8]),
            )
        elif frame.kind == ord("E"):
            raise LoginRefused(error_fields(frame).message)
        elif frame.kind == ord("Z"):
            return
