"""A backend server that answers at once from memory, so that it costs little."""

import sys

import trio

from rattanhollow.pgwire import (
    ConnectionLost,
    Wire,
    authentication_ok,
    backend_key_data,
    command_complete,
    data_row,
    parameter_status,
    ready_for_query,
    row_description,
)

LIMIT_BYTES = 1 << 20
PORT = 5_432
POSITION = "1/100"
QUERY = ord("Q")

READY = ready_for_query(b"I")
GREETING = authentication_ok() + backend_key_data(1, 1) + READY
ROWS = row_description(["note"]) + data_row([b"climb"]) + command_complete("SELECT 1")
READ = ROWS + READY
WRITE = (
    command_complete("INSERT 0 1")
    + parameter_status("replication_position", POSITION)
    + READY
)
WAIT = (
    parameter_status("replication_applied", POSITION) + command_complete("WAIT") + READY
)
PROOF = (
    row_description(["position"])
    + data_row([POSITION.encode()])
    + command_complete("SELECT 1")
    + READY
)
STATUS = (
    row_description(["name", "role", "term", "fenced_term", "end", "applied"])
    + data_row([b"m", b"x", b"1", b"1", b"1/100", b"1/100"])
    + command_complete("SELECT 1")
    + READY
)


def answer(text: bytes) -> bytes:
    """Return the answer to one query."""
    if text.startswith(b"REPLICATION W"):
        return WAIT
    if text.startswith((b"REPLICATION L", b"REPLICATION C")):
        return PROOF
    if text.startswith(b"REPLICATION"):
        return STATUS
    return WRITE if text.startswith(b"INSERT") else READ


async def serve_connection(stream: trio.SocketStream) -> None:
    """Answer one connection until it ends."""
    try:
        length = int.from_bytes(await stream.receive_some(4))
        await stream.receive_some(length - 4)
        await stream.send_all(GREETING)
        wire = Wire(stream, LIMIT_BYTES)
        while True:
            out = [
                answer(frame.raw[5:])
                for frame in await wire.read_frames()
                if frame.kind == QUERY
            ]
            if out:
                await wire.send(b"".join(out))
    except (ConnectionLost, trio.BrokenResourceError):
        return


async def main(addresses: list[str]) -> None:
    """Listen at all addresses until killed."""
    listeners = []
    for address in addresses:
        listeners.extend(await trio.open_tcp_listeners(PORT, host=address))
    print("ready", flush=True)
    await trio.serve_listeners(serve_connection, listeners)


if __name__ == "__main__":
    trio.run(main, sys.argv[1:])
