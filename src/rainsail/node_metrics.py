"""Counters, gauges and histograms of a node, rendered in the Prometheus text format.

A node counts in plain dictionaries and imports ``prometheus_client`` only when its metrics are
first scraped, so that a node that is never scraped uses less memory.
"""

from bisect import bisect_left
from collections.abc import Callable

Labels = tuple[tuple[str, str], ...]
"""Names and values of a metric's labels, sorted by name."""

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)
PREFIX = "rainsail_"


class Histogram:
    """Counts of values by bucket; the last bucket has no upper bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Add a value."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, value)] += 1
        self.total += value


class NodeMetrics:
    """The metrics of one process, by name and labels."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, float]] = {}
        self._histograms: dict[str, dict[Labels, Histogram]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        values = self._counters.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        values[key] = values.get(key, 0.0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histograms = self._histograms.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key not in histograms:
            histograms[key] = Histogram()
        histograms[key].observe(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each scrape."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return every metric in the text format."""
        from prometheus_client import CollectorRegistry, ProcessCollector
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )
        from prometheus_client.exposition import generate_latest

        families: list[object] = []
        for name, values in self._counters.items():
            names = [label for label, _ in next(iter(values))]
            counter = CounterMetricFamily(PREFIX + name, name, labels=names)
            for labels, amount in values.items():
                counter.add_metric([value for _, value in labels], amount)
            families.append(counter)
        for name, histograms in self._histograms.items():
            names = [label for label, _ in next(iter(histograms))]
            family = HistogramMetricFamily(PREFIX + name, name, labels=names)
            for labels, histogram in histograms.items():
                buckets = _cumulative(histogram)
                family.add_metric([value for _, value in labels], buckets, histogram.total)
            families.append(family)
        for name, read in self._gauges.items():
            families.append(GaugeMetricFamily(PREFIX + name, name, value=read()))
        registry = CollectorRegistry()
        ProcessCollector(registry=registry)
        registry.register(_Families(families))  # type: ignore[arg-type]
        return generate_latest(registry)


class _Families:
    """A Prometheus collector over metric families that are already built."""

    def __init__(self, families: list[object]) -> None:
        self._families = families

    def collect(self) -> list[object]:
        """Return the families."""
        return self._families


def _cumulative(histogram: Histogram) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with the cumulative count up to it."""
    ends = [str(end) for end in LATENCY_BUCKETS_S] + ["+Inf"]
    buckets: list[tuple[str, float]] = []
    so_far = 0
    for end, count in zip(ends, histogram.counts, strict=True):
        so_far += count
        buckets.append((end, float(so_far)))
    return buckets
