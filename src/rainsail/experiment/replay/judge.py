"""Judges stated outcomes by what a replay observed; pure."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from rainsail.experiment.replay.observations import (
    NEVER_S,
    JobObservation,
    Observations,
    RequestObservation,
)
from rainsail.experiment.replay.outcomes import (
    AtMostOnce,
    CompletedBy,
    EndsWith,
    InOrder,
    OutcomesFile,
    StatedOutcome,
    Whole,
    Within,
)
from rainsail.experiment.replay.selection import Selected, select

Observed = RequestObservation | JobObservation


class Verdict(StrEnum):
    """Whether a stated outcome held."""

    HELD = "held"
    BROKEN = "broken"
    NOT_OBSERVED = "not_observed"


@dataclass(frozen=True, slots=True)
class Judgement:
    """One outcome's verdict; ``measured`` is the figure that was compared with the bound."""

    name: str
    require: str
    verdict: Verdict
    selected: int
    offending: tuple[str, ...]
    measured: float | None = None
    detail: str = ""


def judge_all(outcomes: OutcomesFile, observed: Observations) -> list[Judgement]:
    """Judge every stated outcome, in the file's order."""
    return [judge(outcome, observed) for outcome in outcomes.outcomes]


def judge(outcome: StatedOutcome, observed: Observations) -> Judgement:
    """Judge one stated outcome."""
    selected = select(outcome.of, observed)
    if selected.missing:
        return _judgement(outcome, selected, selected.missing, None, "not in the trace")
    if not selected.requests and not selected.jobs:
        return _unproved(outcome, selected, "nothing in the trace is selected")
    if isinstance(outcome, EndsWith):
        return _judge_ends(outcome, selected)
    if isinstance(outcome, Whole):
        return _judge_whole(outcome, selected)
    if isinstance(outcome, Within):
        return _judge_latency(outcome, selected)
    if isinstance(outcome, InOrder):
        return _judge_order(outcome, selected)
    if isinstance(outcome, AtMostOnce):
        return _judge_at_most_once(outcome, selected, observed.engines_seen)
    return _judge_deadline(outcome, selected)


def _judgement(
    outcome: StatedOutcome,
    selected: Selected,
    offending: Sequence[str],
    measured: float | None = None,
    detail: str = "",
) -> Judgement:
    verdict = Verdict.BROKEN if offending else Verdict.HELD
    count = len(selected.requests) + len(selected.jobs)
    return Judgement(
        outcome.name, outcome.require, verdict, count, tuple(offending), measured, detail
    )


def _unproved(outcome: StatedOutcome, selected: Selected, detail: str) -> Judgement:
    """Judge an outcome that nothing seen bears out: it did not hold."""
    count = len(selected.requests) + len(selected.jobs)
    name, require = outcome.name, outcome.require
    return Judgement(name, require, Verdict.BROKEN, count, (), None, detail)


def _all(selected: Selected) -> list[tuple[str, Observed]]:
    found: list[tuple[str, Observed]] = [(o.request.request_id, o) for o in selected.requests]
    return found + [(each.job.job_key, each) for each in selected.jobs]


def _with_share(
    outcome: EndsWith | CompletedBy, selected: Selected, offending: list[str]
) -> Judgement:
    total = len(selected.requests) + len(selected.jobs)
    share = 1.0 - len(offending) / total
    enough = share >= outcome.least_share
    detail = f"share {share:.4f}, at least {outcome.least_share} stated"
    return _judgement(outcome, selected, [] if enough else offending, round(share, 6), detail)


def _judge_ends(outcome: EndsWith, selected: Selected) -> Judgement:
    wrong = [name for name, each in _all(selected) if each.outcome not in outcome.outcome]
    return _with_share(outcome, selected, wrong)


def _judge_whole(outcome: Whole, selected: Selected) -> Judgement:
    broken = [name for name, each in _all(selected) if _pieces(each)]
    if not broken and not any(each.completed for _, each in _all(selected)):
        return _unproved(outcome, selected, "nothing completed")
    return _judgement(outcome, selected, broken)


def _pieces(each: Observed) -> list[str]:
    return each.broken_answers if isinstance(each, RequestObservation) else each.broken_results


def _judge_latency(outcome: Within, selected: Selected) -> Judgement:
    latencies = [(_latency_s(outcome, each), name) for name, each in _all(selected)]
    latencies.sort()
    rank = math.ceil(len(latencies) * outcome.percentile / 100.0)
    measured_s = latencies[max(rank, 1) - 1][0]
    over = [name for latency_s, name in reversed(latencies) if latency_s > outcome.within_s]
    held = measured_s <= outcome.within_s
    never = measured_s == NEVER_S
    detail = f"p{outcome.percentile:g} " + ("never came" if never else f"{measured_s:.3f} s")
    shown = None if never else round(measured_s, 6)
    return _judgement(outcome, selected, [] if held else over, shown, detail)


def _latency_s(outcome: Within, each: Observed) -> float:
    if not each.completed:
        return NEVER_S
    if isinstance(each, JobObservation):
        return each.completed_s
    return each.first_part_s if outcome.measure == "first_part" else each.ended_s


def _judge_order(outcome: InOrder, selected: Selected) -> Judgement:
    last_end_s: dict[str, float] = {}
    compared = 0
    overtaking = []
    for each in selected.requests:
        if not each.completed:
            continue
        key = _order_key(outcome, each)
        end_s = each.sent_s + each.ended_s
        compared += key in last_end_s
        if end_s < last_end_s.get(key, 0.0):
            overtaking.append(each.request.request_id)
        last_end_s[key] = max(end_s, last_end_s.get(key, 0.0))
    if not compared:
        return _unproved(outcome, selected, "no two completed requests share a key")
    return _judgement(outcome, selected, overtaking)


def _order_key(outcome: InOrder, each: RequestObservation) -> str:
    if outcome.per == "tenant":
        return each.request.tenant
    if outcome.per == "session":
        return each.request.session or f"alone {each.request.request_id}"
    return ""


def _judge_at_most_once(outcome: AtMostOnce, selected: Selected, engines_seen: bool) -> Judgement:
    repeated = [each.job.job_key for each in selected.jobs if len(each.job_ids) > 1]
    repeated += [each.request.request_id for each in selected.requests if each.engine_starts > 1]
    if selected.requests and not engines_seen and not repeated:
        detail = "engine starts cannot be seen from outside"
        count = len(selected.requests) + len(selected.jobs)
        name, require = outcome.name, outcome.require
        return Judgement(name, require, Verdict.NOT_OBSERVED, count, (), None, detail)
    return _judgement(outcome, selected, repeated)


def _judge_deadline(outcome: CompletedBy, selected: Selected) -> Judgement:
    late = [name for name, each in _all(selected) if _is_late(outcome, each)]
    return _with_share(outcome, selected, late)


def _is_late(outcome: CompletedBy, each: Observed) -> bool:
    if not each.completed:
        return True
    traced_s = each.request.deadline_s if isinstance(each, RequestObservation) else 0.0
    traced_s = each.job.deadline_s if isinstance(each, JobObservation) else traced_s
    limit_s = outcome.within_s or traced_s or NEVER_S
    taken_s = each.ended_s if isinstance(each, RequestObservation) else each.completed_s
    return taken_s > limit_s
