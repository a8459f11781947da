"""Leaving without cutting a request."""

import trio

from rattanhollow.membership import Registration
from rattanhollow.serving import Serving
from rattanhollow.session import Sessions
from rattanhollow.statements import SessionState

# The balancer asks each host once a second and passes over it after two misses.
BALANCER_NOTICES_S = 2.2
LOOK_INTERVAL_S = 0.05
# What is left of the time at the end, for taking leave.
FAREWELL_S = 0.5


async def stop_serving(
    sessions: Sessions,
    serving: Serving,
    registration: Registration,
    within_s: float,
) -> None:
    """Close the sessions as they become idle; returns when none is left.

    New ones are still served: the balancer learns late that this host leaves.
    An open transaction has half of ``within_s`` to end. Work that other hosts
    have under way here is waited for, too.
    """
    began_s = trio.current_time()
    with trio.move_on_after(within_s - FAREWELL_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(registration.announce_leaving)
            await trio.sleep(BALANCER_NOTICES_S)
            while len(sessions) or not serving.idle:
                late = trio.current_time() - began_s > within_s / 2
                for session in sessions.all():
                    in_transaction = session.state is not SessionState.IDLE
                    if not in_transaction or (late and not session.busy):
                        session.close_when_idle()
                await trio.sleep(LOOK_INTERVAL_S)
            nursery.cancel_scope.cancel()
    with trio.move_on_after(FAREWELL_S):
        await registration.remove()
