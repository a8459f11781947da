"""Noticing that a caller leaves while its statement waits."""

from collections.abc import Awaitable, Callable

import trio

from rattanhollow.observe import log_event
from rattanhollow.rates import Admission
from rattanhollow.serving import CURRENT_CALLER, CallerPresence
from rattanhollow.session._end import CallerConnection
from rattanhollow.statements import Answer, Request

# Most statements are answered sooner, and need no watch of their connection.
WATCH_AFTER_S = 0.01


async def handle_while_connected(
    connection: CallerConnection,
    handle: Callable[[Request], Awaitable[Answer]],
    request: Request,
) -> Answer:
    """Handle a request, and withdraw what waits for it if its caller leaves.

    The answer is still the true one: what had been sent to a server is awaited.
    """
    caller = CallerPresence()
    token = CURRENT_CALLER.set(caller)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch, connection, caller, request)
            answer = await handle(request)
            nursery.cancel_scope.cancel()
    finally:
        CURRENT_CALLER.reset(token)
    return answer


async def admit_while_connected(
    admit: Callable[[str, int], Awaitable[Admission]], organisation: str, target_ms: int
) -> Admission:
    """Wait for a token only as long as the caller is connected."""
    caller = CURRENT_CALLER.get()
    if caller is None:
        return await admit(organisation, target_ms)
    with trio.CancelScope() as waiting, caller.withdrawing(waiting.cancel):
        if caller.gone:
            waiting.cancel()
        return await admit(organisation, target_ms)
    return Admission(False, 0, "the caller closed its connection")


async def _watch(
    connection: CallerConnection, caller: CallerPresence, request: Request
) -> None:
    await trio.sleep(WATCH_AFTER_S)
    await connection.until_left()
    log_event("caller.left", request=request.id)
    caller.leave()
