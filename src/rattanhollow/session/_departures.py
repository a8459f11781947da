"""Noticing that a caller leaves while its statement waits."""

from collections.abc import Awaitable, Callable

import trio

from rattanhollow.observe import log_event, log_failure
from rattanhollow.rates import Admission
from rattanhollow.serving import CURRENT_CALLER, CallerPresence
from rattanhollow.session._end import CallerConnection
from rattanhollow.statements import Answer, Request

# Most statements are answered sooner, and need no watch of their connection: a task of
# its own for each statement cost 87 us.
WATCH_INTERVAL_S = 0.02


class _Handled:
    """A request that is handled, and the watch of its connection once there is one."""

    def __init__(self, connection: CallerConnection, request: Request) -> None:
        self.connection = connection
        self.request = request
        self.caller = CallerPresence()
        self.watching: trio.CancelScope | None = None
        self.ended = trio.Event()


class DepartureWatch:
    """Watches the connections of requests that are handled for longer."""

    def __init__(self) -> None:
        self._new: set[_Handled] = set()
        self._added = trio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        older: set[_Handled] = set()
        async with trio.open_nursery() as nursery:
            while True:
                if not self._new:
                    await self._added.wait()
                    self._added = trio.Event()
                older, self._new = self._new, set()
                await trio.sleep(WATCH_INTERVAL_S)
                for handled in older:
                    if not handled.ended.is_set():
                        handled.watching = trio.CancelScope()
                        nursery.start_soon(_watch, handled, handled.watching)

    async def handle(
        self,
        connection: CallerConnection,
        handle: Callable[[Request], Awaitable[Answer]],
        request: Request,
    ) -> Answer:
        """Handle a request, and withdraw what waits for it if its caller leaves.

        The answer is still the true one: what had been sent to a server is awaited.
        """
        handled = _Handled(connection, request)
        token = CURRENT_CALLER.set(handled.caller)
        self._new.add(handled)
        self._added.set()
        try:
            return await handle(request)
        finally:
            CURRENT_CALLER.reset(token)
            self._new.discard(handled)
            if handled.watching is None:
                handled.ended.set()
            else:
                # Nobody else may receive from the connection at the same time.
                handled.watching.cancel()
                with trio.CancelScope(shield=True):
                    await handled.ended.wait()


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


async def _watch(handled: _Handled, watching: trio.CancelScope) -> None:
    try:
        with watching:
            await handled.connection.until_left()
            log_event("caller.left", request=handled.request.id)
            handled.caller.leave()
    except Exception as error:
        # One connection must not end the process.
        log_failure("caller.watch_failed", error)
    finally:
        handled.ended.set()
