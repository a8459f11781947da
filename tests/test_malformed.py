"""One malformed message ends no process, and costs nobody else an answer.

Random bytes at each port of a host, and messages between hosts whose fields are of
other types or of absurd sizes; then the host has to serve callers as before.
"""

import random
from typing import Any

import msgspec
import pytest
import trio
import zmq

from rattanhollow.peer._messages import MESSAGE_TYPES, PROTOCOL_VERSION, Envelope
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import (
    CALLER_PORT,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
)

PORTS = (CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT)
STARTS = (
    b"",
    b"GET ",
    b"GET /\xff\xfe HTTP/1.1\r\nhost: x\r\n\r\n",
    b"POST /readiness HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
    b"CONNECT \xc3\x28 ",
    b"QUERY\r\n",
    b"\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f",
)
ODD_VALUES: tuple[Any, ...] = (
    None, -1, 2**63, 1e308, float("nan"), "", "\0", "x" * 9_000, [], [[]], {}, b"\xff",
    True, [["kirk", -5]], [["kirk", 2**40]], ["", 1.0],
)  # fmt: skip


def _odd_message(rng: random.Random, name: str) -> bytes:
    """Return a message whose envelope can be read and whose body is random."""
    fields = [rng.choice(ODD_VALUES) for _ in range(rng.randrange(8))]
    body = msgspec.Raw(msgspec.msgpack.encode(fields))
    return msgspec.msgpack.encode(
        Envelope(PROTOCOL_VERSION, rng.randrange(2**31), name, body)
    )


async def _send_bytes(address: str, port: int, data: bytes) -> None:
    stream = await trio.open_tcp_stream(address, port)
    async with stream:
        with trio.move_on_after(0.05):
            try:
                await stream.send_all(data)
                await stream.receive_some(100)
            except trio.BrokenResourceError:
                return


async def _still_serves(cluster: LineCluster) -> None:
    client, error = await cluster.client(0, "newest")
    assert error == ""
    assert not (await client.query("WRITE a 1")).error
    assert (await client.query("READ a")).rows == ("1",)


@pytest.mark.parametrize("port", PORTS)
def test_random_bytes_end_no_host(port: int, with_cluster: Any) -> None:
    """At each port, also with beginnings that look like the protocol."""

    async def scenario(cluster: LineCluster) -> None:
        rng = random.Random(port)
        for number in range(60):
            data = STARTS[number % len(STARTS)] + rng.randbytes(rng.randrange(300))
            await _send_bytes(cluster.host_address(0), port, data)
        await _still_serves(cluster)

    with_cluster(scenario)


def test_odd_messages_of_another_host_end_no_host(with_cluster: Any) -> None:
    """Every type of message, with fields that no host of this program sends."""

    async def scenario(cluster: LineCluster) -> None:
        rng = random.Random(1)
        context = zmq.Context()
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{cluster.host_address(0)}:{PEER_PORT}")
        for name in MESSAGE_TYPES:
            for _ in range(40):
                parts = [_odd_message(rng, name)] * rng.choice((1, 1, 3))
                await trio.to_thread.run_sync(socket.send_multipart, parts)
        for garbage in (b"", b"\x00", rng.randbytes(500)):
            await trio.to_thread.run_sync(socket.send, garbage)
        await trio.sleep(0.2)
        socket.close(linger=0)
        context.destroy(linger=0)
        await _still_serves(cluster)

    with_cluster(scenario)
