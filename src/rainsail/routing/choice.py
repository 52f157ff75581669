"""Chooses the runner of one request: each has a cost in milliseconds, and the cheapest wins.

The cost adds up the prefill of what the runner probably has not cached of the prompt, how full the
runner is, the wait behind its queue and its pending prefill, and a little for another zone. A
random part decides between equals, so that the gateways of a fleet don't all choose one runner.

Pure but for the load and prefix tables that it reads; time and random are handed in.

``gateway.router`` chooses for the native front by other scores: native engines report their cache
and memory, which are guessed here.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from rainsail.cluster.messages import RunnerRecord
from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import PromptPart
from rainsail.routing.load import RunnerLoads
from rainsail.routing.prefix_memory import PrefixMemory, preferred_runner, shared_part

MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """The costs, in milliseconds unless said otherwise.

    No value was measured by itself. They were chosen for the runners that the users' bench stands
    for, and measured together with all else that routing does (docs/design/policies.md).
    """

    prefill_tokens_per_ms: float = 85.0
    """Speed of prefill where few tokens stand before."""
    attention_pairs_per_ms: float = 3.6e6
    """Prefill of a token takes the longer, the more tokens stand before it: one pair with each."""
    crowded_ms: float = 40.0
    """Cost of a runner with all slots taken; it grows with the square of the share taken."""
    wait_ms: float = 60.0
    """Cost of each request that would be in front in the queue."""
    other_zone_ms: float = 6.0
    """Cost of a runner in another zone, some milliseconds of network away.

    20 ms instead brought nothing that can be told from noise.
    """
    warming_ms: float = 60.0
    """Cost of a runner that warms up and whose service has no rate for that."""
    noise_ms: float = 4.0
    """The largest random part: less than what another zone costs."""
    prefill_weight: float = 1.25
    """What prefill counts beside waiting: it also takes memory, and time from other requests."""
    affinity_discount: float = 0.5
    """Share of a shared part's prefill that counts at its preferred runner, which may cache it."""
    least_shared_tokens: int = 1500
    """Parts smaller than this have no preferred runner: their prefill costs less than crowding."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """What a choice goes by: the request's prompt, and the zone that it came to."""

    prompt: tuple[PromptPart, ...]
    zone: str


class RunnerChooser:
    """Chooses among runners by load, prompt and zone."""

    def __init__(
        self,
        loads: RunnerLoads,
        prefixes: PrefixMemory,
        random: Random,
        settings: ChoiceSettings,
        mechanisms: Mechanisms = DEFAULTS,
        is_warming: Callable[[str], bool] = lambda runner: False,
    ) -> None:
        """``is_warming`` tells whether a runner still warms up."""
        self._is_warming = is_warming
        self._has_preferred = mechanisms.prompt_homes
        self._loads = loads
        self._prefixes = prefixes
        self._random = random
        self._settings = settings

    def choose(
        self,
        records: Sequence[RunnerRecord],
        tried: frozenset[str],
        request: RoutedRequest,
        now: float,
    ) -> RunnerRecord | None:
        """Return the cheapest runner that was not tried, None when there is none.

        Runners that are ejected, or were full just now, are passed over while others are left.
        """
        untried = [record for record in records if record.runner not in tried]
        if not untried:
            return None
        kept = self._without_ejected(untried, now)
        not_full = [each for each in kept if self._loads.of(each.runner).full_until_s <= now]
        preferred = self._preferred(request.prompt, [each.runner for each in records])
        candidates = not_full or kept
        return min(candidates, key=lambda record: self._cost_ms(record, request, preferred, now))

    def _without_ejected(self, untried: list[RunnerRecord], now: float) -> list[RunnerRecord]:
        """Return the runners that are not ejected, but half of all at least.

        Where more are ejected than that, something else than they is at fault; those whose time is
        over soonest are taken.
        """
        kept = [each for each in untried if not self._loads.is_ejected(each.runner, now)]
        least = max(1, len(untried) // 2)
        if len(kept) >= least:
            return kept
        by_end = sorted(untried, key=lambda each: self._loads.of(each.runner).ejected_until_s)
        return by_end[:least]

    def has_affinity(self, prompt: tuple[PromptPart, ...]) -> bool:
        """Tell whether it matters where a prompt goes: a runner may have cached much of it."""
        part = shared_part(prompt)
        return part is not None and part.tokens >= self._settings.least_shared_tokens

    def prefill_ms(self, prompt: tuple[PromptPart, ...], runner: str) -> float:
        """Return how long the prefill of a prompt probably takes a runner."""
        missing = self._prefixes.missing_tokens(prompt, runner)
        whole = sum(part.tokens for part in prompt)
        return prefill_time_ms(missing, whole, self._settings)

    def _preferred(self, prompt: tuple[PromptPart, ...], runners: list[str]) -> str:
        """Return the runner that all gateways prefer for a prompt's shared part; empty if none."""
        part = shared_part(prompt)
        if not self._has_preferred or part is None:
            return ""
        if part.tokens < self._settings.least_shared_tokens:
            return ""
        return preferred_runner(part.part, runners)

    def _affinity_ms(self, prompt: tuple[PromptPart, ...], preferred: str) -> float:
        """Return what is taken off the cost of prefill at the preferred runner.

        Other gateways may have sent it the shared part, though this one has not. What is the
        request's own it has certainly not cached.
        """
        part = shared_part(prompt)
        if part is None or self._prefixes.holds(part.part, preferred):
            return 0.0
        prefill_ms = prefill_time_ms(part.tokens, part.tokens, self._settings)
        return (1.0 - self._settings.affinity_discount) * prefill_ms

    def _cost_ms(
        self, record: RunnerRecord, request: RoutedRequest, preferred: str, now: float
    ) -> float:
        settings = self._settings
        slots = max(1, record.slots)
        requests = self._loads.of(record.runner).estimate(now)
        cost = settings.crowded_ms * (requests / slots) ** 2
        cost += settings.wait_ms * max(0.0, requests + 1 - slots)
        cost += settings.noise_ms * self._random.random()
        if record.zone != request.zone:
            cost += settings.other_zone_ms
        if self._is_warming(record.runner):
            cost += settings.warming_ms
        if request.prompt:
            cost += self._prefill_cost_ms(record.runner, request.prompt, preferred)
            prefill_until_s = self._loads.of(record.runner).prefill_until_s
            cost += max(0.0, prefill_until_s - now) * MILLISECONDS_PER_S
        return cost

    def _prefill_cost_ms(
        self, runner: str, prompt: tuple[PromptPart, ...], preferred: str
    ) -> float:
        prefill_ms = self.prefill_ms(prompt, runner)
        if runner == preferred:
            prefill_ms -= self._affinity_ms(prompt, preferred)
        return self._settings.prefill_weight * prefill_ms


def prefill_time_ms(missing: int, whole: int, settings: ChoiceSettings) -> float:
    """Return how long the prefill of the last ``missing`` of ``whole`` tokens of a prompt takes."""
    pairs = missing * (whole - missing / 2)
    return missing / settings.prefill_tokens_per_ms + pairs / settings.attention_pairs_per_ms
