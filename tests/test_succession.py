"""Replacing primaries: who may succeed, late orders, lost answers, races.

No network: stand-in databases in memory, time that jumps. Every run checks that
no acknowledged commit is missing from a promoted log.
"""

import itertools
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from jumping import run_jumping
from rattanhollow.coordination import Position
from rattanhollow.observe import Meter
from rattanhollow.platform import parse_status
from rattanhollow.serving import (
    BackendServer,
    Command,
    Reply,
    ServedBackend,
    ServerStatus,
    ServingParts,
)
from rattanhollow.store import ObjectStore
from rattanhollow.succession import (
    Member,
    Orders,
    Phase,
    ReplaceParts,
    SuccessionRecord,
    Task,
    choose,
    claim,
    release_held,
    replace_primary,
)
from rattanhollow_standins.platform import (
    DatabaseServer,
    ServerSession,
    ServiceGroup,
    memory_end,
)
from rattanhollow_standins.platform._group import Entry
from rattanhollow_standins.platform._serve import Promotions
from rattanhollow_standins.store import ObjectTable, local_store

SERVICE = "bookings"
PROMOTE_TIMEOUT_S = 1.0


def server(database: DatabaseServer) -> BackendServer:
    """Return a database as the store describes it."""
    return BackendServer(
        id=database.id,
        service=SERVICE,
        address="10.0.0.1",
        port=1,
        zone=database.zone,
        slots=3,
        draining=database.draining,
        leads=database.leads,
        cold_ms=0,
        born_ms=database.born_ms,
    )


class Theatre:
    """A group of three databases, the store, promotions, and coordinators."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.databases = [DatabaseServer(f"i-{n}", f"z{n}") for n in range(3)]
        self.group = ServiceGroup(SERVICE, self.databases, nursery)
        self.promotions = Promotions([self.group], nursery)
        self.table = ObjectTable()
        self.store: ObjectStore = local_store(self.table)
        self.nursery = nursery
        self.known = list(self.databases)
        self._served: dict[str, ServedBackend] = {}
        self._claims = itertools.count(1)
        self.claims_seen: list[str] = []

    def parts(
        self, holder: str = "h", covers: Callable[..., bool] = lambda s, t: True
    ) -> ReplaceParts:
        """Return what a coordinator needs."""
        return ReplaceParts(
            store=self.store,
            orders=Orders(self._run, parse_status),
            promote=self._promote,
            holder=holder,
            covers=covers,
            members=self._members,
            saw_claim=lambda service, claim_id: self.claims_seen.append(claim_id),
            clock=trio.current_time,
        )

    async def replace(
        self, reachable: bool = True, **options: Any
    ) -> Result[BackendServer, str]:
        """Replace the first database; a claim that stands still is taken over."""
        replaced = await replace_primary(self.task(reachable), self.parts(**options))
        if replaced.is_err() and self.claims_seen:
            await trio.sleep(2.5)
            task = self.task(reachable)
            replaced = await replace_primary(task, self.parts(**options))
        return replaced

    def task(self, reachable: bool = True) -> Task:
        """Return the task of replacing the first database."""
        return Task(
            service=SERVICE,
            copies=1,
            old_leader=server(self.databases[0]),
            reachable=reachable,
            claim_id=f"c{next(self._claims)}",
            may_override=self.claims_seen[-1] if self.claims_seen else "",
        )

    async def commit(self, count: int = 1) -> None:
        """Commit at whoever leads, if it is acknowledged in time."""
        leader = self.group.leader
        for number in range(count):
            entry = Entry(Position(0, 0), f"x{number}", "1", "r")
            if leader is not None and not leader.dark:
                with trio.move_on_after(0.5):
                    await self.group.commit(leader, [entry])

    async def _members(self, service: str) -> list[BackendServer]:
        return [server(item) for item in self.known]

    async def _run(
        self, target: BackendServer, command: Command, timeout_s: float
    ) -> Reply | None:
        served = self._served.get(target.id)
        if served is None:
            end = memory_end([self.group])
            parts = ServingParts(end, self.nursery, trio.current_time, Meter())
            served = self._served[target.id] = ServedBackend(target, 8, parts)
        return await served.command(command, timeout_s)

    async def _promote(
        self, service: str, target: str, holder: str, token: int
    ) -> Result[int, str]:
        with trio.move_on_after(PROMOTE_TIMEOUT_S):
            return Ok(await self.promotions.order(service, target, holder, token))
        return Err("no answer")


def on_stage(scenario: Callable[[Theatre], Awaitable[Any]], seed: int = 0) -> None:
    """Run a scenario in time that jumps; nothing acknowledged may be lost."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            theatre = Theatre(nursery)
            await theatre.commit(3)
            await scenario(theatre)
            assert not theatre.group.lost
            nursery.cancel_scope.cancel()

    run_jumping(main, seed)


def test_a_leaving_primary_hands_over() -> None:
    """The primary is stopped, the furthest replica leads, the others receive."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].draining = True
        replaced = await theatre.replace()
        assert replaced.is_ok()
        assert theatre.group.leader is theatre.databases[int(replaced.ok().id[-1])]
        await theatre.commit(2)
        assert len(theatre.group.acknowledged) == 5
        assert not any(d.held_term for d in theatre.databases)

    on_stage(scenario)


def test_a_dead_primary_is_replaced_when_both_replicas_answer() -> None:
    """Held replicas alone show where all acknowledged commits are."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[1].deaf = True
        await theatre.commit(2)
        theatre.databases[0].dark = True
        replaced = await theatre.replace(reachable=False)
        assert replaced.ok().id == "i-2"

    on_stage(scenario)


def test_a_primary_that_nobody_knew_of_is_found() -> None:
    """Where all lost sight of the primary, one that leads goes on leading."""

    async def scenario(theatre: Theatre) -> None:
        task = theatre.task(reachable=False)._replace(old_leader=None)
        replaced = await replace_primary(task, theatre.parts())
        assert replaced.ok().id == "i-0"
        assert not theatre.promotions.orders
        assert not any(d.held_term for d in theatre.databases)

    on_stage(scenario)


def test_a_deposed_stand_in_acknowledges_nothing_that_waited_for_a_slot() -> None:
    """A commit in the queue when the lead is lost is refused (soak, seed 4)."""

    async def scenario(theatre: Theatre) -> None:
        database = theatre.databases[0]
        session = ServerSession(theatre.group, database, "kirk")
        await session.query("-", "BEGIN")
        await session.query("w", "WRITE a 1")
        answers: list[list[str]] = []

        async def commit() -> None:
            answers.append(await session.query("c", "COMMIT"))

        async with trio.open_nursery() as nursery:
            for _ in range(database.slot_count):
                await database.slots.acquire_on_behalf_of(object())
            nursery.start_soon(commit)
            await trio.sleep(0.1)
            theatre.group.promote_now(theatre.databases[1])
            database.slots.total_tokens += 1
        assert answers[0][0].startswith("ERROR READONLY")
        assert not [e for e in theatre.group.acknowledged if e.request_id == "w"]

    on_stage(scenario)


def test_one_replica_alone_is_not_promoted() -> None:
    """What only the other replica holds may have been acknowledged."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[1].deaf = True
        await theatre.commit(2)
        theatre.databases[0].dark = theatre.databases[2].dark = True
        assert (await theatre.replace(reachable=False)).is_err()
        assert not theatre.promotions.orders
        assert not theatre.databases[1].held_term

    on_stage(scenario)


def test_a_replica_that_joined_meanwhile_is_held_too() -> None:
    """A server that joins while others are held may acknowledge commits."""

    async def scenario(theatre: Theatre) -> None:
        joined = DatabaseServer("i-3", "z0")
        joined.log = list(theatre.databases[0].log)
        theatre.group.servers["i-3"] = joined
        members = theatre._members
        calls = 0

        async def read_members(service: str) -> list[BackendServer]:
            nonlocal calls
            calls += 1
            if calls == 2:
                # The primary is cut from this coordinator, not from the others.
                await theatre.commit(1)
                theatre.known.append(joined)
            return await members(service)

        theatre._members = read_members  # type: ignore[method-assign]
        replaced = await theatre.replace(reachable=False)
        assert replaced.ok().id == "i-3"

    on_stage(scenario)


def test_a_server_that_started_anew_counts_for_nothing() -> None:
    """Its empty log doesn't show that it had acknowledged nothing."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[1].deaf = True
        await theatre.commit(2)
        theatre.group.crash(theatre.databases[2], keeps_log=False)
        theatre.databases[2].dark = False
        theatre.databases[0].dark = True

        def covers(found: BackendServer, status: ServerStatus) -> bool:
            return found.id != "i-2"

        replaced = await theatre.replace(reachable=False, covers=covers)
        assert replaced.is_err() and not theatre.promotions.orders

    on_stage(scenario)


def test_a_lost_promotion_is_ordered_again_for_the_same_server() -> None:
    """While an order may still be carried out, no other server is named."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].dark = True
        theatre.promotions.late_s = 9.0
        first = await theatre.replace(reachable=False, holder="a")
        assert first.is_err()
        theatre.promotions.late_s = 0.0
        second = await theatre.replace(reachable=False, holder="b")
        assert second.is_ok()
        await trio.sleep(12)
        assert len({target for _, target, _, _ in theatre.promotions.orders}) == 1
        assert theatre.group.promotions == [second.ok().id]
        tokens = [token for _, _, holder, token in theatre.promotions.orders]
        assert tokens == sorted(tokens) and tokens[0] < tokens[-1]

    on_stage(scenario)


def test_a_named_server_is_named_again_although_it_leaves() -> None:
    """A lost order to promote it may come true after another one leads."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].dark = True
        theatre.promotions.late_s = 6.0
        assert (await theatre.replace(reachable=False, holder="a")).is_err()
        named = theatre.promotions.orders[0][1]
        theatre.group.servers[named].draining = True
        theatre.promotions.late_s = 0.0
        await theatre.replace(reachable=False, holder="b")
        assert {target for _, target, _, _ in theatre.promotions.orders} == {named}

    on_stage(scenario)


def test_late_holds_of_an_old_term_are_harmless() -> None:
    """An order to stop receiving that is carried out late changes nothing."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].draining = True
        theatre.databases[1].late_orders_s = 5.0
        replaced = await theatre.replace()
        theatre.databases[1].late_orders_s = 0.0
        assert replaced.is_ok()
        await trio.sleep(8)
        await theatre.commit(2)
        assert len(theatre.group.acknowledged) == 5

    on_stage(scenario)


def test_two_coordinators_never_share_a_token() -> None:
    """A race ends with one primary, and each promotion has its own token."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].draining = True
        async with trio.open_nursery() as nursery:
            for holder in ("a", "b"):
                nursery.start_soon(partial(theatre.replace, holder=holder))
        holders: dict[int, str] = {}
        for _, _, holder, token in theatre.promotions.orders:
            assert holders.setdefault(token, holder) == holder
        assert theatre.group.leader is not None

    on_stage(scenario)


def test_a_second_coordinator_leaves_nobody_held() -> None:
    """A replica held by both is free again behind the one promotion."""

    async def scenario(theatre: Theatre) -> None:
        theatre.databases[0].draining = True
        first = await claim(theatre.store, SERVICE, "a", "lost", "i-0")
        assert first.is_ok()
        for database in theatre.databases[1:]:
            theatre.group.hold(database, theatre.group.term + 1)
        replaced = await theatre.replace(holder="b")
        assert replaced.is_ok()
        assert not any(database.held_term for database in theatre.databases)

    on_stage(scenario)


def test_a_coordinator_that_lost_its_claim_lets_nobody_go() -> None:
    """Whoever claimed meanwhile relies on what is held."""

    async def scenario(theatre: Theatre) -> None:
        members = theatre._members

        async def read_members(service: str) -> list[BackendServer]:
            stored = (await theatre.store.get("successions", SERVICE)).ok()
            assert stored is not None
            spec = {**stored.spec, "claim_id": "other", "holder": "b"}
            await theatre.store.put("successions", SERVICE, spec, stored.version)
            return await members(service)

        theatre._members = read_members  # type: ignore[method-assign]
        assert (await replace_primary(theatre.task(), theatre.parts())).is_err()
        assert all(database.held_term for database in theatre.databases[1:])

    on_stage(scenario)


def test_a_replica_held_for_nothing_is_released() -> None:
    """By a claim, while the primary leads; never while a promotion is pending."""

    async def scenario(theatre: Theatre) -> None:
        held = theatre.databases[1]
        theatre.group.hold(held, theatre.group.term + 1)
        released = await release_held(theatre.task(), server(held), theatre.parts())
        assert released.is_ok() and not held.held_term
        theatre.group.hold(held, theatre.group.term + 1)
        stored = (await theatre.store.get("successions", SERVICE)).ok()
        assert stored is not None
        spec = {**stored.spec, "phase": "chosen", "claim_id": "x"}
        await theatre.store.put("successions", SERVICE, spec, stored.version)
        refused = await release_held(theatre.task(), server(held), theatre.parts())
        assert refused.is_err() and held.held_term

    on_stage(scenario)


def test_an_answer_of_the_store_that_is_lost_costs_no_second_claim() -> None:
    """A coordinator recognises its own claim."""

    async def scenario(theatre: Theatre) -> None:
        theatre.table.faults.lose_answers = 1
        claimed = await claim(theatre.store, SERVICE, "h", "c", "i-0")
        assert claimed.ok().token == 1
        again = await claim(theatre.store, SERVICE, "h", "c", "i-0")
        assert again.ok().token == 1

    on_stage(scenario)


def test_without_the_store_nothing_is_held() -> None:
    """No claim, no order: the servers go on as they are."""

    async def scenario(theatre: Theatre) -> None:
        theatre.table.faults.down = True
        with trio.move_on_after(5):
            await theatre.replace()
        assert theatre.group.leader is theatre.databases[0]
        assert not any(d.held_term for d in theatre.databases)
        assert not theatre.promotions.orders

    on_stage(scenario)


@pytest.mark.parametrize("seed", range(100))
def test_no_schedule_of_faults_loses_a_commit(seed: int) -> None:
    """Random deaths, silence, late orders and coordinators, commits meanwhile."""
    rng = random.Random(seed)

    async def scenario(theatre: Theatre) -> None:
        async def write() -> None:
            for _ in range(60):
                await theatre.commit(1)
                await trio.sleep(0.1)

        async def disturb() -> None:
            for _ in range(8):
                await trio.sleep(rng.uniform(0.1, 1.5))
                database = rng.choice(theatre.databases)
                faults = [
                    "dark",
                    "deaf",
                    "deaf",
                    "late",
                    "promotion",
                    "draining",
                    "two",
                ]
                fault = rng.choice(faults)
                length_s = rng.uniform(0.2, 4)
                if fault == "dark":
                    database.dark = True
                elif fault == "deaf":
                    database.deaf = True
                elif fault == "two":
                    # One replica falls behind, then the other two fall silent.
                    leader = theatre.group.leader or theatre.databases[0]
                    others = [d for d in theatre.databases if d is not leader]
                    others[0].deaf = True
                    await trio.sleep(0.5)
                    leader.dark = others[1].dark = True
                elif fault == "late":
                    database.late_orders_s = rng.uniform(1, 6)
                elif fault == "promotion":
                    theatre.promotions.late_s = rng.uniform(1, 6)
                else:
                    database.draining = True
                await trio.sleep(length_s)
                for database in theatre.databases:
                    database.dark = database.deaf = database.draining = False
                    database.late_orders_s = 0.0
                theatre.promotions.late_s = 0.0

        async def coordinate(holder: str) -> None:
            seen = ("", 0.0)

            def saw_claim(service: str, claim_id: str) -> None:
                nonlocal seen
                if seen[0] != claim_id:
                    seen = (claim_id, trio.current_time())

            for number in range(6):
                await trio.sleep(rng.uniform(0.2, 2))
                leader = theatre.group.leader or theatre.databases[0]
                task = Task(
                    service=SERVICE,
                    copies=1,
                    old_leader=server(leader),
                    reachable=not leader.dark,
                    claim_id=f"{holder}{number}",
                    may_override=seen[0] if trio.current_time() - seen[1] > 2.5 else "",
                )
                parts = theatre.parts(holder)._replace(saw_claim=saw_claim)
                with trio.move_on_after(rng.choice([0.1, 0.5, 2, 9])):
                    await replace_primary(task, parts)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            nursery.start_soon(disturb)
            for holder in ("a", "b"):
                nursery.start_soon(coordinate, holder)

    on_stage(scenario, seed)


def status(term: int, offset: int, held: int, leads: bool = False) -> ServerStatus:
    """Return what a server answers."""
    return ServerStatus(leads, term, Position(term, offset), held, 0, 0, 0)


def member(name: str, found: ServerStatus | None, **changes: Any) -> Member:
    """Return a member of a group of three."""
    whole = server(DatabaseServer(name, "z"))
    return Member(whole._replace(**changes), found)


def test_choices() -> None:
    """Who is chosen, and when nobody may be."""
    one, two = member("1", status(1, 7, 2)), member("2", status(1, 9, 2))
    assert choose([one, two], None, 1, 2).ok().id == "2"
    assert choose([one, member("2", None)], None, 1, 2).is_err()
    assert choose([one, member("2", status(1, 9, 0))], None, 1, 2).is_err()
    stopped = member("0", status(1, 9, 0), draining=True)
    assert choose([two, member("1", None)], stopped, 1, 2).ok().id == "2"
    assert choose([one, member("2", None)], stopped, 1, 2).is_err()
    stays = member("0", status(1, 9, 0))
    assert choose([one, member("2", None)], stays, 1, 2).ok().id == "0"
    leaving = member("2", status(1, 9, 2), draining=True)
    assert choose([one, leaving], None, 1, 2).is_err()
    three = member("3", status(1, 5, 2))
    assert choose([one, two, three], None, 2, 2).ok().id == "2"
    assert choose([one, two, member("3", None)], None, 2, 2).ok().id == "2"


def test_an_unfinished_choice_is_kept() -> None:
    """The next claim knows whom the platform may still promote."""

    async def scenario(theatre: Theatre) -> None:
        first = (await claim(theatre.store, SERVICE, "a", "c1", "i-0")).ok()
        chosen = first._replace(phase=Phase.CHOSEN, target="i-1", target_born_ms=1)
        stored = (await theatre.store.get("successions", SERVICE)).ok()
        assert stored is not None
        spec = {**stored.spec, "phase": "chosen", "target": "i-1", "target_born_ms": 1}
        await theatre.store.put("successions", SERVICE, spec, stored.version)
        refused = await claim(theatre.store, SERVICE, "b", "c2", "i-0")
        assert refused.err().claim_id == "c1"
        second = (await claim(theatre.store, SERVICE, "b", "c2", "i-0", "c1")).ok()
        assert isinstance(second, SuccessionRecord)
        assert (second.token, second.target) == (first.token + 1, chosen.target)

    on_stage(scenario)
