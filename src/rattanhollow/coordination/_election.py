"""Primary election in five steps: claim, fence, promote, follow, publish.

The claim in the store determines which coordinator may run an election for a term;
the logs of the fenced members determine what the new primary must hold. A coordinator
may fail after any step: the next one claims a higher term and starts over from the
state of the members.
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
from rattanhollow.store import (
    ObjectStore,
    StoreFailure,
    is_token_of,
    next_token,
    update,
)


class Step(enum.Enum):
    """The steps of an election, in order."""

    CLAIM = "claim"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PUBLISH = "publish"


class MemberStatus(NamedTuple):
    """The status that a backend server reports.

    ``term`` is the term that it leads or follows, ``fenced_term`` the lowest term that
    it still accepts, ``end`` the end of its log, and ``applied`` the position up to
    which its reads see the log.
    """

    name: str
    role: str
    term: int
    fenced_term: int
    end: Position
    applied: Position


class GroupControl(NamedTuple):
    """The commands of a database group; each returns within a timeout.

    ``status(member)`` returns its status; ``fence(member, term)`` makes it refuse all
    older terms; ``promote(member, term)`` makes a member that is fenced at exactly
    ``term`` the primary of that term; ``follow(member, term, primary)`` makes it
    replicate from that primary.
    """

    status: Callable[[Member], Awaitable[Result[MemberStatus, str]]]
    fence: Callable[[Member, int], Awaitable[Result[MemberStatus, str]]]
    promote: Callable[[Member, int], Awaitable[Result[MemberStatus, str]]]
    follow: Callable[[Member, int, str], Awaitable[Result[MemberStatus, str]]]


class ElectionFailure(NamedTuple):
    """The step at which an election failed, and the reason."""

    step: Step
    reason: str


StepHook = Callable[[Step], Awaitable[None]]


async def elect(
    database: Database,
    dead_term: int,
    coordinator: str,
    claim_id: str,
    store: ObjectStore,
    control: GroupControl,
    finished: StepHook,
    fencing: bool = True,
) -> Result[GroupState, ElectionFailure]:
    """Replace the primary of ``dead_term`` and return the published state.

    ``claim_id`` is unique to this election, so that the coordinator recognises its
    own claim if the store's response was lost. ``finished`` is called after each
    step. If another primary was published in the meantime, its state is returned and
    nothing is changed. Without ``fencing``, which only tests disable, members are
    only queried for their status.
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

    # Published last, so that the new primary can confirm commits by the time that it
    # becomes known. Members that were not reached follow later, by `follow_all`.
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
    """Whether every acknowledged commit is on at least one fenced member.

    Commits of the published term were confirmed by the members of that term, which
    may differ from those of ``database`` now: enough of both must be fenced.
    """
    names = {member.name for member in database.members}
    if len(names & set(fenced)) < len(names) - database.copies:
        return False
    previous = set(state.members)
    return len(previous & set(fenced)) >= len(previous) - state.copies


async def follow_all(
    database: Database,
    term: int,
    primary: str,
    control: GroupControl,
    members: Collection[str],
) -> None:
    """Make ``members`` follow the primary of ``term``; idempotent."""

    async def follow_primary(member: Member) -> None:
        await control.follow(member, term, primary)

    async with trio.open_nursery() as nursery:
        for member in database.members:
            if member.name in members and member.name != primary:
                nursery.start_soon(follow_primary, member)


async def _claim(
    database: Database,
    dead_term: int,
    coordinator: str,
    claim_id: str,
    store: ObjectStore,
) -> Result[GroupState, StoreFailure]:
    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, Any]:
        state = group_state_from_spec(spec) if spec else NO_GROUP
        if state.term > dead_term:
            return Ok(None)
        era = store.era()
        if state.claim_id == claim_id and is_token_of(state.claimed_term, era):
            return Ok(None)
        claimed = state._replace(
            claimed_term=next_token(state.claimed_term, era),
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

    async def fence_member(member: Member) -> None:
        if fencing:
            outcome = await control.fence(member, term)
        else:
            outcome = await control.status(member)
        if outcome.is_ok():
            fenced.append(outcome.unwrap())
            if enough_fenced(database, state, {status.name for status in fenced}):
                quorum_fenced.set()

    quorum_fenced = trio.Event()

    async def fence_members() -> None:
        async with trio.open_nursery() as nursery:
            for member in database.members:
                nursery.start_soon(fence_member, member)
        quorum_fenced.set()

    # The failed primary responds last, if at all: don't wait for it.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fence_members)
        await quorum_fenced.wait()
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
        if not is_token_of(succession.term, store.era()):
            return Err("the store may have lost a higher term")
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
