"""Replacing primaries: choosing the target, late commands, lost responses, races.

No network: the databases are in-memory stand-ins and the clock jumps to the next
event. Every run checks that no acknowledged commit is missing from a promoted log.
"""

import random
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
import trio
from result import Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.host._watch_primaries import _covers
from rattanhollow.records import to_spec
from rattanhollow.routing import ServerDirectory
from rattanhollow.serving import BackendServer, Command, Reply, ServerStatus
from rattanhollow.store import NO_REVISION, Revision, Stored
from rattanhollow.succession import (
    Member,
    Phase,
    StoppedGroup,
    SuccessionRecord,
    Task,
    choose_successor,
    claim,
    keep_or_choose,
    release_held_replica,
    replace_primary,
)
from rattanhollow_standins.platform import DatabaseServer, ServerSession
from replacement_cluster import SERVICE, ReplacementCluster, run_scenario, server


def test_a_draining_primary_is_replaced() -> None:
    """The primary stops, the longest replica log leads, the others receive again."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].draining = True
        replaced = await cluster.replace()
        assert replaced.is_ok()
        assert cluster.group.leader is cluster.databases[int(replaced.ok().id[-1])]
        await cluster.commit(2)
        assert len(cluster.group.acknowledged) == 5
        assert not any(d.held_term for d in cluster.databases)

    run_scenario(scenario)


def test_an_unreachable_primary_is_replaced_when_both_replicas_respond() -> None:
    """The held replicas alone show which log has every acknowledged commit."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[1].deaf = True
        await cluster.commit(2)
        cluster.databases[0].dark = True
        replaced = await cluster.replace(reachable=False)
        assert replaced.ok().id == "i-2"

    run_scenario(scenario)


def test_a_primary_unknown_to_all_hosts_is_found() -> None:
    """When no host knows the primary, a server that still leads is kept."""

    async def scenario(cluster: ReplacementCluster) -> None:
        task = cluster.task(reachable=False)._replace(old_leader=None)
        replaced = await replace_primary(task, cluster.parts())
        assert replaced.ok().id == "i-0"
        assert not cluster.promotions.orders
        assert not any(d.held_term for d in cluster.databases)

    run_scenario(scenario)


def test_a_deposed_stand_in_refuses_a_commit_queued_for_a_slot() -> None:
    """A commit queued when the server is deposed is refused (soak, seed 4)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        database = cluster.databases[0]
        session = ServerSession(cluster.group, database, "kirk")
        await session.query("-", "BEGIN")
        await session.query("w", "WRITE a 1")
        responses: list[list[str]] = []

        async def commit() -> None:
            responses.append(await session.query("c", "COMMIT"))

        async with trio.open_nursery() as nursery:
            for _ in range(database.slot_count):
                await database.slots.acquire_on_behalf_of(object())
            nursery.start_soon(commit)
            await trio.sleep(0.1)
            cluster.group.promote_now(cluster.databases[1])
            database.slots.total_tokens += 1
        assert responses[0][0].startswith("ERROR READONLY")
        assert not [e for e in cluster.group.acknowledged if e.request_id == "w"]

    run_scenario(scenario)


def test_one_replica_alone_is_not_promoted() -> None:
    """A commit that only the other replica holds may have been acknowledged."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[1].deaf = True
        await cluster.commit(2)
        cluster.databases[0].dark = cluster.databases[2].dark = True
        assert (await cluster.replace(reachable=False)).is_err()
        assert not cluster.promotions.orders
        assert not cluster.databases[1].held_term

    run_scenario(scenario)


def test_a_replica_that_joins_during_a_replacement_is_held_too() -> None:
    """A server that joins while others are held may acknowledge commits."""

    async def scenario(cluster: ReplacementCluster) -> None:
        joined = DatabaseServer("i-3", "z0")
        joined.log = list(cluster.databases[0].log)
        cluster.group.servers["i-3"] = joined
        members = cluster._members
        calls = 0

        async def read_members(service: str) -> list[BackendServer]:
            nonlocal calls
            calls += 1
            if calls == 2:
                # Only this coordinator cannot reach the primary; other hosts can.
                cluster.databases[1].deaf = cluster.databases[2].deaf = True
                await cluster.commit(1)
                cluster.listed.append(joined)
            return await members(service)

        cluster._members = read_members  # type: ignore[method-assign]
        replaced = await cluster.replace(reachable=False)
        assert replaced.ok().id == "i-3"

    run_scenario(scenario)


def test_a_server_with_an_incomplete_log_is_not_counted() -> None:
    """An empty log does not show that the server had acknowledged no commit."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[1].deaf = True
        await cluster.commit(2)
        cluster.group.crash(cluster.databases[2], keeps_log=False)
        cluster.databases[2].dark = False
        cluster.databases[0].dark = True

        def covers(found: BackendServer, status: ServerStatus, last: str) -> bool:
            return found.id != "i-2"

        replaced = await cluster.replace(reachable=False, is_log_complete=covers)
        assert replaced.is_err() and not cluster.promotions.orders

    run_scenario(scenario)


def test_the_last_primary_is_named_to_what_judges_logs() -> None:
    """When it has left, no log was lost; a service had no primary for 40 s."""

    async def scenario(cluster: ReplacementCluster) -> None:
        named: list[str] = []

        def note(found: BackendServer, status: ServerStatus, last: str) -> bool:
            named.append(last)
            return True

        assert (await cluster.replace(is_log_complete=note)).is_ok()
        assert set(named) == {""}
        leader = cluster.group.leader
        assert leader is not None
        cluster.group.step_down(leader, cluster.group.term + 1)
        leader.dark = True
        cluster.listed.remove(leader)
        task = cluster.task()._replace(old_leader=None)
        replaced = await replace_primary(task, cluster.parts(is_log_complete=note))
        assert replaced.is_ok() and set(named) == {"", leader.id}

    run_scenario(scenario)


def test_the_end_of_the_last_primary_loses_no_log() -> None:
    """It had stepped down when it left, and was taken for a lost replica."""
    directory = ServerDirectory(lambda stored: Ok(stored.spec["described"]))
    databases = [DatabaseServer(f"i-{n}", f"z{n}") for n in range(3)]
    databases[0].leads = databases[0].draining = True
    for number, database in enumerate(databases):
        described = server(database)._replace(version=Revision(number + 1))
        entry = Stored(
            "servers", database.id, Revision(number + 1), {"described": described}
        )
        directory.apply_description(entry, database.id)
    directory.record_leader_denial("i-0")
    directory.apply_description(None, "i-0")
    floors = SimpleNamespace(cached_position=lambda service, since_s: None)
    parts: Any = SimpleNamespace(directory=directory, floors=floors)
    log = (server(databases[1]), Position(1, 7))
    assert not _covers(*log, "", parts)
    assert _covers(*log, "i-0", parts)
    directory.apply_description(None, "i-2")
    assert not _covers(*log, "i-0", parts)


def test_a_lost_promotion_is_requested_again_for_the_same_server() -> None:
    """While a promotion may still be executed, no other server may be chosen."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].dark = True
        cluster.promotions.late_s = 9.0
        first = await cluster.replace(reachable=False, holder="a")
        assert first.is_err()
        cluster.promotions.late_s = 0.0
        second = await cluster.replace(reachable=False, holder="b")
        assert second.is_ok()
        await trio.sleep(12)
        assert len({target for _, target, _, _ in cluster.promotions.orders}) == 1
        assert cluster.group.promotions == [second.ok().id]
        tokens = [token for _, _, holder, token in cluster.promotions.orders]
        assert tokens == sorted(tokens) and tokens[0] < tokens[-1]

    run_scenario(scenario)


def test_an_unfinished_target_is_promoted_although_it_drains() -> None:
    """A lost request to promote it may be executed after another server leads."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].dark = True
        cluster.promotions.late_s = 6.0
        assert (await cluster.replace(reachable=False, holder="a")).is_err()
        named = cluster.promotions.orders[0][1]
        cluster.group.servers[named].draining = True
        cluster.promotions.late_s = 0.0
        await cluster.replace(reachable=False, holder="b")
        assert {target for _, target, _, _ in cluster.promotions.orders} == {named}

    run_scenario(scenario)


def test_late_hold_commands_of_an_old_term_have_no_effect() -> None:
    """A hold command of an old term that is executed late has no effect."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].draining = True
        cluster.databases[1].late_orders_s = 5.0
        replaced = await cluster.replace()
        cluster.databases[1].late_orders_s = 0.0
        assert replaced.is_ok()
        await trio.sleep(8)
        await cluster.commit(2)
        assert len(cluster.group.acknowledged) == 5

    run_scenario(scenario)


def test_two_coordinators_never_share_a_token() -> None:
    """A race ends with one primary; no two coordinators promote with one token."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].draining = True
        async with trio.open_nursery() as nursery:
            for holder in ("a", "b"):
                nursery.start_soon(partial(cluster.replace, holder=holder))
        holders: dict[int, str] = {}
        for _, _, holder, token in cluster.promotions.orders:
            assert holders.setdefault(token, holder) == holder
        assert cluster.group.leader is not None

    run_scenario(scenario)


def test_a_second_coordinator_leaves_no_replica_held() -> None:
    """A replica held by both coordinators is released after the one promotion."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].draining = True
        first = await claim(cluster.store, SERVICE, "a", "lost", "i-0")
        assert first.is_ok()
        for database in cluster.databases[1:]:
            cluster.group.hold(database, cluster.group.term + 1)
        replaced = await cluster.replace(holder="b")
        assert replaced.is_ok()
        assert not any(database.held_term for database in cluster.databases)

    run_scenario(scenario)


def test_a_coordinator_that_lost_its_claim_releases_no_replica() -> None:
    """The coordinator that has claimed since relies on the held replicas."""

    async def scenario(cluster: ReplacementCluster) -> None:
        members = cluster._members

        async def read_members(service: str) -> list[BackendServer]:
            stored = (await cluster.store.get("successions", SERVICE)).ok()
            assert stored is not None
            spec = {**stored.spec, "claim_id": "other", "holder": "b"}
            await cluster.store.put("successions", SERVICE, spec, stored.version)
            return await members(service)

        cluster._members = read_members  # type: ignore[method-assign]
        assert (await replace_primary(cluster.task(), cluster.parts())).is_err()
        assert all(database.held_term for database in cluster.databases[1:])

    run_scenario(scenario)


def test_a_replica_held_without_need_is_released() -> None:
    """Under a claim while the primary leads; never while a promotion is pending."""

    async def scenario(cluster: ReplacementCluster) -> None:
        held = cluster.databases[1]
        cluster.group.hold(held, cluster.group.term + 1)
        released = await release_held_replica(
            cluster.task(), server(held), cluster.parts()
        )
        assert released.is_ok() and not held.held_term
        cluster.group.hold(held, cluster.group.term + 1)
        stored = (await cluster.store.get("successions", SERVICE)).ok()
        assert stored is not None
        spec = {**stored.spec, "phase": "chosen", "claim_id": "x"}
        await cluster.store.put("successions", SERVICE, spec, stored.version)
        refused = await release_held_replica(
            cluster.task(), server(held), cluster.parts()
        )
        assert refused.is_err() and held.held_term

    run_scenario(scenario)


@pytest.mark.parametrize("reachable", [True, False])
def test_a_replaced_primary_is_not_replaced_again(reachable: bool) -> None:
    """A coordinator frozen before its claim deposes the next primary (review/1)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.databases[0].draining = True
        task_before_freeze = cluster.task(reachable)
        replaced = await cluster.replace(holder="b")
        await cluster.commit(2)
        stale = await replace_primary(task_before_freeze, cluster.parts("a"))
        await trio.sleep(2)
        assert stale.is_err()
        assert cluster.noted_leaders == [replaced.ok().id]
        assert cluster.group.promotions == [replaced.ok().id]
        assert not any(database.held_term for database in cluster.databases)

    run_scenario(scenario)


def test_a_coordinator_frozen_behind_its_claim_holds_no_replica() -> None:
    """Its claim was taken over, and the next primary needs its replicas (review/1)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        frozen = trio.Event()

        async def read_members(service: str) -> list[BackendServer]:
            await frozen.wait()
            return [server(item) for item in cluster.databases]

        parts = cluster.parts("a")._replace(read_members=read_members)
        cluster.databases[0].draining = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace_primary, cluster.task(), parts)
            await trio.sleep(1)
            replaced = await cluster.replace(holder="b")
            assert replaced.is_ok()
            frozen.set()
        assert cluster.group.promotions == [replaced.ok().id]
        assert not any(database.held_term for database in cluster.databases)

    run_scenario(scenario)


def test_an_unfinished_target_that_leads_ends_its_own_succession_first() -> None:
    """Its promotion may still be pending, and would follow that of another server."""

    async def scenario(cluster: ReplacementCluster) -> None:
        born_ms = cluster.databases[0].born_ms
        spec = SuccessionRecord(1, "x", "a", "i-2", Phase.CHOSEN, "i-0", born_ms)
        await cluster.store.put("successions", SERVICE, to_spec(spec), NO_REVISION)
        cluster.databases[0].draining = True
        task = cluster.task()._replace(stale_claim_id="x")
        ended = await replace_primary(task, cluster.parts())
        assert ended.ok().id == "i-0" and not cluster.promotions.orders
        stored = (await cluster.store.get("successions", SERVICE)).unwrap()
        assert (stored.spec["phase"], stored.spec["leader"]) == ("ended", "i-0")
        replaced = await cluster.replace()
        assert replaced.ok().id != "i-0"

    run_scenario(scenario)


def test_a_pending_target_taken_for_the_primary_stays_the_target() -> None:
    """Another server was chosen, and promoted behind it (seed 3719)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        born_ms = cluster.databases[0].born_ms
        cluster.group.step_down(cluster.databases[0], cluster.group.term + 1)
        spec = SuccessionRecord(1, "x", "a", "i-1", Phase.CHOSEN, "i-0", born_ms)
        await cluster.store.put("successions", SERVICE, to_spec(spec), NO_REVISION)
        task = cluster.task()._replace(stale_claim_id="x")
        replaced = await replace_primary(task, cluster.parts())
        assert replaced.ok().id == "i-0"
        assert cluster.group.promotions == ["i-0"]

    run_scenario(scenario)


def test_orders_that_are_late_do_not_bring_a_stopped_primary_back() -> None:
    """It led again beside its successor, whose log lacked its commits."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.promotions.late_s = 1.7
        leader = (await cluster.replace()).unwrap()
        assert len(cluster.promotions.orders) > 1
        task = cluster.task()._replace(old_leader=leader)
        second = await replace_primary(task, cluster.parts("b"))
        await cluster.commit(2)
        await trio.sleep(6)
        assert second.is_err()
        assert cluster.group.promotions == [leader.id]
        cluster.promotions.late_s = 0.0
        task = cluster.task()._replace(old_leader=leader)
        third = await replace_primary(task, cluster.parts("b"))
        assert cluster.group.promotions == [leader.id, third.unwrap().id]

    run_scenario(scenario)


def test_a_deposed_primary_is_no_proof_of_all_commits() -> None:
    """It is a replica of an unreachable successor, whose commits it may lack."""

    async def scenario(cluster: ReplacementCluster) -> None:
        # A coordinator died behind the promotion, before it could record it.
        spec = SuccessionRecord(1, "x", "a", "i-0", Phase.CHOSEN, "i-1", -1)
        await cluster.store.put("successions", SERVICE, to_spec(spec), NO_REVISION)
        cluster.group.promote_now(cluster.databases[1])
        cluster.databases[0].deaf = True
        await cluster.commit(2)
        cluster.databases[1].dark = cluster.databases[2].dark = True
        stale = await replace_primary(
            cluster.task()._replace(stale_claim_id="x"), cluster.parts()
        )
        await trio.sleep(2)
        assert stale.is_err()
        assert cluster.group.promotions == ["i-1"]

    run_scenario(scenario)


@pytest.mark.parametrize("leads", [True, False])
def test_a_replica_is_released_for_a_primary_without_a_free_connection(
    leads: bool,
) -> None:
    """Its commits waited for held replicas for good (soak, seed 296888)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        held = cluster.databases[1]
        run = cluster._run

        async def run_unless_full(
            target: BackendServer, command: Command, timeout_s: float
        ) -> Reply | None:
            full = leads and target.id == "i-0"
            return None if full else await run(target, command, timeout_s)

        cluster._run = run_unless_full  # type: ignore[method-assign]
        cluster.group.hold(held, cluster.group.term + 1)
        if not leads:
            cluster.group.step_down(cluster.databases[0], cluster.group.term + 1)
        await claim(cluster.store, SERVICE, "killed", "x", "i-0")
        task = cluster.task()._replace(stale_claim_id="x")
        await release_held_replica(task, server(held), cluster.parts())
        # A primary that has stopped needs a successor, which needs the hold.
        assert bool(held.held_term) is not leads

    run_scenario(scenario)


def test_a_lost_store_response_causes_no_second_claim() -> None:
    """A coordinator recognises its own claim."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.table.faults.lose_answers = 1
        claimed = await claim(cluster.store, SERVICE, "h", "c", "i-0")
        assert claimed.ok().token == 1
        repeated = await claim(cluster.store, SERVICE, "h", "c", "i-0")
        assert repeated.ok().token == 1

    run_scenario(scenario)


def test_without_the_store_nothing_is_held() -> None:
    """Without a claim no command is sent, so the servers keep their state."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.table.faults.down = True
        with trio.move_on_after(5):
            await cluster.replace()
        assert cluster.group.leader is cluster.databases[0]
        assert not any(d.held_term for d in cluster.databases)
        assert not cluster.promotions.orders

    run_scenario(scenario)


# 3719: a target that was taken for the primary, with its promotion pending.
# 1068: late orders made a stopped primary lead again beside its successor.
@pytest.mark.parametrize("doubled", [False, True])
@pytest.mark.parametrize("outdated", [False, True])
@pytest.mark.parametrize("seed", [*range(100), 1068, 3719])
def test_random_faults_lose_no_acknowledged_commit(
    seed: int, outdated: bool, doubled: bool
) -> None:
    """Random outages, late commands and competing coordinators during commits.

    With ``outdated`` coordinators act on what they knew seconds before (review/1),
    with ``doubled`` most faults come with another one.
    """
    rng = random.Random(seed)

    async def scenario(cluster: ReplacementCluster) -> None:
        async def commit_repeatedly() -> None:
            for _ in range(60):
                await cluster.commit(1)
                await trio.sleep(0.1)

        def add_fault(fault: str) -> None:
            database = rng.choice(cluster.databases)
            if fault == "late":
                database.late_orders_s = rng.uniform(0.2, 6)
            elif fault == "promotion":
                cluster.promotions.late_s = rng.uniform(0.3, 6)
            elif fault == "draining":
                database.draining = True

        async def inject_faults() -> None:
            for _ in range(10 if doubled else 8):
                await trio.sleep(rng.uniform(*((0.05, 1.0) if doubled else (0.1, 1.5))))
                database = rng.choice(cluster.databases)
                faults = [
                    "dark",
                    "deaf",
                    "deaf",
                    "late",
                    "promotion",
                    "draining",
                    "two",
                ]
                if doubled:
                    add_fault(rng.choice(["late", "promotion", "draining", "none"]))
                fault = rng.choice(faults)
                duration_s = rng.uniform(0.2, 4)
                if fault == "dark":
                    database.dark = True
                elif fault == "deaf":
                    database.deaf = True
                elif fault == "two":
                    # One replica lags, then the other two servers become unreachable.
                    leader = cluster.group.leader or cluster.databases[0]
                    others = [d for d in cluster.databases if d is not leader]
                    others[0].deaf = True
                    await trio.sleep(0.5)
                    leader.dark = others[1].dark = True
                elif fault == "late":
                    database.late_orders_s = rng.uniform(1, 6)
                elif fault == "promotion":
                    cluster.promotions.late_s = rng.uniform(1, 6)
                else:
                    database.draining = True
                await trio.sleep(duration_s)
                for database in cluster.databases:
                    database.dark = database.deaf = database.draining = False
                    database.late_orders_s = 0.0
                cluster.promotions.late_s = 0.0

        async def coordinate(holder: str) -> None:
            competing_claim = ("", 0.0)

            def note_competing_claim(service: str, claim_id: str) -> None:
                nonlocal competing_claim
                if competing_claim[0] != claim_id:
                    competing_claim = (claim_id, trio.current_time())

            for number in range(6):
                await trio.sleep(rng.uniform(0.2, 2))
                leader = cluster.group.leader or cluster.databases[0]
                reachable = not leader.dark
                if outdated:
                    await trio.sleep(rng.choice([0, 0, 0.5, 3, 6]))
                task = Task(
                    service=SERVICE,
                    sync_replica_count=1,
                    old_leader=server(leader),
                    reachable=reachable,
                    claim_id=f"{holder}{number}",
                    stale_claim_id=competing_claim[0]
                    if trio.current_time() - competing_claim[1] > 2.5
                    else "",
                )
                parts = cluster.parts(holder)._replace(
                    note_competing_claim=note_competing_claim
                )
                with trio.move_on_after(rng.choice([0.1, 0.5, 2, 9])):
                    await replace_primary(task, parts)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit_repeatedly)
            nursery.start_soon(inject_faults)
            for holder in ("a", "b"):
                nursery.start_soon(coordinate, holder)

    run_scenario(scenario, seed)


def status(term: int, offset: int, held: int, leads: bool = False) -> ServerStatus:
    """Return a server's status response."""
    return ServerStatus(leads, term, Position(term, offset), held, 0, 0, 0)


def member(name: str, found: ServerStatus | None, **changes: Any) -> Member:
    """Return a member of a group of three."""
    described = server(DatabaseServer(name, "z"))
    return Member(described._replace(**changes), found)


def choose(*group: Any) -> Result[BackendServer, str]:
    """Return the successor in a stopped group."""
    return choose_successor(StoppedGroup(*group))


def test_choose_successor() -> None:
    """Which server is chosen, and when none may be."""
    one, two = member("1", status(1, 7, 2)), member("2", status(1, 9, 2))
    assert choose([one, two], None, 1, 2).ok().id == "2"
    assert choose([one, member("2", None)], None, 1, 2).is_err()
    assert choose([one, member("2", status(1, 9, 0))], None, 1, 2).is_err()
    stopped = member("0", status(1, 9, 0), draining=True)
    assert choose([two, member("1", None)], stopped, 1, 2).ok().id == "2"
    assert choose([one, member("2", None)], stopped, 1, 2).is_err()
    not_draining = member("0", status(1, 9, 0))
    assert choose([one, member("2", None)], not_draining, 1, 2).ok().id == "0"
    leaving = member("2", status(1, 9, 2), draining=True)
    assert choose([one, leaving], None, 1, 2).is_err()
    three = member("3", status(1, 5, 2))
    assert choose([one, two, three], None, 2, 2).ok().id == "2"
    assert choose([one, two, member("3", None)], None, 2, 2).ok().id == "2"


def test_a_pending_target_is_kept_unless_it_lacks_commits() -> None:
    """Which server is chosen while a promotion is pending, and when none may be."""
    one, two = member("1", status(1, 7, 2)), member("2", status(1, 9, 2))
    equal = member("2", status(1, 7, 2))
    silent = member("2", None)

    def kept(*group: Any) -> Result[BackendServer, str]:
        return keep_or_choose(StoppedGroup(*group), one.server)

    assert kept([one, equal], None, 1, 2).ok().id == "1"
    assert kept([one, two], None, 1, 2).ok().id == "2"
    assert kept([one, silent], None, 1, 2).ok().id == "1"
    assert kept([one, member("2", status(1, 9, 0))], None, 1, 2).is_err()
    longer = member("0", status(1, 9, 0), draining=True)
    assert kept([one, silent], longer, 1, 2).is_err()
    assert kept([one, equal], longer, 1, 2).ok().id == "1"
    assert kept([one._replace(status=None), two], longer, 1, 2).ok().id == "2"


def test_an_unfinished_target_is_kept() -> None:
    """The next claim keeps the target that the platform may still promote."""

    async def scenario(cluster: ReplacementCluster) -> None:
        first = (await claim(cluster.store, SERVICE, "a", "c1", "i-0")).ok()
        chosen = first._replace(phase=Phase.CHOSEN, target="i-1", target_born_ms=1)
        stored = (await cluster.store.get("successions", SERVICE)).ok()
        assert stored is not None
        spec = {**stored.spec, "phase": "chosen", "target": "i-1", "target_born_ms": 1}
        await cluster.store.put("successions", SERVICE, spec, stored.version)
        refused = await claim(cluster.store, SERVICE, "b", "c2", "i-0")
        assert refused.err().claim_id == "c1"
        second = (await claim(cluster.store, SERVICE, "b", "c2", "i-0", "c1")).ok()
        assert isinstance(second, SuccessionRecord)
        assert (second.token, second.target) == (first.token + 1, chosen.target)

    run_scenario(scenario)
