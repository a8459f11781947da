"""TCP sockets with the options that this program wants of all of them."""

import socket
from typing import NamedTuple

import trio

BACKLOG = 512


class Keepalive(NamedTuple):
    """When a silent connection is given up.

    ``user_timeout_ms`` bounds how long sent bytes may stay unacknowledged.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_ms: int


# A caller may be idle for long; one that vanished holds memory only.
CALLER_KEEPALIVE = Keepalive(10, 5, 3, 20_000)


def tune_socket(stream: trio.SocketStream, keepalive: Keepalive) -> None:
    """Set keepalive and user timeout, so that a vanished peer is noticed."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive.idle_s)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive.interval_s)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive.probes)
    timeout_ms = keepalive.user_timeout_ms
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def connect_from(
    local_address: str, address: str, port: int, keepalive: Keepalive
) -> trio.SocketStream:
    """Connect from ``local_address``; the caller bounds the time.

    Raises:
        OSError: no connection.

    """
    raw = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if local_address:
            await raw.bind((local_address, 0))
        await raw.connect((address, port))
        stream = trio.SocketStream(raw)
        tune_socket(stream, keepalive)
    except BaseException:
        raw.close()
        raise
    return stream


async def listen_at(address: str, port: int) -> trio.SocketListener:
    """Return a listener at ``address``.

    Raises:
        OSError: the address can't be bound.

    """
    listeners = await trio.open_tcp_listeners(port, host=address, backlog=BACKLOG)
    return listeners[0]
