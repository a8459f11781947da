"""Crowds of clients at the port of a host's links to other hosts."""

from pathlib import Path

import pytest
import trio
import zmq

from crowd_fleet import CrowdFleet, check, many, play_crowd
from rattanhollow.peer import Pong
from rattanhollow.peer._messages import LARGEST_MESSAGE_BYTES, Ping, decode, encode
from rattanhollow_standins.platform import LineClient
from rattanhollow_standins.soak._fleet import PEER_PORT

# More than the descriptors of `crowd_fleet`.
WIDE_CROWD = 250
# As many connections as overfill the memory with 64 large messages each.
LARGE_CROWD = 20
# ZMTP 3.1: a greeting without encryption, and the command that ends the handshake.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x01NULL" + bytes(16 + 32)
SOCKET_TYPE = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
READY = bytes([4, len(SOCKET_TYPE)]) + SOCKET_TYPE
LONG_FRAME = b"\x02"
CONNECTION_S = 5.0


class LinkFleet(CrowdFleet):
    """A host whose links are asked, too."""

    async def is_served(self, client: LineClient) -> None:
        """Run an ordinary request, and ask the host for a sign of life."""
        await super().is_served(client)
        context = zmq.Context()
        try:
            with trio.fail_after(CONNECTION_S):
                link = context.socket(zmq.DEALER)
                link.connect(f"tcp://{self.target}:{PEER_PORT}")
                link.send(encode(1, Ping()))
                while not link.poll(0):
                    await trio.sleep(0.05)
                assert decode(link.recv()) == (1, Pong())
        finally:
            context.destroy(linger=0)


@pytest.mark.parametrize(
    "said", [b"", GREETING[:10], GREETING, GREETING + READY], ids=range(4)
)
def test_handshakes_that_stop(said: bytes, tmp_path: Path) -> None:
    """More connections than descriptors, none of which sends a message."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(said)

    crowd = many(WIDE_CROWD, PEER_PORT, talk)
    check(play_crowd(LinkFleet(63, 1, tmp_path), crowd))


@pytest.mark.parametrize("sent_bytes", [0, 8 << 20])
def test_messages_far_over_the_limit(sent_bytes: int, tmp_path: Path) -> None:
    """A frame of a gibibyte, declared only or sent in part."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING + READY + LONG_FRAME)
        await stream.send_all((1 << 30).to_bytes(8) + bytes(sent_bytes))

    crowd = many(100, PEER_PORT, talk)
    check(play_crowd(LinkFleet(63, 1, tmp_path), crowd))


@pytest.mark.parametrize("piece_bytes", [1 << 30, 4_096])
def test_messages_of_legal_size(piece_bytes: int, tmp_path: Path) -> None:
    """Many at once; what can't be decoded is refused."""
    size = LARGEST_MESSAGE_BYTES - 1_024
    message = LONG_FRAME + size.to_bytes(8) + b"x" * size

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING + READY)
        for _ in range(64):
            for start in range(0, len(message), piece_bytes):
                await stream.send_all(message[start : start + piece_bytes])

    crowd = many(LARGE_CROWD, PEER_PORT, talk)
    check(play_crowd(LinkFleet(63, 1, tmp_path), crowd))


def test_messages_that_stop(tmp_path: Path) -> None:
    """All but the end of a legal message arrives."""
    size = LARGEST_MESSAGE_BYTES - 1_024
    message = LONG_FRAME + size.to_bytes(8) + b"x" * (size - 1)

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING + READY + message)

    crowd = many(100, PEER_PORT, talk)
    check(play_crowd(LinkFleet(63, 1, tmp_path), crowd))


def test_questions_whose_answers_are_not_read(tmp_path: Path) -> None:
    """Signs of life are asked for without end."""
    ping = encode(1, Ping())
    messages = (bytes([0, len(ping)]) + ping) * 20_000

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING + READY)
        await stream.send_all(messages)

    crowd = many(LARGE_CROWD, PEER_PORT, talk)
    check(play_crowd(LinkFleet(63, 1, tmp_path), crowd))
