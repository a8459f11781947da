"""Leaving without cutting a request."""

from collections.abc import Callable
from typing import NamedTuple

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


class Stopping(NamedTuple):
    """What leaving has to do with.

    ``connections()`` counts callers' connections, those that just open included;
    ``stop_accepting()`` takes no more of them.
    """

    sessions: Sessions
    serving: Serving
    registration: Registration
    connections: Callable[[], int]
    stop_accepting: Callable[[], None]


async def stop_serving(parts: Stopping, within_s: float) -> None:
    """Close the sessions as they become idle; returns when nothing is left to do.

    New ones are served until the last has ended, or half of ``within_s`` is over:
    the balancer learns late, or not at all, that this host leaves, and what came
    by then needs time to end. An open transaction has half of ``within_s``, too;
    behind that no statement of it is begun. Work that other hosts have under way
    here is waited for. What still runs shortly before the end is broken off, and
    its callers are told so.
    """
    began_s = trio.current_time()
    late_at_s = began_s + within_s / 2
    with trio.move_on_after(within_s - FAREWELL_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(parts.registration.announce_leaving)
            nursery.start_soon(_end_transactions, parts, late_at_s)
            await trio.sleep(BALANCER_NOTICES_S)
            await _until(lambda: _may_close(parts, late_at_s), parts)
            parts.stop_accepting()
            await _until(lambda: _done(parts), parts)
            nursery.cancel_scope.cancel()
    parts.stop_accepting()
    for session in parts.sessions.all():
        session.break_off()
    with trio.move_on_after(FAREWELL_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(parts.registration.remove)
            while parts.connections():
                await trio.sleep(LOOK_INTERVAL_S)


def _may_close(parts: Stopping, late_at_s: float) -> bool:
    return parts.connections() == 0 or trio.current_time() > late_at_s


def _done(parts: Stopping) -> bool:
    return parts.connections() == 0 and parts.serving.idle


async def _until(reached: Callable[[], bool], parts: Stopping) -> None:
    """Close sessions outside transactions until ``reached()``."""
    while not reached():
        for session in parts.sessions.all():
            if session.state is SessionState.IDLE:
                session.close_when_idle()
        await trio.sleep(LOOK_INTERVAL_S)


async def _end_transactions(parts: Stopping, at_s: float) -> None:
    """From ``at_s`` on, end each session behind its statement, until cancelled.

    A session that is at work when it is looked at has to be marked as well: it would
    take its next statement, which might not end in time.
    """
    await trio.sleep_until(at_s)
    while True:
        for session in parts.sessions.all():
            session.close_after_statement()
        await trio.sleep(LOOK_INTERVAL_S)
