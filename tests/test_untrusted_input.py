"""What others send is read or refused; nothing of it raises what nobody catches.

Fuzzing with hypothesis, seeded by its own derandomized search: other hosts, backend
servers, callers, the settings file, records in the store.
"""

import random
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Ok

from rattanhollow.coordination import Position
from rattanhollow.membership import HOST_KIND, Freshness, HostDirectory, PeerAccess
from rattanhollow.peer import ConfigurationAnswer, Copy, CopyNews, Peers
from rattanhollow.peer._messages import (
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    Envelope,
    MessageRefused,
    decode,
    encode,
)
from rattanhollow.platform import parse_status
from rattanhollow.platform._backend import _Broken, parse_lines, parse_position
from rattanhollow.platform._caller import parse_opening, parse_request
from rattanhollow.platform._lines import LineReader, LineTooLong
from rattanhollow.serving import Reply
from rattanhollow.settings import SettingsError, line_host_settings_from
from rattanhollow.statements import SessionState
from rattanhollow.store import Follower, Revision, Stored
from rattanhollow.succession import SUCCESSION_KIND, claim, write_claim_phase
from rattanhollow.succession._record import NO_SUCCESSION
from rattanhollow_standins.client import connect
from rattanhollow_standins.database import _session as database_session
from rattanhollow_standins.fleet import Fleet
from rattanhollow_standins.platform import LineClient, LineCluster, ServerSession
from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.store import ObjectTable, local_store
from test_odd_entries import FUZZ, JSON

DIGITS = st.text(alphabet="0123456789\u00b2\u0663-. ", max_size=40)
NESTED = b"\x91" * 3_000 + b"\xc0"
HOST = {
    "name": "h1",
    "address": "10.0.0.1",
    "zone": "z",
    "peer_port": 7,
    "public_key": "",
    "incarnation": "i",
    "leaving": False,
}
SETTINGS = """\
[host]
name = h1
address = 10.0.0.1
zone = z0
regions = z0:r0,z1:r0

[listen]
callers = 10.0.0.1:1
readiness = 10.0.0.1:2
peer_port = 3
metrics_port = 4

[platform]
store = 10.0.0.2:5

[bounds]
stop_s = 6
configuration_ms = 4000
heartbeat_ms = 1200

[rates]
slack = 20
"""


@FUZZ
@given(st.binary(max_size=200))
@example(NESTED)
def test_any_bytes_of_a_host_are_a_message_or_refused(data: bytes) -> None:
    """Also inside an envelope that can be read."""
    for name in ("copy", "pool?", "work"):
        envelope = Envelope(PROTOCOL_VERSION, 1, name, msgspec.Raw(data))
        for sent in (data, msgspec.msgpack.encode(envelope)):
            try:
                decode(sent)
            except MessageRefused:
                continue


@FUZZ
@given(st.sampled_from(sorted(MESSAGE_TYPES)), st.lists(JSON, max_size=8))
def test_any_fields_of_a_message_are_read_or_refused(name: str, fields: Any) -> None:
    """Fields of another type or number are no message."""
    try:
        body = msgspec.Raw(msgspec.msgpack.encode(fields))
    except OverflowError:
        return
    data = msgspec.msgpack.encode(Envelope(PROTOCOL_VERSION, 1, name, body))
    try:
        decode(data)
    except MessageRefused:
        return


@FUZZ
@given(st.dictionaries(st.text(max_size=5), JSON, max_size=3))
@example({"a": 10**39})
@example({"a": "x" * 3_000_000})
def test_any_content_is_encoded_or_refused(content: dict[str, Any]) -> None:
    """What a host refuses to encode is never sent in part."""
    news = CopyNews((Copy("servers", Revision(1), (("x", Revision(1), content),)),))
    try:
        data = encode(1, news)
    except MessageRefused:
        return
    assert decode(data) == (1, news)


@FUZZ
@given(st.lists(st.sampled_from(["ROW ", "COMPLETE ", "ERROR ", ""]) | DIGITS), DIGITS)
@example([], "\u00b2.\u00b3")
@example([], "1." + "9" * 4_400)
def test_any_reply_of_a_server_is_read_or_broken(lines: Any, position: str) -> None:
    """A position of other digits, or of thousands of them, is none."""
    try:
        reply = parse_lines([*lines, f"READY I {position}"])
    except _Broken:
        return
    assert reply.position is None or reply.position.offset < 2**63


@FUZZ
@given(st.lists(DIGITS, min_size=5, max_size=8))
@example(["1", "1.1", "0", "\u00b2", "0", "0"])
@example(["1", "1.1", "0", "9" * 4_400, "0", "0"])
def test_any_status_of_a_server_is_read_or_refused(fields: list[str]) -> None:
    """Figures of other digits, or of thousands of them, are no status."""
    row = " ".join(["replica", *fields])
    reply = Reply((row,), "-", None, "", SessionState.IDLE, Position(1, 1))
    status = parse_status(reply)
    assert status is None or status.held_term < 2**63


def test_positions_are_ascii() -> None:
    """The plain form is still read."""
    assert parse_position("3.1207") == Position(3, 1207)
    assert parse_position("\u0663.1") is None and parse_position("3.") is None


@FUZZ
@given(st.binary(max_size=120))
def test_any_bytes_of_a_caller_are_read_or_refused(data: bytes) -> None:
    """Whatever the lines hold, they are a request or none."""
    reader = LineReader()
    try:
        lines = reader.feed(data + b"\r\n")
    except LineTooLong:
        return
    for text in lines:
        parse_opening(text)
        parse_request(text)
        parse_request(f"QUERY 1 {text}")


@FUZZ
@given(st.integers(0, len(SETTINGS)), st.integers(0, 30), st.text(max_size=12))
@example(0, 0, "[\0]\na = b\n")
def test_any_settings_are_read_or_refused(at: int, cut: int, text: str) -> None:
    """A damaged file is an error that names the file."""
    damaged = SETTINGS[:at] + text + SETTINGS[at + cut :]
    try:
        line_host_settings_from("settings.ini", damaged)
    except SettingsError as error:
        assert "settings.ini" in str(error)


@FUZZ
@given(st.dictionaries(st.sampled_from(sorted(HOST)), JSON))
@example({"name": "h2"})
def test_any_record_of_a_host_is_read_or_refused(changes: dict[str, Any]) -> None:
    """A host is never known by another name than its record's."""
    directory = HostDirectory(lambda: None)
    directory.follower.offer(Stored(HOST_KIND, "h1", Revision(1), {**HOST, **changes}))
    assert [record.name for record in directory.all()] in ([], ["h1"])


@pytest.mark.parametrize(
    ("address", "port"),
    [("db.example", 7), ("10.0.0.1;tcp://x", 7), ("10.0.0.1", 70_000), ("\0", 7)],
)
def test_a_host_without_a_usable_address_is_not_asked(address: str, port: int) -> None:
    """No link is opened: its library would raise for such an endpoint."""

    async def main() -> None:
        peers = Peers("127.0.0.1", None, lambda key: True, _no_answer)
        record = HostDirectory(lambda: None)
        record.follower.offer(
            Stored(
                HOST_KIND,
                "h1",
                Revision(1),
                {**HOST, "address": address, "peer_port": port},
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peers.run, 7_999)
            await trio.sleep(0.05)
            for found in record.all():
                asked = await peers.ask(found.peer, CopyNews(()), 50)
                assert asked.is_err() and not asked.unwrap_err().sent
                await peers.tell(found.peer, CopyNews(()))
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _no_answer(question: Any) -> None:
    return None


@settings(FUZZ, max_examples=100)
@given(st.dictionaries(st.sampled_from(["token", "phase", "claim_id"]), JSON))
def test_any_record_of_a_succession_is_read_or_left(content: dict[str, Any]) -> None:
    """A record that can't be read is an error, and never overwritten."""
    table = ObjectTable()
    table.create(SUCCESSION_KIND, "bookings", content or {"token": "x"})

    async def main() -> None:
        store = local_store(table)
        claimed = await claim(store, "bookings", "h", "c", "i-0")
        written = await write_claim_phase(store, "bookings", NO_SUCCESSION)
        assert claimed.is_err() and written.is_err()

    trio.run(main)
    entry = table.get(SUCCESSION_KIND, "bookings")
    assert entry is not None and entry.version == 1


ODD_POSITIONS = ("\u00b2.\u00b3", "1." + "9" * 4_400, "x.y", "1.1 1.1", "")


@pytest.mark.parametrize("position", ODD_POSITIONS)
def test_an_odd_answer_of_a_database_ends_no_host(
    position: str, with_cluster: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host that reads it goes on, and serves again behind it."""

    async def scenario(cluster: LineCluster) -> None:
        client, error = await cluster.client(0, "newest")
        assert error == ""
        odd = True
        query = ServerSession.query

        async def answer(self: Any, request_id: str, text: str) -> list[str]:
            lines = await query(self, request_id, text)
            if odd:
                lines[-1] = f"{lines[-1].rpartition(' ')[0]} {position}"
                lines = [line.replace("1.0 ", f"{position} ") for line in lines]
            return lines

        monkeypatch.setattr(ServerSession, "query", answer)
        for number in range(6):
            await _try(client, f"WRITE a {number}")
            client = (await cluster.client(number % 3, "newest"))[0]
        odd = False
        with trio.fail_after(15):
            while (await _try(client, "WRITE b 1")) != "":
                await trio.sleep(0.1)
                client = (await cluster.client(0, "newest"))[0]

    with_cluster(scenario)


async def _try(client: LineClient, text: str) -> str:
    try:
        return (await client.query(text)).error
    except Closed:
        return "closed"


@pytest.mark.parametrize("position", ["\u00b2/\u00b3", "1/" + "9" * 4_400, "1", ""])
def test_an_odd_position_of_a_database_ends_no_proxy(
    position: str, with_fleet: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write whose answer can't be read is in doubt; other callers are served."""

    async def scenario(fleet: Fleet) -> None:
        first = await connect(fleet.place(0))
        assert (await first.run("CREATE TABLE slots (number int)")).error is None
        report = database_session.parameter_status
        with monkeypatch.context() as patch:
            patch.setattr(
                database_session,
                "parameter_status",
                lambda name, value: report(name, position),
            )
            written = await first.run("INSERT INTO slots VALUES (1)")
            assert written.error is not None
        other = await connect(fleet.place(0))
        written = await other.run("INSERT INTO slots VALUES (2)")
        assert written.error is None

    with_fleet(scenario)


CONTENTS = (b"", b"[[1, 2]]", b'[["a", 1, {}, 2]]', b"[" * 3_000, b'[["a", "1", {}]]')


@pytest.mark.parametrize("content", CONTENTS)
def test_an_odd_configuration_of_a_host_is_left(content: bytes) -> None:
    """A proxy that fetches it goes on with what it has."""
    taken: list[str] = []
    follower = Follower("configuration", lambda stored, name: taken.append(name))
    directory = HostDirectory(lambda: None)
    directory.follower.offer(Stored(HOST_KIND, "h1", Revision(1), HOST))
    record = directory.all()[0]

    class OddPeers:
        """Links over which a host answers with odd content."""

        async def ask(self, peer: Any, question: Any, timeout_ms: int) -> Any:
            return Ok(ConfigurationAnswer(content))

    links: Any = OddPeers()
    access = PeerAccess(lambda: record, directory, links, random.Random(0))
    trio.run(Freshness(follower, access)._fetch_configuration, record)
    assert not taken
