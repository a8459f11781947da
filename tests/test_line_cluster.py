"""The whole path over the line protocol: hosts, stand-in databases and store."""

import random
from typing import Any

import pytest
import trio

from rattanhollow_standins.platform import LineClient, LineCluster
from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.platform._cluster import (
    KEY,
    ORGANISATION,
    SERVICE,
    configuration,
    route,
)


async def session(cluster: LineCluster, host: int, name: str) -> LineClient:
    """Begin a session that must succeed."""
    client, error = await cluster.client(host, name)
    assert error == ""
    return client


def test_a_write_is_read_on_every_route(with_cluster: Any) -> None:
    """What was written at one host is read at the others, by each kind of route."""

    async def scenario(cluster: LineCluster) -> None:
        writer = await session(cluster, 0, "newest")
        assert (await writer.query("WRITE a 1")).proof.startswith("i-0.")
        for host in range(3):
            for name in ("newest", "session"):
                reader = await session(cluster, host, name)
                assert (await reader.query("READ a")).rows == ("1",)

    with_cluster(scenario)


def test_a_session_reads_its_own_write_at_once(with_cluster: Any) -> None:
    """A replica that lags is passed over by a session that wrote."""

    async def scenario(cluster: LineCluster) -> None:
        for server in cluster.group.servers.values():
            server.lag_s = 0.5
        client = await session(cluster, 1, "session")
        for number in range(5):
            assert not (await client.query(f"WRITE a {number}")).error
            assert (await client.query("READ a")).rows == (str(number),)

    with_cluster(scenario)


def test_transactions_commit_and_roll_back(with_cluster: Any) -> None:
    """A commit keeps all writes, a rollback none, a lost caller none."""

    async def scenario(cluster: LineCluster) -> None:
        client = await session(cluster, 2, "newest")
        assert (await client.query("BEGIN")).state == "T"
        assert (await client.query("WRITE a 1")).state == "T"
        assert (await client.query("COMMIT")).state == "I"
        await client.query("BEGIN")
        await client.query("WRITE a 2")
        assert (await client.query("ROLLBACK")).state == "I"
        await client.query("BEGIN")
        await client.query("WRITE a 3")
        await client.close()
        await trio.sleep(0.1)
        other = await session(cluster, 0, "newest")
        assert (await other.query("READ a")).rows == ("1",)

    with_cluster(scenario)


def test_prepared_names_and_values_belong_to_their_session(with_cluster: Any) -> None:
    """Equal names of two sessions mean what each of them said."""

    async def scenario(cluster: LineCluster) -> None:
        one = await session(cluster, 0, "newest")
        two = await session(cluster, 0, "newest")
        for client, value in ((one, "x"), (two, "y")):
            assert not (await client.query(f"SET v1 {value}")).error
        assert not (await one.query("PREPARE s1 WRITE q1")).error
        assert not (await two.query("PREPARE s1 READ q2")).error
        assert not (await one.query("EXECUTE s1 a 7")).error
        assert (await two.query("EXECUTE s1 a")).rows == ("7",)
        assert (await two.query("EXECUTE s2 a")).error == "NOSTMT"
        runs = [r for s in cluster.group.servers.values() for r in s.runs]
        assert [(r.text, r.values["v1"]) for r in runs] == [
            ("WRITE q1 a 7", "x"),
            ("READ q2 a", "y"),
        ]
        assert {r.organisation for r in runs} == {ORGANISATION}

    with_cluster(scenario)


def test_bad_callers_are_refused(with_cluster: Any) -> None:
    """Unknown routes and keys, bad lines and lost framing get their errors."""

    async def scenario(cluster: LineCluster) -> None:
        assert (await cluster.client(0, "nowhere"))[1] == "NODB"
        assert (await cluster.client(0, "newest", "wrong"))[1] == "NOAUTH"
        client = await session(cluster, 0, "newest")
        for text in ("FOO", "READ", "WRITE a", "BEGIN x", "EXECUTE s1"):
            assert (await client.query(text)).error == "MALFORMED"
        assert (await client.query("READ a", "-")).error == "MALFORMED"
        with pytest.raises(Closed):
            await client.query("READ a\nWRITE a 1")

    with_cluster(scenario)


def test_a_line_without_an_end_loses_the_session(with_cluster: Any) -> None:
    """More bytes than a line may have end the connection with an error."""

    async def scenario(cluster: LineCluster) -> None:
        client = await session(cluster, 0, "newest")
        try:
            await client.stream.send_all(b"QUERY 1 WRITE a " + b"x" * (1 << 20) + b"y")
            assert (await client.read_line()).startswith("ERROR MALFORMED")
        except (Closed, trio.BrokenResourceError):
            pass
        assert not cluster.group.acknowledged

    with_cluster(scenario)


def test_open_routes_need_no_key(with_cluster: Any) -> None:
    """A route open to all carries no organisation's name to the servers."""

    async def scenario(cluster: LineCluster) -> None:
        routes = [route("open", "read_your_writes", anonymous=True)]
        cluster.configure(configuration(2, routes=routes))
        await trio.sleep(0.2)
        client, error = await cluster.client(0, "open", "anything")
        assert error == ""
        assert (await client.query("READ a")).rows == ("-",)
        runs = [r for s in cluster.group.servers.values() for r in s.runs]
        assert {r.organisation for r in runs} == {"-"}

    with_cluster(scenario)


def test_a_withdrawn_key_ends_open_sessions(with_cluster: Any) -> None:
    """Idle sessions and open transactions end when their key is withdrawn."""

    async def scenario(cluster: LineCluster) -> None:
        idle = await session(cluster, 0, "newest")
        inside = await session(cluster, 1, "newest")
        await inside.query("BEGIN")
        await inside.query("WRITE a 1")
        cluster.configure(configuration(2, tenants=[]))
        with trio.fail_after(2):
            for client in (idle, inside):
                try:
                    while True:
                        await client.read_line()
                except Closed:
                    continue
        assert (await cluster.client(0, "newest"))[1] == "NOAUTH"
        await trio.sleep(0.1)
        assert not cluster.group.acknowledged

    with_cluster(scenario)


def test_hosts_that_the_store_turns_away_hear_of_changes(with_cluster: Any) -> None:
    """A host whose store calls fail learns of a withdrawn key from the others."""

    async def scenario(cluster: LineCluster) -> None:
        for number, status in ((0, 503), (1, 0)):
            cluster.turned_away[cluster.host_address(number)] = status
        cluster.table.faults.silent_watch = True
        await trio.sleep(0.1)
        cluster.table.faults.silent_watch = False
        cluster.configure(configuration(2, tenants=[]))
        with trio.fail_after(8):
            for number in range(3):
                while (await cluster.client(number, "newest"))[1] != "NOAUTH":
                    await trio.sleep(0.1)

    with_cluster(scenario)


def test_a_watch_that_hears_nothing_hides_no_change(with_cluster: Any) -> None:
    """A change is in force although every watch stays silent."""

    async def scenario(cluster: LineCluster) -> None:
        cluster.table.faults.silent_watch = True
        await trio.sleep(0.1)
        cluster.configure(configuration(2, tenants=[]))
        with trio.fail_after(10):
            for number in range(3):
                while (await cluster.client(number, "newest"))[1] != "NOAUTH":
                    await trio.sleep(0.1)

    with_cluster(scenario)


def test_an_unusable_configuration_changes_nothing(with_cluster: Any) -> None:
    """What can't be read is refused as a whole; the last good one stays."""

    async def scenario(cluster: LineCluster) -> None:
        bad = configuration(2)
        bad["routes"][0]["kind"] = "whatever"
        cluster.configure(bad)
        await trio.sleep(0.2)
        client = await session(cluster, 0, "newest")
        assert not (await client.query("WRITE a 1")).error
        assert cluster.hosts[0].routes.version == 1

    with_cluster(scenario)


def test_a_leaving_primary_is_replaced_under_load(with_cluster: Any) -> None:
    """Writes go on at another server, and nothing acknowledged is lost."""

    async def scenario(cluster: LineCluster) -> None:
        clients = [await session(cluster, n, "newest") for n in range(3)]
        written: list[str] = []
        enough = trio.Event()

        async def write(number: int, client: LineClient) -> None:
            count = 0
            while not enough.is_set():
                count += 1
                item = f"w{number}-{count}"
                if not (await client.query(f"WRITE {item} 1")).error:
                    written.append(item)

        async with trio.open_nursery() as nursery:
            for number, client in enumerate(clients):
                nursery.start_soon(write, number, client)
            await trio.sleep(0.1)
            cluster.group.servers["i-0"].draining = True
            with trio.fail_after(10):
                while not cluster.group.promotions:
                    await trio.sleep(0.02)
            before = len(written)
            while len(written) < before + 20:
                await trio.sleep(0.02)
            enough.set()
        leader = cluster.group.leader
        assert leader is not None and leader.id != "i-0"
        assert {entry.item for entry in leader.log} >= set(written)
        assert not cluster.group.lost and len(cluster.group.promotions) == 1

    with_cluster(scenario)


def test_a_dead_primary_is_replaced(with_cluster: Any) -> None:
    """A primary that falls silent is replaced by one that holds all commits."""

    async def scenario(cluster: LineCluster) -> None:
        client = await session(cluster, 1, "newest")
        assert not (await client.query("WRITE a 1")).error
        cluster.group.crash(cluster.group.servers["i-0"])
        with trio.fail_after(12):
            while (await client.query("WRITE a 2")).error:
                client = await session(cluster, 1, "newest")
        leader = cluster.group.leader
        assert leader is not None and leader.id != "i-0"
        assert not cluster.group.lost

    with_cluster(scenario)


def test_a_stopping_host_cuts_no_request(with_cluster: Any) -> None:
    """Each request is answered, or refused as not run, and never run then."""

    async def scenario(cluster: LineCluster) -> None:
        answered = cut = 0
        refused: list[str] = []
        for server in cluster.group.servers.values():
            server.work_s = 0.02

        async def call(number: int) -> None:
            nonlocal answered, cut
            client = await session(cluster, 0, "newest")
            for count in range(400):
                item = f"a{number}-{count}"
                try:
                    answer = await client.query(f"WRITE {item} 1")
                except Closed as closed:
                    # A farewell that was heard in place of an answer.
                    cut += client.waiting and "BUSY" not in str(closed)
                    refused.append(item)
                    return
                answered += not answer.error

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(call, number)
            await trio.sleep(0.2)
            nursery.start_soon(cluster.hosts[0].stop)
        assert answered and not cut
        written = {entry.item for entry in cluster.group.acknowledged}
        assert not written & set(refused)

    with_cluster(scenario)


def test_a_stopping_host_answers_every_statement_of_open_transactions(
    with_cluster: Any,
) -> None:
    """Callers that never pause were cut within a statement at the end (review/4)."""

    async def scenario(cluster: LineCluster) -> None:
        answered = 0
        unanswered: list[str] = []
        rng = random.Random(1)

        async def vary_work() -> None:
            while True:
                for server in cluster.group.servers.values():
                    server.work_s = rng.uniform(0.1, 0.15)
                await trio.sleep(0.01)

        async def transact() -> None:
            nonlocal answered
            client = await session(cluster, 0, "bounded")
            try:
                await client.query("BEGIN READ")
                for count in range(100):
                    answered += not (await client.query(f"READ a{count}")).error
            except Closed as closed:
                if client.waiting and "ERROR" not in str(closed):
                    unanswered.append(str(closed))

        async with trio.open_nursery() as work:
            work.start_soon(vary_work)
            async with trio.open_nursery() as callers:
                for _ in range(12):
                    callers.start_soon(transact)
                await trio.sleep(0.5)
                await cluster.hosts[0].stop()
            work.cancel_scope.cancel()
        assert answered and not unanswered

    with_cluster(scenario)


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["READ a"], "ABORTED"),
        (["WRITE a 1"], "INDOUBT"),
        (["BEGIN", "WRITE a 1"], "ABORTED"),
        (["BEGIN", "WRITE a 1", "COMMIT"], "INDOUBT"),
    ],
)
def test_a_statement_that_outlasts_the_stop_is_answered(
    texts: list[str], expected: str, with_cluster: Any
) -> None:
    """It is promised to be undone only where that is true (found beside review/4)."""

    async def scenario(cluster: LineCluster) -> None:
        routes = [route("newest", "primary", timeout_ms=20_000)]
        cluster.configure(configuration(2, routes=routes))
        await trio.sleep(0.5)
        client = await session(cluster, 0, "newest")
        for text in texts[:-1]:
            assert not (await client.query(text)).error
        for server in cluster.group.servers.values():
            server.work_s = 4.0
        cluster.nursery.start_soon(cluster.hosts[0].stop)
        answer = await client.query(texts[-1])
        assert answer.error == expected
        if expected == "ABORTED":
            await trio.sleep(4.0)
            assert not cluster.group.acknowledged

    with_cluster(scenario)


def test_a_session_that_opens_at_the_last_moment_is_served(with_cluster: Any) -> None:
    """Callers that still come while the host takes its leave lose no request."""

    async def scenario(cluster: LineCluster) -> None:
        cut = served = 0
        gone = False
        for server in cluster.group.servers.values():
            server.work_s = 0.05
        cluster.table.faults.delay_s = 0.1

        async def come_and_ask() -> None:
            nonlocal cut, served
            try:
                client, error = await cluster.client(0, "newest")
            except (OSError, Closed):
                return
            if error:
                return
            try:
                answer = await client.query("READ a")
                served += not answer.error
            except Closed as closed:
                cut += "BUSY" not in str(closed)

        async def stop() -> None:
            nonlocal gone
            await cluster.hosts[0].stop()
            gone = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            while not gone:
                nursery.start_soon(come_and_ask)
                await trio.sleep(0.02)
        assert served and not cut

    with_cluster(scenario)


def test_hosts_are_listed_once_each(with_cluster: Any) -> None:
    """A host that died is replaced by its next start under the same name."""

    async def scenario(cluster: LineCluster) -> None:
        cluster.kill_host(1)
        cluster.start_host(1)
        await cluster.until_ready()
        assert len(cluster.table.items("hosts")) == 3
        client = await session(cluster, 1, "newest")
        assert not (await client.query("WRITE a 1")).error

    with_cluster(scenario)


def test_keys_are_not_kept(with_cluster: Any) -> None:
    """No host keeps a caller's key in readable form, and no server sees it."""

    async def scenario(cluster: LineCluster) -> None:
        client = await session(cluster, 0, "newest")
        await client.query("WRITE a 1")
        routes = cluster.hosts[0].routes
        assert KEY not in repr(routes)
        runs = [r for s in cluster.group.servers.values() for r in s.runs]
        assert all(KEY not in repr(run) for run in runs)
        assert SERVICE in routes.services

    with_cluster(scenario)


def test_a_host_whose_record_was_deleted_registers_again(with_cluster: Any) -> None:
    """Hosts that were cut off exceeded the rates for good (review/5)."""

    async def scenario(cluster: LineCluster) -> None:
        host = cluster.hosts[0]
        name = host.settings.place.name
        entry = cluster.table.get("hosts", name)
        assert entry is not None
        cluster.table.faults.delay_s = 0.3
        cluster.table.delete("hosts", name, entry.version)
        with trio.fail_after(15):
            while host.hosts.find(name) is not None:
                await trio.sleep(0.01)
            # The others divide the whole rate among themselves now.
            assert not host.rates._share.fraction
            while not host.rates._share.is_counted:
                await trio.sleep(0.05)
            await cluster.until_ready()
        restored = cluster.table.get("hosts", name)
        assert restored is not None and restored.spec == entry.spec
        assert host.rates._share.fraction == 1 / 3

    with_cluster(scenario)


def test_a_key_that_is_withdrawn_after_a_restore_runs_nothing(
    with_cluster: Any,
) -> None:
    """Hosts went on with the configuration from before the restore (review/7)."""

    async def scenario(cluster: LineCluster) -> None:
        saved = cluster.table.save()
        later = configuration(2)
        cluster.configure(later)
        with trio.fail_after(15):
            while {host.routes.version for host in cluster.hosts.values()} != {2}:
                await trio.sleep(0.02)
        cluster.table.come_back_from(saved)
        await trio.sleep(1.0)
        assert {host.routes.version for host in cluster.hosts.values()} == {2}
        cluster.configure(later)
        cluster.configure(configuration(3, tenants=[]))
        with trio.fail_after(15):
            while {host.routes.version for host in cluster.hosts.values()} != {3}:
                await trio.sleep(0.02)
        for number in cluster.hosts:
            client, error = await cluster.client(number, "newest")
            assert error == "NOAUTH"
            await client.stream.aclose()

    with_cluster(scenario)


def test_callers_that_leave_free_their_places_at_the_serving_host(
    with_cluster: Any,
) -> None:
    """Sixty callers of a host that doesn't serve the primary leave while they wait.

    Their statements would keep the primary busy for more than five seconds.
    """

    async def scenario(cluster: LineCluster) -> None:
        serving = next(
            number
            for number, host in cluster.hosts.items()
            if (server := host.directory.find("i-0")) is not None
            and host.agents.is_preferred_host_for(server)
        )
        entry = (serving + 1) % 3
        primary = cluster.group.servers["i-0"]
        clients = [await session(cluster, entry, "newest") for _ in range(60)]
        staying = await session(cluster, entry, "newest")
        assert not (await staying.query("WRITE a 0")).error
        primary.work_s = 0.3
        before = len(primary.runs)
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(send_and_leave, client)
        await trio.sleep(0.1)
        assert not (await staying.query("WRITE a 1")).error
        assert len(primary.runs) - before <= 2 * primary.slot_count + 1
        served = cluster.hosts[serving].serving.find("i-0")
        assert served is not None
        await trio.sleep(0.4)
        assert served.idle

    async def send_and_leave(client: LineClient) -> None:
        with trio.move_on_after(0.15):
            await client.query("WRITE a 2")
        await client.close()

    with_cluster(scenario, requested="pressure")
