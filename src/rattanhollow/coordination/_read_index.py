"""The read index: the log end of a primary that has proven its leadership.

Concurrent calls share requests: only one is in flight, and its response serves
all callers that arrived before it was sent. The response confirms writes too,
as it proves that enough members hold the log up to the returned position.
"""

import time
from bisect import bisect_left
from collections.abc import Awaitable, Callable
from operator import attrgetter
from typing import Any, NamedTuple

import trio
from result import Result

from rattanhollow.coordination._position import Position
from rattanhollow.verdict import Refusal

READINGS_KEPT = 2_000
MIN_READING_INTERVAL_S = 0.05

QueryLogEnd = Callable[[Any], Awaitable[Result[Position, Refusal]]]


class IndexReading(NamedTuple):
    """A log end that was proven at or after ``requested_at_s``, monotonic."""

    requested_at_s: float
    position: Position


class _Request:
    """A request and the callers that wait for its response."""

    def __init__(self) -> None:
        self.finished = trio.Event()
        self.outcome: Result[Position, Refusal] | None = None


class ReadIndex:
    """Queries the primary of one group, with one request in flight at a time.

    ``ask(connection)`` sends the request over ``connection``, or over one of its
    own choice if that is ``None``. ``proven_at_s`` is the monotonic time at which
    the last response that proved a primary was received.
    """

    def __init__(
        self, ask: QueryLogEnd, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._ask = ask
        self._clock = clock
        self._in_flight: _Request | None = None
        self._queued: _Request | None = None
        self._readings: list[IndexReading] = []
        self.rounds = 0
        self.proven_at_s = float("-inf")

    async def read(self, connection: Any = None) -> Result[Position, Refusal]:
        """Return a log end that was proven after this call began.

        Returns an ``Err`` if the primary can't prove that it leads.
        """
        while True:
            if self._in_flight is None:
                return await self._send(connection, self._queued)
            queued = self._queued = self._queued or _Request()
            in_flight = self._in_flight
            await in_flight.finished.wait()
            if self._queued is queued and self._in_flight is None:
                return await self._send(connection, queued)
            await queued.finished.wait()
            if queued.outcome is not None:
                return queued.outcome
            # The caller that sent the request was cancelled: try again.

    async def _send(
        self, connection: Any, queued: _Request | None = None
    ) -> Result[Position, Refusal]:
        current = queued or _Request()
        self._in_flight = current
        self._queued = None
        requested_at_s = self._clock()
        self.rounds += 1
        try:
            current.outcome = await self._ask(connection)
            if current.outcome.is_ok():
                self.proven_at_s = self._clock()
                self._add_reading(
                    IndexReading(requested_at_s, current.outcome.unwrap())
                )
        finally:
            self._in_flight = None
            current.finished.set()
        return current.outcome

    def saw(self, asked_at_s: float, position: Position) -> None:
        """Record a log end that was proven by other means than ``read``."""
        self._add_reading(IndexReading(asked_at_s, position))

    def _add_reading(self, reading: IndexReading) -> None:
        last = self._readings[-1] if self._readings else None
        if (
            last
            and reading.requested_at_s - last.requested_at_s < MIN_READING_INTERVAL_S
        ):
            return
        self._readings.append(reading)
        if len(self._readings) > 2 * READINGS_KEPT:
            del self._readings[:READINGS_KEPT]

    def reading_since(self, since_s: float) -> Position | None:
        """Return a log end that was proven at or after ``since_s``, monotonic.

        Of all such readings the oldest is returned: a replica that has applied it is
        at least as fresh as ``since_s``, and more replicas have than any later one.
        """
        first = bisect_left(self._readings, since_s, key=attrgetter("requested_at_s"))
        return self._readings[first].position if first < len(self._readings) else None
