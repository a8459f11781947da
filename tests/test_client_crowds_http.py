"""Crowds of clients at a host's metrics and readiness addresses."""

from pathlib import Path

import pytest
import trio

from crowd_fleet import CrowdFleet, check, many, play_crowd
from rattanhollow_standins.soak._fleet import METRICS_PORT, READY_PORT

# More than the descriptors of `crowd_fleet`.
WIDE_CROWD = 250
PORTS = pytest.mark.parametrize(
    ("port", "path"), [(METRICS_PORT, "/metrics"), (READY_PORT, "/readiness")]
)
HEAD = "GET {} HTTP/1.1\r\nhost: x\r\n"
MEGABYTE = b"x" * (1 << 20)


@PORTS
@pytest.mark.parametrize("part", ["nothing", "half a head", "a whole request"])
def test_connections_that_stay(port: int, path: str, part: str, tmp_path: Path) -> None:
    """More connections than descriptors, silent in a request or behind it."""
    head = HEAD.format(path)
    said = {"nothing": "", "half a head": head, "a whole request": head + "\r\n"}[part]

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(said.encode())

    check(play_crowd(CrowdFleet(61, 1, tmp_path), many(WIDE_CROWD, port, talk)))


@PORTS
def test_requests_pipelined_unread(port: int, path: str, tmp_path: Path) -> None:
    """The responses are larger than the requests by far."""
    requests = (HEAD.format(path) + "\r\n").encode() * 20_000

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(requests)

    check(play_crowd(CrowdFleet(61, 1, tmp_path), many(100, port, talk)))


@PORTS
@pytest.mark.parametrize("part", ["head", "body", "body not sent"])
def test_requests_far_over_the_limit(
    port: int, path: str, part: str, tmp_path: Path
) -> None:
    """Heads and bodies of many megabytes, sent or only declared."""
    head = HEAD.format(path)
    first, more = {
        "head": (f"{head}y: ", 8),
        "body": (f"{head}content-length: 1000000000\r\n\r\n", 8),
        "body not sent": (f"{head}content-length: 1000000000\r\n\r\n", 0),
    }[part]

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(first.encode())
        for _ in range(more):
            await stream.send_all(MEGABYTE)

    check(play_crowd(CrowdFleet(61, 1, tmp_path), many(100, port, talk)))
