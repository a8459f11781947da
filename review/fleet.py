"""A small deployment: hosts as processes, stand-ins of the platform in this process.

Hosts run with the command of the deploy file and with settings like those that its
template renders. All addresses are loopback addresses; the port is a free one.
"""

import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio
from review_support.store import serve_store

from rattanhollow_standins.platform import (
    DatabaseServer,
    LineClient,
    ServiceGroup,
    serve_database,
)
from rattanhollow_standins.platform._cluster import configuration, describe, put
from rattanhollow_standins.platform._serve import Promotions, serve_promotions
from rattanhollow_standins.soak._link import FaultyLink, LinkFault
from rattanhollow_standins.store import ObjectTable

ROOT = Path(__file__).resolve().parents[3]
ZONES = {"lothian-a": "lothian", "tayside-a": "tayside", "highland-a": "highland"}
SERVICE = "bookings"
KEY = "k-kirk-0123456789"
TENANT = "kirk"
# The figures of sites/steeplechime-pool.toml.
HEARTBEAT_S = 1.2
PROMOTE_S = 0.6
REPLICA_LAG_S = 0.06
GEO_DELAY_S = 0.02
STORE_ANSWER_S = 0.004
DRAIN_S = 7.0
SLACK = 20
START_WITHIN_S = 25.0
DESCRIBE_S = 0.05
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """\
[host]
name = {name}
address = {address}
zone = {zone}
regions = {regions}
{first_start}
[listen]
callers = {address}:{port}
readiness = {address}:{ready}
peer_port = {peers}
metrics_port = {metrics}

[platform]
store = {store}:{store_port}
promotion = {promotion}:{store_port}

[bounds]
stop_s = 6
configuration_ms = 4000
heartbeat_ms = 1200

[rates]
slack = {slack}
"""


class NotRunError(Exception):
    """The case could not be run."""


class HostPlace(NamedTuple):
    """A host of the deployment."""

    name: str
    zone: str


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._began_s = trio.current_time()

    def note(self, text: str) -> None:
        """Write one line."""
        print(f"{self.seconds():8.3f} {text}", file=self._file, flush=True)

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return trio.current_time() - self._began_s


class HostProcess:
    """One host: its process, its settings and its log."""

    def __init__(self, place: HostPlace, address: str, settings: Path) -> None:
        self.place = place
        self.address = address
        self.settings = settings
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["host"]["run"])
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RATTANHOLLOW_BOOT"] = str(self.settings)
        with self.settings.with_suffix(".log").open("ab") as log:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it is there."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process at once and wait for that."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def log(self) -> list[str]:
        """Return the lines that the host wrote."""
        file = self.settings.with_suffix(".log")
        return file.read_text(errors="replace").splitlines() if file.exists() else []


class Fleet:
    """The stand-ins and the hosts; `run` ends all processes that it started."""

    def __init__(
        self,
        places: list[HostPlace],
        folder: Path,
        record: Record,
        zones: tuple[str, ...] = tuple(ZONES),
    ) -> None:
        self.record = record
        self.table = ObjectTable()
        self.hosts: dict[str, HostProcess] = {}
        self.store_links: dict[str, FaultyLink] = {}
        self.group: ServiceGroup
        self.promotions: Promotions
        self.port = _free_port()
        self._net = random.SystemRandom().randrange(10, 250)
        self._places = places
        self._folder = folder
        # Of the three databases; the first leads.
        self._zones = zones
        self._addresses: dict[str, str] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery

    def address(self, part: int, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f"127.{self._net}.{part}.{number}"

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start()
                task_status.started()
        finally:
            for host in self.hosts.values():
                host.end()

    def configure(self, version: int, **changes: Any) -> None:
        """Write the operators' configuration."""
        rates = {"rate_per_s": 1_000, "burst": 1_000}
        tenants = [{"name": TENANT, "api_keys": [KEY], **rates}]
        content = configuration(version, tenants=tenants, **changes)
        put(self.table, "config", "main", content)

    async def client(self, host: HostProcess, route: str, key: str = KEY) -> LineClient:
        """Begin a session; raises OSError or Closed where that fails."""
        stream = await trio.open_tcp_stream(host.address, self.port)
        client = LineClient(stream)
        error = await client.start(route, key)
        if error:
            await client.close()
            raise ConnectionError(error)
        return client

    async def is_ready(self, host: HostProcess) -> bool:
        """Ask a host as the platform's balancer does."""
        try:
            stream = await trio.open_tcp_stream(host.address, self.port + 1)
            async with stream:
                await stream.send_all(b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n")
                return (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
        except (OSError, trio.BrokenResourceError):
            return False

    async def until_ready(self, within_s: float) -> bool:
        """Wait until all hosts are ready; whether they were in time."""
        with trio.move_on_after(within_s):
            for host in self.hosts.values():
                while not await self.is_ready(host):
                    await trio.sleep(0.05)
            return True
        return False

    def start_hosts(self, first: bool) -> None:
        """Start all hosts; ``first`` is the first start of the whole system."""
        for number, place in enumerate(self._places):
            address = self.address(1, number + 1)
            settings = self._folder / f"{place.name}.ini"
            settings.write_text(
                SETTINGS.format(
                    name=place.name,
                    address=address,
                    zone=place.zone,
                    regions=",".join(f"{z}:{r}" for z, r in ZONES.items()),
                    first_start="first_start = yes\n" if first else "",
                    port=self.port,
                    ready=self.port + 1,
                    peers=self.port + 2,
                    metrics=self.port + 3,
                    store=self.address(4, number + 1),
                    store_port=self.port,
                    promotion=self.address(0, 2),
                    slack=SLACK,
                )
            )
            host = self.hosts.setdefault(
                place.name, HostProcess(place, address, settings)
            )
            host.start()

    async def release(self, server: DatabaseServer, successor: str) -> None:
        """Replace a database as planned work: a new one starts, the old one drains."""
        await self._add_database(successor, server.zone)
        await trio.sleep(1.0)
        server.draining = True
        self.record.note(f"plan: {server.id} drains, {successor} has joined")
        await trio.sleep(DRAIN_S + 1.0)
        server.dark = True
        self.group.servers.pop(server.id)
        entry = self.table.get("servers", server.id)
        if entry is not None:
            self.table.delete("servers", server.id, entry.version)
        self._scopes[server.id].cancel()
        self.record.note(f"plan: {server.id} has left")

    async def until_described(self, server: DatabaseServer) -> None:
        """Wait until the store has a database's report that it drains."""
        while True:
            entry = self.table.get("servers", server.id)
            if entry is not None and entry.spec["state"] == "draining":
                return
            await trio.sleep(0.002)

    async def _add_database(self, name: str, zone: str) -> None:
        """Start a replica that joins the service with all that its primary has."""
        server = DatabaseServer(name, zone, slots=3)
        server.lag_s = REPLICA_LAG_S
        leader = self.group.leader
        if leader is not None:
            server.log = list(leader.log)
            server.applied = len(server.log)
            server.term = self.group.term
        self.group.servers[name] = server
        await self._serve(server)

    async def _start(self) -> None:
        servers = [DatabaseServer(f"i-{n}", z) for n, z in enumerate(self._zones)]
        for server in servers:
            server.lag_s = REPLICA_LAG_S
        self.group = ServiceGroup(SERVICE, servers, self._nursery, promote_s=PROMOTE_S)
        self.promotions = Promotions([self.group], self._nursery)
        self.table.faults.delay_s = STORE_ANSWER_S
        store = (self.address(0, 1), self.port)
        orders = (self.address(0, 2), self.port)
        await self._nursery.start(serve_store, self.table, *store)
        await self._nursery.start(serve_promotions, self.promotions, *orders)
        for server in servers:
            await self._serve(server)
        self.configure(1)
        self._nursery.start_soon(self._describe_servers)
        for number, place in enumerate(self._places):
            link = FaultyLink((self.address(4, number + 1), self.port), store)
            # The store stands in the first zone, another geo is 20 ms away.
            if place.zone != next(iter(ZONES)):
                link.delay_s = GEO_DELAY_S
                link.set(LinkFault.DELAY)
            self.store_links[place.name] = link
            await self._nursery.start(link.run)
        self.start_hosts(first=True)
        if not await self.until_ready(START_WITHIN_S):
            raise NotRunError("the hosts were not ready in time")

    async def _serve(self, server: DatabaseServer) -> None:
        address = self.address(2, len(self._addresses) + 1)
        self._addresses[server.id] = address
        scope = self._scopes[server.id] = trio.CancelScope()

        async def serve(
            task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            with scope:
                await serve_database(
                    self.group, server, address, self.port, task_status
                )

        await self._nursery.start(serve)

    async def _describe_servers(self) -> None:
        """Describe the databases in the store, as they do themselves."""
        while True:
            for server in list(self.group.servers.values()):
                address = f"{self._addresses[server.id]}:{self.port}"
                describe(self.table, SERVICE, server, address)
            await trio.sleep(DESCRIBE_S)


def run_case(
    file: str, case: Callable[[Path, Record, bool], Awaitable[list[str]]]
) -> None:
    """Run a case, write its record and exit as the scripts of the review do.

    ``case(folder, record, trouble)`` returns what broke the rule. ``TROUBLE=0``
    leaves the disruption out.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    broken: list[str] = []

    async def main() -> None:
        record = Record(Path(file).resolve().parent / "record.txt")
        record.note(f"disruption: {'on' if trouble else 'off'}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_heed_stop)
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(118):
                broken.extend(await case(Path(folder), record, trouble))
            nursery.cancel_scope.cancel()
        for line in broken:
            record.note(f"BROKEN {line}")
        record.note("the rule was broken" if broken else "the rule held")

    try:
        trio.run(main)
    except* Exception as group:
        # Whatever stopped the case, it didn't show the rule broken.
        print(f"not run: {group.exceptions}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    print("\n".join(broken) or "the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


async def _heed_stop() -> None:
    """End the case, and the processes that it started, where somebody stops it."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            raise NotRunError(f"stopped by {signal.Signals(received).name}")


def _free_port() -> int:
    """Return the first of four ports that are free on loopback."""
    for _ in range(50):
        port = random.SystemRandom().randrange(20_000, 32_000)
        sockets = []
        try:
            for offset in range(4):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("0.0.0.0", port + offset))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise NotRunError("no free port")
