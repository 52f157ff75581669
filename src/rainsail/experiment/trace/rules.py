"""What a trace must hold to be replayed: sound numbers, bounded sizes, ids that name one thing."""

import math
from collections.abc import Iterator

from rainsail.experiment.trace.records import (
    PromptShape,
    Trace,
    TracedChange,
    TracedJob,
    TracedRequest,
    TraceEntry,
    TraceOrigin,
)

MAX_PROMPT_CHARACTERS = 4_000_000
MAX_TOKENS = 1_000_000
MAX_JOB_ITEMS = 530_000
MAX_SECONDS = 366 * 86_400.0


def trace_problem(trace: Trace) -> str:
    """Return the first thing wrong, named by entry and field; empty when there is none."""
    problem = next(_origin_problems(trace.origin), "")
    if problem:
        return problem
    seen: dict[str, None] = {}
    for entry in trace.entries():
        place = entry_id(entry)
        if place in seen:
            return f"{place}: stands twice"
        seen[place] = None
        problem = next(_entry_problems(place, entry), "")
        if problem:
            return problem
    return ""


def _origin_problems(origin: TraceOrigin) -> Iterator[str]:
    yield from _number_problems("origin", "duration_s", origin.duration_s)
    if not math.isfinite(origin.started_unix_s):
        yield f"origin: started_unix_s: expected seconds, got {origin.started_unix_s}"


def entry_id(entry: TraceEntry) -> str:
    """Return what names an entry within its trace."""
    if isinstance(entry, TracedRequest):
        return f"request {entry.request_id!r}"
    if isinstance(entry, TracedJob):
        return f"job {entry.job_key!r}"
    return f"change {entry.change_id!r}"


def _entry_problems(place: str, entry: TraceEntry) -> Iterator[str]:
    yield from _number_problems(place, "at_s", entry.at_s)
    if isinstance(entry, TracedChange):
        return
    yield from _number_problems(place, "deadline_s", entry.deadline_s)
    if isinstance(entry, TracedRequest):
        if "/" in entry.request_id:
            yield f"{place}: request_id: a slash is for items of jobs"
        yield from _work_problems(place, entry.prompt, entry.max_tokens)
        return
    yield from _number_problems(place, "cancel_after_s", entry.cancel_after_s)
    if not 0 < len(entry.items) <= entry.item_count <= MAX_JOB_ITEMS:
        yield f"{place}: items: expected 1 to {MAX_JOB_ITEMS}, got {entry.item_count}"
    for index, item in enumerate(entry.items):
        yield from _work_problems(f"{place}: items[{index}]", item.prompt, item.max_tokens)


def _work_problems(place: str, prompt: PromptShape, max_tokens: int) -> Iterator[str]:
    if not 0 < max_tokens <= MAX_TOKENS:
        yield f"{place}: max_tokens: expected 1 to {MAX_TOKENS}, got {max_tokens}"
    least = min(prompt.template_characters, prompt.own_characters)
    most = max(prompt.template_characters, prompt.own_characters, len(prompt.text))
    if least < 0 or most > MAX_PROMPT_CHARACTERS:
        yield f"{place}: prompt: expected 0 to {MAX_PROMPT_CHARACTERS} characters"


def _number_problems(place: str, name: str, seconds: float) -> Iterator[str]:
    if not math.isfinite(seconds) or not 0.0 <= seconds <= MAX_SECONDS:
        yield f"{place}: {name}: expected 0 to {MAX_SECONDS} seconds, got {seconds}"
