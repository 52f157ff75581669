"""Slots used by items and online requests over time, with events that may explain changes."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import floor

from rainsail.account.item_times import ItemTimes
from rainsail.account.log_lines import LogLine
from rainsail.account.request_times import RequestTimes

MOMENTS = ("ledger_leadership", "table_applied", "runner_silent", "started", "stopping")


@dataclass(frozen=True, slots=True)
class Moment:
    """A change of the leader, the routing table, or the set of nodes and runners."""

    at_s: float
    node: str
    event: str


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Average number of slots in use per second; second i begins at ``begin_s`` + i."""

    begin_s: float
    items: tuple[float, ...]
    online: tuple[float, ...]
    waiting: tuple[float, ...]
    """Items that were accepted, had not ended and were not running."""
    moments: tuple[Moment, ...]


def occupancy(
    lines: Iterable[LogLine], items: list[ItemTimes], requests: list[RequestTimes]
) -> Occupancy:
    """Return the use of those runners that run items."""
    runners = {run.runner for item in items for run in item.runs}
    online = [each for each in requests if runners.intersection(each.runners)]
    running = [(run.begin_s, run.end_s) for item in items for run in item.runs]
    under_way = [(each.begin_s, each.end_s) for each in online]
    present = [
        (item.accepted_s, item.ended_s) for item in items if item.ended_s is not None and item.runs
    ]
    times = [time_s for span in running + under_way for time_s in span]
    begin_s = float(floor(min(times, default=0.0)))
    count = floor(max(times, default=0.0) - begin_s) + 1
    by_items = _per_second(running, begin_s, count)
    open_items = _per_second(present, begin_s, count)
    waiting = (max(0.0, all_of - run) for all_of, run in zip(open_items, by_items, strict=True))
    moments = (
        Moment(line.at_s, line.text("node"), line.event)
        for line in lines
        if line.event in MOMENTS and line.at_s >= begin_s
    )
    return Occupancy(
        begin_s,
        tuple(by_items),
        tuple(_per_second(under_way, begin_s, count)),
        tuple(waiting),
        tuple(moments),
    )


def _per_second(spans: list[tuple[float, float]], begin_s: float, count: int) -> list[float]:
    taken = [0.0] * count
    for span_begin_s, span_end_s in spans:
        first = max(0, floor(span_begin_s - begin_s))
        last = min(count - 1, floor(span_end_s - begin_s))
        for second in range(first, last + 1):
            left_s = max(span_begin_s, begin_s + second)
            right_s = min(span_end_s, begin_s + second + 1)
            taken[second] += max(0.0, right_s - left_s)
    return taken
