"""Serving one caller: from its first line to the end of its connection."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import digest_of
from rattanhollow.limits import Account, Purpose
from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.session._departures import DepartureWatch
from rattanhollow.session._end import (
    BadLine,
    CallerConnection,
    Farewell,
    NoRoom,
    Opening,
)
from rattanhollow.session._session import Session, SessionParts, Sessions
from rattanhollow.statements import Answer, Reason, Refused, Request, SessionState

# Callers give up on a session that doesn't begin within seconds.
OPENING_TIMEOUT_S = 10.0
REQUEST_ID_LOGGED = 100
NO_MEMORY = "this host's memory for callers is short"
# Statements that hold memory end within their deadlines, most of them long before.
MEMORY_RETRY_MS = 500


class ServeParts(NamedTuple):
    """What serving callers needs; ``may_serve()`` tells whether this host may.

    With ``departures`` the statements of callers who leave stop waiting.
    """

    session: SessionParts
    sessions: Sessions
    may_serve: Callable[[], bool]
    meter: Meter
    departures: DepartureWatch | None = None


async def serve_caller(
    connection: CallerConnection,
    parts: ServeParts,
    account: Account,
    opened: Callable[[], None] = lambda: None,
) -> None:
    """Serve a caller until it, an operator or the host ends the session.

    ``opened()`` is called when its session begins.
    """
    try:
        session = await _open(connection, parts)
        if session is None:
            return
        opened()
        account.belong_to(session.organisation)
        session.mid_request = lambda: connection.mid_request
        number = parts.sessions.add(session)
        try:
            await _serve(connection, session, parts, account)
        finally:
            parts.sessions.remove(number)
            session.abandon()
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()


async def _open(connection: CallerConnection, parts: ServeParts) -> Session | None:
    opening = None
    with trio.move_on_after(OPENING_TIMEOUT_S):
        opening = await connection.receive()
    if opening is None or isinstance(opening, Farewell):
        return None
    if not isinstance(opening, Opening):
        await connection.refuse(Refused(Reason.MALFORMED))
        return None
    session = _admit(opening, parts)
    if isinstance(session, Refused):
        parts.meter.count(kinds.SESSIONS_REFUSED, session.reason.name)
        log_event("session.refused", route=opening.route, reason=session.reason.name)
        await connection.refuse(session)
        return None
    return session if await connection.welcome() else None


def _admit(opening: Opening, parts: ServeParts) -> Session | Refused:
    if not parts.may_serve():
        return Refused(Reason.BUSY, "this host can't learn the newest configuration")
    routes = parts.session.routes()
    route = routes.routes.get(opening.route)
    if route is None:
        return Refused(Reason.NO_ROUTE)
    digest = digest_of(opening.key) if opening.key else ""
    owner = routes.organisation_of(digest)
    if owner is None and not route.open:
        return Refused(Reason.NO_KEY)
    if owner is None:
        return Session(opening.route, "", "", parts.session)
    return Session(opening.route, digest, owner, parts.session)


async def _serve(
    connection: CallerConnection,
    session: Session,
    parts: ServeParts,
    account: Account,
) -> None:
    while not (session.closing and may_end(session)):
        received = None
        with trio.CancelScope() as session.waiting:
            received = await connection.receive()
        if received is None:
            break
        if isinstance(received, Farewell):
            return
        session.busy = True
        if isinstance(received, NoRoom):
            refused = _refuse_for_room(received, session, parts.meter)
            if not await connection.answer(refused, session.state):
                return
        elif not isinstance(received, Request):
            bad = Refused(Reason.MALFORMED)
            if isinstance(received, BadLine) and received.framing_lost:
                await connection.refuse(bad)
                return
            if not await connection.answer(bad, session.state):
                return
        elif not await _serve_request(received, connection, session, parts, account):
            return
        session.busy = False
    session.abandon()
    await connection.dismiss(session.farewell())


async def _serve_request(
    request: Request,
    connection: CallerConnection,
    session: Session,
    parts: ServeParts,
    account: Account,
) -> bool:
    """Answer a request; returns whether the session goes on."""
    began_s = parts.session.clock()
    account.request = request.id[:REQUEST_ID_LOGGED]
    answer = await _handle(connection, session, request, parts.departures)
    took_ms = (parts.session.clock() - began_s) * 1000
    _report(request, answer, session, took_ms, parts.meter)
    account.hold(Purpose.STATEMENT, 0)
    account.hold(Purpose.VALUES, session.kept_bytes)
    account.request = ""
    if isinstance(answer, Refused) and answer.ends:
        await connection.refuse(answer)
        return False
    return await connection.answer(answer, session.state)


def _refuse_for_room(dropped: NoRoom, session: Session, meter: Meter) -> Refused:
    """Refuse a request that was not run.

    The caller is promised that nothing is kept, so that an open transaction fails.
    """
    reason = session.fail_unrun()
    meter.count(kinds.STATEMENTS_NOT_HELD)
    log_event(
        "request.refused",
        request=dropped.request_id,
        organisation=session.organisation,
        route=session.route_name,
        reason=reason.name,
        detail=NO_MEMORY,
        retry_after_ms=MEMORY_RETRY_MS,
        state=session.state.name,
    )
    return Refused(reason, NO_MEMORY, MEMORY_RETRY_MS)


async def _handle(
    connection: CallerConnection,
    session: Session,
    request: Request,
    departures: DepartureWatch | None,
) -> Answer:
    with trio.CancelScope() as session.running:
        if departures is not None:
            return await departures.handle(connection, session.handle, request)
        return await session.handle(request)
    return session.broken_off(request)


def _report(
    request: Request, answer: Answer, session: Session, took_ms: float, meter: Meter
) -> None:
    """Log and count what became of a statement."""
    outcome = answer.reason.name if isinstance(answer, Refused) else "DONE"
    statement = type(request.statement).__name__
    consistency = session.consistency
    meter.count(kinds.REQUESTS, consistency, statement, outcome)
    meter.time(kinds.REQUEST_MS, took_ms, consistency)
    refused = isinstance(answer, Refused)
    log_event(
        "request.refused" if refused else "request.done",
        request=request.id,
        statement=statement,
        organisation=session.organisation,
        route=session.route_name,
        reason=outcome,
        detail=answer.detail if isinstance(answer, Refused) else "",
        retry_after_ms=answer.retry_after_ms if isinstance(answer, Refused) else 0,
        took_ms=round(took_ms, 1),
        state=session.state.name,
        **session.trace(),
    )


def may_end(session: Session) -> bool:
    """Whether a closing session ends here."""
    return session.ending or idle(session)


def idle(session: Session) -> bool:
    """Whether a session can be closed without breaking anything off."""
    in_request = session.busy or session.mid_request()
    return not in_request and session.state is SessionState.IDLE
