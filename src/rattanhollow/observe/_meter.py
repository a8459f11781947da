"""Counters, gauges and histograms in memory, served in the Prometheus format.

Counting is a dictionary update. The library that knows the format is loaded
when somebody first asks for it.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

# Upper bounds, from a statement beside its server to a caller's patience.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
# A metric's labels grow with the fleet; beyond this many sets they are summed.
LABEL_SETS_AT_MOST = 200
OTHERS = "others"


class MetricKind(NamedTuple):
    """What a metric counts; ``labels`` are the names of its labels."""

    name: str
    help: str
    labels: tuple[str, ...] = ()


class Meter:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: dict[MetricKind, Counter[tuple[str, ...]]] = {}
        self._timings: dict[MetricKind, dict[tuple[str, ...], _Histogram]] = {}
        self._gauges: dict[MetricKind, Callable[[], float]] = {}

    def count(self, kind: MetricKind, *labels: str, by: int = 1) -> None:
        """Add to a counter."""
        counts = self._counters.setdefault(kind, Counter())
        counts[_bounded(labels, counts)] += by

    def time(self, kind: MetricKind, value_ms: float, *labels: str) -> None:
        """Record a duration."""
        histograms = self._timings.setdefault(kind, {})
        labels = _bounded(labels, histograms)
        if labels not in histograms:
            histograms[labels] = _Histogram()
        histograms[labels].add(value_ms)

    def gauge(self, kind: MetricKind, read: Callable[[], float]) -> None:
        """Serve what ``read`` returns whenever somebody asks."""
        self._gauges[kind] = read

    def value(self, kind: MetricKind, *labels: str) -> int:
        """Return a counter."""
        return self._counters.get(kind, Counter())[labels]

    def exposition(self) -> bytes:
        """Return all metrics as text."""
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        def families() -> Iterable[Any]:
            for kind, counts in self._counters.items():
                family = CounterMetricFamily(kind.name, kind.help, labels=kind.labels)
                for labels, count in counts.items():
                    family.add_metric(labels, count)
                yield family
            for kind, histograms in self._timings.items():
                timing = HistogramMetricFamily(kind.name, kind.help, labels=kind.labels)
                for labels, histogram in histograms.items():
                    timing.add_metric(labels, histogram.buckets(), histogram.sum_ms)
                yield timing
            for kind, read in self._gauges.items():
                yield GaugeMetricFamily(kind.name, kind.help, value=read())

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_Families(families))
        return generate_latest(registry)


class _Families:
    """What the library collects from."""

    def __init__(self, collect: Callable[[], Iterable[Any]]) -> None:
        self.collect = collect


class _Histogram:
    """Durations by bucket."""

    def __init__(self) -> None:
        self.sum_ms = 0.0
        self._counts = [0] * (len(BUCKETS_MS) + 1)

    def add(self, value_ms: float) -> None:
        """Count one duration."""
        self.sum_ms += value_ms
        self._counts[bisect_left(BUCKETS_MS, value_ms)] += 1

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds and how many durations lie at or below them."""
        total = 0
        found = []
        for bound, count in zip([*BUCKETS_MS, "+Inf"], self._counts, strict=True):
            total += count
            found.append((str(bound), float(total)))
        return found


def _bounded(labels: tuple[str, ...], known: dict) -> tuple[str, ...]:
    """Return the labels, or one set for all that are too many."""
    if labels in known or len(known) < LABEL_SETS_AT_MOST:
        return labels
    return (OTHERS,) * len(labels)
