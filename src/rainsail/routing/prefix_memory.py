"""Which runners have probably cached which parts of prompts, by what this gateway has sent.

A hint only: runners drop what was unused longest, and other gateways' requests are not seen. For a
part that this gateway has not sent yet, all gateways prefer one runner by rendezvous hashing.
"""

from collections import OrderedDict

import xxhash

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import PromptPart

MAX_PARTS = 4096
"""Parts that are remembered, those sent last.

Not measured; chosen to hold all prompts of some minutes in about a megabyte.
"""


class PrefixMemory:
    """Runners by the part that they have probably cached."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS, max_parts: int = MAX_PARTS) -> None:
        self._remembers = mechanisms.prefix_memory
        self._max_parts = max_parts
        self._holders: OrderedDict[str, dict[str, None]] = OrderedDict()

    def sent(self, prompt: tuple[PromptPart, ...], runner: str) -> None:
        """Note that a prompt was sent to a runner, which caches its parts."""
        if not self._remembers:
            return
        for part in prompt:
            holders = self._holders.setdefault(part.part, {})
            holders[runner] = None
            self._holders.move_to_end(part.part)
        while len(self._holders) > self._max_parts:
            self._holders.popitem(last=False)

    def forget(self, runner: str) -> None:
        """Drop a runner that is gone."""
        for holders in self._holders.values():
            holders.pop(runner, None)

    def holds(self, part: str, runner: str) -> bool:
        """Tell whether a runner has cached a part, as far as this gateway knows."""
        return runner in self._holders.get(part, ())

    def missing_tokens(self, prompt: tuple[PromptPart, ...], runner: str) -> int:
        """Return how many tokens a runner has probably not cached.

        A cache holds beginnings of prompts: no part counts as cached behind one that is not.
        """
        missing = 0
        unbroken = True
        for part in prompt:
            unbroken = unbroken and self.holds(part.part, runner)
            if not unbroken:
                missing += part.tokens
        return missing


def preferred_runner(part: str, runners: list[str]) -> str:
    """Return the runner at which all gateways prefer to have a part cached."""
    return max(runners, key=lambda runner: xxhash.xxh64_intdigest(f"{part} {runner}".encode()))


def shared_part(prompt: tuple[PromptPart, ...]) -> PromptPart | None:
    """Return the largest part that other requests may share: any but the last."""
    return max(prompt[:-1], key=lambda part: part.tokens, default=None)
