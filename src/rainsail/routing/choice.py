"""Chooses the runner for one request: each has a cost in milliseconds, and the lowest cost wins.

The cost is the sum of: prefill of the prompt tokens that the runner has probably not cached, how
full the runner is, the wait behind its queue and its pending prefill, and a small cost for another
zone. A random term breaks ties, so that the gateways of a fleet do not all choose one runner.

Does no I/O: it reads the load and prefix tables; the caller passes the time and the random source.

``gateway.router`` chooses for native gateways with other scores: native engines report their cache
and memory, which are estimated here.
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
    """The weights of the cost terms, in milliseconds unless stated otherwise.

    They fit the runners that the users' benchmark models; docs/design/policies.md has the results
    of routing as a whole with them.
    """

    prefill_tokens_per_ms: float = 85.0
    """Prefill speed at the beginning of a prompt, where attention costs little."""
    attention_pairs_per_ms: float = 3.6e6
    """Attention speed: prefill of a token costs one pair for each token before it."""
    crowded_ms: float = 40.0
    """Cost of a runner with all slots taken; it grows with the square of the share taken."""
    wait_ms: float = 60.0
    """Cost of each request ahead in the runner's queue."""
    other_zone_ms: float = 6.0
    """Cost of a runner in another zone: some milliseconds of network latency.

    With 20 ms the results differ by no more than noise.
    """
    warming_ms: float = 60.0
    """Cost of a runner that is warming up, for services without a warm-up rate."""
    noise_ms: float = 4.0
    """Upper bound of the random term: less than the cost of another zone."""
    prefill_weight: float = 1.25
    """Weight of prefill against waiting: it also takes memory, and time from other requests."""
    affinity_discount: float = 0.5
    """Share of a shared part's prefill that counts at its preferred runner, which may cache it."""
    least_shared_tokens: int = 1500
    """Smaller parts have no preferred runner: their prefill costs less than a crowded runner."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Input of a choice: the parts of the request's prompt, and the zone of its gateway."""

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
        """``is_warming`` returns whether a runner is still warming up."""
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
        """Return the runner of the lowest cost that was not tried yet, None when there is none.

        Ejected runners, and those that have just refused a request as full, are used only if no
        others are left.
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
        """Return the runners that are not ejected, but at least half of all.

        If more than half are ejected, the cause is probably not the runners; those whose ejection
        ends first are then used.
        """
        kept = [each for each in untried if not self._loads.is_ejected(each.runner, now)]
        least = max(1, len(untried) // 2)
        if len(kept) >= least:
            return kept
        by_end = sorted(untried, key=lambda each: self._loads.of(each.runner).ejected_until_s)
        return by_end[:least]

    def has_affinity(self, prompt: tuple[PromptPart, ...]) -> bool:
        """Return whether the prompt has a shared part that is large enough for cache affinity."""
        part = shared_part(prompt)
        return part is not None and part.tokens >= self._settings.least_shared_tokens

    def prefill_ms(self, prompt: tuple[PromptPart, ...], runner: str) -> float:
        """Return the estimated prefill time of a prompt at a runner, in milliseconds."""
        missing = self._prefixes.missing_tokens(prompt, runner)
        whole = sum(part.tokens for part in prompt)
        return prefill_time_ms(missing, whole, self._settings)

    def _preferred(self, prompt: tuple[PromptPart, ...], runners: list[str]) -> str:
        """Return the preferred runner of a prompt's shared part, the same at all gateways.

        Empty if there is none.
        """
        part = shared_part(prompt)
        if not self._has_preferred or part is None:
            return ""
        if part.tokens < self._settings.least_shared_tokens:
            return ""
        return preferred_runner(part.part, runners)

    def _affinity_ms(self, prompt: tuple[PromptPart, ...], preferred: str) -> float:
        """Return the reduction of the prefill cost at the preferred runner, in milliseconds.

        Other gateways may have sent the shared part there, even if this one has not. The part that
        belongs to this request alone cannot be cached there.
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
    """Return the milliseconds that prefill of the last ``missing`` of ``whole`` tokens takes."""
    pairs = missing * (whole - missing / 2)
    return missing / settings.prefill_tokens_per_ms + pairs / settings.attention_pairs_per_ms
