"""The log positions that reads must see, from proofs of the primaries."""

from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from rattanhollow.coordination import Position, ReadIndex
from rattanhollow.serving import ProofAnswer
from rattanhollow.verdict import Refusal, not_run

Prove = Callable[[str], Awaitable[ProofAnswer]]


class Floors:
    """Remembers what each service's primary proved, and asks when that is too old.

    ``prove(service)`` asks the primary; ``clock`` counts the time that the host
    was suspended, too.
    """

    def __init__(self, prove: Prove, clock: Callable[[], float]) -> None:
        self._prove = prove
        self._clock = clock
        self._indexes: dict[str, ReadIndex] = {}

    def saw(self, service: str, asked_at_s: float, position: Position) -> None:
        """Note a position that was proven at or after ``asked_at_s``."""
        self._index(service).saw(asked_at_s, position)

    def known(self, service: str, since_s: float) -> Position | None:
        """Return a position that covers all that was acknowledged by ``since_s``."""
        return self._index(service).reading_since(since_s)

    async def newest(self, service: str) -> Result[Position, Refusal]:
        """Ask the primary; the answer covers all that is acknowledged by now."""
        return await self._index(service).read()

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
