"""A small deployment on loopback: hosts as processes, stand-ins of the platform here.

The store keeps copies of itself and can come back from one of them, as in a drill. The
databases and the order to promote are the project's own stand-ins.
"""

import copy
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

from rattanhollow_standins.platform import (
    DatabaseServer,
    LineClient,
    ServiceGroup,
    serve_database,
)
from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.platform._serve import Promotions, serve_promotions
from rattanhollow_standins.store import ObjectTable

ROOT = Path(__file__).resolve().parents[1]
ZONES = {"lothian-a": "lothian", "tayside-a": "tayside", "highland-a": "highland"}
SERVICE = "bookings"
TENANT = "kirk"
KEY, WITHDRAWN_KEY = "k-kirk-0001", "k-kirk-0002"
# The figures of the small deployment on the page SYSTEM.
STORE_WRITES_PER_S, STORE_READS_PER_S, STORE_ANSWER_S = 400, 2_000, 0.004
SLOTS, CONNECTIONS, PROMOTE_S = 3, 21, 0.6
BOUNDS = {
    "stable_window_ms": 5_000,
    "drain_ms": 7_000,
    "grace_s": 6,
    "config_apply_ms": 4_000,
    "quota_slack": 20,
}
# A process over its machine's memory is killed, and started again shortly after. The
# rule allows fewer than three such ends on two machines.
MEMORY_BYTES = 300_000_000
MEMORY_LOOK_S, RESTART_S = 0.05, 1.0
ENDS_ON_A_MACHINE, MACHINES = 3, 2
PAGE = 500
DESCRIBE_S = 0.1
STARTED_WITHIN_S = 20.0
ANSWER_WITHIN_S = 5.0
LISTENING_PORTS = 8
PORTS = range(10_000, 30_000)
PLAYED_AT_MOST_S = 115.0
RECORDED_CHARACTERS = 40


class Record:
    """The lines of ``record.txt``; times count from the beginning of the run."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._began_s = trio.current_time()

    @property
    def now_s(self) -> float:
        """Seconds since the beginning."""
        return trio.current_time() - self._began_s

    def add(self, event: str, **values: object) -> None:
        """Write one line."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{self.now_s:8.3f} {event} {fields}\n")
        self._file.flush()


class DrilledTable(ObjectTable):
    """Objects that can go back to an earlier copy; ``era`` counts how often they did.

    ``away`` while the store answers nobody.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.away = False
        self.written: Counter[str] = Counter()

    def copy(self) -> tuple[int, dict[tuple[str, str], Any]]:
        """Return a copy of all objects, with the revision of the store."""
        return self.version, copy.deepcopy(self._objects)

    def come_back_from(self, saved: tuple[int, dict[tuple[str, str], Any]]) -> None:
        """Lose what was written since a copy; revisions are given out again."""
        self.version, objects = saved
        self._objects = copy.deepcopy(objects)
        kept = [change for change in self.history if change.version <= self.version]
        self.history.clear()
        self.history.extend(kept)
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def since(self, kind: str, version: int) -> list[Any] | None:
        """Return the changes after a revision; None for one that isn't there."""
        return None if version > self.version else super().since(kind, version)


class Store:
    """Serves the objects by HTTP, within the platform's rates."""

    def __init__(self, table: DrilledTable, record: Record) -> None:
        self.table = table
        self._record = record
        self._scopes: set[trio.CancelScope] = set()
        self._calls: Counter[tuple[int, str]] = Counter()

    def calls_in(self, from_s: float, until_s: float) -> int:
        """Return how many calls came between two times of the record."""
        return sum(n for (s, _), n in self._calls.items() if from_s <= s < until_s)

    async def run(self, address: str, port: int) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=address)
        await trio.serve_listeners(self._serve, listeners)

    def leave(self) -> None:
        """Answer nobody any more, and end all connections."""
        self.table.away = True
        for scope in list(self._scopes):
            scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope, suppress(trio.BrokenResourceError, h11.ProtocolError):
                if not self.table.away:
                    await self._converse(stream)
        finally:
            self._scopes.discard(scope)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _converse(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        head, body = None, b""
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                status, answer = await self._answer(head, body)
                await stream.send_all(_encoded(http, status, answer, self.table.era))
                http.start_next_cycle()
            else:
                return

    async def _answer(self, head: h11.Request, body: bytes) -> tuple[int, Any]:
        url = urlsplit(head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        method = head.method.decode()
        await trio.sleep(STORE_ANSWER_S)
        sort = "reads" if method == "GET" else "writes"
        most = STORE_READS_PER_S if method == "GET" else STORE_WRITES_PER_S
        second = int(self._record.now_s)
        self._calls[second, sort] += 1
        if "allow_stale" not in query and self._calls[second, sort] > most:
            return 429, {}
        if "watch" in query:
            return await self._watch(kind, query)
        status, answer = self._call(method, kind, name, query, body)
        if method != "GET":
            revision = self.table.version
            text = body.decode(errors="replace")
            self._record.add(
                "store", call=method, kind=kind, status=status, at=revision, body=text
            )
        return status, answer

    def _call(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        table = self.table
        if method == "GET" and not name:
            names = sorted(n for n in table.items(kind) if n > query.get("after", ""))
            items = [self._object(kind, n) for n in names[:PAGE]]
            return 200, {"items": items, "more": len(names) > PAGE, "at": table.version}
        if method == "GET":
            known = table.get(kind, name) is not None
            return (200, self._object(kind, name)) if known else (404, {})
        if method == "DELETE":
            if table.get(kind, name) is None:
                return 404, {}
            done = table.delete(kind, name, int(query.get("revision", "0")))
            return (200, {}) if done else (409, self._object(kind, name))
        wanted = msgspec.json.decode(body)
        if method == "POST":
            name = wanted["meta"]["name"]
            entry = table.create(kind, name, wanted["spec"])
        elif table.get(kind, name) is None:
            return 404, {}
        else:
            revision = wanted["meta"].get("revision", 0)
            known_entry = table.get(kind, name)
            entry = known_entry
            if known_entry is None or known_entry.version != revision:
                entry = None
            elif known_entry.spec != wanted["spec"]:
                entry = table.replace(kind, name, wanted["spec"], revision)
        return (200 if entry else 409), self._object(kind, name)

    def _object(self, kind: str, name: str) -> dict[str, Any]:
        entry = self.table.get(kind, name)
        assert entry is not None
        meta = {
            "name": name,
            "revision": entry.version,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": entry.spec, "status": {}}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        table, since = self.table, int(query["watch"])
        changes = table.since(kind, since)
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while changes is not None and not changes:
                await table.wait_for_change()
                changes = table.since(kind, since)
        if changes is None:
            return 410, {"at": table.version}
        events = [
            {
                "deleted": change.type == "DELETED",
                "object": {
                    "meta": {"name": change.name, "revision": change.version},
                    "spec": change.spec,
                },
            }
            for change in changes
        ]
        return 200, {"events": events, "at": table.version}


def _encoded(http: h11.Connection, status: int, answer: Any, era: int) -> bytes:
    content = msgspec.json.encode(answer)
    headers = [("content-length", str(len(content))), ("store-era", str(era))]
    data = http.send(h11.Response(status_code=status, headers=headers)) or b""
    data += http.send(h11.Data(data=content)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


class RecordedPromotions(Promotions):
    """The platform's call that promotes; ``accepted`` holds what it accepted."""

    def __init__(
        self, groups: list[ServiceGroup], nursery: trio.Nursery, record: Record
    ) -> None:
        super().__init__(groups, nursery)
        self.accepted: list[tuple[str, str, str, int]] = []
        self._record = record

    async def order(self, service: str, server: str, holder: str, token: int) -> int:
        """Take one order and return the HTTP status of its answer."""
        status = await super().order(service, server, holder, token)
        self._record.add(
            "promotion",
            service=service,
            id=server,
            holder=holder,
            token=token,
            status=status,
        )
        if status == 200:
            self.accepted.append((service, server, holder, token))
        return status


class Database:
    """One database at its address; ``served`` ends its listener and connections."""

    def __init__(self, server: DatabaseServer, address: str) -> None:
        self.server = server
        self.address = address
        self.served = trio.CancelScope()
        self.left = False


class HostProcess:
    """One host, started by the command of the deploy file."""

    def __init__(self, name: str, address: str, settings: Path, log: Path) -> None:
        self.name = name
        self.address = address
        self._settings = settings
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RATTANHOLLOW_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-S", "-m", "rattanhollow.host"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def resident_bytes(self) -> int:
        """Return the process's resident memory, 0 where there is no process."""
        if self._process is None:
            return 0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) * 1_024 if found is not None else 0

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if it is there."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process at once, and wait for that."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class MemoryWatch:
    """Kills a process that exceeds its machine's memory, and starts it again."""

    def __init__(self, deployment: "Deployment") -> None:
        self.ends: Counter[str] = Counter()
        self.highest: Counter[str] = Counter()
        self._deployment = deployment

    @property
    def failed(self) -> bool:
        """Whether processes ended three times on two machines."""
        ends = [n for n in self.ends.values() if n >= ENDS_ON_A_MACHINE]
        return len(ends) >= MACHINES

    async def watch(self, host: HostProcess) -> None:
        """Watch the process of one machine until cancelled."""
        record = self._deployment.record
        while True:
            await trio.sleep(MEMORY_LOOK_S)
            resident = host.resident_bytes()
            self.highest[host.name] = max(self.highest[host.name], resident)
            if host.runs and resident <= MEMORY_BYTES:
                continue
            by_memory = host.runs
            host.end()
            record.add(
                "ended",
                host=host.name,
                resident_mb=resident // 1_000_000,
                memory_exceeded=by_memory,
            )
            self.ends[host.name] += by_memory
            await trio.sleep(RESTART_S)
            host.start()

    def report(self) -> None:
        """Write down how much memory was used, and which processes ended."""
        record = self._deployment.record
        highest = {name: size // 1_000_000 for name, size in self.highest.items()}
        record.add("highest-resident-mb", **highest)
        record.add("ends", **self.ends)
        if self.failed:
            record.add("BROKEN", ends=sum(self.ends.values()))


class Deployment:
    """Three hosts in three zones, three databases, the store, the call to promote."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        database: type[DatabaseServer] = DatabaseServer,
    ) -> None:
        self._database = database
        self.record = record
        self.table = DrilledTable()
        self.store = Store(self.table, record)
        self.hosts: list[HostProcess] = []
        self.databases: list[Database] = []
        self.group: ServiceGroup
        self.promotions: RecordedPromotions
        self.configuration: dict[str, Any] = {}
        self._folder = folder
        self._net = random.randint(20, 220)
        self._ports = _free_ports(f"127.{self._net}.0.1", LISTENING_PORTS)
        self._nursery: trio.Nursery
        self._ids = 0
        # Far from the identifiers that scenarios number themselves.
        self._requests = 1 << 32
        self._seen_runs: Counter[DatabaseServer] = Counter()

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Start everything, run a scenario, end everything."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start(nursery)
                await scenario()
                nursery.cancel_scope.cancel()
        finally:
            for host in self.hosts:
                host.end()

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration as the operator does; the store confirms it."""
        self.configuration = configuration(version, **changes)
        self._write("config", "main", self.configuration)

    async def drill(
        self, saved: tuple[int, dict[tuple[str, str], Any]], away_s: float
    ) -> None:
        """Take the store away for a moment; it comes back from a copy."""
        before = self.table.version
        self.record.add("store-away", at=before)
        self.store.leave()
        await trio.sleep(away_s)
        self.table.come_back_from(saved)
        self.table.away = False
        self.record.add(
            "store-back", at=self.table.version, before=before, era=self.table.era
        )

    async def leave(self, database: Database, stays_s: float) -> None:
        """Let a database leave as planned; another one takes its log and place."""
        database.server.draining = True
        self.record.add("draining", id=database.server.id)
        await trio.sleep(stays_s)
        database.left = True
        database.served.cancel()
        self._ids += 1
        successor = self.group.return_as(database.server, f"i-{100 + self._ids}")
        self._delete("servers", database.server.id)
        self.record.add("left", id=database.server.id, successor=successor.id)
        seated = Database(successor, database.address)
        self.databases.append(seated)
        await self._nursery.start(self._serve_database, seated)

    def find(self, server: DatabaseServer | None) -> Database:
        """Return the place of a database."""
        return next(d for d in self.databases if d.server is server)

    async def client(self, host: HostProcess, route: str, key: str) -> LineClient:
        """Begin a session; raises OSError, or Closed with the code of the refusal."""
        stream = await trio.open_tcp_stream(host.address, self._ports[0])
        client = LineClient(stream)
        error = await client.start(route, key)
        if error:
            await trio.aclose_forcefully(stream)
            raise Closed(error)
        return client

    async def ask(
        self, host: HostProcess, route: str, key: str, text: str, request_id: str
    ) -> str:
        """Run one statement in a session of its own; returns what came of it."""
        self.record.add(
            "sent", id=request_id, host=host.name, route=route, key=key, text=text
        )
        outcome = "no answer"
        client = None
        try:
            with trio.move_on_after(ANSWER_WITHIN_S):
                client = await self.client(host, route, key)
                answer = await client.query(text, request_id)
                outcome = answer.error or "success"
        except Closed as error:
            outcome = str(error) or "closed"
        except (OSError, trio.BrokenResourceError) as error:
            outcome = f"broken: {error}"
        finally:
            if client is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(client.stream)
        self.record.add("answered", id=request_id, outcome=outcome)
        return outcome

    async def query(self, client: LineClient, host: HostProcess, text: str) -> str:
        """Run one statement of an open session; returns the error code, if any."""
        self._requests += 1
        request_id = f"{self._requests:016x}"
        shown = text[:RECORDED_CHARACTERS]
        self.record.add(
            "sent", id=request_id, host=host.name, characters=len(text), text=shown
        )
        answer = await client.query(text, request_id)
        outcome = answer.error or "success"
        self.record.add(
            "answered", id=request_id, rows=len(answer.rows), outcome=outcome
        )
        return answer.error

    async def is_ready(self, host: HostProcess) -> bool:
        """Ask a host as the balancer does."""
        try:
            stream = await trio.open_tcp_stream(host.address, self._ports[1])
            async with stream:
                await stream.send_all(b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n")
                return (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
        except (OSError, trio.BrokenResourceError):
            return False

    async def until_ready(self) -> None:
        """Wait until all hosts say that they are ready."""
        with trio.fail_after(STARTED_WITHIN_S):
            for host in self.hosts:
                while not await self.is_ready(host):
                    await trio.sleep(0.05)

    def _write(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object as the operator or a database does, if that changes it."""
        known = self.table.get(kind, name)
        if known is not None and known.spec == spec:
            return
        if known is None:
            self.table.create(kind, name, spec)
        else:
            self.table.replace(kind, name, spec, known.version)
        self.record.add(
            "store", by="platform", kind=kind, name=name, at=self.table.version
        )

    def _delete(self, kind: str, name: str) -> None:
        known = self.table.get(kind, name)
        if known is not None:
            self.table.delete(kind, name, known.version)
            self.record.add("store", by="platform", gone=name, at=self.table.version)

    async def _start(self, nursery: trio.Nursery) -> None:
        inner = f"127.{self._net}"
        servers = [
            self._database(f"i-{n}", zone, SLOTS) for n, zone in enumerate(ZONES)
        ]
        for server in servers:
            server.max_connections = CONNECTIONS
        self.group = ServiceGroup(SERVICE, servers, nursery, promote_s=PROMOTE_S)
        self.promotions = RecordedPromotions([self.group], nursery, self.record)
        store, orders = f"{inner}.0.1", f"{inner}.0.2"
        nursery.start_soon(self.store.run, store, self._ports[2])
        await nursery.start(serve_promotions, self.promotions, orders, self._ports[3])
        for number, server in enumerate(servers):
            database = Database(server, f"{inner}.2.{number + 1}")
            self.databases.append(database)
            await nursery.start(self._serve_database, database)
        self.configure(101)
        nursery.start_soon(self._write_again)
        nursery.start_soon(self._record_runs)
        zones = list(ZONES)
        for number in range(len(zones)):
            address = f"{inner}.1.{number + 1}"
            fields = self._fields(number, address, zones[number])
            template = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
            settings = self._folder / f"host-{number}.ini"
            settings.write_text(render(template, fields), encoding="utf-8")
            log = self._folder / f"host-{number}.log"
            self.hosts.append(HostProcess(fields["node"], address, settings, log))
        for host in self.hosts:
            host.start()
        await self.until_ready()
        self.record.add("ready", hosts=len(self.hosts))

    def _fields(self, number: int, address: str, zone: str) -> dict[str, Any]:
        """Return the fields of a process's settings, as the platform fills them in."""
        front, ready, store, orders, inner, metrics = self._ports[:6]
        return {
            "node": f"front-{zone}-{number + 1}",
            "ip": address,
            "zone": zone,
            "zones": ZONES,
            "listen": {"front": f"{address}:{front}", "ready": f"{address}:{ready}"},
            "inner_ports": [inner, metrics],
            "first_start": False,
            "limits": {"memory_mb": 300, "max_fds": 4_300},
            "heartbeat_ms": 1_200,
            "contracts": [
                *("base", "drain", "config", "cost", "recover", "sql", "tenants"),
                *("quota", "platform"),
            ],
            "bounds": BOUNDS,
            "platform": {"address": f"127.{self._net}.0.1:{store}"},
            "cloud_api": {"address": f"127.{self._net}.0.2:{orders}"},
        }

    async def _serve_database(
        self,
        database: Database,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with database.served:
            while True:
                with suppress(OSError):
                    await serve_database(
                        self.group,
                        database.server,
                        database.address,
                        self._ports[6],
                        task_status=task_status,
                    )
                # The listener before it at this address is still being closed.
                await trio.sleep(0.02)

    async def _write_again(self) -> None:
        """Write what the store lacks of the operator's and the databases' objects."""
        while True:
            await trio.sleep(DESCRIBE_S)
            if self.table.away:
                continue
            self._write("config", "main", self.configuration)
            for database in self.databases:
                server = database.server
                if not (database.left or server.dark):
                    spec = self._describe(database)
                    self._write("servers", server.id, spec)

    def _describe(self, database: Database) -> dict[str, Any]:
        server = database.server
        return {
            "service": SERVICE,
            "address": f"{database.address}:{self._ports[6]}",
            "zone": server.zone,
            "version": "v1",
            "slots": server.slot_count,
            "state": "draining" if server.draining else "ready",
            "cold_left_ms": 0,
            "born": server.born_ms,
            "db_role": "primary" if server.leads else "replica",
            "seq_no": 1,
        }

    async def _record_runs(self) -> None:
        """Write down what the databases ran for requesters."""
        while True:
            await trio.sleep(DESCRIBE_S)
            for database in self.databases:
                server = database.server
                for run in server.runs[self._seen_runs[server] :]:
                    self.record.add(
                        "run",
                        server=server.id,
                        id=run.request_id,
                        tenant=run.organisation,
                        text=run.text[:RECORDED_CHARACTERS],
                    )
                self._seen_runs[server] = len(server.runs)


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration as operators write it."""
    routes = [
        route("newest", "primary"),
        route("bounded", "bounded_staleness"),
        route("session", "read_your_writes"),
    ]
    return {
        "version": version,
        "routes": [*routes, *changes.pop("more_routes", ())],
        "services": [{"name": SERVICE, "max_conns": CONNECTIONS, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 3_000},
        "tenants": [
            {
                "name": TENANT,
                "api_keys": changes.pop("keys", [KEY, WITHDRAWN_KEY]),
                "rate_per_s": 400,
                "burst": 400,
            }
        ],
        **changes,
    }


def route(name: str, kind: str) -> dict[str, Any]:
    """Return a route as operators write it."""
    return {
        "name": f"r-{name}",
        "host": name,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": 3_000 if kind == "bounded_staleness" else 1_000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": SERVICE,
        "max_stale_ms": 1_500,
        "anonymous": False,
    }


_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.@,]+)\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the page DEPLOY tells."""

    def look_up(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        sign, name, inner = match.groups()
        value = look_up(name)
        if sign == "^":
            return "" if value else inner
        if not value:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return inner
        parts = []
        for number, (key, entry) in enumerate(entries):
            text = inner.replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            comma = "," if number + 1 < len(entries) else ""
            parts.append(text.replace("{{,}}", comma))
        return "".join(parts)

    def value(match: re.Match[str]) -> str:
        found = look_up(match[1])
        if found is None:
            return ""
        return json.dumps(found) if isinstance(found, dict | list) else str(found)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _free_ports(address: str, count: int) -> list[int]:
    """Return ports that nobody uses now, below those of outgoing connections."""
    found: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as tried, suppress(OSError):
            tried.bind((address, port))
            found.append(port)
        if len(found) == count:
            break
    return found


async def _heed_termination(scope: trio.CancelScope) -> None:
    """End the run, and so the processes that it started, on SIGTERM."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def run_case(
    file: Path,
    scenario: Callable[[Deployment, bool], Awaitable[int]],
    database: type[DatabaseServer] = DatabaseServer,
) -> None:
    """Run the scenario of the case that ``file`` belongs to, and exit as it says.

    The second argument of the scenario is whether the disruption takes place.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main(folder: Path) -> int:
        record = Record(file.parent / "record.txt")
        record.add("begin", trouble=int(has_trouble))
        deployment = Deployment(record, folder, database)
        status = 2

        async def play() -> None:
            nonlocal status
            status = await scenario(deployment, has_trouble)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(_heed_termination, nursery.cancel_scope)
            with trio.move_on_after(PLAYED_AT_MOST_S):
                await deployment.run(play)
            nursery.cancel_scope.cancel()
        record.add("end", status=status)
        return status

    with tempfile.TemporaryDirectory() as folder:
        try:
            status = trio.run(main, Path(folder))
        except (OSError, trio.TooSlowError, ExceptionGroup) as error:
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            status = 2
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for log in Path(folder).glob("*.log"):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
    sys.exit(status)
