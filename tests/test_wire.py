"""The caller's side of the wire: drivers, refusals, bad bytes, faults."""

import io
import struct
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psycopg
import pytest
import trio
import trustme

from rattanhollow.observe import log_to
from rattanhollow.pgwire import ConnectionLost, query
from rattanhollow.proxy import ALL_GUARDS
from rattanhollow_standins.client import Client, LoginRefused, connect
from rattanhollow_standins.fleet import CALLER_PORT, Fleet


def with_driver(with_fleet: Any, use: Callable[[str], Any], **options: Any) -> Any:
    """Run ``use`` in a thread with the connection string of proxy 0."""

    async def scenario(fleet: Fleet) -> Any:
        return await trio.to_thread.run_sync(use, fleet.url_of(0))

    return with_fleet(scenario, **options)


def table(url: str, **options: Any) -> psycopg.Connection:
    """Log in and create a table."""
    connection = psycopg.connect(url, autocommit=True, **options)
    connection.execute("CREATE TABLE notes (number int, note text)")
    return connection


def test_extended_protocol_and_types(with_fleet: Any) -> None:
    """Parameters, NULL, text and many rows come back as they went in."""

    def use(url: str) -> None:
        connection = table(url)
        values = [(1, "a'b\\c"), (2, None), (3, "Fès ✓"), (4, "x" * 100_000)]
        for row in values:
            connection.execute("INSERT INTO notes VALUES (%s, %s)", row)
        cursor = connection.execute("SELECT * FROM notes ORDER BY number")
        assert cursor.fetchall() == values
        cursor = connection.execute("SELECT note FROM notes WHERE number = %s", (9,))
        assert cursor.fetchall() == []

    with_driver(with_fleet, use)


def test_prepared_statements_follow_the_caller(with_fleet: Any) -> None:
    """A prepared statement works on whichever server connection serves it."""

    def use(url: str) -> None:
        connection = table(url, prepare_threshold=1)
        for number in range(30):
            connection.execute("INSERT INTO notes VALUES (%s, 'x')", (number,))
            cursor = connection.execute(
                "SELECT number FROM notes WHERE number = %s", (number,)
            )
            assert cursor.fetchone() == (number,)
        other = psycopg.connect(url, autocommit=True, prepare_threshold=1)
        for _ in range(3):
            cursor = other.execute("SELECT count(*) FROM notes WHERE number < %s", (5,))
            assert cursor.fetchone() == (5,)
        other.execute("DEALLOCATE ALL")
        cursor = other.execute("SELECT count(*) FROM notes WHERE number < %s", (5,))
        assert cursor.fetchone() == (5,)

    with_driver(with_fleet, use)


def test_pipeline(with_fleet: Any) -> None:
    """Pipelined requests are answered in order, errors included."""

    def use(url: str) -> None:
        connection = table(url)
        with connection.pipeline():
            cursors = [
                connection.execute(
                    "INSERT INTO notes VALUES (%s, 'x') RETURNING number", (number,)
                )
                for number in range(20)
            ]
            assert [c.fetchone() for c in cursors] == [(n,) for n in range(20)]
        with pytest.raises(psycopg.errors.UndefinedTable), connection.pipeline():
            connection.execute("SELECT * FROM missing")
        cursor = connection.execute("SELECT count(*) FROM notes")
        assert cursor.fetchone() == (20,)

    with_driver(with_fleet, use)


def test_errors_in_transactions(with_fleet: Any) -> None:
    """An error aborts the transaction it happened in, and nothing else."""

    def use(url: str) -> None:
        connection = table(url)
        with pytest.raises(psycopg.errors.UndefinedTable), connection.transaction():
            connection.execute("INSERT INTO notes VALUES (1, 'x')")
            connection.execute("INSERT INTO missing VALUES (1)")
        assert connection.execute("SELECT count(*) FROM notes").fetchone() == (0,)
        with pytest.raises(psycopg.errors.SyntaxError):
            connection.execute("SELEKT 1")
        connection.execute("INSERT INTO notes VALUES (2, 'y')")
        assert connection.execute("SELECT count(*) FROM notes").fetchone() == (1,)

    with_driver(with_fleet, use)


def test_session_settings_follow_the_caller(with_fleet: Any) -> None:
    """A setting holds on every server connection, and for one caller only."""

    def use(url: str) -> None:
        first = table(url)
        second = psycopg.connect(url, autocommit=True)
        first.execute("SET search_path TO tours")
        for _ in range(5):
            assert first.execute("SHOW search_path").fetchone() == ("tours",)
            assert second.execute("SHOW search_path").fetchone() == ("",)
        first.execute("RESET search_path")
        assert first.execute("SHOW search_path").fetchone() == ("",)
        first.execute("SET search_path TO tours")
        first.execute("DISCARD ALL")
        assert first.execute("SHOW search_path").fetchone() == ("",)
        third = psycopg.connect(url, autocommit=True, options="-c search_path=abbey")
        assert third.execute("SHOW search_path").fetchone() == ("abbey",)

    with_driver(with_fleet, use)


REFUSED = [
    "COPY notes FROM STDIN",
    "COPY notes TO STDOUT",
    "LISTEN tours",
    "NOTIFY tours",
    "PREPARE TRANSACTION 'x'",
    "SELECT currval('s')",
    "COMMIT AND CHAIN",
    "SELECT 1; SET rattanhollow.scope = 'connection'",
]


def test_what_is_not_carried_is_refused(with_fleet: Any) -> None:
    """Unsupported statements are refused as not run; the session goes on."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        for sql in REFUSED:
            result = await client.run(sql)
            assert result.error is not None, sql
            assert result.error.sqlstate == "0A000"
            assert result.error.message.startswith("not run")
            assert (await client.run("SELECT 1")).rows == [["1"]]
        with pytest.raises(LoginRefused, match="replication mode"):
            await connect(fleet.place(0), replication="database")

    with_fleet(scenario)


def test_cancel_at_another_proxy(with_fleet: Any) -> None:
    """A cancel reaches the caller's request through any proxy, and only it."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        process_id, secret = client.key_data
        message = struct.pack("!IIII", 16, 80877102, process_id, secret)

        async def cancel() -> None:
            await trio.sleep(0.3)
            address = fleet.addresses.proxy(1)
            stream = await trio.open_tcp_stream(address, CALLER_PORT)
            await stream.send_all(message)
            await stream.receive_some(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel)
            result = await client.run("SELECT pg_sleep(20)")
        assert result.error is not None
        assert result.error.sqlstate == "57014"
        assert (await client.run("SELECT 1")).rows == [["1"]]

    with_fleet(scenario)


def test_tls(with_fleet: Any, tmp_path: Path) -> None:
    """Callers get TLS, and where it is required nothing else."""
    authority = trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")

    async def scenario(fleet: Fleet) -> None:
        url = fleet.url_of(0) + "?sslmode=verify-ca"
        certificate = str(tmp_path / "ca.pem")

        def use() -> Any:
            connection = psycopg.connect(url, sslrootcert=certificate)
            assert connection.pgconn.ssl_in_use
            return connection.execute("SELECT 1").fetchone()

        assert await trio.to_thread.run_sync(use) == (1,)
        with pytest.raises(LoginRefused, match="TLS is required"):
            await connect(fleet.place(0))

    issued = authority.issue_cert("127.100.1.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    listen = {
        "tls_certificate_file": str(tmp_path / "cert.pem"),
        "tls_key_file": str(tmp_path / "key.pem"),
        "require_tls": "yes",
    }
    with_fleet(scenario, overrides={"listen": listen})


BAD_BYTES = [
    b"GET / HTTP/1.1\r\n\r\n",
    struct.pack("!II", 4, 196608),
    struct.pack("!II", 1 << 30, 196608),
    struct.pack("!II", 9, 196608) + b"x",
    struct.pack("!II", 8, 131072),
]


@pytest.mark.parametrize("at", range(len(BAD_BYTES)))
def test_bad_startup_bytes(at: int, with_fleet: Any) -> None:
    """Bytes that are no startup message end that connection, and no other."""

    async def scenario(fleet: Fleet) -> None:
        address = fleet.addresses.proxy(0)
        stream = await trio.open_tcp_stream(address, CALLER_PORT)
        await stream.send_all(BAD_BYTES[at])
        with trio.fail_after(5):
            try:
                while await stream.receive_some(1000):
                    pass
            except trio.BrokenResourceError:
                pass
        client = await connect(fleet.place(0))
        assert (await client.run("SELECT 1")).rows == [["1"]]

    with_fleet(scenario, overrides={"limits": {"login_timeout_ms": "1000"}})


BAD_FRAMES = [
    b"Q" + struct.pack("!I", 3),
    b"Q" + struct.pack("!I", 0x7FFFFFFF),
    b"Q" + struct.pack("!I", 5) + b"x",
    b"Q" + struct.pack("!I", 17) + b"SELECT 1\0x;y\0",
    b"Q" + struct.pack("!I", 6) + b"\xff\0",
    b"z" + struct.pack("!I", 4),
    b"P" + struct.pack("!I", 6) + b"ab" + b"S" + struct.pack("!I", 4),
    b"B" + struct.pack("!I", 6) + b"ab" + b"S" + struct.pack("!I", 4),
]


@pytest.mark.parametrize("at", range(len(BAD_FRAMES)))
def test_bad_frames(at: int, with_fleet: Any) -> None:
    """A bad or oversized frame is refused as not run, and ends the connection."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        await client.wire.send(BAD_FRAMES[at])
        with trio.fail_after(5), pytest.raises(ConnectionLost, match="not run"):
            await client.read_result()
        other = await connect(fleet.place(0))
        assert (await other.run("SELECT 1")).rows == [["1"]]

    with_fleet(scenario)


def test_slow_caller_is_cut(with_fleet: Any) -> None:
    """A caller that does not read its answer loses its connection, others go on."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        await client.run("CREATE TABLE big (note text)")
        await client.run(f"INSERT INTO big VALUES ('{'x' * 1_000_000}')")
        joined = ", ".join(f"big b{number}" for number in range(4))
        await client.run("INSERT INTO big SELECT note FROM big")
        await client.run("INSERT INTO big SELECT note FROM big")
        await client.wire.send(query(f"SELECT b0.note FROM {joined}"))
        await trio.sleep(1.0)
        other = await connect(fleet.place(0))
        assert (await other.run("SELECT 1")).rows == [["1"]]
        proxy = fleet.proxies[0]
        with trio.fail_after(5):
            while proxy.service.callers.connected > 1:
                await trio.sleep(0.05)
        pool = proxy.groups.get("bookings")
        assert all(pool.pool(member).in_use == 0 for member in pool.database.members)

    with_fleet(scenario, overrides={"limits": {"send_timeout_ms": "300"}})


def test_late_answers_reach_nobody_else(with_fleet: Any) -> None:
    """An answer that comes after its caller gave up is never handed on."""

    async def scenario(fleet: Fleet) -> None:
        first = await connect(fleet.place(0))
        await first.run("CREATE TABLE notes (number int)")
        leading = fleet.group.primary
        assert leading is not None
        leading.faults.answer_delay_s = 0.6
        await first.run("BEGIN")
        for number in range(5):
            gone = await connect(fleet.place(0))
            await gone.wire.send(query(f"INSERT INTO notes VALUES ({number})"))
            await trio.sleep(0.02)
            await gone.wire.aclose()
        leading.faults.answer_delay_s = 0.0
        await first.run("ROLLBACK")

        async def one(number: int) -> None:
            client = await connect(fleet.place(0))
            for _ in range(10):
                result = await client.run(f"SELECT {number} + 0")
                assert result.rows == [[str(number)]], result

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(one, number)

    with_fleet(scenario, overrides={"backend": {"answer_timeout_ms": "400"}})


def test_silent_connections_are_replaced(with_fleet: Any) -> None:
    """Server connections that went silent while idle are probed, then dropped."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        await client.run("CREATE TABLE notes (number int)")
        await client.run("INSERT INTO notes VALUES (1)")
        for name in fleet.group.members:
            fleet.group.silence_open(name)
        await trio.sleep(0.4)
        for number in range(5):
            result = await client.run(f"INSERT INTO notes VALUES ({number})")
            assert result.error is None, result
            assert (await client.run("SELECT count(*) FROM notes")).error is None

    overrides = {
        "backend": {"probe_after_idle_ms": "300"},
        "failover": {"probe_interval_ms": "3000"},
    }
    with_fleet(scenario, overrides=overrides)


def late_cancel(fleet_guards: Any, with_fleet: Any) -> int:
    """Let cancels arrive slowly at the server; how many strangers were hit."""

    async def scenario(fleet: Fleet) -> int:
        for member in fleet.group.members.values():
            member.faults.cancel_delay_s = 0.1
        first, second = [await connect(fleet.place(0)) for _ in range(2)]
        hits = 0
        for _ in range(5):
            await first.wire.send(query("SELECT pg_sleep(0.02)"))
            await trio.sleep(0.01)
            await _send_cancel(fleet, first)
            await first.read_result()
            result = await second.run("SELECT pg_sleep(0.2)")
            hits += result.error is not None
        return hits

    overrides = {"backend": {"connections": "1"}}
    return with_fleet(scenario, guards=fleet_guards, overrides=overrides)


async def _send_cancel(fleet: Fleet, client: Client) -> None:
    stream = await trio.open_tcp_stream(fleet.addresses.proxy(0), CALLER_PORT)
    await stream.send_all(struct.pack("!IIII", 16, 80877102, *client.key_data))


def test_late_cancel_hits_no_stranger(with_fleet: Any) -> None:
    """A cancel that arrives late hits nobody who borrowed the connection since."""
    assert late_cancel(ALL_GUARDS, with_fleet) == 0


def test_late_cancel_hits_strangers_without_wait(with_fleet: Any) -> None:
    """With the wait off, the same cancels hit other callers."""
    assert late_cancel(ALL_GUARDS._replace(cancel_wait=False), with_fleet) > 0


def test_key_never_reaches_a_server(with_fleet: Any) -> None:
    """No byte that a backend server received holds a caller's key."""

    async def scenario(fleet: Fleet) -> None:
        client = await connect(fleet.place(0))
        await client.run("SELECT 1")
        key = fleet.place(0).password.encode()
        for member in fleet.group.members.values():
            assert member.received_bytes
            assert not any(key in data for data in member.received_bytes)

    with_fleet(scenario)


def test_wrong_keys_are_refused(with_fleet: Any) -> None:
    """A wrong key, organisation or database is refused before anything runs."""

    async def scenario(fleet: Fleet) -> None:
        place = fleet.place(0)
        for wrong in (
            place._replace(password="wrong"),
            place._replace(user="stranger"),
            place._replace(database="missing"),
        ):
            with pytest.raises(LoginRefused, match="not run"):
                await connect(wrong)

    with_fleet(scenario)


def test_many_callers_get_their_own_answers(with_fleet: Any) -> None:
    """Threads of a real driver, many at once, each get their own answers."""

    def use(url: str) -> None:
        table(url)
        wrong: list[Any] = []

        def one(number: int) -> None:
            connection = psycopg.connect(url, autocommit=True)
            for turn in range(20):
                value = number * 1000 + turn
                row = connection.execute("SELECT %s + 0", (value,)).fetchone()
                if row != (value,):
                    wrong.append((value, row))

        threads = [threading.Thread(target=one, args=(n,)) for n in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert wrong == []

    with_driver(with_fleet, use)


def test_no_key_in_logs(with_fleet: Any) -> None:
    """No log line holds a key, right or wrong, whatever callers do."""
    lines = io.StringIO()
    stop = log_to(lines)

    async def scenario(fleet: Fleet) -> None:
        place = fleet.place(0)
        client = await connect(place)
        await client.run("SELECT 1")
        await client.run(f"SELEKT '{place.password}'")
        for wrong in (place._replace(password="wrong-key"), place._replace(user="x")):
            with pytest.raises(LoginRefused) as caught:
                await connect(wrong)
            assert wrong.password not in str(caught.value)
        await client.wire.send(b"z" + struct.pack("!I", 4))
        await trio.sleep(0.2)

    try:
        with_fleet(scenario)
    finally:
        stop()
    text = lines.getvalue()
    assert "event=caller.refused" in text
    assert "wrong-key" not in text
    assert "demonstration-key" not in text
