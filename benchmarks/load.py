"""Load for the benchmarks: a fixed count of statements on some connections."""

import time
from typing import NamedTuple

import trio

from rattanhollow_standins.client import Client, Place, connect


class Timing(NamedTuple):
    """How long each statement took, and the whole, in milliseconds."""

    each_ms: list[float]
    whole_ms: float

    def quantile_ms(self, part: float) -> float:
        """Return a quantile of the statements."""
        ordered = sorted(self.each_ms)
        return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


async def open_all(place: Place, count: int, **parameters: str) -> list[Client]:
    """Open ``count`` connections."""
    return [await connect(place, **parameters) for _ in range(count)]


async def drive(clients: list[Client], sql: str, statements: int) -> Timing:
    """Run ``statements`` in all, each client one after the other."""
    each_ms: list[float] = []
    left = statements

    async def one(client: Client) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            began_s = time.perf_counter()
            result = await client.run(sql)
            each_ms.append((time.perf_counter() - began_s) * 1000)
            if result.error is not None:
                raise RuntimeError(result.error.message)

    began_s = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(one, client)
    return Timing(each_ms, (time.perf_counter() - began_s) * 1000)
