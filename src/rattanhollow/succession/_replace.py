"""Replacing the primary of one service, step by step.

The store decides who may try and remembers whom it chose; the held replicas
decide what the next primary must hold. A coordinator may stop behind any step:
whoever claims next goes on with the same target while that may still be
promoted.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind, ServerStatus
from rattanhollow.store import ObjectStore
from rattanhollow.succession._choose import Member, Stopped, choose, next_term
from rattanhollow.succession._orders import Orders
from rattanhollow.succession._record import (
    ClaimedByOther,
    Phase,
    SuccessionRecord,
    advance,
    claim,
)

# A promotion takes effect within about a second of being accepted; an order
# that was lost may be carried out many seconds later.
PROMOTION_TIMEOUT_S = 4.0
LOOK_INTERVAL_S = 0.1
# Another coordinator takes a claim over that it has seen for longer than this
# and an order's time: what is held then is no longer this coordinator's to let go.
LET_GO_WITHIN_S = 1.5
ACCEPTED = 200
REFUSED = 409


class ReplaceParts(NamedTuple):
    """What replacing a primary needs.

    ``promote(service, server, holder, token)`` gives the platform's answer,
    ``covers(server, status)`` whether a server's log can be relied on to hold
    what it acknowledged. ``members(service)`` reads the service's servers anew
    from the store; None where that failed. ``saw_claim(service, claim_id)`` is
    told of another coordinator's claim.
    """

    store: ObjectStore
    orders: Orders
    promote: Callable[[str, str, str, int], Awaitable[Result[int, str]]]
    holder: str
    covers: Callable[[BackendServer, ServerStatus], bool]
    members: Callable[[str], Awaitable[list[BackendServer] | None]]
    saw_claim: Callable[[str, str], None]
    clock: Callable[[], float]


class Task(NamedTuple):
    """One replacement; ``reachable`` whether the old primary still answers.

    ``may_override`` is another coordinator's claim that made no progress.
    """

    service: str
    copies: int
    old_leader: BackendServer | None
    reachable: bool
    claim_id: str
    may_override: str = ""

    @property
    def old_leader_id(self) -> str:
        """The old primary's identifier, empty where none is known."""
        return self.old_leader.id if self.old_leader is not None else ""


async def replace_primary(
    task: Task, parts: ReplaceParts
) -> Result[BackendServer, str]:
    """Replace the primary and return the new one.

    After an ``Err`` replicas may still be held: by a later coordinator, or for
    the next one to go on with.
    """
    claimed_at_s = parts.clock()
    claimed = await _claim(task, parts)
    if claimed.is_err():
        return Err(claimed.unwrap_err())
    record = claimed.unwrap()
    log_event(
        "succession.claimed",
        service=task.service,
        token=record.token,
        old_leader=task.old_leader_id,
        target=record.target,
    )
    members = await parts.members(task.service)
    if members is None:
        return Err("members: the store gave no list")
    earlier = _find(members, record)
    if earlier is not None:
        status = await parts.orders.give(earlier, CommandKind.STATUS)
        if status is not None and status.leads:
            return await _end(task, record, earlier, parts)
    if task.old_leader is None:
        leading = await _find_leading(members, parts)
        if leading is not None:
            return await _end(task, record, leading, parts)
    stopped = await _stop(task, members, parts)
    if stopped.is_err():
        return Err(stopped.unwrap_err())
    chosen = choose(*stopped.unwrap())
    if earlier is not None and _answered(stopped.unwrap().replicas, earlier):
        # The platform may still promote it: another one must not be named.
        chosen = Ok(earlier)
    if chosen.is_err():
        if parts.clock() - claimed_at_s <= LET_GO_WITHIN_S:
            await _let_go(task, stopped.unwrap().replicas, record, parts)
        return Err(f"choose: {chosen.unwrap_err()}")
    target = chosen.unwrap()
    record = record._replace(
        phase=Phase.CHOSEN, target=target.id, target_born_ms=target.born_ms
    )
    written = await advance(parts.store, task.service, record)
    if written.is_err():
        # Whoever claimed meanwhile may rely on what is held.
        return Err(f"choose: {written.unwrap_err()}")
    log_event(
        "succession.chosen",
        service=task.service,
        token=record.token,
        target=target.id,
        term=stopped.unwrap().term,
        logs=_logs(stopped.unwrap()),
    )
    return await _promote(task, record, target, parts)


async def release_held(
    task: Task, server: BackendServer, parts: ReplaceParts
) -> Result[None, str]:
    """Let a replica receive again that was made to stop for nothing.

    An order to stop may be carried out late, and a coordinator may die behind
    giving it.
    """
    claimed = await _claim(task, parts)
    if claimed.is_err():
        return Err(claimed.unwrap_err())
    record = claimed.unwrap()
    if record.phase is Phase.CHOSEN:
        return Err("a promotion may still be carried out")
    leads = None
    if task.old_leader is not None:
        leads = await parts.orders.give(task.old_leader, CommandKind.STATUS)
    if leads is not None and leads.leads:
        await parts.orders.give(server, CommandKind.RESUME_RECEIVING)
    ended = await advance(parts.store, task.service, record._replace(phase=Phase.ENDED))
    return ended.map_err(str)


async def _claim(task: Task, parts: ReplaceParts) -> Result[SuccessionRecord, str]:
    claimed = await claim(
        parts.store,
        task.service,
        parts.holder,
        task.claim_id,
        task.old_leader_id,
        task.may_override,
    )
    if claimed.is_ok():
        return Ok(claimed.unwrap())
    failure = claimed.unwrap_err()
    if isinstance(failure, ClaimedByOther):
        parts.saw_claim(task.service, failure.claim_id)
    return Err(f"claim: {failure}")


def _find(
    members: list[BackendServer], record: SuccessionRecord
) -> BackendServer | None:
    """Return the target that an unfinished claim had named, if it lives."""
    if record.phase is not Phase.CHOSEN:
        return None
    for server in members:
        if server.id == record.target and server.born_ms == record.target_born_ms:
            return server
    return None


async def _find_leading(
    members: list[BackendServer], parts: ReplaceParts
) -> BackendServer | None:
    """Return the server that leads the newest term, where all had lost sight of it.

    It may have been deposed and not know: whoever writes there learns that.
    """
    statuses = await parts.orders.give_all(members, CommandKind.STATUS)
    answered = {name: s for name, s in statuses.items() if s is not None}
    newest = max((status.term for status in answered.values()), default=0)
    for server in members:
        status = answered.get(server.id)
        if status is not None and status.leads and status.term >= newest:
            return server
    return None


def _logs(stopped: Stopped) -> list[str]:
    members = list(stopped.replicas)
    if stopped.primary is not None:
        members.append(stopped.primary)
    return [f"{m.server.id}@{m.status.received}" for m in members if m.status]


def _answered(replicas: list[Member], server: BackendServer) -> bool:
    return any(m.server.id == server.id and m.status is not None for m in replicas)


async def _stop(
    task: Task, members: list[BackendServer], parts: ReplaceParts
) -> Result[Stopped, str]:
    """Make the replicas stop receiving, then the primary stop leading.

    A server may join at any time and acknowledge commits to the primary: only a
    primary that was stopped, or a list read behind the holding, shows that
    nobody else can.
    """
    replicas = [s for s in members if s.id != task.old_leader_id]
    primary = task.old_leader if task.reachable else None
    asked = [*replicas, primary] if primary is not None else replicas
    statuses = await parts.orders.give_all(asked, CommandKind.STATUS)
    answered = [status for status in statuses.values() if status is not None]
    if not answered:
        return Err("stop: no server answered")
    term = next_term(answered)
    held = await _hold(replicas, term, parts)
    stopped = None
    if primary is not None and statuses[primary.id] is not None:
        status = await parts.orders.give(primary, CommandKind.STEP_DOWN, term)
        if status is not None and not status.leads:
            stopped = Member(primary, status)
    again = await parts.members(task.service)
    if again is None:
        return Err("stop: the store gave no list")
    known = {server.id for server in members}
    joined = [s for s in again if s.id not in known and s.id != task.old_leader_id]
    held += await _hold(joined, term, parts)
    return Ok(Stopped(held, stopped, task.copies, term))


async def _hold(
    servers: list[BackendServer], term: int, parts: ReplaceParts
) -> list[Member]:
    statuses = await parts.orders.give_all(servers, CommandKind.SUSPEND_RECEIVING, term)
    return [
        Member(server, status, status is not None and parts.covers(server, status))
        for server in servers
        for status in [statuses[server.id]]
    ]


async def _let_go(
    task: Task, replicas: list[Member], record: SuccessionRecord, parts: ReplaceParts
) -> None:
    """Undo holding, unless the platform may still promote somebody."""
    if record.phase is Phase.CHOSEN:
        return
    servers = [member.server for member in replicas]
    await parts.orders.give_all(servers, CommandKind.RESUME_RECEIVING)
    await advance(parts.store, task.service, record._replace(phase=Phase.ENDED))


async def _promote(
    task: Task, record: SuccessionRecord, target: BackendServer, parts: ReplaceParts
) -> Result[BackendServer, str]:
    with trio.move_on_after(PROMOTION_TIMEOUT_S):
        accepted = False
        while True:
            if not accepted:
                answered = await parts.promote(
                    task.service, target.id, parts.holder, record.token
                )
                log_event(
                    "succession.ordered",
                    service=task.service,
                    token=record.token,
                    target=target.id,
                    status=answered.ok(),
                    reason=answered.err(),
                )
                accepted = answered.ok() == ACCEPTED
                if answered.ok() == REFUSED:
                    return Err("promote: the platform refused it")
            await trio.sleep(LOOK_INTERVAL_S)
            status = await parts.orders.give(target, CommandKind.STATUS)
            if status is not None and status.leads:
                return await _end(task, record, target, parts)
    return Err("promote: it didn't lead in time")


async def _end(
    task: Task, record: SuccessionRecord, target: BackendServer, parts: ReplaceParts
) -> Result[BackendServer, str]:
    ended = await advance(parts.store, task.service, record._replace(phase=Phase.ENDED))
    log_event(
        "succession.ended",
        service=task.service,
        token=record.token,
        leader=target.id,
        recorded=ended.is_ok(),
    )
    return Ok(target)
