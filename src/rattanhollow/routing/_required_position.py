"""The log position that a read must see, and its refresh in time."""

from collections.abc import Callable

import trio

from rattanhollow.coordination import Position
from rattanhollow.routing._floors import FloorCache
from rattanhollow.routing._requests import (
    MIN_ATTEMPT_MS,
    RETRY_PAUSE_S,
    StatementRequest,
    remaining_ms,
)

# A cached position is refreshed once it is older than this fraction of the maximum
# age of reads; the remaining time lets reads continue while no primary responds.
REFRESH_AT_FRACTION = 0.4


class RequiredPositions:
    """Finds the position that each read must see; refreshes old ones ahead of time."""

    def __init__(
        self,
        floors: FloorCache,
        clock: Callable[[], float],
        nursery: trio.Nursery,
        primary_must_stop: Callable[[str], bool],
    ) -> None:
        self._primary_must_stop = primary_must_stop
        self._floors = floors
        self._clock = clock
        self._nursery = nursery
        self._refreshing: set[str] = set()

    async def find(self, statement: StatementRequest) -> Position | None:
        """Return the position that a read must see, or None if none is proven."""
        now_s = self._clock()
        age_s = statement.route.max_age_ms / 1000
        service = statement.route.service
        position = self._floors.cached_position(service, now_s - age_s)
        if position is None:
            position = await self._await_proof(statement, now_s - age_s)
            if position is None:
                return None
        elif (
            self._floors.cached_position(service, now_s - age_s * REFRESH_AT_FRACTION)
            is None
        ):
            self._start_refresh(service)
        return (
            max(position, statement.floor) if statement.floor is not None else position
        )

    async def _await_proof(
        self, statement: StatementRequest, since_s: float
    ) -> Position | None:
        service, floors = statement.route.service, self._floors
        await floors.refresh_position(service)
        position = floors.cached_position(service, since_s)
        while (
            position is None and remaining_ms(statement, self._clock) >= MIN_ATTEMPT_MS
        ):
            response = await floors.request_proof(service)
            if response.is_ok():
                return response.unwrap()
            if self._primary_must_stop(service):
                return None
            await trio.sleep(RETRY_PAUSE_S)
            position = floors.cached_position(service, since_s)
        return position

    def _start_refresh(self, service: str) -> None:
        if service in self._refreshing:
            return
        self._refreshing.add(service)
        self._nursery.start_soon(self._refresh_position, service)

    async def _refresh_position(self, service: str) -> None:
        try:
            await self._floors.refresh_position(service)
        finally:
            self._refreshing.discard(service)
