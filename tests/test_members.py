"""Members of a database that are withdrawn or added while it serves."""

from typing import Any

import pytest
import trio

from rattanhollow.configuration import Member, apply_note, read_note
from rattanhollow.coordination import NO_GROUP
from rattanhollow.coordination._election import enough_fenced
from rattanhollow_standins.client import Client, connect
from rattanhollow_standins.database import StandInMember
from rattanhollow_standins.fleet import DATABASE, Fleet

QUIET_AFTER_S = 3.0


def note(fleet: Fleet, name: str, base: int, members: list[StandInMember]) -> str:
    """Return a note that sets the members."""
    places = ", ".join(f"{m.name}={m.address}:{m.port}@{m.zone}" for m in members)
    return (
        f"[note]\nid = {name}\nbase = {base}\noperator = ann\n"
        f"[change database {DATABASE}]\nmembers = {places}\n"
    )


async def change(fleet: Fleet, base: int, members: list[StandInMember]) -> None:
    """Bring other members into force, and wait until they are."""
    content = note(fleet, f"n{base}", base, members)
    (await apply_note(fleet.store(), read_note("n", content), "ann")).unwrap()
    names = {member.name for member in members}
    with trio.fail_after(10):
        for proxy in fleet.proxies.values():
            group = proxy.groups.get(DATABASE)
            while set(group.state.members) != names:
                await trio.sleep(0.02)


async def book(client: Client, number: int) -> bool:
    """Book one slot; whether it was acknowledged."""
    result = await client.run(f"INSERT INTO slots VALUES ({number})")
    return result.error is None


@pytest.mark.parametrize("leaving", ["primary", "replica"])
def test_a_leaving_member_gets_no_new_work(leaving: str, with_fleet: Any) -> None:
    """A withdrawn member serves nothing some seconds later; no commit is lost."""

    async def scenario(fleet: Fleet) -> None:
        clients = [await connect(fleet.place(number)) for number in range(3)]
        await clients[0].run("CREATE TABLE slots (number int)")
        everyone = list(fleet.group.members.values())
        primary = fleet.group.primary
        gone = primary if leaving == "primary" else fleet.group.replicas[0]
        assert gone is not None
        booked = [n for n in range(20) if await book(clients[n % 3], n)]
        await change(fleet, 1, [member for member in everyone if member is not gone])
        await trio.sleep(QUIET_AFTER_S)
        served = gone.statements_run
        booked += [n for n in range(20, 40) if await book(clients[n % 3], n)]
        for client in clients:
            result = await client.run("SELECT count(*) FROM slots")
            assert result.rows == [[str(len(booked))]]
        assert gone.statements_run == served
        assert len(booked) == 40
        await change(fleet, 2, everyone)
        assert await book(clients[0], 99)
        with trio.fail_after(10):
            while len({member.end for member in everyone}) > 1:
                await trio.sleep(0.05)

    with_fleet(scenario)


def test_commits_of_earlier_members_count() -> None:
    """Fewer members than the published ones may hold a commit decide nothing."""
    place = Member("m0", "10.0.0.1", 1, "a")
    from rattanhollow.configuration import Database

    two = Database("x", tuple(place._replace(name=n) for n in ("m1", "m2")))
    state = NO_GROUP._replace(members=("m0", "m1", "m2"), copies=1)
    assert enough_fenced(two, NO_GROUP, {"m2"})
    assert not enough_fenced(two, state, {"m2"})
    assert enough_fenced(two, state, {"m1", "m2"})
    four = two._replace(members=(*two.members, place._replace(name="m3")))
    assert not enough_fenced(four, state, {"m2", "m3"})
    assert enough_fenced(four, state, {"m1", "m2"})
