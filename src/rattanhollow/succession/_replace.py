"""Replacing the primary of one service, step by step.

The store decides which coordinator may act and records the chosen target; the held
replicas determine which log the next primary needs. A coordinator may stop after
any step: the next one to claim continues with the same target while that may still
be promoted.
"""

from result import Err, Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind, ServerStatus
from rattanhollow.succession._choose import (
    StoppedGroup,
    choose_longest,
    choose_successor,
    keep_or_choose,
)
from rattanhollow.succession._claim import claim_succession
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._promote import (
    end_succession,
    promote_target,
    settle_leader,
)
from rattanhollow.succession._record import (
    Phase,
    SuccessionRecord,
    write_claim_phase,
)
from rattanhollow.succession._release import release_replicas
from rattanhollow.succession._stop import hold_anew, newest_term, stop_servers


async def replace_primary(
    task: Task, parts: ReplaceParts
) -> Result[BackendServer, str]:
    """Replace the primary and return the new one.

    After an ``Err``, replicas may still be held: by a later coordinator, or for the
    next one to continue with.
    """
    claimed = await claim_succession(task, parts)
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
    members = await parts.read_members(task.service)
    if members is None:
        await release_replicas(task, [], record, parts)
        return Err("members: the store returned no list of servers")
    previous_target = _find_previous_target(members, record)
    statuses = await _query_statuses(task, members, previous_target, parts)
    leader = _find_leader(task, members, statuses)
    if leader is not None:
        if task.only_finishes and record.phase is Phase.CLAIMED:
            # Nothing is pending: another coordinator stopped before its choice.
            held = [s for s in members if _is_held(statuses.get(s.id))]
            await parts.command_sender.send_to_all(held, CommandKind.RESUME_RECEIVING)
            return await _end_with(leader, task, members, statuses, record, parts)
        if not _is_to_be_replaced(task, leader, previous_target, record, statuses):
            return await _end_with(leader, task, members, statuses, record, parts)
        if record.orders_pending and record.leader == leader.id:
            return await _settle_and_replace(task, leader, record, parts)
    if previous_target is not None and statuses[previous_target.id] is not None:
        task = _without_target(task, previous_target)
    if _is_replica(task, members, statuses, record):
        assert task.old_leader is not None
        statuses |= await parts.command_sender.send_to_all(
            [task.old_leader], CommandKind.STATUS
        )
        task = task._replace(old_leader=None, reachable=False)
    if record.phase is Phase.CHOSEN and not record.target:
        # Whoever led may have confirmed commits of the target that was given up.
        task = task._replace(old_leader=None, reachable=False)
    if record.keeps_leader:
        record = record._replace(keeps_leader=False)
        written = await write_claim_phase(parts.store, task.service, record)
        if written.is_err():
            return Err(f"stop: {written.unwrap_err()}")
    stopped = await stop_servers(task, members, statuses, record, parts)
    if stopped.is_err():
        await release_replicas(task, members, record, parts)
        return Err(stopped.unwrap_err())
    group = stopped.unwrap()
    record = _with_stopped_primary(record, group)
    chosen = _choose(task, record, group, previous_target)
    if chosen.is_ok() and _gives_up_target(record, chosen.unwrap()):
        renewed = await _give_up_target(task, record, group, parts)
        if renewed.is_err():
            return Err(renewed.unwrap_err())
        group = renewed.unwrap()
        chosen = _choose(task, record, group, None)
    if chosen.is_err():
        servers = [member.server for member in group.replicas]
        await release_replicas(task, servers, record, parts)
        return Err(f"choose: {chosen.unwrap_err()}")
    target = chosen.unwrap()
    choice = record._replace(
        phase=Phase.CHOSEN, target=target.id, target_born_ms=target.born_ms
    )
    updated = await write_claim_phase(parts.store, task.service, choice)
    if updated.is_err():
        # A coordinator that has claimed since may rely on the held replicas.
        return Err(f"choose: {updated.unwrap_err()}")
    _log_choice(task, choice, group, previous_target)
    is_continued = previous_target is not None and target.id == previous_target.id
    return await promote_target(task, choice, target, group, is_continued, parts)


def _choose(
    task: Task,
    record: SuccessionRecord,
    group: StoppedGroup,
    previous_target: BackendServer | None,
) -> Result[BackendServer, str]:
    """Return the server to promote: one that holds all commits, as far as is known."""
    chosen = keep_or_choose(group, previous_target)
    if chosen.is_err() and group.primary is not None:
        # It alone is known to hold all commits: it leads on, though it may be draining.
        return Ok(group.primary.server)
    if chosen.is_err() and record.phase is Phase.CHOSEN:
        # That primary may be one of those that are held.
        draining = choose_successor(group, may_drain=True)
        if draining.is_ok():
            return draining
    if chosen.is_err() and task.is_last_resort:
        log_event("succession.unproven", service=task.service, reason=chosen.err())
        return choose_longest(group)
    return chosen


def _gives_up_target(record: SuccessionRecord, chosen: BackendServer) -> bool:
    """Whether another server was chosen than one whose promotion is pending."""
    return record.phase is Phase.CHOSEN and record.target not in ("", chosen.id)


async def _give_up_target(
    task: Task, record: SuccessionRecord, group: StoppedGroup, parts: ReplaceParts
) -> Result[StoppedGroup, str]:
    """Hold all servers again, once hosts use none, the pending target included.

    An order for it may have been executed since the servers were held; it led then,
    and hosts were allowed to use it. What was read before proves nothing, also of the
    primary that stopped: it may have confirmed commits of the target.
    """
    given_up = record._replace(target="", target_born_ms=0)
    written = await write_claim_phase(parts.store, task.service, given_up)
    if written.is_err():
        return Err(f"choose: {written.unwrap_err()}")
    without_primary = task._replace(old_leader=None, reachable=False)
    group = group._replace(primary=None)
    stopped = await hold_anew(without_primary, group, given_up, parts)
    if stopped.is_err():
        return stopped
    group = stopped.unwrap()
    if any(m.status is not None and m.status.leads for m in group.replicas):
        return Err("choose: another server has begun to lead")
    ids = {member.server.id for member in group.replicas}
    last_leader = record.leader or record.old_leader
    return Ok(group._replace(includes_primary={last_leader, record.target} <= ids))


def _with_stopped_primary(
    record: SuccessionRecord, group: StoppedGroup
) -> SuccessionRecord:
    """Return the record with where the primary stopped, for those who continue."""
    if group.primary is None or group.primary.status is None:
        return record
    status = group.primary.status
    return record._replace(stopped_at=status.received, stopped_term=status.term)


def _log_choice(
    task: Task,
    choice: SuccessionRecord,
    group: StoppedGroup,
    previous_target: BackendServer | None,
) -> None:
    log_event(
        "succession.chosen",
        service=task.service,
        token=choice.token,
        target=choice.target,
        term=group.term,
        logs=_format_log_positions(group),
        unanswered=_find_unanswered(group),
        previous_target=previous_target.id if previous_target is not None else "",
    )


def _find_previous_target(
    members: list[BackendServer], record: SuccessionRecord
) -> BackendServer | None:
    """Return the target of an unfinished claim if it has not restarted since."""
    if record.phase is not Phase.CHOSEN:
        return None
    for server in members:
        if server.id == record.target and server.born_ms == record.target_born_ms:
            return server
    return None


async def _query_statuses(
    task: Task,
    members: list[BackendServer],
    previous_target: BackendServer | None,
    parts: ReplaceParts,
) -> dict[str, ServerStatus | None]:
    """Return the status of each server that may respond, None without a response."""
    queried = [s for s in members if s.id != task.old_leader_id]
    may_be_promoted = (
        previous_target is not None and previous_target.id == task.old_leader_id
    )
    if task.old_leader is not None and (task.reachable or may_be_promoted):
        queried.append(task.old_leader)
    return await parts.command_sender.send_to_all(queried, CommandKind.STATUS)


def _without_target(task: Task, previous_target: BackendServer) -> Task:
    """Return the task for a service whose pending target has not been promoted yet.

    Whoever was believed to lead, the target is a replica, and has to stay the target.
    """
    if previous_target.id != task.old_leader_id:
        return task
    return task._replace(old_leader=None, reachable=False)


def _is_replica(
    task: Task,
    members: list[BackendServer],
    statuses: dict[str, ServerStatus | None],
    record: SuccessionRecord,
) -> bool:
    """Whether the server that was believed to lead has been a replica.

    It may have confirmed commits of the primary that the record names, which is gone.
    """
    if not task.old_leader_id or record.leader in ("", task.old_leader_id):
        return False
    status = statuses.get(task.old_leader_id)
    if status is not None:
        return not status.leads
    return any(s.id == task.old_leader_id and not s.leads for s in members)


def _find_leader(
    task: Task, members: list[BackendServer], statuses: dict[str, ServerStatus | None]
) -> BackendServer | None:
    """Return the server that leads the newest term, None if none responded so.

    One that was replaced without knowing is found, too; a write there shows that.
    """
    newest = newest_term(statuses)
    candidates = {server.id: server for server in members}
    if task.old_leader is not None:
        candidates.setdefault(task.old_leader.id, task.old_leader)
    for server in candidates.values():
        status = statuses.get(server.id)
        if status is not None and status.leads and status.term >= newest:
            return server
    return None


def _is_to_be_replaced(
    task: Task,
    leader: BackendServer,
    previous_target: BackendServer | None,
    record: SuccessionRecord,
    statuses: dict[str, ServerStatus | None],
) -> bool:
    """Whether the present primary is the one that this claim is to replace.

    An unfinished claim goes first: it ends if its target leads, or if that gives no
    answer while the primary does. Whether this one is replaced is decided anew then.
    """
    if leader.id != task.old_leader_id:
        return False
    if record.phase is not Phase.CHOSEN:
        return True
    if previous_target is None or previous_target.id == leader.id:
        return False
    return statuses[previous_target.id] is not None


async def _end_with(
    leader: BackendServer,
    task: Task,
    members: list[BackendServer],
    statuses: dict[str, ServerStatus | None],
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> Result[BackendServer, str]:
    """End the succession with the present primary.

    Orders to promote another server may be pending; nobody may rely on the primary
    before they are void.
    """
    is_unfinished = record.phase is Phase.CHOSEN
    if is_unfinished and record.target == leader.id:
        return await end_succession(task, record, leader, True, parts)
    settles = task.only_finishes or record.leader != leader.id
    if is_unfinished or (record.orders_pending and settles):
        held = [s for s in members if _is_held(statuses.get(s.id))]
        return await settle_leader(task, record, leader, held, parts)
    return await end_succession(task, record, leader, record.orders_pending, parts)


def _is_held(status: ServerStatus | None) -> bool:
    return status is not None and status.held_term > 0


async def _settle_and_replace(
    task: Task, leader: BackendServer, record: SuccessionRecord, parts: ReplaceParts
) -> Result[BackendServer, str]:
    """Replace a primary that pending orders would make lead again after its stop.

    That takes longer than others wait before they take a claim over, so it has a claim
    of its own. The primary serves callers meanwhile.
    """
    parts.set_switching(leader, False)
    settled = await settle_leader(task, record, leader, [], parts)
    if settled.is_err():
        return settled
    parts.set_switching(leader, True)
    settled_task = task._replace(claim_id=f"{task.claim_id}-settled", stale_claim_id="")
    return await replace_primary(settled_task, parts)


def _format_log_positions(stopped: StoppedGroup) -> list[str]:
    members = list(stopped.replicas)
    if stopped.primary is not None:
        members.append(stopped.primary)
    return [
        f"{member.server.id}@{member.status.received}"
        for member in members
        if member.status
    ]


def _find_unanswered(stopped: StoppedGroup) -> list[str]:
    return [member.server.id for member in stopped.replicas if member.status is None]
