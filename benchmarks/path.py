"""The proxy's path against a bare relay, in one run."""

import json
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import NamedTuple

import trio

from benchmarks.load import drive, open_all
from benchmarks.processes import Process, running
from rattanhollow.configuration import apply_note, digest_of, read_note
from rattanhollow.coordination import (
    GROUP_KIND,
    GroupState,
    Position,
    Succession,
    group_state_spec,
)
from rattanhollow.store import NO_REVISION, http_store
from rattanhollow_standins.client import Place

STORE = "127.70.0.1"
MEMBERS = ["127.70.2.1", "127.70.2.2", "127.70.2.3"]
PROXY = "127.70.1.1"
RELAY = "127.70.1.9"
KEY = "benchmark-key-0123456789"
CONNECTIONS = 16
STATEMENTS = 20_000
QUIET_STATEMENTS = 2_000
IDLE_CONNECTIONS = 1_000
READ = "SELECT note FROM slots WHERE number = 1"
WRITE = "INSERT INTO slots VALUES (1, 'climb')"


class Measured(NamedTuple):
    """One way through, with one kind of statement."""

    name: str
    cpu_us: float
    per_core_s: float
    quiet_p50_ms: float
    busy_p99_ms: float


def proxy_settings(name: str, address: str, zone: str) -> str:
    """Return the settings of the proxy under test."""
    return (
        f"[host]\nname = {name}\naddress = {address}\nzone = {zone}\n"
        f"[store]\nurl = http://{STORE}:7070\n"
        "[backend]\nuser = u\npassword = p\nconnections = 16\n"
    )


async def set_up() -> None:
    """Write configuration and group state into the store."""
    store = http_store(f"http://{STORE}:7070", 2_000)
    members = ", ".join(f"m{n}={a}:5432@z{n}" for n, a in enumerate(MEMBERS))
    note = (
        "[note]\nid = a\nbase = 0\noperator = bench\n[add organisation kirk]\n"
        f"[add key kirk/desk]\ndigest = {digest_of(KEY)}\n"
        f"[add database bookings]\nmembers = {members}\n"
    )
    (await apply_note(store, read_note("bench", note), "bench")).unwrap()
    succession = Succession(1, Position(0, 0))
    state = GroupState(
        1, "m0", 1, "bench", "bench", (succession,), ("m0", "m1", "m2"), 1
    )
    spec = group_state_spec(state)
    (await store.put(GROUP_KIND, "bookings", spec, NO_REVISION)).unwrap()


@contextmanager
def canned_fleet() -> Iterator[tuple[Process, Process]]:
    """Run store, canned members, a relay and a proxy; the last two are given."""
    with ExitStack() as stack, tempfile.TemporaryDirectory() as folder:
        store_file = Path(folder) / "store.ini"
        store_file.write_text(f"[store]\naddress = {STORE}\nport = 7070\n")
        proxy_file = Path(folder) / "proxy.ini"
        proxy_file.write_text(proxy_settings("bench", PROXY, "z0"))
        program = ["-m", "rattanhollow"]
        store = [*program, "stand-in", "--settings", str(store_file)]
        stack.enter_context(running(store, "ready"))
        for address in MEMBERS:
            stack.enter_context(running(["-m", "benchmarks.canned", address]))
        trio.run(set_up)
        relay = ["-m", "benchmarks.relay", RELAY, "6432", MEMBERS[0], "5432"]
        proxy = [*program, "proxy", "--settings", str(proxy_file)]
        yield (
            stack.enter_context(running(relay)),
            stack.enter_context(running(proxy, "event=proxy.ready")),
        )


async def measure(
    name: str, process: Process, place: Place, sql: str, **parameters: str
) -> Measured:
    """Measure one way through ``process``."""
    clients = await open_all(place, CONNECTIONS, **parameters)
    await drive(clients, sql, STATEMENTS // 10)
    quiet = await drive(clients[:1], sql, QUIET_STATEMENTS)
    before_s = process.cpu_s()
    busy = await drive(clients, sql, STATEMENTS)
    cpu_us = (process.cpu_s() - before_s) / STATEMENTS * 1_000_000
    for client in clients:
        await client.close()
    return Measured(
        name,
        cpu_us,
        1_000_000 / cpu_us,
        quiet.quantile_ms(0.5),
        busy.quantile_ms(0.99),
    )


async def idle_memory_kb(process: Process, place: Place) -> float:
    """Return what a thousand idle connections add, in kilobytes."""
    before_kb = process.resident_kb()
    clients = await open_all(place, IDLE_CONNECTIONS)
    added_kb = process.resident_kb() - before_kb
    for client in clients:
        await client.close()
    return added_kb * 1_000 / IDLE_CONNECTIONS


async def measure_all(relay: Process, proxy: Process) -> list[Measured]:
    """Measure relay and proxy with reads and writes."""
    direct = Place(RELAY, 6432, "kirk", KEY, "bookings")
    through = Place(PROXY, 6432, "kirk", KEY, "bookings")
    narrow = {"options": "-c rattanhollow.scope=connection"}
    return [
        await measure("relay, read", relay, direct, READ),
        await measure("proxy, read, index each", proxy, through, READ),
        await measure("proxy, read, by connection", proxy, through, READ, **narrow),
        await measure("relay, write", relay, direct, WRITE),
        await measure("proxy, write, confirmed", proxy, through, WRITE),
    ]


def run() -> None:
    """Print the comparison."""
    with canned_fleet() as (relay, proxy):
        floor_kb = proxy.resident_kb()
        rows = trio.run(measure_all, relay, proxy)
        place = Place(PROXY, 6432, "kirk", KEY, "bookings")
        idle_kb = trio.run(idle_memory_kb, proxy, place)
        relay_place = place._replace(address=RELAY)
        relay_kb = trio.run(idle_memory_kb, relay, relay_place)
    base = {"read": rows[0], "write": rows[3]}
    print(f"{'way':30} {'CPU us':>8} {'ratio':>6} {'per core/s':>10} ", end="")
    print(f"{'p50 alone ms':>13} {'p99 busy ms':>12}")
    for row in rows:
        floor = base["write" if "write" in row.name else "read"]
        print(
            f"{row.name:30} {row.cpu_us:8.0f} {row.cpu_us / floor.cpu_us:6.2f} "
            f"{row.per_core_s:10.0f} {row.quiet_p50_ms:13.2f} {row.busy_p99_ms:12.2f}"
        )
    print(f"a thousand idle connections: {idle_kb / 1000:.1f} MB ", end="")
    print(f"(relay {relay_kb / 1000:.1f} MB)")
    print(f"resident after start: {floor_kb / 1000:.1f} MB")
    print(json.dumps([row._asdict() for row in rows]))
