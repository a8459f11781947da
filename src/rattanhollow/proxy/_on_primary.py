"""Requests that only the primary may serve."""

import trio
from result import Err, Ok, Result

from rattanhollow.backend import BackendConnection
from rattanhollow.configuration import Member
from rattanhollow.proxy._batch import Batch, prepare
from rattanhollow.proxy._caller import IDLE, Caller
from rattanhollow.proxy._confirm import confirm
from rattanhollow.proxy._exchange import Broken, Outcome, Relay, exchange
from rattanhollow.proxy._lend import UNKNOWN_SETTINGS, drop, release, take, take_ready
from rattanhollow.proxy._service import Service
from rattanhollow.sql import Kind
from rattanhollow.verdict import Refusal, may_have_run, not_run, sqlstates

RETRY_PAUSE_S = 0.05

MAY_END_TRANSACTION = frozenset({Kind.COMMIT, Kind.UNKNOWN, Kind.PIN})


async def run_on_primary(
    caller: Caller, batch: Batch, service: Service, relay: Relay
) -> Result[bytes, Refusal]:
    """Run a request outside a transaction and return the rest of its answer.

    Waits for a primary until the request's deadline. A request of which the
    primary may have seen a byte is never sent twice.
    """
    deadline_s = service.deadline_s()
    reason = "no primary"
    while trio.current_time() < deadline_s:
        group = caller.group
        primary = group.primary
        taken: Result[BackendConnection, str] = Err(f"no primary of {caller.database}")
        if primary is not None:
            taken = await _take(caller, primary, service, deadline_s)
        if taken.is_err():
            reason = taken.unwrap_err()
            await _pause(caller)
            continue
        connection: BackendConnection = taken.unwrap()
        ran = await run_over(caller, connection, batch, service, relay, deadline_s)
        if ran is not None:
            return ran
        reason = f"{connection.member.name} is not the primary any more"
        await _pause(caller)
    return Err(not_run(f"no primary in time: {reason}"))


async def run_over(
    caller: Caller,
    connection: BackendConnection,
    batch: Batch,
    service: Service,
    relay: Relay,
    deadline_s: float,
) -> Result[bytes, Refusal] | None:
    """Run a request over a connection that was taken, or pinned.

    None where the server refused it unread since it does not lead; it may be
    sent elsewhere then.
    """
    in_transaction = caller.status != IDLE
    answered = await _exchange(caller, connection, batch, service, relay)
    if answered.is_err():
        await drop(caller, connection)
        return Err(_lost(caller, batch, in_transaction, answered.unwrap_err()))
    outcome: Outcome = answered.unwrap()
    if not batch.statement.clean:
        connection.settings = UNKNOWN_SETTINGS
    if batch.flushed:
        caller.pinned, caller.flushed = connection, True
        return Ok(outcome.tail)
    caller.flushed = False
    if _refused_unread(caller, outcome, in_transaction):
        connection.usable = False
        await release(caller, connection, IDLE, service)
        return None
    if outcome.position is None:
        caller.status = outcome.status
        await release(caller, connection, outcome.status, service)
        return Ok(outcome.tail)
    return await _confirmed(caller, connection, outcome, service, deadline_s)


async def _confirmed(
    caller: Caller,
    connection: BackendConnection,
    outcome: Outcome,
    service: Service,
    deadline_s: float,
) -> Result[bytes, Refusal]:
    assert outcome.position is not None
    caller.raise_floor(outcome.position)
    confirmed: Result = Ok(outcome.position)
    if service.guards.write_confirmation:
        confirmed = await confirm(
            caller.group, outcome.position, connection, deadline_s
        )
    caller.status = outcome.status
    if not connection.usable:
        caller.pinned = None
    await release(caller, connection, outcome.status, service)
    if confirmed.is_err():
        return Err(confirmed.unwrap_err())
    caller.raise_floor(confirmed.unwrap())
    return Ok(caller.token_status() + outcome.tail)


async def _exchange(
    caller: Caller,
    connection: BackendConnection,
    batch: Batch,
    service: Service,
    relay: Relay,
) -> Result[Outcome, Broken]:
    prepared = prepare(caller, batch, connection.statements)
    caller.running = connection
    return await exchange(
        connection,
        prepared,
        relay,
        service.answer_timeout_ms,
        hold=not batch.flushed,
        until_answers=prepared.answers if batch.flushed else 0,
    )


async def _take(
    caller: Caller, primary: Member, service: Service, deadline_s: float
) -> Result[BackendConnection, str]:
    ready = take_ready(caller, primary)
    if ready is not None:
        return Ok(ready)
    with trio.move_on_at(deadline_s):
        return await take(caller, primary, service)
    return Err(f"no connection to {primary.name} became free")


async def _pause(caller: Caller) -> None:
    with trio.move_on_after(RETRY_PAUSE_S):
        await caller.group.wait_for_change()


def _refused_unread(caller: Caller, outcome: Outcome, in_transaction: bool) -> bool:
    if outcome.error is None or caller.relayed or in_transaction:
        return False
    if outcome.position is not None:
        return False
    return outcome.error.sqlstate == sqlstates.READ_ONLY and outcome.status == IDLE


def _lost(
    caller: Caller, batch: Batch, in_transaction: bool, broken: Broken
) -> Refusal:
    ends = batch.statement.kind in MAY_END_TRANSACTION or caller.flushed
    caller.lose_transaction(ended=ends)
    if in_transaction and not ends:
        reason = f"the transaction was rolled back: {broken.reason}"
        return not_run(reason, sqlstates.TRANSACTION_LOST)
    return may_have_run(broken.reason)
