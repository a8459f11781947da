"""One odd entry of another writer ends no host, hides no other entry, stops no watch.

Entries as other operators and the users met them, and more of their kinds. Each goes
into the store while hosts serve; then a new server must be learnt of, a host that
starts must become ready, and callers must be served as before.
"""

from typing import Any

import msgspec
import pytest
import trio

from rattanhollow.store import Follower, Listing, Stored
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import SERVICE, configuration, put

ENTRY = {
    "service": SERVICE,
    "address": "127.0.0.9:8080",
    "zone": "lothian-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq_no": 1,
    "born": 1,
}


def raw(text: bytes) -> msgspec.Raw:
    """Return JSON that the stand-in store sends as it is."""
    return msgspec.Raw(text)


ODD_ENTRIES: dict[str, Any] = {
    "a number of 39 digits": {**ENTRY, "seq_no": raw(b"9" * 39)},
    "40 nested lists": {**ENTRY, "zone": raw(b"[" * 40 + b"]" * 40)},
    "a megabyte": {**ENTRY, "more": "x" * 1_000_000},
}  # fmt: skip


@pytest.mark.parametrize("odd", ODD_ENTRIES)
def test_an_odd_entry_harms_nothing_else(odd: str, with_cluster: Any) -> None:
    """Processes ended or saw no other entry (review/2, review/3, users' runs)."""

    async def scenario(cluster: LineCluster) -> None:
        client, error = await cluster.client(0, "newest")
        assert error == ""
        put(cluster.table, "servers", "x-of-another-writer", ODD_ENTRIES[odd])
        await trio.sleep(0.3)
        put(cluster.table, "servers", "z-good", ENTRY)
        cluster.start_host(3)
        with trio.fail_after(15):
            for host in cluster.hosts.values():
                while not (host.ready and host.directory.find("z-good")):
                    await trio.sleep(0.05)
        assert not (await client.query("WRITE a 1")).error
        assert (await client.query("READ a")).rows == ("1",)
        for host in cluster.hosts.values():
            assert host.directory.find("x-of-another-writer") is None
            assert len(host.directory.list_servers(SERVICE)) == 4
        cluster.configure(configuration(2, tenants=[]))
        with trio.fail_after(8):
            for number in cluster.hosts:
                while (await cluster.client(number, "newest"))[1] != "NOAUTH":
                    await trio.sleep(0.05)

    with_cluster(scenario)


def test_many_large_entries_break_no_message(with_cluster: Any) -> None:
    """Together they were larger than a message between hosts may be."""

    async def scenario(cluster: LineCluster) -> None:
        for number in range(4):
            large = {**ENTRY, "more": "x" * 900_000}
            put(cluster.table, "servers", f"x-{number}", large)
        put(cluster.table, "servers", "z-good", ENTRY)
        with trio.fail_after(15):
            for host in cluster.hosts.values():
                while not host.directory.find("z-good"):
                    await trio.sleep(0.05)

    with_cluster(scenario)


def test_a_failing_reader_keeps_no_object_from_being_taken() -> None:
    """An error nobody foresaw concerns one object, and is logged."""
    taken: list[str] = []

    def take(item: Stored | None, name: str) -> None:
        if name == "b":
            raise RuntimeError("a reader's fault")
        taken.append(name)

    follower = Follower("servers", take)
    items = [Stored("servers", name, n + 1, {}) for n, name in enumerate("abc")]
    follower.take_list(Listing(3, items))
    assert taken == ["a", "c"] and follower.version == 3
