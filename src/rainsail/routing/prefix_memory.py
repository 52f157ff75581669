"""Estimates which runners have cached which prompt parts, from what this gateway has sent.

This is a hint only: runners evict the least recently used parts, and requests of other gateways
are unknown. For a part that this gateway has not sent yet, rendezvous hashing gives all gateways
the same preferred runner.
"""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import PromptPart

MAX_PARTS = 4096
"""Parts that are remembered, the most recently sent ones.

Enough for all prompts of some minutes, in about 1 MB.
"""


class PrefixMemory:
    """The runners that have probably cached each part."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS, max_parts: int = MAX_PARTS) -> None:
        self._remembers = mechanisms.prefix_memory
        self._max_parts = max_parts
        self._holders: OrderedDict[str, dict[str, None]] = OrderedDict()

    def sent(self, prompt: tuple[PromptPart, ...], runner: str) -> tuple[str, ...]:
        """Record that a prompt was sent to a runner, which caches its parts.

        Returns the parts that the runner was not known to have cached.
        """
        if not self._remembers:
            return ()
        added = []
        for part in prompt:
            holders = self._holders.setdefault(part.part, {})
            if runner not in holders:
                holders[runner] = None
                added.append(part.part)
            self._holders.move_to_end(part.part)
        while len(self._holders) > self._max_parts:
            self._holders.popitem(last=False)
        return tuple(added)

    def not_run(self, parts: Iterable[str], runner: str) -> None:
        """Drop parts that ``sent`` has added: the runner has not run the request."""
        for part in parts:
            self._holders.get(part, {}).pop(runner, None)

    def forget(self, runner: str) -> None:
        """Drop a runner that has left."""
        for holders in self._holders.values():
            holders.pop(runner, None)

    def holds(self, part: str, runner: str) -> bool:
        """Return whether a runner has cached a part, as far as this gateway knows."""
        return runner in self._holders.get(part, ())

    def missing_tokens(self, prompt: tuple[PromptPart, ...], runner: str) -> int:
        """Return the number of tokens that a runner has probably not cached.

        Caches hold prefixes of prompts: after the first missing part, all further parts count as
        missing.
        """
        missing = 0
        unbroken = True
        for part in prompt:
            unbroken = unbroken and self.holds(part.part, runner)
            if not unbroken:
                missing += part.tokens
        return missing


def preferred_runner(part: str, runners: list[str]) -> str:
    """Return the runner that all gateways prefer for a part, by rendezvous hashing."""
    return max(runners, key=lambda runner: xxhash.xxh64_intdigest(f"{part} {runner}".encode()))


def shared_part(prompt: tuple[PromptPart, ...]) -> PromptPart | None:
    """Return the largest part that other requests may share (any but the last), None if none."""
    return max(prompt[:-1], key=lambda part: part.tokens, default=None)
