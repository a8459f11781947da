"""Hedged reads: a second attempt for a read whose response is late."""

from collections.abc import Awaitable, Callable

import trio

from rattanhollow.coordination import Position
from rattanhollow.flow import TokenBucket
from rattanhollow.routing._agents import DispatchResult
from rattanhollow.routing._requests import (
    MIN_ATTEMPT_MS,
    StatementRequest,
    remaining_ms,
)
from rattanhollow.serving import BackendServer, Scope, WorkOutcome

# A read without a response after this fraction of the latency that its caller expects
# is hedged: also sent to another server. At most this fraction of a host's reads is
# hedged, after a burst of a few, so that hedging does not aggravate an overload.
HEDGE_AFTER_FRACTION = 0.35
HEDGED_READ_RATIO = 0.1
HEDGED_READ_BURST = 4.0

Attempt = Callable[
    [StatementRequest, BackendServer, Scope, Position | None, int, bool],
    Awaitable[DispatchResult],
]


class _PendingRead:
    """A read in progress."""

    def __init__(self) -> None:
        self.finished = trio.Event()
        self.dispatched: DispatchResult | None = None


async def _first_success(
    first: _PendingRead,
    server: BackendServer,
    second: _PendingRead,
    other: BackendServer,
) -> tuple[DispatchResult, BackendServer]:
    """Return the first successful result, or the last failed one, and its server."""
    pending = [(first, server), (second, other)]
    results: list[tuple[DispatchResult, BackendServer]] = []
    ready = trio.Event()

    async def wait(read: _PendingRead, at: BackendServer) -> None:
        await read.finished.wait()
        assert read.dispatched is not None
        results.append((read.dispatched, at))
        if read.dispatched.result.outcome is WorkOutcome.DONE or len(results) == len(
            pending
        ):
            ready.set()

    async with trio.open_nursery() as nursery:
        for read, at in pending:
            nursery.start_soon(wait, read, at)
        await ready.wait()
        nursery.cancel_scope.cancel()
    # Both may have finished by now; a successful result takes precedence.
    successful = [
        pair for pair in results if pair[0].result.outcome is WorkOutcome.DONE
    ]
    return successful[0] if successful else results[-1]


class HedgedReads:
    """Runs reads through ``attempt``, and hedges a bounded part of them."""

    def __init__(
        self, attempt: Attempt, clock: Callable[[], float], nursery: trio.Nursery
    ) -> None:
        self._attempt = attempt
        self._clock = clock
        self._nursery = nursery
        self._bucket = TokenBucket(clock)
        self._bucket.resize(0.0, HEDGED_READ_BURST)
        self._bucket.set_initial_tokens(HEDGED_READ_BURST)

    async def read(
        self,
        statement: StatementRequest,
        server: BackendServer,
        other: BackendServer | None,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
    ) -> tuple[DispatchResult, BackendServer]:
        """Read from a server, and from ``other`` too if the first is slow to respond.

        Returns the result to use and the server that it came from.
        """
        movable = other is not None and other.id != server.id
        if other is None or scope is Scope.BEGIN_READ_ONLY:
            dispatched = await self._attempt(
                statement, server, scope, floor, budget_ms, movable
            )
            return dispatched, server

        def start(at: BackendServer, within_ms: int) -> _PendingRead:
            return self._start_read(statement, at, scope, floor, within_ms, movable)

        self._bucket.add(HEDGED_READ_RATIO)
        first = start(server, budget_ms)
        with trio.move_on_after(
            statement.route.target_ms / 1000 * HEDGE_AFTER_FRACTION
        ):
            await first.finished.wait()
        left_ms = remaining_ms(statement, self._clock)
        late = first.dispatched is None and left_ms >= MIN_ATTEMPT_MS
        if not late or not self._bucket.take():
            await first.finished.wait()
            assert first.dispatched is not None
            return first.dispatched, server
        second = start(other, left_ms)
        return await _first_success(first, server, second, other)

    def _start_read(
        self,
        statement: StatementRequest,
        server: BackendServer,
        scope: Scope,
        floor: Position | None,
        budget_ms: int,
        movable: bool,
    ) -> _PendingRead:
        """Start a read that continues even if no caller waits for it any longer.

        The slower of two reads is not cancelled, as that would cost a connection.
        """
        read = _PendingRead()

        async def run() -> None:
            read.dispatched = await self._attempt(
                statement, server, scope, floor, budget_ms, movable
            )
            read.finished.set()

        self._nursery.start_soon(run)
        return read
