"""The connections of callers: how many there may be, and what is held for them."""

from collections.abc import Callable
from functools import partial

import trio

from rattanhollow.host._clock import now_s
from rattanhollow.limits import Account, ByteBudget, CallerLimits, ConnectionLimit
from rattanhollow.net import CALLER_KEEPALIVE, tune_socket
from rattanhollow.observe import Meter, kinds, log_event, log_failure
from rattanhollow.session import CallerConnection, ServeParts, serve_caller
from rattanhollow.statements import Reason, Refused

FULL = "this host has as many callers as it may"
FULL_RETRY_MS = 1_000
# Refusals that wait for the caller to read them hold a descriptor each.
TURNED_AWAY_AT_ONCE = 8


class Callers:
    """Serves callers within the limits; ``held`` accounts for what it holds.

    ``open_connection(stream, account)`` returns a connection that speaks the callers'
    protocol.
    """

    def __init__(
        self,
        limits: CallerLimits,
        open_connection: Callable[[trio.SocketStream, Account], CallerConnection],
        meter: Meter,
    ) -> None:
        self.connections = 0
        self.held = ByteBudget(
            limits.byte_limits, now_s, lambda: meter.count(kinds.CALLERS_PAUSED)
        )
        self._limit = ConnectionLimit(limits.callers, now_s)
        self._open_connection = open_connection
        self._meter = meter
        self._turning_away = 0

    async def serve(self, parts: ServeParts, stream: trio.SocketStream) -> None:
        """Serve one caller, or turn it away."""
        tune_socket(stream, CALLER_KEEPALIVE)
        account = self.held.open()
        connection = self._open_connection(stream, account)
        if not self._limit.enter(account.scope):
            self.held.remove(account)
            await self._turn_away(connection)
            return
        self.connections += 1
        opened = partial(self._limit.use, account.scope)
        try:
            with account.scope:
                await serve_caller(connection, parts, account, opened)
        except Exception as error:
            # One session must not end the process.
            log_failure("session.failed", error)
        finally:
            self.connections -= 1
            self._limit.leave(account.scope)
            self.held.remove(account)
            if account.scope.cancelled_caught:
                self._report_closed(account)

    async def _turn_away(self, connection: CallerConnection) -> None:
        """Refuse a caller for whom no descriptor is left."""
        reason = Reason.BUSY
        self._meter.count(kinds.SESSIONS_REFUSED, reason.name)
        log_event("session.refused", route="", reason=reason.name, detail=FULL)
        try:
            if self._turning_away < TURNED_AWAY_AT_ONCE:
                self._turning_away += 1
                try:
                    await connection.dismiss(Refused(reason, FULL, FULL_RETRY_MS))
                finally:
                    self._turning_away -= 1
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()

    def _report_closed(self, account: Account) -> None:
        limit = account.closed_for or "callers"
        self._meter.count(kinds.CALLERS_CLOSED, limit)
        log_event(
            "caller.closed",
            limit=limit,
            organisation=account.organisation,
            request=account.request,
            connection_held_bytes=account.held_at_close_bytes,
            held_bytes=self.held.held_bytes,
            connections=self.connections,
        )
