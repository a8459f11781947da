"""Writes: acknowledged once safe, run at most once, and truly refused."""

from typing import Any

import pytest
import trio

from rattanhollow.coordination import GROUP_KIND, Step
from rattanhollow.pgwire import ConnectionLost
from rattanhollow.proxy import ALL_GUARDS
from rattanhollow_standins.client import Client, Result, connect
from rattanhollow_standins.fleet import Fleet

SHORT = {"limits": {"request_timeout_ms": "1500"}}
UNCONFIRMED = ALL_GUARDS._replace(write_confirmation=False)


async def prepare(fleet: Fleet, number: int = 0) -> Client:
    """Create the table and return a client."""
    client = await connect(fleet.place(number))
    created = await client.run("CREATE TABLE slots (number int)")
    assert created.error is None, created
    return client


def copies(fleet: Fleet, number: int) -> int:
    """Count how often the log of the newest primary holds a booking."""
    leading = fleet.group.primary
    assert leading is not None
    wanted = f"INSERT INTO slots VALUES ({number})"
    return sum(
        statement.sql == wanted
        for entry in leading.log
        for statement in entry.statements
    )


async def book(client: Client, number: int) -> Result:
    """Book one slot."""
    return await client.run(f"INSERT INTO slots VALUES ({number})")


def verdict(result: Result) -> str:
    """Return what a caller was told: ran, or the verdict of the refusal."""
    if result.error is None:
        return "ran"
    return result.error.message.split(":")[0]


def cut(fleet: Fleet) -> Any:
    """Cut the primary off from everyone; it still believes that it leads."""
    old = fleet.group.primary
    assert old is not None
    old.faults.cut_callers = True
    old.faults.cut_members = set(fleet.group.members)
    return old


def heal(fleet: Fleet) -> None:
    """End all cuts."""
    for member in fleet.group.members.values():
        member.faults.cut_callers = member.faults.frozen = False
        member.faults.cut_members = set()
        member.faults.cut_addresses = set()
        member.notify()


def assert_true(told: str, found: int) -> None:
    """Check what a caller was told against the log."""
    if told == "ran":
        assert found == 1
    elif told == "not run":
        assert found == 0
    else:
        assert told == "may have run"
        assert found in (0, 1)


async def unshipped_commit(fleet: Fleet) -> tuple[str, int]:
    """Lose a primary with a commit that no replica has."""
    client = await prepare(fleet)
    for replica in fleet.group.replicas:
        replica.faults.ship_lag_s = 5.0
    told: list[str] = []

    async def write() -> None:
        told.append(verdict(await book(client, 1)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        await trio.sleep(0.2)
        old = cut(fleet)
        for member in fleet.group.members.values():
            member.faults.ship_lag_s = 0.0
        while fleet.group.primary is old:
            await trio.sleep(0.02)
    heal(fleet)
    await fleet.wait_for_primary()
    return told[0], copies(fleet, 1)


def test_unshipped_commit_is_not_acknowledged(with_fleet: Any) -> None:
    """A commit that died with its primary is refused, and the refusal is true."""
    told, found = with_fleet(unshipped_commit)
    assert (told, found) == ("not run", 0)


def test_unshipped_commit_is_lost_without_confirmation(with_fleet: Any) -> None:
    """With confirmation off, the same commit is acknowledged and lost."""
    told, found = with_fleet(unshipped_commit, guards=UNCONFIRMED)
    assert (told, found) == ("ran", 0)


async def shipped_commit(fleet: Fleet) -> tuple[str, int]:
    """Lose a primary whose commit a replica has, before it says so."""
    client = await prepare(fleet)
    old = fleet.group.primary
    assert old is not None
    told: list[str] = []

    async def write() -> None:
        told.append(verdict(await book(client, 1)))

    old.faults.answer_delay_s = 0.15
    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        await trio.sleep(0.2)
        cut(fleet)
    old.faults.answer_delay_s = 0.0
    heal(fleet)
    await fleet.wait_for_primary()
    return told[0], copies(fleet, 1)


def test_shipped_commit_survives_and_is_acknowledged(with_fleet: Any) -> None:
    """A commit whose primary dies before confirming it is found in the next log."""
    assert with_fleet(shipped_commit) == ("ran", 1)


def test_lost_commit_answer_may_have_run(with_fleet: Any) -> None:
    """A commit whose answer is lost is said to have maybe run, and runs once."""

    async def scenario(fleet: Fleet) -> tuple[str, str, int]:
        client = await prepare(fleet)
        leading = fleet.group.primary
        assert leading is not None
        leading.faults.lose_commit_answers = 1
        result = await book(client, 1)
        assert result.error is not None
        return verdict(result), result.error.sqlstate, copies(fleet, 1)

    assert with_fleet(scenario) == ("may have run", "08007", 1)


def test_far_behind_replicas_leave_it_open(with_fleet: Any) -> None:
    """Where no replica takes the commit in time, the verdict says so."""

    async def scenario(fleet: Fleet) -> str:
        client = await prepare(fleet)
        for replica in fleet.group.replicas:
            replica.faults.ship_lag_s = 30.0
        return verdict(await book(client, 1))

    assert with_fleet(scenario, overrides=SHORT) == "may have run"


def test_no_primary_in_time_is_not_run(with_fleet: Any) -> None:
    """A write that finds no primary is refused as not run, and has not run."""

    async def scenario(fleet: Fleet) -> tuple[str, int]:
        client = await prepare(fleet)
        for member in fleet.group.members.values():
            member.kill()
        await trio.sleep(0.1)
        told = verdict(await book(client, 1))
        for name in fleet.group.members:
            fleet.group.revive(name)
        await fleet.wait_for_primary()
        return told, copies(fleet, 1)

    assert with_fleet(scenario, overrides=SHORT) == ("not run", 0)


FAULTS = ("cut", "killed", "frozen")


@pytest.mark.parametrize("fault", FAULTS)
def test_writes_go_on_after_a_dead_primary(fault: str, with_fleet: Any) -> None:
    """Writes wait for the next primary; each one's outcome is as was told."""

    async def scenario(fleet: Fleet) -> None:
        clients = [await prepare(fleet)]
        clients += [await connect(fleet.place(number)) for number in (1, 2)]
        old = fleet.group.primary
        assert old is not None
        told: dict[int, str] = {}

        async def write(client: Client, first: int) -> None:
            for number in range(first, first + 10):
                told[number] = verdict(await book(client, number))
                await trio.sleep(0.02)

        async with trio.open_nursery() as nursery:
            for at, client in enumerate(clients):
                nursery.start_soon(write, client, 100 * at)
            await trio.sleep(0.1)
            if fault == "cut":
                cut(fleet)
            elif fault == "killed":
                old.kill()
            else:
                old.faults.frozen = True
        heal(fleet)
        if fault == "killed":
            fleet.group.revive(old.name)
        await fleet.wait_for_primary()
        assert fleet.group.primary is not old
        for number, said in told.items():
            assert_true(said, copies(fleet, number))
        assert sum(said == "ran" for said in told.values()) >= 20

    with_fleet(scenario)


@pytest.mark.parametrize("step", list(Step))
@pytest.mark.parametrize("fault", ["store down", "answer lost", "coordinator killed"])
def test_fault_behind_each_step(step: Step, fault: str, with_fleet: Any) -> None:
    """A fault behind any step of a failover breaks no promise."""

    async def scenario(fleet: Fleet) -> None:
        client = await prepare(fleet, 1)
        others = [await connect(fleet.place(number)) for number in (0, 2)]
        struck = trio.Event()

        async def strike(database: str, done: Step) -> None:
            if done is not step or struck.is_set():
                return
            struck.set()
            if fault == "store down":
                fleet.table.faults.down = True
                nursery.start_soon(recover)
            elif fault == "answer lost":
                fleet.table.faults.lose_kind = GROUP_KIND
                fleet.table.faults.lose_answers = 1
            else:
                fleet.kill_proxy(fleet.coordinator)
                await trio.sleep_forever()

        async def recover() -> None:
            await trio.sleep(0.7)
            fleet.table.faults.down = False

        fleet.step_hook = strike
        told: dict[int, str] = {}
        async with trio.open_nursery() as nursery:
            old = cut(fleet)
            for number, caller in enumerate([client, *others]):
                try:
                    told[number] = verdict(await book(caller, number))
                except ConnectionLost:
                    told[number] = "may have run"
            await struck.wait()
        heal(fleet)
        await fleet.wait_for_primary()
        assert fleet.group.primary is not old
        for number, said in told.items():
            assert_true(said, copies(fleet, number))
        survivor = next(iter(fleet.proxies))
        last = await connect(fleet.place(survivor))
        assert verdict(await book(last, 99)) == "ran"

    with_fleet(scenario)


def test_primary_dies_twice(with_fleet: Any) -> None:
    """Two primaries in a row may die; no acknowledged write is lost."""

    async def scenario(fleet: Fleet) -> None:
        client = await prepare(fleet)
        number = 0
        told: dict[int, str] = {}
        for _ in range(2):
            for _ in range(5):
                number += 1
                told[number] = verdict(await book(client, number))
            old = fleet.group.primary
            assert old is not None
            old.kill()
            number += 1
            told[number] = verdict(await book(client, number))
            fleet.group.revive(old.name)
            await fleet.wait_for_primary()
        for at, said in told.items():
            assert_true(said, copies(fleet, at))
        assert sum(said == "ran" for said in told.values()) >= 10

    with_fleet(scenario)


def test_lost_transaction_is_not_run(with_fleet: Any) -> None:
    """A transaction whose primary died is refused as not run until it is ended."""

    async def scenario(fleet: Fleet) -> None:
        client = await prepare(fleet)
        await client.run("BEGIN")
        await book(client, 1)
        old = fleet.group.primary
        assert old is not None
        old.kill()
        lost = await book(client, 2)
        assert verdict(lost) == "not run"
        assert (lost.error.sqlstate, lost.status) == ("40001", b"E")
        aborted = await book(client, 3)
        assert (aborted.error.sqlstate, aborted.status) == ("25P02", b"E")
        ended = await client.run("COMMIT")
        assert (ended.error, ended.status) == (None, b"I")
        assert verdict(await book(client, 4)) == "ran"
        assert [copies(fleet, number) for number in (1, 2, 3, 4)] == [0, 0, 0, 1]

    with_fleet(scenario)


def test_transactions_never_mix(with_fleet: Any) -> None:
    """Interleaved transactions of many callers stay on connections of their own."""

    async def scenario(fleet: Fleet) -> None:
        first = await prepare(fleet)
        await first.run("CREATE TABLE pairs (owner int, part int)")

        async def one(owner: int) -> None:
            client = await connect(fleet.place(owner % 3))
            for _ in range(5):
                await client.run("BEGIN")
                for part in (0, 1):
                    await client.run(f"INSERT INTO pairs VALUES ({owner}, {part})")
                end = "ROLLBACK" if owner % 2 else "COMMIT"
                assert (await client.run(end)).error is None

        async with trio.open_nursery() as nursery:
            for owner in range(12):
                nursery.start_soon(one, owner)
        leading = fleet.group.primary
        assert leading is not None
        for entry in leading.log:
            owners = [s.sql for s in entry.statements if "INTO pairs" in s.sql]
            numbers = {sql.split("(")[1].split(",")[0] for sql in owners}
            assert len(numbers) <= 1
            assert len(owners) in (0, 2)
        result = await first.run("SELECT count(*), max(owner % 2) FROM pairs")
        assert result.rows == [["60", "0"]]

    with_fleet(scenario)


def test_caller_vanishes_in_a_transaction(with_fleet: Any) -> None:
    """A caller that vanishes leaves nothing behind, and its connection is free."""

    async def scenario(fleet: Fleet) -> None:
        client = await prepare(fleet)
        for _ in range(12):
            gone = await connect(fleet.place(0))
            await gone.run("BEGIN")
            await book(gone, 7)
            await gone.wire.aclose()
        assert verdict(await book(client, 1)) == "ran"
        assert copies(fleet, 7) == 0

    with_fleet(scenario)
