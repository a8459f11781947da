"""The slopes that docs/CAPACITY.md is worked out from.

Each is measured in this process, by processor time or traced memory over many
repetitions; ``./dev bench slopes`` prints them all.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
import trio.testing

from rattanhollow.backend import Credentials, Group, Groups, PoolSettings
from rattanhollow.configuration import (
    Configuration,
    Database,
    Key,
    Member,
    Organisation,
    configuration_from_spec,
    configuration_reader,
    digest_of,
    spec_of,
)
from rattanhollow.coordination import GroupState, Position, Succession, ranked
from rattanhollow.membership import HostRecord
from rattanhollow.peer import (
    PeerAddress,
    Peers,
    SuspicionAnswer,
    SuspicionQuestion,
    new_peer_keys,
)
from rattanhollow.peer._messages import encode
from rattanhollow.pgwire import Watchdog, Wire
from rattanhollow.records import to_spec
from rattanhollow.sql import classify
from rattanhollow.store import Follower, follow, http_store
from rattanhollow_standins.store import ObjectTable, serve_store

DATABASES = 940
ORGANISATIONS = 2_000
HOSTS = 660
ADDRESS, PEER, STORE = "127.72.0.1", "127.72.0.2", "127.72.0.3"
PORT = 6_433


def show(name: str, value: float, unit: str) -> None:
    """Print one slope."""
    print(f"  {name:58} {value:10.1f} {unit}")


def processor_us(repeat: int, work: Callable[[], Any]) -> float:
    """Return the processor time of ``work``, in microseconds."""
    work()
    began_s = time.process_time()
    for _ in range(repeat):
        work()
    return (time.process_time() - began_s) / repeat * 1_000_000


async def processor_us_async(repeat: int, work: Callable[[], Awaitable[Any]]) -> float:
    """Return the processor time of ``work``, in microseconds."""
    await work()
    began_s = time.process_time()
    for _ in range(repeat):
        await work()
    return (time.process_time() - began_s) / repeat * 1_000_000


def traced_bytes(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return what ``build`` makes, and the memory that it keeps."""
    gc.collect()
    tracemalloc.start()
    made = build()
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, kept


def database(number: int) -> Database:
    """Return a database of three members."""
    members = tuple(
        Member(f"m{at}", f"10.{number // 250}.{number % 250}.{at}", 5432, f"zone-{at}")
        for at in range(3)
    )
    return Database(f"database-{number}", members)


def configuration() -> Configuration:
    """Return a configuration of the letter's size."""
    organisations = {}
    for number in range(ORGANISATIONS):
        name = f"organisation-{number}"
        keys = tuple(Key(f"key-{at}", digest_of(f"{name}{at}")) for at in range(2))
        organisations[name] = Organisation(name, keys)
    databases = {f"database-{n}": database(n) for n in range(DATABASES)}
    return Configuration(390, organisations, databases, ("note",) * 200)


def measure_configuration() -> None:
    """Size, memory and processor time of the whole configuration."""
    whole, kept = traced_bytes(configuration)
    spec = spec_of(whole)
    encoded = msgspec.json.encode(spec)
    alone = len(msgspec.json.encode(to_spec(whole.databases["database-1"])))
    show("configuration, stored size", len(encoded) / 1000, "KB")
    show("  of which one database", alone, "bytes")
    show("configuration, in memory", kept / 1e6, "MB")
    decode_us = processor_us(5, lambda: msgspec.json.decode(encoded))
    read_us = processor_us(5, lambda: configuration_from_spec(spec))
    read = configuration_reader()
    read(spec)
    one = whole.organisations["organisation-1"]._replace(max_age_ms=5)
    organisations = whole.organisations | {"organisation-1": one}
    changed = spec_of(whole._replace(organisations=organisations))
    began_s = time.process_time()
    read(changed)
    again_ms = (time.process_time() - began_s) * 1000
    show("configuration, building what one change changed", again_ms, "ms of CPU")
    show("configuration, decoding the JSON", decode_us / 1000, "ms of CPU")
    show("configuration, checking and building", read_us / 1000, "ms of CPU")


def measure_groups() -> None:
    """Memory of the groups that a host knows."""
    watchdog = Watchdog()
    credentials = Credentials("u", "p", 1000)
    settings = PoolSettings(credentials, watchdog, 4, 3000, 500, 2000)
    databases = {f"database-{n}": database(n) for n in range(DATABASES)}

    def build() -> Groups:
        groups = Groups(lambda d: Group(d, settings, random.Random(1)))
        trio.run(groups.take_databases, databases)
        return groups

    groups, kept = traced_bytes(build)
    assert len(groups.all()) == DATABASES
    show("a database group known to a host", kept / DATABASES, "bytes")


def measure_ranking() -> None:
    """Processor time of choosing a group's watchers."""
    hosts = [f"host-{number}" for number in range(HOSTS)]
    ranking_us = processor_us(20, lambda: ranked("database-1", hosts))
    show("ranking 660 hosts for one group", ranking_us, "us of CPU")


def measure_watchdog() -> None:
    """Processor time of one look at all connections of a host."""
    watchdog = Watchdog()
    for _ in range(3_000):
        watchdog.add(Wire(trio.testing.memory_stream_pair()[0], 1000))
    look_us = processor_us(50, lambda: watchdog.check(0.0))
    show("one look of the watchdog at 3,000 connections", look_us, "us of CPU")


def measure_sql() -> None:
    """Processor time of classifying a text seen for the first time."""
    text = "SELECT a, b, count(*) FROM t JOIN u USING (id) WHERE c = $1 GROUP BY a, b"
    show(
        "classifying a new statement text",
        processor_us(200, lambda: classify(text)),
        "us",
    )


async def measure_peers() -> None:
    """Processor time and bytes of one question and its answer, both ends."""
    state = GroupState(3, "m1", 3, "a" * 32, "host-1", (Succession(3, Position(2, 9)),))

    async def handle(question: Any) -> Any:
        return SuspicionAnswer("host-2", "zone-2", False, state)

    keys = new_peer_keys()
    one = Peers(ADDRESS, new_peer_keys(), lambda key: True, handle)
    other = Peers(PEER, keys, lambda key: True, handle)
    address = PeerAddress("other", PEER, PORT, keys.public.decode())
    question = SuspicionQuestion("database-1", 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run, PORT)
        nursery.start_soon(other.run, PORT)
        await trio.sleep(0.2)
        both_us = await processor_us_async(
            500, lambda: one.ask(address, question, 1000)
        )
        nursery.cancel_scope.cancel()
    show("a question to a peer and its answer, both ends", both_us, "us of CPU")
    answer = SuspicionAnswer("host-2", "zone-2", False, state)
    size = len(encode(1, question)) + len(encode(1, answer))
    show("  its messages, before encryption", size, "bytes")


async def measure_store() -> None:
    """Processor time of calls to the store, the stand-in's share included."""
    table = ObjectTable()
    record = HostRecord("host-1", "10.0.0.1", "zone-1", 6433, "k" * 40, "i" * 16)
    spec = to_spec(record)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_store, table, STORE, 7070)
        store = http_store(f"http://{STORE}:7070", 2000)
        for number in range(HOSTS):
            table.create("hosts", f"host-{number}", spec)
        get_us = await processor_us_async(200, lambda: store.get("hosts", "host-1"))
        show("a read of one object, both ends", get_us, "us of CPU")
        list_us = await processor_us_async(10, lambda: store.list("hosts"))
        show("a list of 660 hosts, both ends", list_us / 1000, "ms of CPU")
        seen = 0

        def note(item: Any, name: str) -> None:
            nonlocal seen
            seen += 1

        follower = Follower("hosts", note)
        nursery.start_soon(follow, store, follower, random.Random(1))
        await follower.listed.wait()
        await trio.sleep(0.2)
        seen = 0
        began_s = time.process_time()
        for number in range(HOSTS):
            entry = table.get("hosts", f"host-{number}")
            assert entry is not None
            table.replace("hosts", f"host-{number}", spec, entry.version)
            await trio.sleep(0)
        while seen < HOSTS:
            await trio.sleep(0.01)
        event_us = (time.process_time() - began_s) / HOSTS * 1_000_000
        show("an event of a watch, both ends", event_us, "us of CPU")
        show("  its size", len(msgspec.json.encode(spec)) + 90, "bytes")
        nursery.cancel_scope.cancel()


def run() -> None:
    """Print all slopes."""
    print("slopes")
    measure_configuration()
    measure_groups()
    measure_ranking()
    measure_watchdog()
    measure_sql()
    trio.run(measure_peers)
    trio.run(measure_store)
