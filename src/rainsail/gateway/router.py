"""Runner selection by weighted power of two choices.

Draws two candidates per zone group at random, favouring runners that have a prefix of the prompt
cached, and takes the one with the lowest score. A score is a cost in prompt tokens to prefill; it
combines load, KV memory use and the cached prefix. Runners of other zones get a surcharge, so one
of them is chosen only when it is cheaper by more than the cost of crossing zones.

The functions are pure: runner states, the time and the random generator are parameters.

``routing.choice`` selects runners for relayed requests by other costs, because relayed runners do
not report their cache and memory; both are estimated there.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rainsail.engine.prefix import BLOCK_TOKENS
from rainsail.gateway.eligibility import EligibleRunners
from rainsail.gateway.load_score import memory_penalty, online_load
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.gateway.settings import RoutingSettings

MAX_SECOND_DRAWS = 8
"""Weighted draws for a second, different candidate before one is drawn uniformly."""


@dataclass(frozen=True, slots=True)
class CandidateScore:
    """A candidate runner and its score; ``score`` is a cost in tokens, lower is better."""

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
    """The routing decision for one attempt; ``runner`` is empty when no runner was usable."""

    request_id: str
    attempt: int
    decided_s: float
    runner: str
    usable: int
    reason: str
    candidates: tuple[CandidateScore, ...]


def score_runner(
    state: ObservedRunner,
    blocks: tuple[int, ...],
    zone: str,
    now_s: float,
    settings: RoutingSettings,
) -> CandidateScore:
    """Return a runner's score for a prompt with the given prefix blocks."""
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


def estimated_load(state: ObservedRunner, now_s: float) -> float:
    """Return the estimated online requests on a runner: own ones plus those of other gateways."""
    return online_load(state.online_running, state.foreign_online(now_s))


def is_full(state: ObservedRunner, now_s: float, settings: RoutingSettings) -> bool:
    """Return whether one more request would have to queue at this runner."""
    slots = state.spec.batch_slots * settings.slots_per_runner
    return estimated_load(state, now_s) + 1.0 > slots


def draw_candidates(
    states: Sequence[ObservedRunner],
    blocks: tuple[int, ...],
    now_s: float,
    random: Random,
    settings: RoutingSettings,
) -> Sequence[ObservedRunner]:
    """Draw two runners; when both are full, add the least loaded of all runners."""
    drawn = draw_two(states, blocks, random, settings)
    if len(drawn) == len(states) or not all(is_full(each, now_s, settings) for each in drawn):
        return drawn
    least = min(states, key=lambda each: (estimated_load(each, now_s), each.name))
    return (*drawn, least) if least not in drawn else drawn


def draw_two(
    states: Sequence[ObservedRunner],
    blocks: tuple[int, ...],
    random: Random,
    settings: RoutingSettings,
) -> Sequence[ObservedRunner]:
    """Draw up to two different runners, weighted towards those with cached prefix blocks."""
    if len(states) <= 2:
        return states
    extras = _extra_weights(states, blocks, settings)
    first = _draw(states, extras, random)
    for _ in range(MAX_SECOND_DRAWS):
        second = _draw(states, extras, random)
        if second is not first:
            return (first, second)
    others = [state for state in states if state is not first]
    return (first, random.choice(others))


def _extra_weights(
    states: Sequence[ObservedRunner], blocks: tuple[int, ...], settings: RoutingSettings
) -> list[tuple[ObservedRunner, float]]:
    """Return the runners that cache the first block, each with its weight above the base of 1."""
    if not blocks:
        return []
    first = blocks[0]
    matched = [state for state in states if first in state.cache.blocks]
    return [(state, _extra_weight(state, blocks, settings)) for state in matched]


def _extra_weight(
    state: ObservedRunner, blocks: tuple[int, ...], settings: RoutingSettings
) -> float:
    share = state.cache.matched_blocks(blocks) / len(blocks)
    worth = settings.stale_cache_weight if state.cache.stale else 1.0
    return settings.affinity_weight * share * worth


def _draw(
    states: Sequence[ObservedRunner], extras: Sequence[tuple[ObservedRunner, float]], random: Random
) -> ObservedRunner:
    """Draw one runner; each has weight 1 plus its weight in ``extras``, if any."""
    total = len(states) + sum(weight for _, weight in extras)
    drawn = random.random() * total
    if drawn < len(states):
        return states[int(drawn)]
    drawn -= len(states)
    for state, weight in extras:
        drawn -= weight
        if drawn < 0.0:
            return state
    return extras[-1][0]


def choose_runner(
    request_id: str,
    attempt: int,
    runners: EligibleRunners,
    blocks: tuple[int, ...],
    zone: str,
    now_s: float,
    random: Random,
    settings: RoutingSettings,
) -> RouteDecision:
    """Choose one of the eligible runners; the decision lists the scored candidates."""
    drawn = [
        *draw_candidates(runners.local, blocks, now_s, random, settings),
        *draw_candidates(runners.remote, blocks, now_s, random, settings),
    ]
    scores = [score_runner(state, blocks, zone, now_s, settings) for state in drawn]
    if not scores:
        return RouteDecision(request_id, attempt, now_s, "", 0, "no usable runner", ())
    best = min(scores, key=lambda each: (each.score, each.runner))
    reason = "own zone" if best.zone == zone else "other zone"
    return RouteDecision(
        request_id, attempt, now_s, best.runner, len(runners), reason, tuple(scores)
    )
