"""Connections that a limit closes: their transactions, and what is logged."""

from typing import Any

import pytest
import trio

from rattanhollow.observe import kinds
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._client import Closed


def test_the_transaction_of_a_closed_connection_is_rolled_back(
    with_cluster: Any,
) -> None:
    """Neither its write nor its transaction is left at the backend server."""

    async def scenario(cluster: LineCluster) -> None:
        client, error = await cluster.client(0, "newest")
        assert not error
        assert not (await client.query("BEGIN")).error
        assert not (await client.query("WRITE lost 1")).error
        host = cluster.hosts[0]
        (account,) = host.callers.held._accounts
        assert account.organisation == "kirk"
        account.close("process")
        with pytest.raises(Closed):
            await client.query("COMMIT")
        other, _ = await cluster.client(1, "newest")
        assert not (await other.query("WRITE kept 1")).error
        assert (await other.query("READ lost")).rows == ("-",)
        items = [entry.item for entry in cluster.group.acknowledged]
        assert items == ["kept"]
        assert host.meter.value(kinds.CALLERS_CLOSED, "process") == 1
        assert host.callers.held.held_bytes == 0 and not len(host.sessions)

    with_cluster(scenario)


def test_a_write_that_is_under_way_gets_no_answer(with_cluster: Any) -> None:
    """A response "not run" would be false: it may have been kept."""

    async def scenario(cluster: LineCluster) -> None:
        leader = cluster.group.leader
        assert leader is not None
        client, _ = await cluster.client(0, "newest")
        leader.work_s = 0.5
        host = cluster.hosts[0]
        async with trio.open_nursery() as nursery:

            async def write() -> None:
                with pytest.raises(Closed) as closed:
                    await client.query("WRITE a 1")
                assert "ERROR" not in str(closed.value)

            nursery.start_soon(write)
            await trio.sleep(0.2)
            (account,) = host.callers.held._accounts
            assert account.request and account.held_bytes > 0
            account.close("process")
        assert host.callers.held.held_bytes == 0

    with_cluster(scenario)


@pytest.mark.parametrize("in_transaction", [False, True])
def test_a_statement_without_room_keeps_nothing(
    with_cluster: Any, in_transaction: bool
) -> None:
    """A transaction went on behind the promise that nothing of it was kept."""

    async def scenario(cluster: LineCluster) -> None:
        client, _ = await cluster.client(0, "newest")
        if in_transaction:
            assert not (await client.query("BEGIN")).error
            assert not (await client.query("WRITE lost 1")).error
        held = cluster.hosts[0].callers.held
        held.limits = held.limits._replace(connection_bytes=20_000)
        answer = await client.query("WRITE lost " + "x" * 10_000)
        code, state = ("ABORTED", "E") if in_transaction else ("BUSY", "I")
        assert (answer.error, answer.state) == (code, state)
        if in_transaction:
            assert (await client.query("COMMIT")).error
            assert not (await client.query("ROLLBACK")).error
        assert not (await client.query("WRITE kept 1")).error
        assert [e.item for e in cluster.group.acknowledged] == ["kept"]

    with_cluster(scenario)
