"""Confirming a commit: acknowledged only once a majority holds it."""

import trio
from result import Err, Ok, Result

from rattanhollow.backend import BackendConnection, Group
from rattanhollow.coordination import Position, Survival, survival_of
from rattanhollow.verdict import Refusal, may_have_run, not_run

PAUSE_S = 0.02


async def confirm(
    group: Group,
    position: Position,
    connection: BackendConnection,
    deadline_s: float,
) -> Result[Position, Refusal]:
    """Wait until the commit at ``position`` can't be lost any more.

    Where its term ends meanwhile, the log of the next proven primary decides
    whether the commit is in force. The answer is the position that the
    caller's later reads must see.
    """
    reason = "no proof in time"
    over: BackendConnection | None = connection
    with trio.move_on_at(deadline_s):
        while True:
            answer = await group.confirmed.read(over)
            if answer.is_ok():
                decided = _decide(group, position, answer.unwrap())
                if decided is not None:
                    return decided
            else:
                reason = answer.unwrap_err().reason
            over = None
            await _pause(group)
    return Err(may_have_run(f"the commit was not confirmed: {reason}"))


async def _pause(group: Group) -> None:
    with trio.move_on_after(PAUSE_S):
        await group.wait_for_change()


def _decide(
    group: Group, position: Position, proven: Position
) -> Result[Position, Refusal] | None:
    if proven.term == position.term:
        return Ok(position) if proven >= position else None
    if proven.term < position.term or group.state.term < proven.term:
        return None
    survival = survival_of(position, proven.term, group.state.successions)
    if survival is Survival.SURVIVED:
        return Ok(proven)
    if survival is Survival.LOST:
        return Err(not_run("the primary failed before a replica had the commit"))
    return Err(may_have_run("the primary failed before the commit was confirmed"))
