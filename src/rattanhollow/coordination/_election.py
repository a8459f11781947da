"""Electing a new primary: claim, fence, promote, follow, publish.

The store decides who may try in a term; the fenced members decide what the
new primary must hold. A coordinator may stop after any step: the next one
claims a higher term and starts over from what the members hold.
"""

import enum
from collections.abc import Awaitable, Callable, Collection
from typing import Any, NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.configuration import Database, Member
from rattanhollow.coordination._group import (
    GROUP_KIND,
    NO_GROUP,
    SUCCESSIONS_KEPT,
    GroupState,
    Succession,
    group_state_from_spec,
    group_state_spec,
)
from rattanhollow.coordination._position import Position
from rattanhollow.store import ObjectStore, StoreFailure, update


class Step(enum.Enum):
    """The steps of an election, in order."""

    CLAIM = "claim"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PUBLISH = "publish"


class MemberStatus(NamedTuple):
    """What a backend server says of itself.

    ``term`` is the term it leads or follows, ``fenced_term`` the lowest it
    still accepts, ``end`` its log's end and ``applied`` what reads there see.
    """

    name: str
    role: str
    term: int
    fenced_term: int
    end: Position
    applied: Position


class GroupControl(NamedTuple):
    """The commands that a database group obeys; each ends within a timeout.

    ``status(member)``; ``fence(member, term)`` makes it refuse all older
    terms; ``promote(member, term)`` makes a member fenced at exactly ``term``
    its primary; ``follow(member, term, primary)``.
    """

    status: Callable[[Member], Awaitable[Result[MemberStatus, str]]]
    fence: Callable[[Member, int], Awaitable[Result[MemberStatus, str]]]
    promote: Callable[[Member, int], Awaitable[Result[MemberStatus, str]]]
    follow: Callable[[Member, int, str], Awaitable[Result[MemberStatus, str]]]


class ElectionFailure(NamedTuple):
    """Why an election ended without a primary, and at which step."""

    step: Step
    reason: str


Finished = Callable[[Step], Awaitable[None]]


async def elect(
    database: Database,
    dead_term: int,
    coordinator: str,
    claim_id: str,
    store: ObjectStore,
    control: GroupControl,
    finished: Finished,
    fencing: bool = True,
) -> Result[GroupState, ElectionFailure]:
    """Replace the primary of ``dead_term`` and return the published state.

    ``claim_id`` is unique to this election: by it the coordinator knows its
    own claim when the store's answer was lost. ``finished`` is called behind
    each step. Where another primary was published meanwhile, that state is
    returned and nothing is done. Without ``fencing``, which only tests do,
    members are merely asked for their status.
    """
    claimed = await _claim(database, dead_term, coordinator, claim_id, store)
    if claimed.is_err():
        return Err(ElectionFailure(Step.CLAIM, str(claimed.unwrap_err())))
    state: GroupState = claimed.unwrap()
    if state.claim_id != claim_id:
        return Ok(state)
    await finished(Step.CLAIM)

    term = state.claimed_term
    fenced = await _fence(database, state, control, fencing)
    if not enough_fenced(database, state, {status.name for status in fenced}):
        reason = f"only {len(fenced)} members fenced"
        return Err(ElectionFailure(Step.FENCE, reason))
    await finished(Step.FENCE)

    def rank(status: MemberStatus) -> tuple[Position, bool, str]:
        return status.end, status.name == state.primary, status.name

    best = max(fenced, key=rank)
    promoted = await _command(database, best.name, control.promote, term)
    if promoted.is_err():
        return Err(ElectionFailure(Step.PROMOTE, promoted.unwrap_err()))
    await finished(Step.PROMOTE)

    # Published last: whoever hears of the new primary finds it able to confirm.
    # Members that were not reached follow later, by `follow_all`.
    reached = {status.name for status in fenced}
    await follow_all(database, term, best.name, control, reached)
    await finished(Step.FOLLOW)

    succession = Succession(term, best.end)
    published = await _publish(database, claim_id, best.name, succession, store)
    if published.is_err():
        return Err(ElectionFailure(Step.PUBLISH, str(published.unwrap_err())))
    await finished(Step.PUBLISH)
    return Ok(published.unwrap())


def enough_fenced(
    database: Database, state: GroupState, fenced: Collection[str]
) -> bool:
    """Whether every acknowledged commit is on a fenced member.

    Commits of the published term were confirmed by its members, which need
    not be those of ``database`` any more: enough of both must be fenced.
    """
    names = {member.name for member in database.members}
    if len(names & set(fenced)) < len(names) - database.copies:
        return False
    earlier = set(state.members)
    return len(earlier & set(fenced)) >= len(earlier) - state.copies


async def follow_all(
    database: Database,
    term: int,
    primary: str,
    control: GroupControl,
    members: Collection[str],
) -> None:
    """Tell ``members`` to follow the primary of ``term``; idempotent."""

    async def one(member: Member) -> None:
        await control.follow(member, term, primary)

    async with trio.open_nursery() as nursery:
        for member in database.members:
            if member.name in members and member.name != primary:
                nursery.start_soon(one, member)


async def _claim(
    database: Database,
    dead_term: int,
    coordinator: str,
    claim_id: str,
    store: ObjectStore,
) -> Result[GroupState, StoreFailure]:
    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
        state = group_state_from_spec(spec) if spec else NO_GROUP
        if state.claim_id == claim_id or state.term > dead_term:
            return Ok(None)
        claimed = state._replace(
            claimed_term=state.claimed_term + 1,
            claim_id=claim_id,
            claimed_by=coordinator,
        )
        return Ok(group_state_spec(claimed))

    written = await update(store, GROUP_KIND, database.name, change)
    return written.map(lambda stored: group_state_from_spec(stored.spec))


async def _fence(
    database: Database, state: GroupState, control: GroupControl, fencing: bool
) -> list[MemberStatus]:
    fenced: list[MemberStatus] = []
    term = state.claimed_term

    async def one(member: Member) -> None:
        if fencing:
            answer = await control.fence(member, term)
        else:
            answer = await control.status(member)
        if answer.is_ok():
            fenced.append(answer.unwrap())
            if enough_fenced(database, state, {status.name for status in fenced}):
                enough.set()

    enough = trio.Event()

    async def all_members() -> None:
        async with trio.open_nursery() as nursery:
            for member in database.members:
                nursery.start_soon(one, member)
        enough.set()

    # The dead primary answers last, or never: the others are not kept waiting.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(all_members)
        await enough.wait()
        nursery.cancel_scope.cancel()
    return fenced


async def _command(
    database: Database,
    name: str,
    command: Callable[[Member, int], Awaitable[Result[MemberStatus, str]]],
    term: int,
) -> Result[MemberStatus, str]:
    member = database.member(name)
    if member is None:
        return Err(f"no member {name}")
    return await command(member, term)


async def _publish(
    database: Database,
    claim_id: str,
    primary: str,
    succession: Succession,
    store: ObjectStore,
) -> Result[GroupState, StoreFailure | str]:
    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
        state = group_state_from_spec(spec) if spec else NO_GROUP
        if state.claim_id != claim_id:
            return Err("another election claimed a higher term")
        if state.term == succession.term:
            return Ok(None)
        successions = (*state.successions, succession)[-SUCCESSIONS_KEPT:]
        published = state._replace(
            term=succession.term,
            primary=primary,
            successions=successions,
            members=tuple(member.name for member in database.members),
            copies=database.copies,
        )
        return Ok(group_state_spec(published))

    written = await update(store, GROUP_KIND, database.name, change)
    return written.map(lambda stored: group_state_from_spec(stored.spec))
