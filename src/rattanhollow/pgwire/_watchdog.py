"""Deadlines for many connections, kept by one task.

A cancel scope for each wait costs more than the wait's own work; setting a
number does not. An expired wire is closed, and whoever waits for it gets
`ConnectionLost`.
"""

import time

import trio

from rattanhollow.pgwire._wire import Wire

INTERVAL_S = 0.05


class Watchdog:
    """Closes the wires whose ``expires_at_s`` has passed."""

    def __init__(self) -> None:
        self._wires: set[Wire] = set()

    def add(self, wire: Wire) -> None:
        """Watch a wire until it is closed."""
        self._wires.add(wire)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.check(time.monotonic())

    def check(self, now_s: float) -> None:
        """Close what has expired at ``now_s``, monotonic; forget what is closed."""
        for wire in [w for w in self._wires if w.closed or w.expires_at_s <= now_s]:
            self._wires.discard(wire)
            if wire.expires_at_s <= now_s:
                wire.abort("silent for too long")
