"""The read index: how far the log of a proven primary reaches.

Any number of callers ask at once; one question is in flight, and it answers
all who asked before it was sent. The same answer confirms writes: it proves
that enough members hold the log up to there.
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
READING_SPACING_S = 0.05

Ask = Callable[[Any], Awaitable[Result[Position, Refusal]]]


class IndexReading(NamedTuple):
    """A log end that was proven at or after ``asked_at_s``, monotonic."""

    asked_at_s: float
    position: Position


class _Round:
    """Callers that wait for the same question."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: Result[Position, Refusal] | None = None


class ReadIndex:
    """Asks the primary of one group; one question in flight at a time.

    ``ask(connection)`` puts the question over ``connection``, or over one of
    its own choice where it is ``None``. ``proven_at_s`` is when the last answer
    came that proved a primary, monotonic.
    """

    def __init__(self, ask: Ask, clock: Callable[[], float] = time.monotonic) -> None:
        self._ask = ask
        self._clock = clock
        self._running: _Round | None = None
        self._next: _Round | None = None
        self._readings: list[IndexReading] = []
        self.rounds = 0
        self.proven_at_s = float("-inf")

    async def read(self, connection: Any = None) -> Result[Position, Refusal]:
        """Return a log end that was proven after this call began.

        Where the primary can't prove that it leads, the answer is an ``Err``.
        """
        while True:
            if self._running is None:
                return await self._lead(connection, self._next)
            waiting = self._next = self._next or _Round()
            ended = self._running
            await ended.done.wait()
            if self._next is waiting and self._running is None:
                return await self._lead(connection, waiting)
            await waiting.done.wait()
            if waiting.answer is not None:
                return waiting.answer
            # The leader was cancelled: ask again.

    async def _lead(
        self, connection: Any, joined: _Round | None = None
    ) -> Result[Position, Refusal]:
        current = joined or _Round()
        self._running = current
        self._next = None
        asked_at_s = self._clock()
        self.rounds += 1
        try:
            current.answer = await self._ask(connection)
            if current.answer.is_ok():
                self.proven_at_s = self._clock()
                self._remember(IndexReading(asked_at_s, current.answer.unwrap()))
        finally:
            self._running = None
            current.done.set()
        return current.answer

    def saw(self, asked_at_s: float, position: Position) -> None:
        """Note a log end that was proven beside this index's own questions."""
        self._remember(IndexReading(asked_at_s, position))

    def _remember(self, reading: IndexReading) -> None:
        last = self._readings[-1] if self._readings else None
        if last and reading.asked_at_s - last.asked_at_s < READING_SPACING_S:
            return
        self._readings.append(reading)
        if len(self._readings) > 2 * READINGS_KEPT:
            del self._readings[:READINGS_KEPT]

    def reading_since(self, since_s: float) -> Position | None:
        """Return the log end at a time not before ``since_s``, monotonic.

        The oldest such reading is returned: a replica that has it is no older
        than ``since_s``, and the most replicas do.
        """
        at = bisect_left(self._readings, since_s, key=attrgetter("asked_at_s"))
        return self._readings[at].position if at < len(self._readings) else None
