"""Read-your-writes, wherever a session's requests land."""

import random
from typing import Any

import pytest
import trio

from rattanhollow.proxy import ALL_GUARDS, Guards
from rattanhollow_standins.client import Client, connect
from rattanhollow_standins.fleet import Fleet

APPLY_LAG_S = 0.05
ROUNDS = 12
TOKEN = "rattanhollow.token"
NO_FLOOR = ALL_GUARDS._replace(floor=False)


async def prepare(fleet: Fleet, lag_s: float = APPLY_LAG_S) -> Client:
    """Create the table at proxy 0 and, once all replicas have it, let them lag."""
    client = await connect(fleet.place(0))
    created = await client.run("CREATE TABLE slots (number int, note text)")
    assert created.error is None, created
    for replica in fleet.group.replicas:
        while not replica.applied:
            await trio.sleep(0.01)
        replica.faults.apply_lag_s = lag_s
    return client


async def write(client: Client, number: int) -> None:
    """Book a slot."""
    done = await client.run(f"INSERT INTO slots VALUES ({number}, 'x')")
    assert done.error is None, done


async def count(client: Client) -> int:
    """Count the slots."""
    result = await client.run("SELECT count(*) FROM slots")
    assert result.error is None, result
    return int(result.rows[0][0] or -1)


async def roaming(fleet: Fleet) -> int:
    """Write at one proxy and read on connections of others that stand open."""
    first = await prepare(fleet)
    others = [await connect(fleet.place(number)) for number in (0, 1, 2)]
    stale = 0
    for number in range(ROUNDS):
        await write(first, number)
        stale += await count(others[number % 3]) != number + 1
    return stale


async def several_at_once(fleet: Fleet) -> int:
    """Let four connections of one session write and read at the same time."""
    await prepare(fleet)
    stale = 0
    written = 0

    async def one(seed: int) -> None:
        nonlocal stale, written
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            client = await connect(fleet.place(rng.randrange(3)))
            await write(client, seed)
            written += 1
            at_least = written
            stale += await count(client) < at_least
            await client.close()

    async with trio.open_nursery() as nursery:
        for seed in range(4):
            nursery.start_soon(one, seed)
    return stale


async def token_brought(fleet: Fleet) -> int:
    """Bring the token of the last write to a new connection elsewhere."""
    first = await prepare(fleet)
    stale = 0
    for number in range(ROUNDS):
        await write(first, number)
        token = first.parameters[TOKEN]
        other = await connect(
            fleet.place(1 + number % 2), options=f"-c {TOKEN}={token}"
        )
        stale += await count(other) != number + 1
        await other.close()
    return stale


async def token_set_later(fleet: Fleet) -> int:
    """Bring the token with SET on a connection that stands open."""
    first = await prepare(fleet)
    other = await connect(fleet.place(1))
    stale = 0
    for number in range(ROUNDS):
        await write(first, number)
        done = await other.run(f"SET {TOKEN} = '{first.parameters[TOKEN]}'")
        assert done.error is None
        stale += await count(other) != number + 1
    return stale


async def own_connection(fleet: Fleet) -> int:
    """Read on the writing connection, whose scope is the connection."""
    client = await prepare(fleet)
    await client.run("SET rattanhollow.scope = 'connection'")
    stale = 0
    for number in range(ROUNDS):
        await write(client, number)
        stale += await count(client) != number + 1
    return stale


async def new_connection(fleet: Fleet) -> int:
    """Read on a new connection, whose scope is the connection."""
    first = await prepare(fleet)
    stale = 0
    for number in range(ROUNDS):
        await write(first, number)
        other = await connect(
            fleet.place(2), options="-c rattanhollow.scope=connection"
        )
        stale += await count(other) != number + 1
        await other.close()
    return stale


async def across_failover(fleet: Fleet) -> int:
    """Write, lose the primary, read elsewhere with a floor of the old term."""
    first = await prepare(fleet)
    other = await connect(fleet.place(1))
    for number in range(ROUNDS):
        await write(first, number)
    await other.run(f"SET {TOKEN} = '{first.parameters[TOKEN]}'")
    old = fleet.group.primary
    assert old is not None
    old.kill()
    stale = int(await count(other) != ROUNDS)
    fleet.group.revive(old.name)
    stale += await count(other) != ROUNDS
    return stale


async def reseeded(fleet: Fleet) -> int:
    """Let a replica that was seen to be ahead go back to an old copy."""
    client = await prepare(fleet, lag_s=0.0)
    for number in range(ROUNDS):
        await write(client, number)
        await count(client)
    for replica in fleet.group.replicas:
        replica.faults.ship_lag_s = replica.faults.apply_lag_s = 30.0
        replica.truncate(3)
    stale = 0
    for _ in range(4):
        stale += await count(client) != ROUNDS
        await trio.sleep(0.4)
    return stale


SCENARIOS = [
    roaming,
    several_at_once,
    token_brought,
    token_set_later,
    own_connection,
    new_connection,
    across_failover,
    reseeded,
]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_reads_see_writes(scenario: Any, with_fleet: Any) -> None:
    """No read misses a write that its session had acknowledged."""
    assert with_fleet(scenario) == 0


def without_floor(scenario: Any, with_fleet: Any, guards: Guards = NO_FLOOR) -> int:
    """Run a scenario with the floor off."""
    return with_fleet(scenario, guards=guards)


@pytest.mark.parametrize("scenario", [s for s in SCENARIOS if s is not across_failover])
def test_reads_miss_writes_without_floor(scenario: Any, with_fleet: Any) -> None:
    """With the floor off, the same run reads stale data."""
    assert without_floor(scenario, with_fleet) > 0


def test_unreachable_primary_is_no_guess(with_fleet: Any) -> None:
    """A read that can't learn its floor is refused as not run, not guessed."""

    async def scenario(fleet: Fleet) -> Any:
        client = await prepare(fleet)
        for member in fleet.group.members.values():
            member.faults.cut_members = set(fleet.group.members)
        return await client.run("SELECT count(*) FROM slots")

    overrides = {"limits": {"request_timeout_ms": "1500"}}
    result = with_fleet(scenario, overrides=overrides)
    assert result.error is not None
    assert result.error.message.startswith("not run")
    assert result.error.sqlstate == "57P03"


def test_allowance_reads_old_data_at_replicas(with_fleet: Any) -> None:
    """With a read allowance, reads stay at replicas that lag less than it."""

    async def scenario(fleet: Fleet) -> dict[str, int]:
        client = await prepare(fleet, lag_s=0.2)
        reader = await connect(
            fleet.place(1), options="-c rattanhollow.max_age_ms=5000"
        )
        await reader.run("SELECT count(*) FROM slots")
        await trio.sleep(0.4)
        before = dict(fleet.proxies[1].metrics.counts())
        for number in range(ROUNDS):
            await write(client, number)
            await reader.run("SELECT count(*) FROM slots")
        after = fleet.proxies[1].metrics.counts()
        return {
            name: after.get(name, 0) - before.get(name, 0)
            for name in ("reads.replica", "reads.primary")
        }

    assert with_fleet(scenario) == {"reads.replica": ROUNDS, "reads.primary": 0}
