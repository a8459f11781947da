"""The stand-in that takes orders to promote outlasts hosts that are killed."""

import socket
import struct
from typing import Any

import trio

from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import PROMOTION_PORT


def test_a_reset_connection_ends_no_other(with_cluster: Any) -> None:
    """A host that was killed with an order on its way ended a whole soak."""

    async def scenario(cluster: LineCluster) -> None:
        address = cluster._address(0, 2)
        broken = await trio.open_tcp_stream(address, PROMOTION_PORT)
        await broken.send_all(b"POST /")
        await trio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        broken.socket.close()
        await trio.sleep(0.05)
        async with await trio.open_tcp_stream(address, PROMOTION_PORT) as other:
            await other.send_all(b"")

    with_cluster(scenario)
