"""Serving one logged-in caller: request after request, straight down."""

import time

import trio
from result import Err, Ok, Result

from rattanhollow.limits import Purpose
from rattanhollow.observe import log_event
from rattanhollow.pgwire import (
    ConnectionLost,
    Frame,
    FrameReader,
    ProtocolViolation,
    command_complete,
    error_response,
    ready_for_query,
)
from rattanhollow.pgwire.kinds import ERROR, FLUSH, SYNC
from rattanhollow.proxy._batch import Batch, batch_bytes, read_batch, understand
from rattanhollow.proxy._caller import FAILED, IDLE, Caller
from rattanhollow.proxy._exchange import CallerLost, Relay
from rattanhollow.proxy._lend import end_session
from rattanhollow.proxy._local import run_deallocate, run_discard, run_set, run_show
from rattanhollow.proxy._on_primary import run_on_primary, run_over
from rattanhollow.proxy._on_replica import run_read
from rattanhollow.proxy._service import Service
from rattanhollow.sql import Kind
from rattanhollow.verdict import Refusal, not_run, sqlstates

FAREWELL_S = 1.0
NO_MEMORY = "this host's memory for callers is short"
# Smaller requests are never refused for memory: they may end a transaction.
SMALL_BYTES = 16_384
# The response, and the frames that it was joined from.
RESPONSE_COPIES = 3

Answered = Result[bytes, Refusal]


async def serve(caller: Caller, service: Service) -> None:
    """Serve requests until the caller, the host or an operator ends it."""
    reason = "closed by the caller"
    # The key may have been withdrawn while the login was under way.
    if not service.configuration().has_key(caller.organisation, caller.key):
        caller.ending = not_run("the key was withdrawn", sqlstates.LEAVING)
        caller.session_scope.cancel()
    try:
        with caller.session_scope:
            reason = await _requests(caller, service)
        if caller.ending is not None:
            reason = caller.ending.message
    finally:
        await end_session(caller)
        with trio.move_on_after(FAREWELL_S, shield=True):
            await _say_farewell(caller)
        log_event(
            "caller.end",
            organisation=caller.organisation,
            database=caller.database,
            reason=reason,
        )


async def _say_farewell(caller: Caller) -> None:
    ending = caller.ending
    if ending is None:
        return
    refusal = error_response(ending.sqlstate, ending.message, "FATAL")
    try:
        await caller.wire.send(refusal)
    except ConnectionLost:
        return


async def _requests(caller: Caller, service: Service) -> str:
    relay = _relay(caller, service)
    while True:
        try:
            caller.busy = False
            if caller.ending is not None:
                return caller.ending.message
            frames = await _next_request(caller, service)
            caller.busy = True
            if frames is None:
                return "closed by the caller"
            caller.relayed = False
            if not _has_room(caller, frames):
                del frames
                refusal = not_run(NO_MEMORY, sqlstates.NO_MEMORY)
                await relay(_refuse(caller, refusal, service))
                continue
            batch = understand(caller, frames, service.classify)
            answered = await _answer(caller, batch, service, relay)
            if batch.flushed and answered.is_err():
                await _skip_to_sync(caller)
            response = _reply(caller, batch, answered, service)
            del frames, batch, answered
            caller.hold_values()
            await relay(response)
            del response
        except (ConnectionLost, CallerLost):
            return "connection lost"
        except ProtocolViolation as error:
            caller.ending = not_run(str(error), sqlstates.PROTOCOL)
            return str(error)


async def _skip_to_sync(caller: Caller) -> None:
    """Drop what a caller pipelined behind a request that was refused."""
    while True:
        frames = await read_batch(caller.wire, caller.account)
        if frames is None or frames[-1].kind == SYNC:
            return


def _has_room(caller: Caller, frames: list[Frame]) -> bool:
    """Hold the memory of a request; a small one, or one behind a Flush, always runs."""
    held_bytes = batch_bytes(frames)
    if held_bytes > SMALL_BYTES and frames[-1].kind != FLUSH and not caller.flushed:
        return caller.account.try_hold(Purpose.STATEMENT, held_bytes)
    caller.account.hold(Purpose.STATEMENT, held_bytes)
    return True


def _relay(caller: Caller, service: Service) -> Relay:
    timeout_ms = service.settings.limits.send_timeout_ms

    async def relay(data: bytes) -> None:
        caller.relayed = True
        caller.account.hold(Purpose.RESPONSE, RESPONSE_COPIES * len(data))
        caller.wire.expire_in(timeout_ms)
        try:
            await caller.wire.send(data)
        except ConnectionLost as error:
            raise CallerLost(str(error)) from error
        caller.wire.expire_never()
        caller.account.hold(Purpose.RESPONSE, 0)

    return relay


async def _next_request(caller: Caller, service: Service) -> list[Frame] | None:
    """Return the next request, or None where the session has to end."""
    if caller.status == IDLE and not caller.flushed:
        caller.resting_since_s = time.monotonic()
        return await read_batch(caller.wire, caller.account)
    idle_s = service.settings.limits.transaction_idle_ms / 1000
    with trio.move_on_after(idle_s):
        return await read_batch(caller.wire, caller.account)
    reason = "the transaction was idle for too long"
    caller.ending = not_run(reason, sqlstates.LEAVING)
    return None


async def _answer(
    caller: Caller, batch: Batch, service: Service, relay: Relay
) -> Answered:
    statement = batch.statement
    kind = statement.kind
    if batch.flushed and len(batch.frames) == 1:
        return Ok(b"")
    if not service.is_fresh():
        return Err(not_run("this host can't learn the newest configuration"))
    name = caller.organisation
    if not service.admit(name) and not await service.admit_soon(name):
        return Err(not_run("over the organisation's rate", sqlstates.OVER_RATE))
    if kind is Kind.REFUSED:
        return Err(not_run(f"{statement.name} is not carried", sqlstates.NOT_CARRIED))
    if kind is Kind.SET_OWN:
        return run_set(caller, batch)
    if kind is Kind.SHOW_OWN:
        return run_show(caller, batch)
    if kind is Kind.DEALLOCATE and not caller.pinned_for_good:
        return run_deallocate(caller, batch)
    if kind is Kind.DISCARD and caller.status == IDLE:
        await end_session(caller)
        return run_discard(caller, batch)
    if caller.status == FAILED and caller.pinned is None:
        return _end_lost_transaction(caller, batch)
    if kind is Kind.SEQUENCE_STATE and caller.status == IDLE:
        reason = "currval and lastval outside a transaction are not carried"
        return Err(not_run(reason, sqlstates.NOT_CARRIED))
    if caller.pinned is not None:
        return await _on_pinned(caller, batch, service, relay)
    if kind in (Kind.READ, Kind.BEGIN_READ_ONLY) and not batch.flushed:
        answered = await run_read(caller, batch, service, relay)
        if answered is not None:
            return answered
    caller.pinned_for_good = kind is Kind.PIN
    answered = await run_on_primary(caller, batch, service, relay)
    if caller.pinned is None:
        caller.pinned_for_good = False
    if kind is Kind.SET:
        _keep_setting(caller, batch, answered)
    return answered


async def _on_pinned(
    caller: Caller, batch: Batch, service: Service, relay: Relay
) -> Answered:
    connection = caller.pinned
    assert connection is not None
    kind = batch.statement.kind
    primary = caller.group.state.primary
    replaced = caller.term < caller.group.state.term
    if replaced and connection.member.name != primary:
        await end_session(caller)
        caller.lose_transaction(ended=kind in (Kind.COMMIT, Kind.ROLLBACK))
        reason = "the transaction was rolled back: the primary was replaced"
        return Err(not_run(reason, sqlstates.TRANSACTION_LOST))
    if kind is Kind.PIN:
        caller.pinned_for_good = True
    deadline_s = service.deadline_s()
    ran = await run_over(caller, connection, batch, service, relay, deadline_s)
    if ran is None:
        reason = "the transaction was rolled back: the server leads no more"
        return Err(not_run(reason, sqlstates.TRANSACTION_LOST))
    if kind is Kind.SET:
        _keep_setting(caller, batch, ran)
    return ran


def _end_lost_transaction(caller: Caller, batch: Batch) -> Answered:
    """Answer a caller whose transaction was lost until it has ended it."""
    if batch.statement.kind not in (Kind.COMMIT, Kind.ROLLBACK):
        reason = "the transaction was lost; end it first"
        return Err(not_run(reason, sqlstates.FAILED_TRANSACTION))
    if not batch.simple:
        caller.ending = not_run("the transaction was lost")
        return Err(caller.ending)
    caller.status = IDLE
    return Ok(command_complete("ROLLBACK") + ready_for_query(IDLE))


def _keep_setting(caller: Caller, batch: Batch, answered: Answered) -> None:
    if answered.is_err() or _has_error(answered.unwrap()):
        return
    name = batch.statement.name
    caller.settings.pop(name, None)
    if not batch.text.lstrip().upper().startswith("RESET"):
        caller.settings[name] = batch.text.strip().rstrip(";")


def _has_error(answer: bytes) -> bool:
    frames = FrameReader(len(answer) + 1).feed(answer)
    return any(frame.kind == ERROR for frame in frames)


def _reply(caller: Caller, batch: Batch, answered: Answered, service: Service) -> bytes:
    if answered.is_ok():
        service.metrics.add("requests.answered", 1)
        return answered.unwrap()
    return _refuse(caller, answered.unwrap_err(), service)


def _refuse(caller: Caller, refusal: Refusal, service: Service) -> bytes:
    name = refusal.verdict.name.lower()
    service.metrics.add(f"requests.{name}", 1)
    log_event(
        "request.refused",
        organisation=caller.organisation,
        database=caller.database,
        verdict=refusal.verdict.value,
        sqlstate=refusal.sqlstate,
        reason=refusal.reason,
    )
    error = error_response(refusal.sqlstate, refusal.message)
    return error + ready_for_query(caller.status)
