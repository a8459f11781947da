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
from rattanhollow.serving import BackendEnd, BackendServer, CommandKind, ServerStatus
from rattanhollow.store import ObjectStore
from rattanhollow.succession._choose import Member, choose, next_term
from rattanhollow.succession._orders import order, order_all
from rattanhollow.succession._record import (
    Phase,
    SuccessionRecord,
    advance,
    claim,
)

# A promotion takes effect within about a second of being accepted; an order
# that was lost may be carried out many seconds later.
PROMOTION_TIMEOUT_S = 4.0
LOOK_INTERVAL_S = 0.1
ACCEPTED = 200
REFUSED = 409


class ReplaceParts(NamedTuple):
    """What replacing a primary needs.

    ``promote(service, server, holder, token)`` gives the platform's answer,
    ``covers(server)`` whether a server's log can be relied on to hold what it
    acknowledged.
    """

    store: ObjectStore
    end: BackendEnd
    promote: Callable[[str, str, str, int], Awaitable[Result[int, str]]]
    holder: str
    covers: Callable[[BackendServer, ServerStatus], bool]


class Task(NamedTuple):
    """One replacement; ``reachable`` whether the old primary still answers."""

    service: str
    copies: int
    servers: tuple[BackendServer, ...]
    old_leader: str
    reachable: bool
    claim_id: str


async def replace_primary(
    task: Task, parts: ReplaceParts
) -> Result[BackendServer, str]:
    """Replace the primary and return the new one.

    After an ``Err`` nothing is held any more, unless a promotion may still be
    carried out.
    """
    claimed = await claim(
        parts.store, task.service, parts.holder, task.claim_id, task.old_leader
    )
    if claimed.is_err():
        return Err(f"claim: {claimed.unwrap_err()}")
    record = claimed.unwrap().record
    log_event(
        "succession.claimed",
        service=task.service,
        token=record.token,
        old_leader=task.old_leader,
        target=record.target,
    )
    earlier = _find(task, record)
    if record.phase is Phase.CHOSEN and earlier is not None:
        status = await order(parts.end, earlier, CommandKind.STATUS)
        if status is not None and status.leads:
            return await _end(task, record, earlier, parts)
    held = await _hold(task, parts)
    if held.is_err():
        return Err(held.unwrap_err())
    replicas, stopped, term = held.unwrap()
    chosen = choose(replicas, stopped, task.copies, term)
    if earlier is not None and _answered(replicas, earlier):
        # The platform may still promote it: another one must not be named.
        chosen = Ok(earlier)
    if chosen.is_err():
        await _let_go(task, replicas, record, parts)
        return Err(f"choose: {chosen.unwrap_err()}")
    target = chosen.unwrap()
    record = record._replace(
        phase=Phase.CHOSEN, target=target.id, target_born_ms=target.born_ms
    )
    written = await advance(parts.store, task.service, record)
    if written.is_err():
        await _let_go(task, replicas, record, parts)
        return Err(f"choose: {written.unwrap_err()}")
    log_event(
        "succession.chosen",
        service=task.service,
        token=record.token,
        target=target.id,
        term=term,
        held=[(m.server.id, str(m.status.received)) for m in replicas if m.status],
    )
    return await _promote(task, record, target, parts)


def _find(task: Task, record: SuccessionRecord) -> BackendServer | None:
    for server in task.servers:
        if server.id == record.target and server.born_ms == record.target_born_ms:
            return server
    return None


def _answered(replicas: list[Member], server: BackendServer) -> bool:
    return any(m.server.id == server.id and m.status is not None for m in replicas)


class _Held(NamedTuple):
    replicas: list[Member]
    stopped_primary: Member | None
    term: int


async def _hold(task: Task, parts: ReplaceParts) -> Result[_Held, str]:
    """Make the replicas stop receiving, and the primary stop where that is needed."""
    replicas = [s for s in task.servers if s.id != task.old_leader]
    primary = next((s for s in task.servers if s.id == task.old_leader), None)
    asked = list(replicas)
    if primary is not None and task.reachable:
        asked.append(primary)
    statuses = await order_all(parts.end, asked, CommandKind.STATUS)
    answered = [status for status in statuses.values() if status is not None]
    if not answered:
        return Err("hold: no server answered")
    term = next_term(answered)
    reached = [s for s in replicas if statuses[s.id] is not None]
    held = await order_all(parts.end, reached, CommandKind.HOLD, term)
    members = [
        Member(server, status, status is not None and parts.covers(server, status))
        for server in replicas
        for status in [held.get(server.id)]
    ]
    stopped = None
    if primary is not None and statuses.get(primary.id) is not None:
        missing = sum(member.status is None or not member.covers for member in members)
        if missing >= max(1, task.copies):
            status = await order(parts.end, primary, CommandKind.STEP_DOWN, term)
            stopped = Member(primary, status)
    return Ok(_Held(members, stopped, term))


async def _let_go(
    task: Task, replicas: list[Member], record: SuccessionRecord, parts: ReplaceParts
) -> None:
    """Undo holding, unless the platform may still promote somebody."""
    if record.phase is Phase.CHOSEN:
        return
    servers = [member.server for member in replicas]
    await order_all(parts.end, servers, CommandKind.LET_GO)
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
            status = await order(parts.end, target, CommandKind.STATUS)
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
