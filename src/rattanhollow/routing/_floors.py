"""The log positions that reads must see, from proofs of the primaries."""

import math
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from rattanhollow.coordination import Position, ReadIndex
from rattanhollow.peer import FloorAnswer
from rattanhollow.serving import ProofAnswer
from rattanhollow.verdict import Refusal, not_run

# A proof this young is handed on to hosts nearby; a third of the shortest age
# that operators allow is left to them for the rest.
REUSED_FOR_S = 0.2

Prove = Callable[[str], Awaitable[ProofAnswer]]
AskNearby = Callable[[str], Awaitable[FloorAnswer | None]]


async def _nobody_nearby(service: str) -> FloorAnswer | None:
    return None


class FloorCache:
    """Remembers what each service's primary proved, and asks when that is too old.

    ``prove(service)`` asks the primary; ``ask_nearby(service)`` the host that
    asks it for this region, None where that is this host or gives no answer.
    ``clock`` counts the time that the host was suspended, too.
    """

    def __init__(
        self,
        prove: Prove,
        clock: Callable[[], float],
        ask_nearby: AskNearby = _nobody_nearby,
    ) -> None:
        self._prove = prove
        self._clock = clock
        self._ask_nearby = ask_nearby
        self._indexes: dict[str, ReadIndex] = {}
        self._renewing: dict[str, trio.Event] = {}

    def record_position(
        self, service: str, asked_at_s: float, position: Position
    ) -> None:
        """Note a position that was proven at or after ``asked_at_s``."""
        self._index(service).saw(asked_at_s, position)

    def cached_position(self, service: str, since_s: float) -> Position | None:
        """Return a position that covers all that was acknowledged by ``since_s``."""
        return self._index(service).reading_since(since_s)

    async def request_proof(self, service: str) -> Result[Position, Refusal]:
        """Ask the primary; the answer covers all that is acknowledged by now."""
        return await self._index(service).read()

    async def refresh_position(self, service: str) -> None:
        """Learn a young position, from a host nearby if that has one."""
        running = self._renewing.get(service)
        if running is not None:
            await running.wait()
            return
        done = self._renewing[service] = trio.Event()
        asked_at_s = self._clock()
        try:
            answer = await self._ask_nearby(service)
            if answer is None or answer.position is None:
                await self.request_proof(service)
            else:
                # The asked host counted the age from a time behind the asking.
                self.record_position(
                    service, asked_at_s - answer.age_ms / 1000, answer.position
                )
        finally:
            del self._renewing[service]
            done.set()

    async def respond_to_host(self, service: str) -> FloorAnswer:
        """Answer a host nearby."""
        now_s = self._clock()
        known = self.cached_position(service, now_s - REUSED_FOR_S)
        if known is not None:
            return FloorAnswer(known, int(REUSED_FOR_S * 1000))
        proven = await self.request_proof(service)
        age_ms = math.ceil((self._clock() - now_s) * 1000)
        return FloorAnswer(proven.ok(), age_ms)

    def _index(self, service: str) -> ReadIndex:
        index = self._indexes.get(service)
        if index is None:

            async def ask(_: object) -> Result[Position, Refusal]:
                answer = await self._prove(service)
                if answer.position is None:
                    return Err(not_run(f"no primary proved itself: {answer.detail}"))
                return Ok(answer.position)

            index = self._indexes[service] = ReadIndex(ask, self._clock)
        return index
