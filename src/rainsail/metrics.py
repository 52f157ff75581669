"""Metrics in the Prometheus text format: one registry per process, with its CPU and memory use."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
CONTENT_TYPE = CONTENT_TYPE_LATEST
PREFIX = "rainsail"


class Metrics:
    """Creates the metrics of one process and renders them.

    Names get the prefix ``rainsail_``; a second request for a name returns the same metric.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._made: dict[str, Counter | Gauge | Histogram] = {}

    def counter(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Counter:
        """Return a counter; the text format appends ``_total`` to its name."""
        return self._make(Counter, name, help_text, labels)

    def gauge(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Return a gauge."""
        return self._make(Gauge, name, help_text, labels)

    def histogram(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Histogram:
        """Return a histogram of durations in seconds, with the buckets ``LATENCY_BUCKETS_S``."""
        return self._make(Histogram, name, help_text, labels, buckets=LATENCY_BUCKETS_S)

    def exposition(self) -> bytes:
        """Return every metric in the text format; its content type is ``CONTENT_TYPE``."""
        return generate_latest(self._registry)

    def _make(self, kind, name, help_text, labels, **options):  # type: ignore[no-untyped-def]
        made = self._made.get(name)
        if made is None:
            full = f"{PREFIX}_{name}"
            made = kind(full, help_text, labels, registry=self._registry, **options)
            self._made[name] = made
        if not isinstance(made, kind):
            raise TypeError(f"metric {name} is a {type(made).__name__}")
        return made
