"""Detects when a backend server stops responding and when it responds again."""

from collections.abc import Callable

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving._connector import NO_ORGANISATION, Connector
from rattanhollow.serving._stopped import WorkStopped
from rattanhollow.serving._work import Blocker

# A server that sends nothing for this long while a reply is awaited is probed.
SILENT_AFTER_S = 0.4
SILENCE_CHECK_INTERVAL_S = 0.1
UNREACHABLE_PROBE_INTERVAL_S = 0.25
# An open connection may be the only part that is silent, so a new one is tried as well.
NEW_PROBE_DELAY_S = 0.1
# Shorter than for work: nothing is known to keep the server's slots busy, and until the
# probe ends all work for the server waits.
PROBE_OPEN_TIMEOUT_S = 0.5


class Reachability:
    """Whether a backend server responds.

    ``on_unreachable()`` is called when it stopped responding.
    """

    def __init__(
        self, clock: Callable[[], float], on_unreachable: Callable[[], None]
    ) -> None:
        self.reachable = True
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._since_s = 0.0
        self._watch_needed = trio.Event()
        self._watch_scope = trio.CancelScope()

    @property
    def unreachable_s(self) -> float:
        """Seconds since the server became unreachable, 0 while it is reachable."""
        return 0.0 if self.reachable else self._clock() - self._since_s

    def note_request(self) -> None:
        """Watch the server, as a reply of it is awaited."""
        self._watch_needed.set()

    def note_failed_opening(self, connector: Connector, started_at_s: float) -> None:
        """Stop using a server to which no connection exists or can be opened.

        Otherwise each opening would occupy a slot until its timeout, and all other
        work would wait for these slots until its deadline.
        """
        counts = connector.counts
        connected = counts.idle + counts.lent > 0
        if not connected and connector.last_reply_at_s <= started_at_s:
            self._mark_unreachable()

    async def watch(self, connector: Connector) -> None:
        """Check for silence while replies are awaited, until stopped."""
        with self._watch_scope:
            while True:
                if self.reachable and not connector.pending:
                    self._watch_needed = trio.Event()
                    await self._watch_needed.wait()
                await trio.sleep(
                    SILENCE_CHECK_INTERVAL_S
                    if self.reachable
                    else UNREACHABLE_PROBE_INTERVAL_S
                )
                await self._check(connector)

    def stop(self) -> None:
        """End the watch."""
        self._watch_scope.cancel()

    async def probe(self, connector: Connector) -> bool:
        """Whether the server responds, on an open connection or on a new one."""
        connection = connector.lend_most_recent()
        if connection is None:
            return await self._probe_new_connection(connector)
        responds = False

        async def probe_open() -> None:
            nonlocal responds
            if await connector.is_responsive(connection):
                connector.give_back(connection)
                responds = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_open)
            await trio.sleep(NEW_PROBE_DELAY_S)
            if await self._probe_new_connection(connector):
                responds = True
                nursery.cancel_scope.cancel()
        return responds

    async def _probe_new_connection(self, connector: Connector) -> bool:
        try:
            connection = await connector.open(NO_ORGANISATION, PROBE_OPEN_TIMEOUT_S)
        except WorkStopped as stopped:
            return stopped.result.blocker is Blocker.OVERLOADED
        connector.give_back(connection)
        return True

    async def _check(self, connector: Connector) -> None:
        """Probe a silent or unreachable server."""
        if self.reachable and connector.silent_s < SILENT_AFTER_S:
            return
        responds = await self.probe(connector)
        if responds and not self.reachable:
            self.reachable = True
            log_event("server.back", server=connector.server.id)
        elif not responds:
            self._mark_unreachable()

    def _mark_unreachable(self) -> None:
        """Stop using a server that does not respond, until a probe succeeds."""
        if not self.reachable:
            return
        self.reachable = False
        self._watch_needed.set()
        self._since_s = self._clock()
        self._on_unreachable()
