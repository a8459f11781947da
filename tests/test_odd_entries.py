"""One odd entry of another writer ends no host, hides no other entry, stops no watch.

Entries as other operators and the users met them, and more of their kinds. Each goes
into the store while hosts serve; then a new server must be learnt of, a host that
starts must become ready, and callers must be served as before.
"""

import random
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanhollow.net import HttpAnswer
from rattanhollow.platform import read_routes, read_server
from rattanhollow.platform._objects import _Body, _decode, _events, _one, _page
from rattanhollow.store import (
    Follower,
    Listing,
    Revision,
    Stored,
    Unreadable,
    decode_json,
)
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import SERVICE, configuration, put
from test_entries import SERVER

ENTRY = {**SERVER, "service": SERVICE, "address": "127.0.0.9:8080"}


def raw(text: bytes) -> msgspec.Raw:
    """Return JSON that the stand-in store sends as it is."""
    return msgspec.Raw(text)


ODD_ENTRIES: dict[str, Any] = {
    "a number of 39 digits": {**ENTRY, "seq_no": raw(b"9" * 39)},
    "a number of 4,400 digits": {**ENTRY, "seq_no": raw(b"9" * 4_400)},
    "a number beyond all floats": {**ENTRY, "slots": raw(b"1e999")},
    "1,500 nested lists": {**ENTRY, "zone": raw(b"[" * 1_500 + b"]" * 1_500)},
    "100,000 nested objects": {
        **ENTRY, "zone": raw(b'{"a":' * 100_000 + b"1" + b"}" * 100_000)
    },
    "40 nested lists": {**ENTRY, "zone": raw(b"[" * 40 + b"]" * 40)},
    "half a surrogate pair": {**ENTRY, "zone": raw(rb'"\udcff\udcfe"')},
    "bytes that are no text": {**ENTRY, "zone": raw(b'"\xff\xfe\xc3\x28\x80"')},
    "a key that is no text": {**ENTRY, "more": raw(rb'{"\udcff": 1}')},
    "a control character": {**ENTRY, "zone": raw(b'"\x01"')},
    "a port of 4,400 digits": {**ENTRY, "address": "127.0.0.9:" + "9" * 4_400},
    "a port out of range": {**ENTRY, "address": "127.0.0.9:70000"},
    "a port of other digits": {**ENTRY, "address": "127.0.0.9:\u00b2\u00b3"},
    "port 0": {**ENTRY, "address": "127.0.0.9:0"},
    "a host's name for an address": {**ENTRY, "address": "db.example:8080"},
    "an address that is none": {**ENTRY, "address": "999.0.0.1:8080"},
    "a line's end in a field": {**ENTRY, "service": f"{SERVICE}\r\nQUERY - RESET"},
    "slots without end": {**ENTRY, "slots": 2**62},
    "a megabyte": {**ENTRY, "more": "x" * 1_000_000},
    "a text for content": raw(b'"x"'),
    "nothing for content": raw(b"null"),
    "a list for content": [ENTRY],
    "no field": {},
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


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=400)


@FUZZ
@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON), st.text(min_size=1))
def test_any_entry_is_read_or_refused(changes: dict[str, Any], name: str) -> None:
    """No content makes the reader of servers raise."""
    read = read_server(Stored("servers", name, Revision(7), {**ENTRY, **changes}))
    assert read.is_err() or 0 < read.unwrap().port <= 65_535


@FUZZ
@given(st.dictionaries(st.sampled_from(sorted(configuration(1))), JSON))
def test_any_configuration_is_read_or_refused(changes: dict[str, Any]) -> None:
    """No content makes the reader of configurations raise."""
    read_routes({**configuration(1), **changes})


OBJECT = b'{"meta":{"name":"%s","revision":%d},"spec":%s}'


@FUZZ
@given(st.binary(max_size=60) | JSON.map(msgspec.json.encode), st.booleans())
def test_any_part_hides_no_other_object(odd: bytes, quoted: bool) -> None:
    """Objects before and behind one whose content is arbitrary bytes are read."""
    if quoted:
        odd = b'"%s"' % odd.replace(b"\\", b"").replace(b'"', b"")
    else:
        # Bytes that open or close something would be another object, not a part.
        odd = odd.translate(None, b'[]{},"\\')
    objects = [OBJECT % (b"a", 1, b"{}"), OBJECT % (b"b", 2, odd)]
    objects.append(OBJECT % (b"c", 3, b'{"k":[1,{"x":"],"}]}'))
    page = b'{"items":[%s],"more":true,"at":9}' % b",".join(objects)
    read = _page("hosts", _Body(decode_json(page), 0)).unwrap()
    names = [item.name for item in read.items]
    assert names[0] == "a" and names[-1] == read.last_name == "c"
    assert read.items[-1].spec == {"k": [1, {"x": "],"}]}
    events = b",".join(b'{"object":%s,"deleted":false}' % item for item in objects)
    answer = _Body(decode_json(b'{"events":[%s],"at":9}' % events), 0)
    heard = _events("hosts", answer).unwrap()
    assert [event.item.name for event in heard][-2:] == ["c", ""]


@FUZZ
@given(st.binary(max_size=300) | JSON.map(msgspec.json.encode))
def test_any_answer_of_the_store_is_read_or_refused(body: bytes) -> None:
    """No answer makes a reader of the store raise."""
    decoded = _decode(HttpAnswer(200, body))
    for read in (_one, _page, _events):
        decoded.and_then(lambda value, read=read: read("servers", _Body(value, 0)))


def test_random_damage_of_an_answer_is_read_or_refused() -> None:
    """Neither bytes that were changed nor any that are missing raise."""
    rng = random.Random(1)
    objects = [OBJECT % (b"a", n, msgspec.json.encode(ENTRY)) for n in range(3)]
    whole = b'{"items":[%s],"more":false,"at":9}' % b",".join(objects)
    for _ in range(3_000):
        damaged = bytearray(whole)
        for _ in range(rng.randrange(1, 4)):
            at = rng.randrange(len(damaged))
            if rng.random() < 0.5:
                damaged[at] = rng.randrange(256)
            else:
                del damaged[at : at + rng.randrange(1, 40)]
        decoded = decode_json(bytes(damaged))
        if not isinstance(decoded, Unreadable):
            _page("servers", _Body(decoded, 0))


def test_a_failing_reader_keeps_no_object_from_being_taken() -> None:
    """An error nobody foresaw concerns one object, and is logged."""
    taken: list[str] = []

    def take(item: Stored | None, name: str) -> None:
        if name == "b":
            raise RuntimeError("a reader's fault")
        taken.append(name)

    follower = Follower("servers", take)
    items = [
        Stored("servers", name, Revision(n + 1), {}) for n, name in enumerate("abc")
    ]
    follower.take_list(Listing(Revision(3), items))
    assert taken == ["a", "c"] and follower.version == Revision(3)
