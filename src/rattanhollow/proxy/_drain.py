"""Sending callers away without cutting a request."""

import trio

from rattanhollow.proxy._service import Callers
from rattanhollow.verdict import not_run, sqlstates

POLL_S = 0.05
# Longer than a request takes to arrive, from a caller that sends one at once.
REST_S = 0.25


async def send_callers_away(callers: Callers, limit_ms: int) -> None:
    """Return once all callers left: those that rest, as soon as they do.

    One that asks again and again may have its next request under way already.
    Those that still run something after ``limit_ms`` are left to be cut.
    """
    callers.leaving = True
    with trio.move_on_after(limit_ms / 1000):
        while callers.connected:
            for caller in callers.all():
                if caller.resting_s >= REST_S:
                    reason = "the host is leaving"
                    caller.ending = not_run(reason, sqlstates.LEAVING)
                    caller.session_scope.cancel()
            await trio.sleep(POLL_S)
