"""Requests at runners that neither the gateways nor this leader know of.

A leader that lost its power leaves its items running: its connections end only when the runners
notice. What a runner says of its load, less what is known to run there, is counted in until it
has probably ended.
"""

from rainsail.routing.facts import ServerLoad

FADES_WITHIN_S = 4.0
"""An item runs for about this long."""


class ForeignLoadBook:
    """Foreign requests by runner, as its last word showed them; they fade with time."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}

    def reported(self, runner: str, load: ServerLoad, known: int, now: float) -> None:
        """Take a runner's word, of which ``known`` requests are accounted for."""
        self._seen[runner] = (max(0, load.running + load.waiting - known), now)

    def forget(self, runner: str) -> None:
        """Forget what a runner said."""
        self._seen.pop(runner, None)

    def clear(self) -> None:
        """Forget everything."""
        self._seen.clear()

    def at(self, runner: str, now: float) -> int:
        """Return how many foreign requests a runner probably still has."""
        count, seen_s = self._seen.get(runner, (0, now))
        left_share = max(0.0, 1.0 - (now - seen_s) / FADES_WITHIN_S)
        return round(count * left_share)
