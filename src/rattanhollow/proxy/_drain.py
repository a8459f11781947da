"""Sending callers away without cutting a request."""

import trio

from rattanhollow.proxy._service import Callers
from rattanhollow.verdict import not_run, sqlstates

POLL_S = 0.05


async def send_callers_away(callers: Callers, limit_ms: int) -> None:
    """Return once all callers left: idle ones at once, others when they are idle.

    Those that still run something after ``limit_ms`` are left to be cut.
    """
    callers.leaving = True
    with trio.move_on_after(limit_ms / 1000):
        while callers.connected:
            for caller in callers.all():
                if caller.idle:
                    reason = "the host is leaving"
                    caller.ending = not_run(reason, sqlstates.LEAVING)
                    caller.session_scope.cancel()
            await trio.sleep(POLL_S)
