"""The fleet of a soak: stand-ins of the platform here, hosts as processes."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import trio

from rattanhollow_standins.platform import (
    DatabaseServer,
    LineClient,
    ServiceGroup,
    serve_database,
    serve_objects,
)
from rattanhollow_standins.platform._cluster import (
    SETTINGS,
    ZONES,
    configuration,
    describe,
    put,
)
from rattanhollow_standins.platform._serve import Promotions, serve_promotions
from rattanhollow_standins.soak._link import FaultyLink
from rattanhollow_standins.store import ObjectTable

SERVICE = "bookings"
PORT = 7_200
CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7_203, 7_204, 7_205, 7_206
REPORT_S = 0.1
# An accepted order to promote takes effect so much later on the platform.
PROMOTE_S = 0.6
# Above rate and burst, as operators allow.
RATE_SLACK = 20
RATE_PER_S = 30
KEYS = {"kirk": "k-kirk-0123456789", "moor": "k-moor-0123456789"}
# Of an organisation that no caller has, so that its rate is never used up.
QUIET_KEYS = {"quay": "k-quay-0123456789"}
WITHDRAWN_KEY = "k-kirk-withdrawn-1"
START_WITHIN_S = 20.0


class HostProcess:
    """One host: its process, and what it writes."""

    def __init__(self, number: int, address: str, settings: Path, log: Path) -> None:
        self.number = number
        self.name = f"host-{number}"
        self.address = address
        self.disturbed_at_s = 0.0
        self.stopping_since_s: float | None = None
        self._settings = settings
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        self.stopping_since_s = None
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "rattanhollow.host"],
                env={**os.environ, "RATTANHOLLOW_BOOT": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if it is there."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    async def until_ended(self, within_s: float) -> bool:
        """Wait for the process to end by itself."""
        with trio.move_on_after(within_s):
            while self.runs:
                await trio.sleep(0.05)
        return not self.runs

    def end(self) -> None:
        """End the process at once, and wait for that."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Seat:
    """A database's place: its address behind a link, and what serves there.

    ``served`` is closed, with all connections, by cancelling it; ``closed`` is set
    once it is.
    """

    def __init__(
        self, address: str, server: DatabaseServer, inner: str, link: FaultyLink
    ) -> None:
        self.address = address
        self.server = server
        self.inner = inner
        self.link = link
        self.served = trio.CancelScope()
        self.closed = trio.Event()

    async def close(self) -> None:
        """End the listener and all connections."""
        self.served.cancel()
        await self.closed.wait()


class SoakFleet:
    """Everything that one soak runs; ``net`` keeps soaks apart.

    ``servers`` are all databases that there ever were, ``seats`` the present ones by
    identifier.
    """

    def __init__(self, net: int, hosts: int, folder: Path) -> None:
        self.table = ObjectTable()
        self.hosts: list[HostProcess] = []
        self.store_links: list[FaultyLink] = []
        self.servers: list[DatabaseServer] = []
        self.seats: dict[str, Seat] = {}
        self.group: ServiceGroup
        self.promotions: Promotions
        self._net = net
        self._count = hosts
        self._folder = folder
        self._crashed: set[DatabaseServer] = set()
        self._configuration: dict[str, Any] = {}
        self._evacuated: set[str] = set()
        self._nursery: trio.Nursery

    def address(self, part: int, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f"127.{self._net}.{part}.{number}"

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled; ends the processes that it started."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start(nursery)
                task_status.started()
        finally:
            for host in self.hosts:
                host.end()

    def configure(self, version: int, withdrawn: bool = False) -> None:
        """Write the operators' configuration; with or without the spare key."""
        tenants = [
            {
                "name": name,
                "api_keys": [key],
                "rate_per_s": RATE_PER_S,
                "burst": RATE_PER_S,
            }
            for name, key in {**KEYS, **QUIET_KEYS}.items()
        ]
        if not withdrawn:
            tenants[0]["api_keys"].append(WITHDRAWN_KEY)  # type: ignore[attr-defined]
        self._configuration = configuration(version, tenants=tenants)
        put(self.table, "config", "main", self._configuration)

    def write_again(self) -> None:
        """Write what the store may have lost, as operators and the platform do."""
        put(self.table, "config", "main", self._configuration)
        for zone in ZONES:
            if zone in self._evacuated:
                self.evacuate(zone)
            else:
                self.end_evacuation(zone)
        for id in self.table.items("servers"):
            if id not in self.seats:
                self.lapse(id)

    def evacuate(self, zone: str) -> None:
        """Ask that nothing more be sent to the databases of a zone."""
        self._evacuated.add(zone)
        put(self.table, "evacuations", zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Let the databases of a zone be used again."""
        self._evacuated.discard(zone)
        entry = self.table.get("evacuations", zone)
        if entry is not None:
            self.table.delete("evacuations", zone, entry.version)

    async def client(self, host: HostProcess, route: str, key: str) -> LineClient:
        """Begin a session; raises OSError or Closed where that fails."""
        stream = await trio.open_tcp_stream(host.address, CALLER_PORT)
        client = LineClient(stream)
        error = await client.start(route, key)
        if error:
            await client.close()
            raise ConnectionError(error)
        return client

    async def is_ready(self, host: HostProcess) -> bool:
        """Ask a host as the balancer does."""
        try:
            stream = await trio.open_tcp_stream(host.address, READY_PORT)
            async with stream:
                await stream.send_all(b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n")
                return (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
        except (OSError, trio.BrokenResourceError):
            return False

    async def crash(self, server: DatabaseServer, silent: bool) -> None:
        """Stop a database; a silent one's connections stay open."""
        self._crashed.add(server)
        self.group.crash(server)
        if not silent:
            await self.seats[server.id].close()

    def is_up(self, server: DatabaseServer) -> bool:
        """Whether a database has not crashed, or was started again."""
        return server not in self._crashed

    async def restart(self, server: DatabaseServer) -> None:
        """Start a crashed replica again under its identifier."""
        await self.seats[server.id].close()
        self._crashed.discard(server)
        self.group.restart(server)
        await self._sit_down(server, self.seats[server.id])

    async def return_as(self, server: DatabaseServer, id: str) -> None:
        """Start a crashed database again under another identifier, at its address."""
        await self.seats[server.id].close()
        returned = self.group.return_as(server, id)
        await self._sit_down(returned, self.seats.pop(server.id))

    def lapse(self, id: str) -> None:
        """Remove the description of a database that is gone."""
        entry = self.table.get("servers", id)
        if entry is not None:
            self.table.delete("servers", id, entry.version)

    async def _sit_down(self, server: DatabaseServer, old: Seat) -> None:
        """Serve a database at the place of ``old``."""
        seat = Seat(old.address, server, old.inner, old.link)
        self.seats[server.id] = seat
        if server not in self.servers:
            self.servers.append(server)
        await self._nursery.start(self._serve, seat)

    async def _serve(self, seat: Seat, task_status: trio.TaskStatus[None]) -> None:
        with seat.served:
            await serve_database(
                self.group, seat.server, seat.inner, PORT, task_status=task_status
            )
        seat.closed.set()

    async def _start(self, nursery: trio.Nursery) -> None:
        servers = [DatabaseServer(f"i-{n}", zone) for n, zone in enumerate(ZONES)]
        self.group = ServiceGroup(SERVICE, servers, nursery, promote_s=PROMOTE_S)
        self.promotions = Promotions([self.group], nursery)
        store = (self.address(0, 1), PORT)
        orders = (self.address(0, 2), PORT)
        await nursery.start(serve_objects, self.table, *store, {})
        await nursery.start(serve_promotions, self.promotions, *orders)
        for number, server in enumerate(servers):
            address, inner = self.address(2, number + 1), self.address(3, number + 1)
            link = FaultyLink((address, PORT), (inner, PORT))
            await self._sit_down(server, Seat(address, server, inner, link))
            await nursery.start(link.run)
        self.configure(1)
        nursery.start_soon(self._describe_servers)
        for number in range(self._count):
            link = FaultyLink((self.address(4, number + 1), PORT), store)
            self.store_links.append(link)
            await nursery.start(link.run)
            self.hosts.append(self._host(number))
        with trio.fail_after(START_WITHIN_S):
            for host in self.hosts:
                host.start()
            for host in self.hosts:
                while not await self.is_ready(host):
                    await trio.sleep(0.05)

    def _host(self, number: int) -> HostProcess:
        zones = list(ZONES)
        address = self.address(1, number + 1)
        settings = self._folder / f"host-{number}.ini"
        content = SETTINGS.format(
            number=number,
            address=address,
            zone=zones[number % len(zones)],
            regions=", ".join(f"{z}:{r}" for z, r in ZONES.items()),
            callers=CALLER_PORT,
            ready=READY_PORT,
            peers=PEER_PORT,
            metrics=METRICS_PORT,
            store=self.address(4, number + 1),
            requested="places",
            store_port=PORT,
            promotion=self.address(0, 2),
            promotion_port=PORT,
        )
        settings.write_text(f"{content}slack = {RATE_SLACK}\n")
        return HostProcess(
            number, address, settings, self._folder / f"host-{number}.log"
        )

    async def _describe_servers(self) -> None:
        """Describe the databases in the store; a dark one's entry lapses."""
        while True:
            for id, seat in self.seats.items():
                if not self.table.faults.down and id in self.group.servers:
                    describe(self.table, SERVICE, seat.server, f"{seat.address}:{PORT}")
            await trio.sleep(REPORT_S)
