"""A small fleet in one process: stand-ins of the platform, and hosts."""

from typing import Any

import trio

from rattanhollow.host import Host, build_host, platform_ends
from rattanhollow.settings import line_host_settings_from
from rattanhollow_standins.platform._client import LineClient
from rattanhollow_standins.platform._group import DatabaseServer, ServiceGroup
from rattanhollow_standins.platform._objects_api import serve_objects
from rattanhollow_standins.platform._serve import (
    Promotions,
    serve_database,
    serve_promotions,
)
from rattanhollow_standins.store import ObjectTable

ZONES = {"lothian-a": "lothian", "tayside-a": "tayside", "highland-a": "highland"}
SERVICE = "bookings"
KEY = "k-0123456789abcdef"
ORGANISATION = "kirk"
STORE_PORT, PROMOTION_PORT, DATABASE_PORT = 7_100, 7_101, 7_102
CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7_103, 7_104, 7_105, 7_106
REPORT_INTERVAL_S = 0.02
READY_POLL_S = 0.02

SETTINGS = """
[host]
name = host-{number}
address = {address}
zone = {zone}
regions = {regions}

[listen]
callers = {address}:{callers}
readiness = {address}:{ready}
peer_port = {peers}
metrics_port = {metrics}

[platform]
store = {store}:{store_port}
promotion = {promotion}:{promotion_port}
requested = {requested}

[bounds]
stop_s = 3

[rates]
settle_ms = 1
"""


def route(
    name: str, kind: str, service: str = SERVICE, **changes: Any
) -> dict[str, Any]:
    """Return a route as operators write it."""
    return {
        "name": f"r-{name}",
        "host": name,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": 2_000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_stale_ms": 1_500,
        "anonymous": False,
        **changes,
    }


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration as operators write it."""
    return {
        "version": version,
        "routes": [
            route("newest", "primary"),
            route("bounded", "bounded_staleness"),
            route("session", "read_your_writes"),
        ],
        "services": [{"name": SERVICE, "max_conns": 20, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 1_000},
        "tenants": [
            {
                "name": ORGANISATION,
                "api_keys": [KEY],
                "rate_per_s": 1_000,
                "burst": 1_000,
            }
        ],
        **changes,
    }


def put(table: ObjectTable, kind: str, name: str, spec: dict[str, Any]) -> None:
    """Write an object, where that changes anything."""
    known = table.get(kind, name)
    if known is None:
        table.create(kind, name, spec)
    elif known.spec != spec:
        table.replace(kind, name, spec, known.version)


def describe(
    table: ObjectTable, service: str, server: DatabaseServer, address: str
) -> None:
    """Describe a database as it does itself; a dark one says nothing."""
    if server.dark:
        return
    spec = {
        "service": service,
        "address": address,
        "zone": server.zone,
        "version": "v1",
        "slots": server.slot_count,
        "state": "draining" if server.draining else "ready",
        "cold_left_ms": 0,
        "born": server.born_ms,
        "db_role": "primary" if server.leads else "replica",
        "seq_no": 1,
    }
    put(table, "servers", server.id, spec)


class LineCluster:
    """Stand-ins and hosts on loopback addresses; ``net`` keeps clusters apart.

    ``requested`` are the capabilities that the platform asks of the hosts.
    """

    def __init__(
        self, net: int, hosts: int = 3, seed: int = 1, requested: str = ""
    ) -> None:
        self._requested = requested
        self.net = net
        self.table = ObjectTable()
        self.turned_away: dict[str, int] = {}
        self.hosts: dict[int, Host] = {}
        self.group: ServiceGroup
        self.promotions: Promotions
        self._count = hosts
        self._seed = seed
        self._scopes: dict[int, trio.CancelScope] = {}
        self.nursery: trio.Nursery

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run everything until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            databases = [DatabaseServer(f"i-{n}", zone) for n, zone in enumerate(ZONES)]
            self.group = ServiceGroup(SERVICE, databases, nursery)
            self.promotions = Promotions([self.group], nursery)
            await nursery.start(
                serve_objects,
                self.table,
                self._address(0, 1),
                STORE_PORT,
                self.turned_away,
            )
            await nursery.start(
                serve_promotions, self.promotions, self._address(0, 2), PROMOTION_PORT
            )
            for number, database in enumerate(databases):
                address = self._address(2, number + 1)
                await nursery.start(
                    serve_database, self.group, database, address, DATABASE_PORT
                )
            nursery.start_soon(self._report)
            self.configure(configuration(1))
            for number in range(self._count):
                self.start_host(number)
            await self.until_ready()
            task_status.started()

    def configure(self, content: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        put(self.table, "config", "main", content)

    def evacuate(self, zone: str) -> None:
        """Ask that nothing more be sent to the databases of a zone."""
        put(self.table, "evacuations", zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Let the databases of a zone be used again."""
        entry = self.table.get("evacuations", zone)
        assert entry is not None
        self.table.delete("evacuations", zone, entry.version)

    def start_host(self, number: int) -> None:
        """Start a host, or start it again."""
        zones = list(ZONES)
        settings = line_host_settings_from(
            "settings.ini",
            SETTINGS.format(
                number=number,
                address=self._address(1, number + 1),
                zone=zones[number % len(zones)],
                regions=", ".join(f"{z}:{r}" for z, r in ZONES.items()),
                callers=CALLER_PORT,
                ready=READY_PORT,
                peers=PEER_PORT,
                metrics=METRICS_PORT,
                store=self._address(0, 1),
                store_port=STORE_PORT,
                promotion=self._address(0, 2),
                promotion_port=PROMOTION_PORT,
                requested=self._requested,
            ),
        )
        host = build_host(settings, platform_ends(settings), self._seed + number)
        self.hosts[number] = host
        self._scopes[number] = trio.CancelScope()
        self.nursery.start_soon(self._run_host, host, self._scopes[number])

    def kill_host(self, number: int) -> None:
        """End a host without a farewell."""
        self._scopes.pop(number).cancel()
        del self.hosts[number]

    def host_address(self, number: int) -> str:
        """Return a host's address."""
        return self._address(1, number + 1)

    async def until_ready(self) -> None:
        """Wait until all hosts serve, know one another and all servers."""
        while True:
            ready = [
                host.ready
                and len(host.hosts.all()) == len(self.hosts)
                and len(host.directory.list_servers(SERVICE)) == len(self.group.servers)
                for host in self.hosts.values()
            ]
            if all(ready):
                return
            await trio.sleep(READY_POLL_S)

    async def client(
        self, number: int, route_name: str, key: str = KEY
    ) -> tuple[LineClient, str]:
        """Begin a session at a host; returns it, and an error code or nothing."""
        stream = await trio.open_tcp_stream(self.host_address(number), CALLER_PORT)
        client = LineClient(stream)
        return client, await client.start(route_name, key)

    def _address(self, part: int, number: int) -> str:
        return f"127.{self.net}.{part}.{number}"

    async def _run_host(self, host: Host, scope: trio.CancelScope) -> None:
        with scope:
            await host.run()

    async def _report(self) -> None:
        """Describe the databases in the store, as they do themselves."""
        while True:
            for number, server in enumerate(self.group.servers.values()):
                address = f"{self._address(2, number + 1)}:{DATABASE_PORT}"
                describe(self.table, self.group.name, server, address)
            await trio.sleep(REPORT_INTERVAL_S)
