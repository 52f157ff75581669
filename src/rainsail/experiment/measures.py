"""What is measured of a run, and percentiles."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(slots=True)
class OnlineRecord:
    """One online request as its caller saw it; times in seconds, None: never came."""

    kind: str
    zone: int
    sent_s: float
    first_token_s: float | None = None
    ended_s: float | None = None
    tokens: int = 0
    refused: str = ""


@dataclass(frozen=True, slots=True)
class CommittedBatch:
    """Results that one ledger command took."""

    at_s: float
    items: int
    tokens: int


@dataclass(frozen=True, slots=True)
class LoadSample:
    """The language model's engines at one moment."""

    at_s: float
    online_running: int
    batch_running: int
    backlog: int


@dataclass(slots=True)
class RunRecord:
    """Everything recorded of one policy's run."""

    policy: str
    window_start_s: float
    window_end_s: float
    online: list[OnlineRecord] = field(default_factory=list)
    commits: list[CommittedBatch] = field(default_factory=list)
    samples: list[LoadSample] = field(default_factory=list)
    step_aside_s: list[float] = field(default_factory=list)
    preempted: int = 0
    generated_tokens: int = 0
    prefill_tokens: int = 0

    def in_window(self, at_s: float) -> bool:
        """Tell whether a moment is measured."""
        return self.window_start_s <= at_s < self.window_end_s


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile (``share`` from 0 to 1); NaN of nothing."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1]
