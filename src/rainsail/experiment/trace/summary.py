"""What a trace holds: counts and rates per class."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.experiment.trace.records import PromptShape, Trace, TracedItem, TracedJob
from rainsail.resources.specs import RequestClass

CHANGES = "change"
"""The row of operators' changes."""


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """One class of a trace. ``arrivals`` are requests, jobs or changes, ``items`` work units."""

    name: str
    arrivals: int
    items: int
    arrivals_per_s: float
    peak_arrivals_per_s: int
    prompt_characters: int
    max_tokens: int


def summarise(trace: Trace) -> list[ClassSummary]:
    """Return a row for each class of requests, for the jobs and for the changes."""
    rows = []
    for class_ in RequestClass:
        requests = [each for each in trace.requests if each.class_ == class_]
        if requests:
            work = [(each.prompt, each.max_tokens) for each in requests]
            rows.append(_row(trace, class_, [each.at_s for each in requests], work))
    if trace.jobs:
        work = [(item.prompt, item.max_tokens) for job in trace.jobs for item in _items(job)]
        rows.append(_row(trace, "job", [job.at_s for job in trace.jobs], work))
    if trace.changes:
        rows.append(_row(trace, CHANGES, [change.at_s for change in trace.changes], []))
    return rows


def _row(
    trace: Trace, name: str, times_s: list[float], work: list[tuple[PromptShape, int]]
) -> ClassSummary:
    duration_s = max(trace.origin.duration_s, 1e-9)
    return ClassSummary(
        name=str(name),
        arrivals=len(times_s),
        items=len(work),
        arrivals_per_s=round(len(times_s) / duration_s, 3),
        peak_arrivals_per_s=_peak(times_s),
        prompt_characters=sum(_characters(prompt) for prompt, _ in work),
        max_tokens=sum(tokens for _, tokens in work),
    )


def _items(job: TracedJob) -> Iterator[TracedItem]:
    return itertools.islice(itertools.cycle(job.items), job.item_count)


def _characters(prompt: PromptShape) -> int:
    return len(prompt.text) or prompt.template_characters + prompt.own_characters


def _peak(times_s: list[float]) -> int:
    """Return the most arrivals within one second of the trace's clock."""
    per_second: dict[int, int] = {}
    for at_s in times_s:
        per_second[int(at_s)] = per_second.get(int(at_s), 0) + 1
    return max(per_second.values())
