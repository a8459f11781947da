"""Reads: at any backend server that has what the session must see."""

import time

import trio
from result import Err, Ok, Result

from rattanhollow.backend import BackendConnection, wait_command
from rattanhollow.configuration import Member, Scope
from rattanhollow.coordination import ORIGIN, Position
from rattanhollow.pgwire import (
    ConnectionLost,
    Frame,
    ProtocolViolation,
    parameter,
    query,
)
from rattanhollow.pgwire.kinds import ERROR, PARAMETER, READY
from rattanhollow.proxy._batch import Batch, prepare
from rattanhollow.proxy._caller import IDLE, Caller
from rattanhollow.proxy._exchange import (
    Outcome,
    Relay,
    receive_answer,
    reported_position,
)
from rattanhollow.proxy._lend import drop, release, take, take_ready
from rattanhollow.proxy._service import Service
from rattanhollow.verdict import Refusal, may_have_run, not_run, sqlstates

APPLIED_PARAMETER = "replication_applied"
FLOOR_ANSWER_ALLOWANCE_MS = 500
RETRY_PAUSE_S = 0.02


async def run_read(
    caller: Caller, batch: Batch, service: Service, relay: Relay
) -> Result[bytes, Refusal] | None:
    """Run a read outside a transaction and return the rest of its answer.

    Servers that lack the session's floor, or fail, are passed over until the
    request's deadline. None where a server found that it is no read.
    """
    deadline_s = service.deadline_s()
    floor = await session_floor(caller, service, deadline_s)
    if floor.is_err():
        return Err(floor.unwrap_err())
    while trio.current_time() < deadline_s:
        for member in _candidates(caller, floor.unwrap()):
            wait_ms = _patience_ms(caller, member, floor.unwrap(), service)
            answered = await _try_member(
                caller, batch, member, floor.unwrap(), wait_ms, service, relay
            )
            if answered is None:
                continue
            if answered.is_ok() and _is_no_read(caller, answered.unwrap()):
                return None
            return answered.map(lambda outcome: outcome.tail)
        with trio.move_on_after(RETRY_PAUSE_S):
            await caller.group.wait_for_change()
    return Err(not_run("no backend server had the session's writes in time"))


async def session_floor(
    caller: Caller, service: Service, deadline_s: float
) -> Result[Position, Refusal]:
    """Return the position that a read of ``caller`` must see.

    A token brought by the caller is exact. Otherwise the primary is asked for
    its log end: for each read where the organisation is the session, once
    where the connection is. A read allowance takes an older proof instead.
    """
    if not service.guards.floor:
        return Ok(ORIGIN)
    if caller.exact or (caller.scope is Scope.CONNECTION and caller.index_known):
        return Ok(caller.floor)
    if caller.max_age_ms:
        since_s = time.monotonic() - caller.max_age_ms / 1000
        known = caller.group.index.reading_since(since_s)
        if known is not None:
            return Ok(max(known, caller.floor))
    while True:
        answer = await caller.group.index.read()
        if answer.is_ok():
            return Ok(_take_index(caller, answer.unwrap()))
        if trio.current_time() >= deadline_s:
            return Err(answer.unwrap_err())
        with trio.move_on_after(RETRY_PAUSE_S):
            await caller.group.wait_for_change()


def _take_index(caller: Caller, index: Position) -> Position:
    if caller.scope is Scope.CONNECTION and not caller.max_age_ms:
        caller.raise_floor(index)
        caller.index_known = True
    return max(index, caller.floor)


def _candidates(caller: Caller, floor: Position) -> list[Member]:
    primary = caller.group.primary
    replicas = caller.group.replicas_for(floor)
    return [*replicas, primary] if primary else replicas


def _patience_ms(
    caller: Caller, member: Member, floor: Position, service: Service
) -> int:
    """How long ``member`` may take to reach ``floor``: no time if it seems there."""
    if caller.group.applied.get(member.name, ORIGIN) >= floor:
        return 0
    return service.settings.reads.replica_wait_ms


async def _try_member(
    caller: Caller,
    batch: Batch,
    member: Member,
    floor: Position,
    wait_ms: int,
    service: Service,
    relay: Relay,
) -> Result[Outcome, Refusal] | None:
    """Run the read at ``member``; None where it can't serve it."""
    connection = take_ready(caller, member)
    if connection is None:
        connection = await _take(caller, member, service)
    if connection is None:
        return None
    caller.running = connection
    outcome = await _read_over(
        caller, batch, connection, floor, wait_ms, service, relay
    )
    if outcome is None and wait_ms and connection.usable:
        caller.group.saw_behind(member, floor)
    if outcome is None and connection.usable:
        await release(caller, connection, IDLE, service)
        return None
    if outcome is None or outcome.is_err():
        caller.group.saw_failure(member)
        await drop(caller, connection)
        return outcome
    if _is_no_read(caller, outcome.unwrap()):
        await release(caller, connection, IDLE, service)
        return outcome
    caller.status = outcome.unwrap().status
    _count(caller, member, service)
    await release(caller, connection, caller.status, service)
    return outcome


async def _take(
    caller: Caller, member: Member, service: Service
) -> BackendConnection | None:
    taken: Result[BackendConnection, str] = Err("no connection became free")
    with trio.move_on_after(service.settings.backend.connect_timeout_ms / 1000):
        taken = await take(caller, member, service)
    if taken.is_err():
        caller.group.saw_failure(member)
        return None
    return taken.unwrap()


async def _read_over(
    caller: Caller,
    batch: Batch,
    connection: BackendConnection,
    floor: Position,
    wait_ms: int,
    service: Service,
    relay: Relay,
) -> Result[Outcome, Refusal] | None:
    prepared = prepare(caller, batch, connection.statements)
    check = query(wait_command(floor, wait_ms))
    connection.usable = False
    # A server that may have to wait is asked alone first: a read behind a
    # failed wait would run for nothing.
    together = wait_ms == 0
    allowance_ms = wait_ms + FLOOR_ANSWER_ALLOWANCE_MS
    connection.wire.expire_in(allowance_ms)
    try:
        await connection.wire.send(check + prepared.data if together else check)
        has_floor = await _read_floor_answer(caller, connection)
        if not has_floor:
            if wait_ms == 0:
                # It was seen further than it is: what was seen is not true.
                caller.group.saw_applied(connection.member, ORIGIN)
            if together:
                await connection.read_until_ready()
            connection.wire.expire_never()
            connection.usable = True
            return None
        if not together:
            await connection.wire.send(prepared.data)
    except (ConnectionLost, ProtocolViolation):
        return None
    answered = await receive_answer(
        connection, prepared, relay, service.answer_timeout_ms, hold=False
    )
    if answered.is_ok():
        return Ok(answered.unwrap())
    if caller.relayed:
        return Err(may_have_run(answered.unwrap_err().reason))
    return None


async def _read_floor_answer(caller: Caller, connection: BackendConnection) -> bool:
    """Read the answer to the wait; whether the server has the floor."""
    has_floor = True
    while True:
        frames = await connection.wire.read_frames()
        for at, frame in enumerate(frames):
            if frame.kind == ERROR:
                has_floor = False
            elif frame.kind == PARAMETER:
                _take_parameter(caller, connection, frame)
            elif frame.kind == READY:
                connection.wire.push_back(frames[at + 1 :])
                return has_floor


def _take_parameter(
    caller: Caller, connection: BackendConnection, frame: Frame
) -> None:
    name, value = parameter(frame)
    if name == APPLIED_PARAMETER:
        caller.group.saw_applied(connection.member, reported_position(value))


def _is_no_read(caller: Caller, outcome: Outcome) -> bool:
    if outcome.error is None or caller.relayed:
        return False
    return outcome.error.sqlstate == sqlstates.READ_ONLY


def _count(caller: Caller, member: Member, service: Service) -> None:
    at_primary = member.name == caller.group.state.primary
    service.metrics.add("reads.primary" if at_primary else "reads.replica", 1)
