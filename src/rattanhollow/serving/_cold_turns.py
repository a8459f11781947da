"""Turns of the work for one backend server while it is cold."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from rattanhollow.serving._backend_protocol import BackendServer
from rattanhollow.serving._cold_limit import ColdLimit
from rattanhollow.serving._connector import ServingParts
from rattanhollow.serving._stopped import WorkStopped
from rattanhollow.serving._work import Blocker, Scope, Work, WorkResult, not_run


class ColdTurns:
    """Lets work wait for its turn, or turns it away, first come, first served."""

    def __init__(self, server: BackendServer, parts: ServingParts) -> None:
        self._parts = parts
        self._limit = ColdLimit(parts.clock, parts.unix_clock)
        self._turn = trio.Lock()
        self.update(server)

    def update(self, server: BackendServer) -> None:
        """Use a newer description of the server, and the bound in force."""
        self._server = server
        bound = self._parts.cold_bound(server.service)
        is_first = bound.per_s > 0 and self._parts.is_first_host(server)
        self._limit.update(server, bound, is_first)

    def turn_away(self, work: Work, unsent: int) -> WorkResult | None:
        """Return the result of new work whose turn comes too late.

        ``unsent`` units of work are here that have not been sent yet.
        """
        if work.scope is Scope.WITHIN:
            return None
        wait_s = self._limit.wait_s(unsent)
        if wait_s and (work.movable or wait_s >= work.budget_ms / 1000):
            return self._refused(wait_s)
        return None

    @asynccontextmanager
    async def take(
        self,
        deadline_s: float,
        can_move: bool,
        release: Callable[[], None],
        commands: int = 1,
    ) -> AsyncIterator[None]:
        """Wait until the server may get commands.

        They are counted at the end of the block, right before they are sent: what is
        counted before another wait could be sent in a bunch. ``can_move`` is whether
        another server can run the work, and ``release()`` gives it up here.

        Raises:
            WorkStopped: not before the deadline, or another server can run the work.

        """
        if not self._limit.applies:
            yield
            return
        queue = self._turn.statistics()
        wait_s = self._limit.wait_s(queue.tasks_waiting + queue.locked)
        if wait_s and can_move or wait_s >= self._remaining_s(deadline_s):
            release()
            raise WorkStopped(self._refused(wait_s))
        async with self._turn:
            while wait_s := self._limit.wait_s():
                if wait_s >= self._remaining_s(deadline_s):
                    release()
                    raise WorkStopped(self._refused(wait_s))
                await trio.sleep(wait_s)
            yield
            self._limit.record_sent(commands)

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._parts.clock())

    def _refused(self, wait_s: float) -> WorkResult:
        detail = f"{self._server.id} is cold, and gets no more work for now"
        return not_run(Blocker.OVERLOADED, detail, int(wait_s * 1000) + 1)
