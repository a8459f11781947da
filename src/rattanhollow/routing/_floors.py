"""The log positions that reads must see, as proven by the primaries."""

import math
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from rattanhollow.coordination import Position, ReadIndex
from rattanhollow.peer import FloorAnswer
from rattanhollow.serving import ProofAnswer
from rattanhollow.verdict import Refusal, not_run

# Proofs up to this age are reused in responses to nearby hosts. This leaves those
# hosts a third of the shortest maximum age that operators allow for the remainder.
PROOF_REUSE_S = 0.2

ProvePrimary = Callable[[str], Awaitable[ProofAnswer]]
QueryNearbyHost = Callable[[str], Awaitable[FloorAnswer | None]]


async def _no_nearby_host(service: str) -> FloorAnswer | None:
    return None


class FloorCache:
    """Caches the proven position of each service's primary and refreshes old ones.

    ``prove(service)`` requests a proof from the primary.
    ``query_nearby_host(service)`` queries the host that requests proofs on behalf
    of this region; it returns None if that is this host or if there is no
    response. ``clock`` must include time during which the host was suspended.
    """

    def __init__(
        self,
        prove: ProvePrimary,
        clock: Callable[[], float],
        query_nearby_host: QueryNearbyHost = _no_nearby_host,
    ) -> None:
        self._prove = prove
        self._clock = clock
        self._query_nearby_host = query_nearby_host
        self._indexes: dict[str, ReadIndex] = {}
        self._refreshing: dict[str, trio.Event] = {}

    def record_position(
        self, service: str, requested_at_s: float, position: Position
    ) -> None:
        """Record a position that was proven at or after ``requested_at_s``."""
        self._index(service).saw(requested_at_s, position)

    def cached_position(self, service: str, since_s: float) -> Position | None:
        """Return a position covering every commit acknowledged by ``since_s``."""
        return self._index(service).reading_since(since_s)

    async def request_proof(self, service: str) -> Result[Position, Refusal]:
        """Query the primary for a position covering every commit acknowledged so far.

        Concurrent callers share a request.
        """
        return await self._index(service).read()

    async def refresh_position(self, service: str) -> None:
        """Obtain a recent position, from a nearby host if it has one.

        Concurrent calls for one service wait for the refresh in progress.
        """
        running = self._refreshing.get(service)
        if running is not None:
            await running.wait()
            return
        finished = self._refreshing[service] = trio.Event()
        requested_at_s = self._clock()
        try:
            response = await self._query_nearby_host(service)
            if response is None or response.position is None:
                await self.request_proof(service)
            else:
                # The other host measured the age at a time after this host sent
                # the request, so the position is at least this recent.
                self.record_position(
                    service, requested_at_s - response.age_ms / 1000, response.position
                )
        finally:
            del self._refreshing[service]
            finished.set()

    async def respond_to_host(self, service: str) -> FloorAnswer:
        """Return the response to a nearby host's floor request."""
        now_s = self._clock()
        cached = self.cached_position(service, now_s - PROOF_REUSE_S)
        if cached is not None:
            return FloorAnswer(cached, int(PROOF_REUSE_S * 1000))
        proven = await self.request_proof(service)
        age_ms = math.ceil((self._clock() - now_s) * 1000)
        return FloorAnswer(proven.ok(), age_ms)

    def _index(self, service: str) -> ReadIndex:
        index = self._indexes.get(service)
        if index is None:

            async def query_primary(_: object) -> Result[Position, Refusal]:
                response = await self._prove(service)
                if response.position is None:
                    return Err(
                        not_run(f"no primary proved its leadership: {response.detail}")
                    )
                return Ok(response.position)

            index = self._indexes[service] = ReadIndex(query_primary, self._clock)
        return index
