"""Metrics: counted in memory, sent to statsd once a second."""

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import statsd
import trio

SEND_INTERVAL_S = 1.0
TIMINGS_KEPT = 200


class Metrics(NamedTuple):
    """Counting functions, and the task that sends what was counted.

    ``add(name, by)`` adds, ``timing(name, value_ms)`` records a duration,
    ``counts()`` returns all counts since the start, ``run()`` sends until
    cancelled.
    """

    add: Callable[[str, int], None]
    timing: Callable[[str, float], None]
    counts: Callable[[], dict[str, int]]
    run: Callable[[], Awaitable[None]]


def no_metrics() -> Metrics:
    """Return metrics that are counted but not sent."""
    return _metrics(None)


def statsd_metrics(address: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to statsd at ``address``, an IP number."""
    return _metrics(statsd.StatsClient(address, port, prefix=prefix))


def _metrics(client: statsd.StatsClient | None) -> Metrics:
    totals: Counter[str] = Counter()
    unsent: Counter[str] = Counter()
    timings_ms: dict[str, list[float]] = defaultdict(list)

    def add(name: str, by: int = 1) -> None:
        totals[name] += by
        unsent[name] += by

    def timing(name: str, value_ms: float) -> None:
        if len(timings_ms[name]) < TIMINGS_KEPT:
            timings_ms[name].append(value_ms)

    def send() -> None:
        if client is not None and (unsent or timings_ms):
            with client.pipeline() as pipe:
                for name, by in unsent.items():
                    pipe.incr(name, by)
                for name, values_ms in timings_ms.items():
                    for value_ms in values_ms:
                        pipe.timing(name, value_ms)
        unsent.clear()
        timings_ms.clear()

    async def run() -> None:
        while True:
            await trio.sleep(SEND_INTERVAL_S)
            send()

    return Metrics(add, timing, lambda: dict(totals), run)
