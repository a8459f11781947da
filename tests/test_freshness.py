"""Hosts disconnected from the store, with and without contact to other hosts."""

from typing import Any

import trio
from result import Err, Result

from rattanhollow.configuration import apply_note, digest_of, read_note
from rattanhollow.proxy import ALL_GUARDS
from rattanhollow_standins.client import Client, connect
from rattanhollow_standins.fleet import Fleet

WITHDRAW_S = 10.0
NOTE = f"""
[note]
id = n2
base = 1
operator = ann
[add key kirk/new]
digest = {digest_of("new")}
[withdraw key kirk/desk]
"""


async def accepts_statements(client: Client) -> bool:
    """Whether statements on a connection, and so its key, still succeed."""
    try:
        return (await client.run("SELECT 1")).error is None
    except Exception:
        return False


def disconnect_from_store(fleet: Fleet, number: int) -> None:
    """Disconnect a host from the store."""
    fleet.table.faults.cut_addresses = {fleet.addresses.proxy(number)}


def disconnect_from_hosts(fleet: Fleet, number: int) -> None:
    """Disconnect a host from all other hosts."""

    async def ask(*arguments: Any) -> Result[Any, str]:
        return Err("cut off")

    fleet.proxies[number].peers.ask = ask  # type: ignore[method-assign]


async def withdraw(fleet: Fleet) -> bool:
    """Withdraw the key of an open connection; whether it still works after 10 s."""
    client = await connect(fleet.place(0))
    (await apply_note(fleet.store(), read_note("n2", NOTE), "ann")).unwrap()
    with trio.move_on_after(WITHDRAW_S):
        while await accepts_statements(client):
            await trio.sleep(0.2)
        return False
    return True


async def withdraw_without_store(fleet: Fleet) -> bool:
    """Withdraw a key that a host can learn of only from other hosts."""
    disconnect_from_store(fleet, 0)
    works = await withdraw(fleet)
    assert fleet.proxies[0].configuration.version == 2
    assert await accepts_statements(await connect(fleet.place(0, key="new")))
    return works


async def withdraw_when_isolated(fleet: Fleet) -> bool:
    """Withdraw a key that a host has no way to learn of."""
    disconnect_from_store(fleet, 0)
    disconnect_from_hosts(fleet, 0)
    return await withdraw(fleet)


def test_a_host_without_the_store_learns_from_other_hosts(with_fleet: Any) -> None:
    """Without the store, a host refuses a withdrawn key and accepts the others."""
    assert not with_fleet(withdraw_without_store)


def test_an_isolated_host_stops(with_fleet: Any) -> None:
    """A host without store and other hosts stops accepting requests within 10 s."""
    assert not with_fleet(withdraw_when_isolated)


def test_an_isolated_host_goes_on_without_the_check(with_fleet: Any) -> None:
    """With the check disabled, the withdrawn key still works on an isolated host."""
    assert with_fleet(
        withdraw_when_isolated, guards=ALL_GUARDS._replace(freshness=False)
    )


def test_a_store_outage_stops_no_host(with_fleet: Any) -> None:
    """While no host is connected to the store, all keep accepting requests."""

    async def scenario(fleet: Fleet) -> None:
        fleet.table.faults.down = True
        clients = [await connect(fleet.place(number)) for number in range(3)]
        with trio.move_on_after(9):
            while True:
                for client in clients:
                    assert await accepts_statements(client)
                await trio.sleep(0.2)

    with_fleet(scenario)
