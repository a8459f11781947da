"""Hosts that the store has lost: told by others, or silent."""

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


async def still_works(client: Client) -> bool:
    """Whether a connection's key still gets answers."""
    try:
        return (await client.run("SELECT 1")).error is None
    except Exception:
        return False


def lose_store(fleet: Fleet, number: int) -> None:
    """Let a host lose the store."""
    fleet.table.faults.cut_addresses = {fleet.addresses.proxy(number)}


def lose_hosts(fleet: Fleet, number: int) -> None:
    """Let a host lose all other hosts."""

    async def ask(*arguments: Any) -> Result[Any, str]:
        return Err("cut off")

    fleet.proxies[number].peers.ask = ask  # type: ignore[method-assign]


async def withdraw(fleet: Fleet) -> bool:
    """Withdraw the key of an open connection; whether it works 10 s later."""
    client = await connect(fleet.place(0))
    (await apply_note(fleet.store(), read_note("n2", NOTE), "ann")).unwrap()
    with trio.move_on_after(WITHDRAW_S):
        while await still_works(client):
            await trio.sleep(0.2)
        return False
    return True


async def told_by_others(fleet: Fleet) -> bool:
    """Withdraw a key at a host that only other hosts can tell."""
    lose_store(fleet, 0)
    works = await withdraw(fleet)
    assert fleet.proxies[0].configuration.version == 2
    assert await still_works(await connect(fleet.place(0, key="new")))
    return works


async def cut_off(fleet: Fleet) -> bool:
    """Withdraw a key at a host that nobody can tell."""
    lose_store(fleet, 0)
    lose_hosts(fleet, 0)
    return await withdraw(fleet)


def test_a_host_without_the_store_hears_from_others(with_fleet: Any) -> None:
    """A withdrawn key stops at a host that the store has lost; other keys work."""
    assert not with_fleet(told_by_others)


def test_a_host_without_anybody_stops(with_fleet: Any) -> None:
    """A host that nobody can tell takes no requests after some seconds."""
    assert not with_fleet(cut_off)


def test_a_host_without_anybody_goes_on_without_the_check(with_fleet: Any) -> None:
    """With the check off, the withdrawn key goes on working there."""
    assert with_fleet(cut_off, guards=ALL_GUARDS._replace(freshness=False))


def test_an_outage_for_all_stops_nobody(with_fleet: Any) -> None:
    """While no host hears the store, all go on."""

    async def scenario(fleet: Fleet) -> None:
        fleet.table.faults.down = True
        clients = [await connect(fleet.place(number)) for number in range(3)]
        with trio.move_on_after(9):
            while True:
                for client in clients:
                    assert await still_works(client)
                await trio.sleep(0.2)

    with_fleet(scenario)
