"""Choosing the runner of one request: a price in milliseconds for each, the cheapest wins.

The price adds up what a runner probably still has to read of the prompt, how crowded it is, how
much of a wait its queue and the prompts it is reading mean, and a little for another zone. Chance
parts equals, so that the gateways of a fleet don't all run to the same runner.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from rainsail.cluster.messages import RunnerRecord
from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import PromptPart
from rainsail.routing.load import LoadBook
from rainsail.routing.prefix_memory import PrefixMemory, home_of, shared_part

MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """The prices, in milliseconds unless said otherwise."""

    read_tokens_per_ms: float = 85.0
    attention_pairs_per_ms: float = 3.6e6
    """Reading a token costs the more, the more tokens stand before it."""
    crowded_ms: float = 40.0
    """Price of a runner with all slots taken; it grows with the square of the share taken."""
    wait_ms: float = 60.0
    """Price of each request that would be in front in the queue."""
    other_zone_ms: float = 6.0
    warming_ms: float = 60.0
    """Price of a runner that warms up and whose service has no rate for that."""
    noise_ms: float = 4.0
    read_again: float = 1.25
    """What reading counts beside waiting: it also takes memory, and from others."""
    home_discount: float = 0.5
    """Share of a shared part's reading that is priced at its home, where it may lie already."""
    least_shared_tokens: int = 1500
    """Parts smaller than this have no home: reading them anew costs less than crowding."""


@dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of a choice: its prompt, and the zone that it came to."""

    prompt: tuple[PromptPart, ...]
    zone: str


class RunnerChooser:
    """Chooses among runners by load, prompt and zone."""

    def __init__(
        self,
        loads: LoadBook,
        prefixes: PrefixMemory,
        random: Random,
        settings: ChoiceSettings,
        mechanisms: Mechanisms = DEFAULTS,
        is_warming: Callable[[str], bool] = lambda runner: False,
    ) -> None:
        """``is_warming`` tells whether a runner still warms up."""
        self._is_warming = is_warming
        self._has_homes = mechanisms.prompt_homes
        self._loads = loads
        self._prefixes = prefixes
        self._random = random
        self._settings = settings

    def choose(
        self,
        records: Sequence[RunnerRecord],
        tried: frozenset[str],
        wish: Wish,
        now: float,
    ) -> RunnerRecord | None:
        """Return the cheapest runner that was not tried, None when there is none.

        Runners that failed or are full lately are passed over while others are left.
        """
        untried = [record for record in records if record.runner not in tried]
        if not untried:
            return None
        sound = [each for each in untried if self._loads.of(each.runner).out_until_s <= now]
        least = max(1, len(untried) // 2)
        if len(sound) < least:
            sound = sorted(untried, key=lambda each: self._loads.of(each.runner).out_until_s)
            sound = sound[:least]
        open_ones = [each for each in sound if self._loads.of(each.runner).full_until_s <= now]
        home = self._home(wish, [each.runner for each in records])
        candidates = open_ones or sound
        return min(candidates, key=lambda record: self._price_ms(record, wish, home, now))

    def has_home(self, prompt: tuple[PromptPart, ...]) -> bool:
        """Tell whether it matters where a prompt goes, since much of it may lie at a runner."""
        part = shared_part(prompt)
        return part is not None and part.tokens >= self._settings.least_shared_tokens

    def reading_ms(self, prompt: tuple[PromptPart, ...], runner: str) -> float:
        """Return how long a runner probably reads at a prompt."""
        missing = self._prefixes.missing_tokens(prompt, runner)
        whole = sum(part.tokens for part in prompt)
        return reading_time_ms(missing, whole, self._settings)

    def _home(self, wish: Wish, runners: list[str]) -> str:
        part = shared_part(wish.prompt)
        if not self._has_homes or part is None:
            return ""
        if part.tokens < self._settings.least_shared_tokens:
            return ""
        return home_of(part.part, runners)

    def _at_home_ms(self, prompt: tuple[PromptPart, ...], home: str) -> float:
        """Return what is taken off the reading at the home of a prompt's shared part.

        The part may lie there, though this gateway has not sent it; what is the request's own
        certainly does not.
        """
        part = shared_part(prompt)
        if part is None or self._prefixes.holds(part.part, home):
            return 0.0
        reading_ms = reading_time_ms(part.tokens, part.tokens, self._settings)
        return (1.0 - self._settings.home_discount) * reading_ms

    def _price_ms(self, record: RunnerRecord, wish: Wish, home: str, now: float) -> float:
        settings = self._settings
        slots = max(1, record.slots)
        has = self._loads.of(record.runner).estimate(now)
        price = settings.crowded_ms * (has / slots) ** 2
        price += settings.wait_ms * max(0.0, has + 1 - slots)
        price += settings.noise_ms * self._random.random()
        if record.zone != wish.zone:
            price += settings.other_zone_ms
        if self._is_warming(record.runner):
            price += settings.warming_ms
        if wish.prompt:
            reading_ms = self.reading_ms(wish.prompt, record.runner)
            if record.runner == home:
                reading_ms -= self._at_home_ms(wish.prompt, home)
            price += settings.read_again * reading_ms
            reads_until_s = self._loads.of(record.runner).reads_until_s
            price += max(0.0, reads_until_s - now) * MILLISECONDS_PER_S
        return price


def reading_time_ms(missing: int, whole: int, settings: ChoiceSettings) -> float:
    """Return how long a runner reads ``missing`` tokens at the end of a prompt of ``whole``."""
    pairs = missing * (whole - missing / 2)
    return missing / settings.read_tokens_per_ms + pairs / settings.attention_pairs_per_ms
