"""Percentiles and slopes of what a bench has measured."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

MILLISECONDS = 1e3
MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of one operation in milliseconds."""

    samples: int
    p50_ms: float
    p99_ms: float
    max_ms: float


def latency_of(samples_s: Sequence[float]) -> Latency:
    """Return the percentiles of samples in seconds; zeros without samples."""
    if not samples_s:
        return Latency(0, 0.0, 0.0, 0.0)
    return Latency(
        len(samples_s),
        round(percentile(samples_s, 50) * MILLISECONDS, 4),
        round(percentile(samples_s, 99) * MILLISECONDS, 4),
        round(max(samples_s) * MILLISECONDS, 4),
    )


def percentile(samples: Sequence[float], percent: float) -> float:
    """Return a percentile; for p99 of few samples that is close to the highest."""
    return float(numpy.percentile(samples, percent))


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x."""
    return float(numpy.polyfit([x for x, _ in points], [y for _, y in points], 1)[0])
