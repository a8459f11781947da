"""Stopping the servers of a service before one of them is chosen."""

import trio
from result import Err, Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.serving import (
    LEADER_USE_VALID_S,
    BackendServer,
    CommandKind,
    ServerStatus,
)
from rattanhollow.succession._choose import Member, StoppedGroup, next_term
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._record import Phase, SuccessionRecord

MEMBERS_CHECK_INTERVAL_S = 0.1
# A host looks every 0.1 s whether it still waits for acknowledgements.
LEADER_USE_MARGIN_S = 0.3


async def stop_servers(
    task: Task,
    members: list[BackendServer],
    statuses: dict[str, ServerStatus | None],
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> Result[StoppedGroup, str]:
    """Make the replicas stop receiving, and the primary stop leading.

    Where the primary does not confirm that it stopped, hosts stop using it before the
    logs are read that the choice rests on: a replica may join, restart or receive again
    at any time, and confirm what was sent to that primary.
    """
    responses = [status for status in statuses.values() if status is not None]
    if not responses:
        return Err("stop: no server responded")
    term = next_term(responses)
    primary = None
    held: list[Member] = []
    if task.reachable:
        replicas = [s for s in members if s.id != task.old_leader_id]
        held = await _hold_replicas(replicas, term, record, parts)
        primary = await _stop_primary(task, statuses, term, record, parts)
    group = StoppedGroup(held, primary, task.sync_replica_count, term)
    if primary is None:
        return await hold_anew(task, group, record, parts)
    # What a stopped primary did not have confirmed before can't be any more.
    return await _hold_listed(task, group, _starts(held), record, parts)


async def hold_anew(
    task: Task,
    group: StoppedGroup,
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> Result[StoppedGroup, str]:
    """End the use of every primary, then hold all servers and read their logs.

    A host that does not answer finds out by itself: from the record, which keeps hosts
    from every other primary, or from the hosts that have been told now.
    """
    if not await parts.stop_leader_use(task.service, record.token, True):
        await trio.sleep(LEADER_USE_VALID_S + LEADER_USE_MARGIN_S)
    return await _hold_listed(task, group, set(), record, parts)


async def _hold_listed(
    task: Task,
    group: StoppedGroup,
    still_held: set[tuple[str, int]],
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> Result[StoppedGroup, str]:
    """Hold the servers that the store lists now, but for those that still are."""
    members = await parts.read_members(task.service)
    if members is None:
        return Err("stop: the store returned no list of servers")
    to_hold = [
        server
        for server in members
        if server.id != task.old_leader_id
        and (server.id, server.born_ms) not in still_held
    ]
    held_now = await _hold_replicas(to_hold, group.term, record, parts)
    held_ids = {server.id for server in to_hold}
    kept = [m for m in group.replicas if m.server.id not in held_ids]
    if not still_held:
        kept = []
    held = kept + held_now
    stopped_at, stopped_term = _last_stop(held, record)
    return Ok(
        group._replace(replicas=held, stopped_at=stopped_at, stopped_term=stopped_term)
    )


def _last_stop(
    held: list[Member], record: SuccessionRecord
) -> tuple[Position | None, int]:
    """Return where the last primary stopped, and the newest term of its log.

    A primary may have stopped for an order that was executed late, or for a coordinator
    that could not record it. It is still a server of the service then. No log is longer
    than its own, unless that was started again from empty.
    """
    if record.stopped_at is not None:
        return record.stopped_at, record.stopped_term
    last_leader = record.leader or record.old_leader
    logs = {m.server.id: m.status.received for m in held if m.status is not None}
    last_log = logs.get(last_leader)
    if last_log is None or last_log < max(logs.values()):
        return None, 0
    return last_log, last_log.term


async def _stop_primary(
    task: Task,
    statuses: dict[str, ServerStatus | None],
    term: int,
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> Member | None:
    """Make the primary stop leading; None if it does not confirm that it led last."""
    primary = task.old_leader
    if primary is None or statuses[primary.id] is None:
        return None
    status = await parts.command_sender.send(primary, CommandKind.STEP_DOWN, term)
    if status is None or status.leads or not _led_last(primary, statuses, record):
        return None
    if max(status.term, status.received.term) >= term:
        # Another server has begun to lead since they were asked.
        return None
    return Member(primary, status)


async def keep_stopped(
    task: Task, group: StoppedGroup, target: BackendServer, parts: ReplaceParts
) -> None:
    """Stop each server that joins or restarts, until cancelled.

    Hosts that were not reached could use a primary that came back, and a server that
    is not held could confirm its commits. That primary itself is left: it goes on
    leading if the target does not.
    """
    known = _starts(group.replicas)
    if task.old_leader is not None:
        known.add((task.old_leader.id, task.old_leader.born_ms))
    async with trio.open_nursery() as nursery:
        while True:
            for server in parts.known_members(task.service):
                start = (server.id, server.born_ms)
                if start in known or server.id == target.id:
                    continue
                known.add(start)
                nursery.start_soon(_stop_joined, server, group.term, parts)
            await trio.sleep(MEMBERS_CHECK_INTERVAL_S)


async def _stop_joined(server: BackendServer, term: int, parts: ReplaceParts) -> None:
    """Order a server until it confirms that it does not receive, or leads."""
    hold = CommandKind.SUSPEND_RECEIVING
    while True:
        status = await parts.command_sender.send(server, hold, term)
        if status is not None and (status.leads or status.held_term >= term):
            return
        await trio.sleep(MEMBERS_CHECK_INTERVAL_S)


def _starts(members: list[Member]) -> set[tuple[str, int]]:
    return {(member.server.id, member.server.born_ms) for member in members}


def _last_leader(record: SuccessionRecord) -> str:
    """Return the server that led last, empty if a pending promotion may change that."""
    return record.leader if record.phase is Phase.CLAIMED else ""


def _led_last(
    server: BackendServer,
    statuses: dict[str, ServerStatus | None],
    record: SuccessionRecord,
) -> bool:
    """Whether no other server can have led since this one did.

    A server that did not lead when queried was stopped by an earlier coordinator, or
    has been a replica since another server was promoted: then its log may lack
    acknowledged commits. Without a pending promotion, the record tells which.
    """
    status = statuses[server.id]
    if status is not None and status.leads:
        return status.term >= newest_term(statuses)
    return record.phase is Phase.CLAIMED and record.leader == server.id


async def _hold_replicas(
    servers: list[BackendServer],
    term: int,
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> list[Member]:
    """Make servers stop receiving, and judge their logs."""
    last_leader = _last_leader(record)
    statuses = await parts.command_sender.send_to_all(
        servers, CommandKind.SUSPEND_RECEIVING, term
    )
    return [
        Member(
            server,
            status,
            status is not None and parts.is_log_complete(server, status, last_leader),
        )
        for server in servers
        for status in [statuses[server.id]]
    ]


def newest_term(statuses: dict[str, ServerStatus | None]) -> int:
    """Return the newest term that a server knows, 0 if none responded."""
    return max((s.term for s in statuses.values() if s is not None), default=0)
