"""Letting held replicas receive again."""

from result import Err, Result

from rattanhollow.serving import BackendServer, CommandKind
from rattanhollow.succession._claim import claim_succession, end_claim
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._promote import end_succession
from rattanhollow.succession._record import (
    Phase,
    SuccessionRecord,
    write_claim_phase,
)


async def release_held_replica(
    task: Task, server: BackendServer, parts: ReplaceParts
) -> Result[None, str]:
    """Let a replica that is held without need receive again.

    A command to hold may be executed late, and a coordinator may stop after
    sending it. Under a claim without a pending promotion nobody relies on the hold,
    also while the primary has no connection left to respond: all may be taken by
    commits that wait for this replica.
    """
    leader_status = None
    if task.old_leader is not None:
        leader_status = await parts.command_sender.send(
            task.old_leader, CommandKind.STATUS
        )
    leads = leader_status is not None and leader_status.leads
    # A target that leads has only to be recorded as the primary.
    own_target = task.old_leader_id if leads else ""
    claimed = await claim_succession(task, parts, only_target=own_target)
    if claimed.is_err():
        return Err(claimed.unwrap_err())
    record = claimed.unwrap()
    has_stopped = leader_status is not None and not leads
    if task.old_leader is not None and not has_stopped:
        await parts.command_sender.send(server, CommandKind.RESUME_RECEIVING)
    if record.phase is Phase.CHOSEN and task.old_leader is not None:
        ended = await end_succession(task, record, task.old_leader, True, parts)
        return ended.map(lambda _: None)
    written = await write_claim_phase(
        parts.store, task.service, record._replace(phase=Phase.ENDED)
    )
    return written.map_err(str)


async def release_replicas(
    task: Task,
    servers: list[BackendServer],
    record: SuccessionRecord,
    parts: ReplaceParts,
) -> None:
    """End the claim and release held replicas, unless a promotion may be pending.

    A coordinator that has claimed since relies on them.
    """
    if record.phase is Phase.CHOSEN:
        return
    ended = await end_claim(task, record, parts)
    if ended.is_ok():
        await parts.command_sender.send_to_all(servers, CommandKind.RESUME_RECEIVING)
