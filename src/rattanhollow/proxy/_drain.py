"""Sending callers away without cutting a request."""

import trio

from rattanhollow.proxy._caller import Caller
from rattanhollow.proxy._service import Callers
from rattanhollow.verdict import not_run, sqlstates

POLL_S = 0.05
# Longer than a request takes to arrive, from a caller that sends one at once.
REST_S = 0.25


async def send_callers_away(callers: Callers, limit_ms: int) -> None:
    """Return once all callers left: those that rest, as soon as they do.

    One that asks again and again may have its next request under way already. From
    half of ``limit_ms`` on each caller leaves behind its request, also inside a
    transaction; a request that still runs after ``limit_ms`` is left to be cut.
    """
    callers.leaving = True
    late_at_s = trio.current_time() + limit_ms / 2000
    with trio.move_on_after(limit_ms / 1000):
        while callers.connected:
            late = trio.current_time() >= late_at_s
            for caller in callers.all():
                if late or caller.resting_s >= REST_S:
                    _send_away(caller)
            await trio.sleep(POLL_S)


def _send_away(caller: Caller) -> None:
    """End a caller's session now, or behind the request under way."""
    if caller.ending is None:
        caller.ending = not_run("the host is leaving", sqlstates.LEAVING)
    if not caller.busy:
        caller.session_scope.cancel()
