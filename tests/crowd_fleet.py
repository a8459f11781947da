"""One host as a process, with stand-ins of what it needs, for crowds of clients."""

import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, Protocol

import trio

from rattanhollow_standins.platform import LineClient
from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.platform._cluster import configuration, put
from rattanhollow_standins.soak import _fleet as soak

# The smallest host may use 152 MB; a process with ordinary traffic needs about 42 MB.
MEMORY_BYTES = 152_000_000
DESCRIPTORS = 200
LIMITS = f"""
[limits]
memory_mb = {MEMORY_BYTES // 1_000_000}
descriptors = {DESCRIPTORS}
"""
KEY = "k-kirk-0123456789"
ROUTE = "bounded"
# Large enough that no test meets the rate, which isn't what they are about.
RATE_PER_S = 100_000
# Crowds get this long to do harm, the host this long to serve again.
HARM_S = 6.0
RECOVERY_S = 12.0
RETRY_S = 0.2
LONGEST_S = 55.0
SMALL_BUFFER_BYTES = 4_096


class Use(NamedTuple):
    """What a process was seen to use."""

    peak_bytes: int
    descriptors: int


class CrowdFleet(soak.SoakFleet):
    """One host process; its settings have limits."""

    def configure(self, version: int, withdrawn: bool = False) -> None:
        """Write a configuration without small rates."""
        tenant = {
            "name": "kirk",
            "api_keys": [KEY],
            "rate_per_s": RATE_PER_S,
            "burst": RATE_PER_S,
        }
        content = configuration(version, tenants=[tenant])
        put(self.table, "config", "main", content)

    def _host(self, number: int) -> soak.HostProcess:
        host = super()._host(number)
        with host._settings.open("a") as file:
            file.write(LIMITS)
        return host

    @property
    def target(self) -> str:
        """The host's address."""
        return self.hosts[0].address

    @property
    def process_id(self) -> int:
        """The identifier of the host's process."""
        process = self.hosts[0]._process
        assert process is not None
        return process.pid

    async def session(self) -> LineClient:
        """Begin an ordinary session, trying again until the time is over."""
        while True:
            try:
                return await self.client(self.hosts[0], ROUTE, KEY)
            except (OSError, Closed):
                await trio.sleep(RETRY_S)

    async def is_served(self, client: LineClient) -> None:
        """Run an ordinary request until it succeeds; a refused one is repeated."""
        while (await client.query("READ ordinary")).error:
            await trio.sleep(RETRY_S)


class Subject(Protocol):
    """What a crowd is let loose on: a process, with stand-ins of what it needs."""

    @property
    def target(self) -> str:
        """The address of the process."""

    @property
    def process_id(self) -> int:
        """Its identifier."""

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""

    async def session(self) -> Any:
        """Begin an ordinary session, trying again until the time is over."""

    async def is_served(self, client: Any) -> None:
        """Run an ordinary request until it succeeds; a refused one is repeated."""


def used(process_id: int) -> Use:
    """Return what a process uses, with its peak of resident memory."""
    proc = Path(f"/proc/{process_id}")
    status = proc.joinpath("status").read_text().splitlines()
    assert not any(s.startswith("State:\tZ") for s in status), "the process ended"
    peak_kb = next(int(s.split()[1]) for s in status if s.startswith("VmHWM"))
    return Use(peak_kb * 1024, len(list(proc.joinpath("fd").iterdir())))


Crowd = Callable[[Any, trio.Nursery], Awaitable[None]]


def play_crowd(subject: Subject, crowd: Crowd) -> Use:
    """Let a crowd loose on a process; returns the most that it used.

    An ordinary session from before is asked while the crowd is there, a new one is
    begun when it has left.
    """
    most = Use(0, 0)

    async def watch() -> None:
        nonlocal most
        while True:
            most = Use(*map(max, most, used(subject.process_id)))
            await trio.sleep(0.05)

    async def main() -> None:
        with trio.fail_after(LONGEST_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(subject.run)
                earlier = await subject.session()
                await subject.is_served(earlier)
                nursery.start_soon(watch)
                async with trio.open_nursery() as clients:
                    await crowd(subject, clients)
                    await trio.sleep(HARM_S)
                    with trio.fail_after(RECOVERY_S):
                        await subject.is_served(earlier)
                    clients.cancel_scope.cancel()
                with trio.fail_after(RECOVERY_S):
                    await subject.is_served(await subject.session())
                    await subject.is_served(earlier)
                used(subject.process_id)
                nursery.cancel_scope.cancel()

    failure = ""
    try:
        trio.run(main)
    except BaseExceptionGroup as group:
        failure = repr(group)
    # A traceback would keep the listeners of the stand-ins open.
    assert not failure, f"{failure}, {most}"
    return most


async def connect(address: str, port: int) -> trio.SocketStream:
    """Connect with a small receive buffer, so that responses stay with the sender."""
    raw = trio.socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await raw.connect((address, port))
    return trio.SocketStream(raw)


Talk = Callable[[trio.SocketStream], Awaitable[None]]
# What a client of a crowd may meet: it is refused, or closed.
TURNED_AWAY = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


def many(count: int, port: int, talk: Talk) -> Crowd:
    """Return a crowd of ``count`` clients that each ``talk``, then stay silent."""

    async def one(address: str) -> None:
        try:
            stream = await connect(address, port)
            async with stream:
                await talk(stream)
                await trio.sleep_forever()
        except TURNED_AWAY:
            return

    async def crowd(subject: Subject, nursery: trio.Nursery) -> None:
        for _ in range(count):
            nursery.start_soon(one, subject.target)

    return crowd


def check(use: Use) -> None:
    """Check what a process used against what its host has."""
    print(f"peak {use.peak_bytes / 1e6:.0f} MB, {use.descriptors} descriptors")
    assert use.peak_bytes <= MEMORY_BYTES
    assert use.descriptors <= DESCRIPTORS
