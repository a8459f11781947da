"""Orders to the platform to promote a server."""

import trio
from result import Err, Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind
from rattanhollow.store import StoreFailure
from rattanhollow.succession._choose import StoppedGroup, find_member
from rattanhollow.succession._claim import end_claim
from rattanhollow.succession._orders import HTTP_CONFLICT, PromotionOrders
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._record import (
    Phase,
    SuccessionRecord,
    write_claim_phase,
)
from rattanhollow.succession._stop import keep_stopped

# A promotion request whose response was lost may be executed many seconds later.
PROMOTION_TIMEOUT_S = 4.0
# An accepted promotion has taken effect by then; newer orders don't withdraw it.
PROMOTION_EFFECT_S = 1.5
STATUS_POLL_INTERVAL_S = 0.1
# How long orders for the present primary are given, until one is answered.
SETTLE_TIMEOUT_S = 2.0


async def settle_leader(
    task: Task,
    record: SuccessionRecord,
    leader: BackendServer,
    held: list[BackendServer],
    parts: ReplaceParts,
) -> Result[BackendServer, str]:
    """End the succession with the present primary, so that no order deposes it.

    The primary is ordered with the new token, which makes the platform reject all older
    orders. Orders that it has accepted take effect nevertheless, this one included:
    each makes the server that it names lead, unless that leads already. The replicas
    ``held`` receive again at the end. After an ``Err`` the record tells that orders
    for the primary may be pending; an unfinished choice stays.
    """
    settling = record._replace(leader=leader.id, orders_pending=True, keeps_leader=True)
    noted = await write_claim_phase(parts.store, task.service, settling)
    if noted.is_err():
        return Err(f"settle: {noted.unwrap_err()}")
    orders = PromotionOrders(task, settling, leader.id, parts)
    with trio.move_on_after(SETTLE_TIMEOUT_S):
        await orders.run()
    log_event(
        "succession.fenced",
        service=task.service,
        token=orders.record.token,
        leader=leader.id,
        status=orders.status,
    )
    if not orders.is_accepted or orders.may_be_pending:
        if record.phase is Phase.CLAIMED:
            await end_claim(task, orders.record, parts)
        return Err("settle: pending orders to promote may still be executed")
    await trio.sleep(PROMOTION_EFFECT_S)
    status = await parts.command_sender.send(leader, CommandKind.STATUS)
    if status is None or not status.leads:
        return Err("settle: the primary does not lead any longer")
    ended = _with_leader(orders.record, leader, orders_pending=False)
    recorded = await end_claim(task, ended, parts)
    if recorded.is_err():
        # A coordinator that has claimed since may rely on the held replicas.
        return Err(f"settle: {recorded.unwrap_err()}")
    await parts.command_sender.send_to_all(held, CommandKind.RESUME_RECEIVING)
    log_event(
        "succession.ended",
        service=task.service,
        token=orders.record.token,
        leader=leader.id,
        recorded=True,
    )
    return Ok(leader)


async def promote_target(
    task: Task,
    record: SuccessionRecord,
    target: BackendServer,
    group: StoppedGroup,
    is_continued: bool,
    parts: ReplaceParts,
) -> Result[BackendServer, str]:
    """Order the promotion until the target leads, and end the succession.

    The other servers of the group are kept stopped meanwhile. Hosts that are not yet
    told use no other primary either: an earlier order may make one lead again.
    """
    promoted: Result[BackendServer, str]
    async with trio.open_nursery() as nursery:
        if group.primary is not None:
            nursery.start_soon(parts.stop_leader_use, task.service, record.token, False)
        nursery.start_soon(keep_stopped, task, group, target, parts)
        if await _has_lost_its_log(target, group, parts):
            promoted = Err("promote: the target lacks what it held when it was chosen")
        else:
            promoted = await _order_until_led(task, record, target, is_continued, parts)
        nursery.cancel_scope.cancel()
    return promoted


async def _has_lost_its_log(
    target: BackendServer, group: StoppedGroup, parts: ReplaceParts
) -> bool:
    """Whether the target's log is shorter than when it was chosen.

    A server that restarts empty under its identifier may answer to the choice before
    its restart, and its new description may not be known yet when it is ordered.
    """
    chosen = find_member(group, target) or group.primary
    if chosen is None or chosen.status is None or chosen.server.id != target.id:
        return False
    status = await parts.command_sender.send(target, CommandKind.STATUS)
    return status is not None and status.received < chosen.status.received


async def _order_until_led(
    task: Task,
    record: SuccessionRecord,
    target: BackendServer,
    is_continued: bool,
    parts: ReplaceParts,
) -> Result[BackendServer, str]:
    orders = PromotionOrders(task, record, target.id, parts)

    def may_order() -> bool:
        return not _has_restarted(target, parts.known_members(task.service))

    failure = "the target did not become primary before the deadline"
    leads = False
    with trio.move_on_after(PROMOTION_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(orders.run, may_order)
            while not leads:
                await trio.sleep(STATUS_POLL_INTERVAL_S)
                if orders.status == HTTP_CONFLICT:
                    failure = "the platform rejected the promotion"
                    break
                if orders.is_claim_lost:
                    failure = "another coordinator has taken the claim over"
                    break
                if not may_order() and not orders.is_accepted:
                    failure = "the target restarted and may lack commits"
                    break
                status = await parts.command_sender.send(target, CommandKind.STATUS)
                leads = status is not None and status.leads
            nursery.cancel_scope.cancel()
    if not leads:
        return Err(f"promote: {failure}")
    # Another coordinator's orders for the target may be pending, too.
    pending = orders.may_be_pending or (is_continued and not orders.is_accepted)
    return await end_succession(task, orders.record, target, pending, parts)


def _has_restarted(server: BackendServer, members: list[BackendServer]) -> bool:
    return any(
        member.id == server.id and member.born_ms != server.born_ms
        for member in members
    )


async def end_succession(
    task: Task,
    record: SuccessionRecord,
    target: BackendServer,
    orders_pending: bool,
    parts: ReplaceParts,
) -> Result[BackendServer, str]:
    """Record that ``target`` leads, unless another coordinator has claimed since."""
    ended = await end_claim(task, _with_leader(record, target, orders_pending), parts)
    log_event(
        "succession.ended",
        service=task.service,
        token=record.token,
        leader=target.id,
        recorded=ended.is_ok(),
    )
    if ended.is_err():
        if not isinstance(ended.unwrap_err(), StoreFailure):
            return Err(f"end: {ended.unwrap_err()}")
        await parts.tell_over(task.service, record.token)
    if orders_pending:
        parts.note_pending_orders(task.service)
    return Ok(target)


def _with_leader(
    record: SuccessionRecord, leader: BackendServer, orders_pending: bool
) -> SuccessionRecord:
    """Return the record of a succession that ended with ``leader``."""
    return record._replace(
        phase=Phase.ENDED,
        leader=leader.id,
        orders_pending=orders_pending,
        stopped_at=None,
        stopped_term=0,
    )
