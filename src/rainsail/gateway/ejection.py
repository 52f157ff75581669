"""Outlier ejection: takes a runner out of routing after consecutive failures.

It counts the failures that this gateway has seen, because native gateways do not report outcomes
to control. ``routing.soundness`` uses the outcomes that all relay gateways report, because each of
those sees only a few.
"""

from random import Random

from rainsail.gateway.settings import FleetSettings

JITTER_FRACTION = 0.2
"""Maximum random extension of an ejection, as a fraction of its length.

It keeps gateways from retrying a runner all at the same time.
"""


class EjectionState:
    """Consecutive failures of one runner, and the end of its ejection on the gateway's clock."""

    __slots__ = ("failures", "out_until_s", "times_out")

    def __init__(self) -> None:
        self.failures = 0
        self.times_out = 0
        self.out_until_s = 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the runner is ejected now."""
        return now_s < self.out_until_s

    def succeeded(self) -> None:
        """Reset the failure count and the ejection after a success."""
        self.failures = 0
        self.times_out = 0
        self.out_until_s = 0.0

    def failed(self, settings: FleetSettings) -> bool:
        """Count a failure; return whether the runner should be ejected."""
        self.failures += 1
        return self.failures >= settings.eject_after_failures

    def eject(self, now_s: float, random: Random, settings: FleetSettings) -> None:
        """Eject the runner for exponentially longer each time.

        The failure count is set so that a single failure after the ejection ejects it again.
        """
        length_s = min(settings.eject_limit_s, settings.eject_base_s * 2.0**self.times_out)
        length_s *= 1.0 + JITTER_FRACTION * random.random()
        self.times_out += 1
        self.out_until_s = now_s + length_s
        self.failures = settings.eject_after_failures - 1


def may_eject(runners: int, out: int, max_fraction: float) -> bool:
    """Return whether one more of ``runners`` runners may be ejected when ``out`` already are."""
    return out + 1 <= int(runners * max_fraction)
