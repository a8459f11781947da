"""Claiming the replacement of a primary for this coordinator."""

from typing import Any

from result import Err, Ok, Result

from rattanhollow.serving import CommandKind
from rattanhollow.store import StoreFailure
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._record import (
    AlreadyReplaced,
    ClaimedByOther,
    Phase,
    SuccessionRecord,
    claim,
    write_claim_phase,
)


async def claim_succession(
    task: Task, parts: ReplaceParts, only_target: str | None = None
) -> Result[SuccessionRecord, str]:
    """Claim the replacement; tell the host what prevents it.

    ``only_target`` is the pending target that this coordinator continues with, if it
    does so with one only, and empty for none. Only a task of replacing a primary keeps
    hosts from it while nothing is chosen.
    """
    claimed = await _claim(task, parts, only_target)
    if claimed.is_err() and isinstance(claimed.unwrap_err(), AlreadyReplaced):
        replaced = claimed.unwrap_err()
        if await _is_outdated(replaced, task, parts):
            claimed = await _claim(task, parts, only_target, replaced.leader)
    if claimed.is_ok():
        return Ok(claimed.unwrap())
    failure = claimed.unwrap_err()
    if isinstance(failure, ClaimedByOther):
        parts.note_competing_claim(task.service, failure.claim_id)
    if isinstance(failure, AlreadyReplaced):
        parts.note_replaced(task.service, failure.leader)
    return Err(f"claim: {failure}")


async def _is_outdated(
    replaced: AlreadyReplaced, task: Task, parts: ReplaceParts
) -> bool:
    """Whether the primary that the last replacement left does not lead any longer.

    One that crashed comes back under another identifier. One that the store names as it
    was before a new era may have been replaced since, and is asked.
    """
    members = await parts.read_members(task.service)
    if members is None:
        return False
    leaders = [server for server in members if server.id == replaced.leader]
    if not leaders:
        return True
    if not replaced.may_be_outdated:
        return False
    status = await parts.command_sender.send(leaders[0], CommandKind.STATUS)
    return status is not None and not status.leads


async def end_claim(
    task: Task, record: SuccessionRecord, parts: ReplaceParts
) -> Result[None, StoreFailure | str]:
    """Record that the replacement is over, and tell hosts that were told of it."""
    ended = record._replace(phase=Phase.ENDED)
    written = await write_claim_phase(parts.store, task.service, ended)
    if written.is_ok():
        await parts.tell_over(task.service, record.token)
    return written


async def _claim(
    task: Task, parts: ReplaceParts, only_target: str | None, gone_leader: str = ""
) -> Result[SuccessionRecord, Any]:
    return await claim(
        parts.store,
        task.service,
        parts.holder,
        task.claim_id,
        task.old_leader_id,
        task.stale_claim_id,
        only_target,
        gone_leader,
        keeps_leader=task.only_finishes or only_target is not None,
    )
