"""Choosing a runner: two random choices weighed by prefix-cache match, then by load.

Pure: states, time and generator are handed in. Runners of the own zone come first; a runner of
another zone is taken when its score is lower by more than the price of crossing zones. Scores
are in prompt tokens to prefill; lower is better.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rainsail.engine.prefix import BLOCK_TOKENS
from rainsail.gateway.load_score import memory_penalty, online_load
from rainsail.gateway.runner_state import RunnerState
from rainsail.gateway.settings import RoutingSettings


@dataclass(frozen=True, slots=True)
class CandidateScore:
    """One runner that was weighed; ``score`` is in tokens, lower is better."""

    runner: str
    zone: str
    matched_tokens: int
    stale_cache: bool
    own_online: int
    foreign_online: float
    report_age_s: float
    score: float


@dataclass(frozen=True, slots=True)
class RouteDecision:
    """What was decided for one attempt and why; ``runner`` empty means that none was usable."""

    request_id: str
    attempt: int
    decided_s: float
    runner: str
    usable: int
    reason: str
    candidates: tuple[CandidateScore, ...]


def score_runner(
    state: RunnerState, blocks: tuple[int, ...], zone: str, now_s: float, settings: RoutingSettings
) -> CandidateScore:
    """Return a runner's score for a prompt with these prefix blocks."""
    matched = state.cache.matched_blocks(blocks) * BLOCK_TOKENS
    worth = settings.stale_cache_weight if state.cache.stale else 1.0
    foreign = state.foreign_online(now_s)
    load = online_load(state.online_running, foreign)
    report = state.report
    if report is not None:
        load += memory_penalty(
            report.kv_tokens_used, report.kv_tokens_total, settings.memory_pressure
        )
    over = max(0.0, load - state.spec.batch_slots * settings.slots_per_runner)
    score = load * settings.load_cost_tokens - matched * worth
    score += over * settings.full_runner_cost_tokens
    if state.spec.zone != zone:
        score += settings.other_zone_cost_tokens
    return CandidateScore(
        runner=state.name,
        zone=state.spec.zone,
        matched_tokens=matched,
        stale_cache=state.cache.stale,
        own_online=state.online_running,
        foreign_online=foreign,
        report_age_s=state.report_age_s(now_s),
        score=score,
    )


def draw_two(
    states: Sequence[RunnerState],
    blocks: tuple[int, ...],
    random: Random,
    settings: RoutingSettings,
) -> list[RunnerState]:
    """Draw up to two different runners, those with cached prefix blocks more often."""
    if len(states) <= 2:
        return list(states)
    weights = [_draw_weight(state, blocks, settings) for state in states]
    first = random.choices(range(len(states)), weights)[0]
    weights[first] = 0.0
    second = random.choices(range(len(states)), weights)[0]
    return [states[first], states[second]]


def _draw_weight(state: RunnerState, blocks: tuple[int, ...], settings: RoutingSettings) -> float:
    if not blocks:
        return 1.0
    share = state.cache.matched_blocks(blocks) / len(blocks)
    worth = settings.stale_cache_weight if state.cache.stale else 1.0
    return 1.0 + settings.affinity_weight * share * worth


def choose_runner(
    request_id: str,
    attempt: int,
    states: Sequence[RunnerState],
    blocks: tuple[int, ...],
    zone: str,
    now_s: float,
    random: Random,
    settings: RoutingSettings,
) -> RouteDecision:
    """Choose among usable ``states`` and return the decision with its candidates."""
    local = [state for state in states if state.spec.zone == zone]
    remote = [state for state in states if state.spec.zone != zone]
    drawn = draw_two(local, blocks, random, settings) + draw_two(remote, blocks, random, settings)
    scores = [score_runner(state, blocks, zone, now_s, settings) for state in drawn]
    if not scores:
        return RouteDecision(request_id, attempt, now_s, "", 0, "no usable runner", ())
    best = min(scores, key=lambda each: (each.score, each.runner))
    reason = "own zone" if best.zone == zone else "other zone"
    return RouteDecision(
        request_id, attempt, now_s, best.runner, len(states), reason, tuple(scores)
    )
