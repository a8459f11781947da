"""Crowds of clients at a proxy's PostgreSQL door."""

import itertools
import struct
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from crowd_fleet import (
    DESCRIPTORS,
    MEMORY_BYTES,
    RETRY_S,
    TURNED_AWAY,
    Crowd,
    check,
    connect,
    many,
    play_crowd,
)
from rattanhollow.pgwire import ConnectionLost, Wire, query
from rattanhollow_standins import client as callers
from rattanhollow_standins.client import Client, LoginRefused
from rattanhollow_standins.fleet import BACKEND_PASSWORD, CALLER_PORT, Fleet

FRAME_BYTES = 1 << 20
SETTINGS = f"""
[host]
name = proxy-0
address = {{address}}
zone = lothian
[listen]
port = {CALLER_PORT}
[store]
url = {{url}}
[backend]
user = rattanhollow
password = {BACKEND_PASSWORD}
[limits]
frame_bytes = {FRAME_BYTES + 1_024}
callers = {DESCRIPTORS - 50}
transaction_idle_ms = 3000
memory_mb = {MEMORY_BYTES // 1_000_000}
"""
# So many frames of full size overfill the 110 MB beside ordinary traffic.
LARGE_CROWD = 140
# More than the descriptors of `crowd_fleet`.
WIDE_CROWD = 250
WIDE_CHARACTER = "\U0001f600"
START_S = 0.5
# A failed test may leave listeners behind until its exception is gone.
NETS = itertools.cycle((62, 64, 65, 66, 67))


class ProxyFleet(Fleet):
    """One proxy as a process."""

    def __init__(self, folder: Path) -> None:
        super().__init__(next(NETS), proxies=1)
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def target(self) -> str:
        """The proxy's address."""
        return self.addresses.proxy(0)

    @property
    def process_id(self) -> int:
        """The identifier of the proxy's process."""
        assert self._process is not None
        return self._process.pid

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled; ends the process that it started."""
        try:
            await super().run(task_status)
        finally:
            if self._process is not None:
                self._process.kill()
                self._process.wait()

    async def start_proxy(self, number: int) -> None:
        """Start the proxy."""
        settings = self._folder / "proxy.ini"
        settings.write_text(SETTINGS.format(address=self.target, url=self.url))
        command = [sys.executable, "-m", "rattanhollow", "proxy", "--settings"]
        with (self._folder / "proxy.log").open("ab") as log:
            self._process = subprocess.Popen(
                [*command, str(settings)], stdout=log, stderr=log
            )

    async def wait_for_primary(self) -> None:
        """Return once a session begins and a read is answered."""
        while True:
            with trio.move_on_after(START_S):
                client = await self.session()
                if (await client.run("SELECT 1")).error is None:
                    await client.close()
                    return

    async def session(self) -> Client:
        """Begin an ordinary session, trying again until the time is over."""
        while True:
            try:
                return await callers.connect(self.place(0))
            except (ConnectionLost, LoginRefused, OSError):
                await trio.sleep(RETRY_S)

    async def is_served(self, client: Client) -> None:
        """Run an ordinary request until it succeeds; a refused one is repeated."""
        while (await client.run("SELECT 1")).error is not None:
            await trio.sleep(RETRY_S)


def frame(kind: bytes, payload: bytes) -> bytes:
    """Return a frame."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def full_text() -> bytes:
    """Return a statement of the largest legal size."""
    head = f"SELECT '{WIDE_CHARACTER}".encode()
    return head + b"x" * (FRAME_BYTES - len(head) - 2) + b"'\0"


def logged_in(count: int, talk: Callable[[Client], Awaitable[None]]) -> Crowd:
    """Return a crowd that logs in, then talks and never reads again."""

    async def one(fleet: ProxyFleet) -> None:
        try:
            stream = await connect(fleet.target, CALLER_PORT)
            async with stream:
                client = Client(Wire(stream, 1 << 26))
                await callers._log_in(client, fleet.place(0), {})
                await talk(client)
                await trio.sleep_forever()
        except (*TURNED_AWAY, ConnectionLost, LoginRefused):
            return

    async def crowd(fleet: ProxyFleet, nursery: trio.Nursery) -> None:
        for _ in range(count):
            nursery.start_soon(one, fleet)

    return crowd


def says(
    data: bytes, piece_bytes: int = 1 << 30
) -> Callable[[Client], Awaitable[None]]:
    """Return what sends data in pieces."""

    async def talk(client: Client) -> None:
        for start in range(0, len(data), piece_bytes):
            await client.wire.send(data[start : start + piece_bytes])
            await trio.lowlevel.checkpoint()

    return talk


@pytest.mark.parametrize("said", [b"", b"\0\0", b"\0\0\x20\0\0\x03\0\0user\0"])
def test_startups_that_stop(said: bytes, tmp_path: Path) -> None:
    """More connections than descriptors, none of which logs in."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(said)

    check(play_crowd(ProxyFleet(tmp_path), many(WIDE_CROWD, CALLER_PORT, talk)))


@pytest.mark.parametrize("piece_bytes", [1 << 30, 4_096])
def test_frames_of_full_size_at_once(piece_bytes: int, tmp_path: Path) -> None:
    """Every frame is legal; all together are more than the host's memory."""
    talk = says(frame(b"Q", full_text()), piece_bytes)
    check(play_crowd(ProxyFleet(tmp_path), logged_in(LARGE_CROWD, talk)))


def test_frames_that_stop_before_their_end(tmp_path: Path) -> None:
    """All but the end of a legal frame arrives."""
    talk = says(frame(b"Q", full_text())[:-2])
    check(play_crowd(ProxyFleet(tmp_path), logged_in(LARGE_CROWD, talk)))


@pytest.mark.parametrize("sent_bytes", [0, 4 << 20])
def test_frames_far_over_the_limit(sent_bytes: int, tmp_path: Path) -> None:
    """A frame of a gibibyte, declared only or sent in part."""
    talk = says(b"Q" + struct.pack("!I", 1 << 30) + bytes(sent_bytes))
    check(play_crowd(ProxyFleet(tmp_path), logged_in(LARGE_CROWD, talk)))


def test_a_batch_without_its_end(tmp_path: Path) -> None:
    """Frames of full size follow one another, without a Sync."""
    parse = frame(b"P", b"\0" + full_text()[:-64] + b"'\0" + b"\0\0")
    talk = says(parse * 60)
    check(play_crowd(ProxyFleet(tmp_path), logged_in(4, talk)))


def test_prepared_statements_that_a_session_keeps(tmp_path: Path) -> None:
    """One session prepares statements of full size until the memory is full."""
    text = full_text()[:-64] + b"'\0"

    async def talk(client: Client) -> None:
        for number in range(100):
            name = f"s{number}\0".encode()
            await client.wire.send(frame(b"P", name + text + b"\0\0"))
            await client.wire.send(frame(b"S", b""))
            await client.read_result()

    check(play_crowd(ProxyFleet(tmp_path), logged_in(2, talk)))


def test_statements_pipelined_unread(tmp_path: Path) -> None:
    """Each response has full size; they fill the socket, then the proxy."""
    talk = says(query("SELECT '" + "x" * 900_000 + "'") * 40)
    check(play_crowd(ProxyFleet(tmp_path), logged_in(60, talk)))


def test_transactions_that_stop(tmp_path: Path) -> None:
    """More sessions than descriptors, each inside a transaction."""
    talk = says(query("BEGIN") + query("SELECT 1"))
    check(play_crowd(ProxyFleet(tmp_path), logged_in(WIDE_CROWD, talk)))
