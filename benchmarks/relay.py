"""A bare relay: bytes both ways, nothing read. The floor to compare with."""

import sys

import trio

RECEIVE_BYTES = 65_536
BACKLOG = 512


async def copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    """Copy until the source ends."""
    try:
        while data := await source.receive_some(RECEIVE_BYTES):
            await sink.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    await trio.aclose_forcefully(source)
    await trio.aclose_forcefully(sink)


async def main(address: str, port: int, target: str, target_port: int) -> None:
    """Relay from ``address`` to ``target`` until killed."""

    async def handle(stream: trio.SocketStream) -> None:
        other = await trio.open_tcp_stream(target, target_port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(copy, stream, other)
            nursery.start_soon(copy, other, stream)

    listeners = await trio.open_tcp_listeners(port, host=address, backlog=BACKLOG)
    print("ready", flush=True)
    await trio.serve_listeners(handle, listeners)


if __name__ == "__main__":
    trio.run(main, sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]))
