"""Elections: every fault behind every step, with real log shipping."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from jumping import run_jumping
from rattanhollow.configuration import Database, Member
from rattanhollow.coordination import (
    GROUP_KIND,
    GroupControl,
    MemberStatus,
    Position,
    Step,
    elect,
    group_state_from_spec,
)
from rattanhollow_standins.database._engine import SqlError, Statement
from rattanhollow_standins.database._member import StandInMember
from rattanhollow_standins.database._replicate import apply_log, receive_log
from rattanhollow_standins.store import ObjectTable, local_store

NAMES = ("m0", "m1", "m2")
DATABASE = Database(
    "bookings",
    tuple(Member(name, "127.0.0.1", 1 + at, "z") for at, name in enumerate(NAMES)),
)
LINK_TIMEOUT_S = 0.05
SHIP_S = 0.001
STEPS = list(Step)


class Killed(Exception):
    """The coordinator died."""


class Group:
    """Three members with log shipping, and the proof of what was acknowledged."""

    def __init__(self, folder: Path) -> None:
        self.members = {
            name: StandInMember(name, "127.0.0.1", 1, "z", folder) for name in NAMES
        }
        self.acknowledged: list[tuple[int, int]] = []
        self.leaders: dict[int, set[str]] = {}

    def control(self) -> GroupControl:
        """Return commands that reach only members that are not cut off."""

        def command(
            act: Callable[[StandInMember, Any], None],
        ) -> Callable[..., Awaitable[Result[MemberStatus, str]]]:
            async def run(place: Member, *arguments: Any) -> Result[MemberStatus, str]:
                member = self.members[place.name]
                if member.faults.cut_callers:
                    await trio.sleep(LINK_TIMEOUT_S)
                    return Err("cut off")
                await trio.sleep(0)
                try:
                    act(member, *arguments)
                except SqlError as error:
                    return Err(str(error))
                if member.role == "primary":
                    self.leaders.setdefault(member.term, set()).add(member.name)
                return Ok(status_of(member))

            return run

        return GroupControl(
            status=command(lambda member: None),
            fence=command(lambda member, term: member.fence(term)),
            promote=command(lambda member, term: member.promote(term)),
            follow=command(lambda member, term, name: member.follow(term, name)),
        )

    def write(self, name: str) -> tuple[int, int]:
        """Commit on a member that believes it leads; returns the position."""
        number = len(self.members[name].log)
        sql = f"CREATE TABLE t{number} (x int)"
        entry = self.members[name].append((Statement(sql),))
        return entry.term, entry.offset

    async def acknowledge(self, name: str, position: tuple[int, int]) -> bool:
        """Wait a moment for a replica to hold a commit, as a proxy would."""
        member = self.members[name]
        member.round += 1
        asked = member.round
        member.notify()
        with trio.move_on_after(LINK_TIMEOUT_S):
            while not member.holders(asked, position[1]):
                await member.changed()
            if member.role == "primary" and member.term == position[0]:
                self.acknowledged.append(position)
                return True
        return False

    def lost(self, name: str) -> list[tuple[int, int]]:
        """Return the acknowledged commits that a member's log lacks."""
        held = {(entry.term, entry.offset) for entry in self.members[name].log}
        return [position for position in self.acknowledged if position not in held]


def status_of(member: StandInMember) -> MemberStatus:
    """Return what a member says of itself."""
    return MemberStatus(
        member.name,
        member.role,
        member.term,
        member.fenced_term,
        Position(*member.end),
        Position(*member.visible),
    )


Body = Callable[[Group, ObjectTable, trio.Nursery], Awaitable[Any]]


def with_group(body: Body) -> Any:
    """Run ``body`` with a group whose m0 leads term 1 with five commits."""

    async def main() -> Any:
        with tempfile.TemporaryDirectory() as folder:
            group, table = Group(Path(folder)), ObjectTable()
            async with trio.open_nursery() as nursery:
                for member in group.members.values():
                    nursery.start_soon(receive_log, member, group.members.get, 0.0)
                    nursery.start_soon(apply_log, member)
                await first_election(group, table)
                for _ in range(5):
                    assert await group.acknowledge("m0", group.write("m0"))
                answer = await body(group, table, nursery)
                nursery.cancel_scope.cancel()
            return answer

    return run_jumping(main)


async def first_election(group: Group, table: ObjectTable) -> None:
    """Make m0 lead term 1."""
    for name in ("m1", "m2"):
        group.members[name].faults.cut_callers = True
    control = group.control()
    everyone = DATABASE._replace(copies=2)
    elected = await elect(
        everyone, 0, "first", "first", local_store(table), control, no_hook
    )
    assert elected.unwrap().primary == "m0"
    for name in ("m1", "m2"):
        group.members[name].faults.cut_callers = False
        group.members[name].follow(1, "m0")


async def no_hook(step: Step) -> None:
    """Do nothing behind a step."""


def cut_off(group: Group, name: str) -> None:
    """Cut a member off from everyone, leaving two commits nobody else has."""
    group.members[name].faults.cut_members = set(NAMES) - {name}
    group.members[name].faults.cut_callers = True
    group.write(name)
    group.write(name)


async def coordinator_dies(group: Group, table: ObjectTable, at: Step) -> None:
    """Let a host begin to replace the primary of term 1 and die behind a step."""

    async def die(step: Step) -> None:
        if step is at:
            raise Killed

    store, control = local_store(table), group.control()
    with pytest.raises(Killed):
        await elect(DATABASE, 1, "first", "a", store, control, die)


async def second_coordinator(
    group: Group, table: ObjectTable, dead_term: int = 1
) -> Any:
    """Let another host replace the primary of ``dead_term``."""
    return await elect(
        DATABASE,
        dead_term,
        "second",
        "second",
        local_store(table),
        group.control(),
        no_hook,
    )


async def check(group: Group, table: ObjectTable) -> None:
    """Check what must hold after any fault."""
    stored = table.get(GROUP_KIND, DATABASE.name)
    assert stored is not None
    state = group_state_from_spec(stored.spec)
    leader = group.members[state.primary]
    assert leader.role == "primary"
    assert leader.term == state.term
    assert all(len(names) == 1 for names in group.leaders.values())
    assert group.lost(state.primary) == []
    for name in NAMES:
        group.members[name].faults.cut_callers = False
        group.members[name].faults.cut_members = set()
        if name != state.primary:
            await group.control().follow(
                DATABASE.member(name), state.term, state.primary
            )
    assert await group.acknowledge(state.primary, group.write(state.primary))
    with trio.fail_after(2):
        while len({member.end for member in group.members.values()}) > 1:
            await trio.sleep(SHIP_S)
    assert group.lost(state.primary) == []


@pytest.mark.parametrize("at", STEPS)
def test_killed_coordinator(at: Step) -> None:
    """Whoever continues after a coordinator died finds a consistent state."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        cut_off(group, "m0")
        await coordinator_dies(group, table, at)
        elected = await second_coordinator(group, table)
        assert elected.is_ok(), elected
        await check(group, table)

    with_group(body)


@pytest.mark.parametrize("at", STEPS)
def test_paused_coordinator(at: Step) -> None:
    """A coordinator that resumes after another one finished changes nothing."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        cut_off(group, "m0")
        paused, resume, ended = trio.Event(), trio.Event(), trio.Event()

        async def pause(step: Step) -> None:
            if step is at:
                paused.set()
                await resume.wait()

        async def first() -> None:
            control = group.control()
            await elect(DATABASE, 1, "first", "a", local_store(table), control, pause)
            ended.set()

        nursery.start_soon(first)
        await paused.wait()
        await second_coordinator(group, table)
        for _ in range(3):
            leader = group_state_from_spec(table.get(GROUP_KIND, "bookings").spec)
            assert await group.acknowledge(leader.primary, group.write(leader.primary))
        resume.set()
        await ended.wait()
        await check(group, table)

    with_group(body)


STORE_FAULTS = ("answer lost", "down", "late")


@pytest.mark.parametrize("fault", STORE_FAULTS)
@pytest.mark.parametrize("at", [None, *STEPS])
def test_store_fault(fault: str, at: Step | None) -> None:
    """A store that fails behind any step delays the election, no more."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        cut_off(group, "m0")

        async def recover() -> None:
            await trio.sleep(0.3)
            table.faults.down = False
            table.faults.delay_s = 0.0

        def fail() -> None:
            if fault == "answer lost":
                table.faults.lose_answers = 1
            elif fault == "down":
                table.faults.down = True
            else:
                table.faults.delay_s = 0.25
            nursery.start_soon(recover)

        async def hook(step: Step) -> None:
            if step is at:
                fail()

        if at is None:
            fail()
        store = local_store(table)
        elected = await elect(DATABASE, 1, "first", "a", store, group.control(), hook)
        assert elected.is_ok(), elected
        assert elected.unwrap().term == 2
        await check(group, table)

    with_group(body)


@pytest.mark.parametrize("at", STEPS)
def test_new_primary_dies_too(at: Step) -> None:
    """A second death at any step loses nothing once the first member is back."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        cut_off(group, "m0")
        await coordinator_dies(group, table, at)
        leading = [m.name for m in group.members.values() if m.role == "primary"]
        new = next((name for name in leading if name != "m0"), "m2")
        group.members[new].faults.cut_members = set(NAMES) - {new}
        group.members[new].faults.cut_callers = True
        group.members["m0"].faults.cut_members = set()
        group.members["m0"].faults.cut_callers = False
        elected = await second_coordinator(group, table, dead_term=2)
        assert elected.is_ok(), elected
        await check(group, table)

    with_group(body)


def writes_during_pause(fencing: bool) -> list[tuple[int, int]]:
    """Let an old primary write while the coordinator pauses; what was lost."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> Any:
        group.members["m0"].faults.cut_callers = True
        group.members["m1"].faults.ship_lag_s = 10.0
        group.write("m0")
        await trio.sleep(0.02)

        async def hook(step: Step) -> None:
            if step is Step.FENCE:
                group.members["m1"].faults.ship_lag_s = 0.0
                group.members["m0"].faults.cut_members = {"m2"}
                for _ in range(3):
                    await group.acknowledge("m0", group.write("m0"))

        store, control = local_store(table), group.control()
        elected = await elect(
            DATABASE, 1, "first", "a", store, control, hook, fencing=fencing
        )
        return group.lost(elected.unwrap().primary)

    return with_group(body)


def test_a_term_that_the_store_has_lost_is_given_to_nobody_else() -> None:
    """Two primaries of one term would each confirm what the other never had."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        saved = table.save()
        cut_off(group, "m0")
        first = await second_coordinator(group, table)
        assert first.is_ok(), first
        leader = first.unwrap().primary
        assert await group.acknowledge(leader, group.write(leader))
        table.come_back_from(saved)
        group.members["m0"].faults.cut_callers = False
        group.members["m0"].faults.cut_members = set()
        cut_off(group, leader)
        again = await elect(
            DATABASE,
            1,
            "third",
            "third",
            local_store(table),
            group.control(),
            no_hook,
        )
        assert all(len(names) == 1 for names in group.leaders.values())
        if again.is_ok():
            assert group.lost(again.unwrap().primary) == []

    with_group(body)


def test_old_primary_acknowledges_nothing() -> None:
    """Fenced members let an old primary confirm no commit."""
    assert writes_during_pause(fencing=True) == []


def test_old_primary_loses_commits_without_fence() -> None:
    """With the fence off, the same run loses acknowledged commits."""
    assert writes_during_pause(fencing=False) != []


def test_too_few_members_elect_nobody() -> None:
    """Without a majority of members the old state stays."""

    async def body(group: Group, table: ObjectTable, nursery: trio.Nursery) -> None:
        for name in ("m0", "m1"):
            group.members[name].faults.cut_callers = True
        failed = await second_coordinator(group, table)
        assert failed.unwrap_err().step is Step.FENCE
        state = group_state_from_spec(table.get(GROUP_KIND, DATABASE.name).spec)
        assert (state.term, state.primary) == (1, "m0")

    with_group(body)
