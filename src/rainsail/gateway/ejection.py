"""Ejecting a runner that fails time after time, with a limit on how many may be out.

It goes by this gateway's own failures in a row, as native gateways report no outcomes to control.
``routing.soundness`` goes by those that all gateways report, as each sees only few of them.
"""

from random import Random

from rainsail.gateway.settings import FleetSettings

JITTER_FRACTION = 0.2
"""Random part of the time out.

Not measured; chosen so that gateways do not all try again at once.
"""


class EjectionState:
    """Consecutive failures of one runner and until when it is out (gateway clock)."""

    __slots__ = ("failures", "out_until_s", "times_out")

    def __init__(self) -> None:
        self.failures = 0
        self.times_out = 0
        self.out_until_s = 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the runner is out now."""
        return now_s < self.out_until_s

    def succeeded(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
        self.times_out = 0
        self.out_until_s = 0.0

    def failed(self, settings: FleetSettings) -> bool:
        """Count a failure; return whether the runner should be put out."""
        self.failures += 1
        return self.failures >= settings.eject_after_failures

    def eject(self, now_s: float, random: Random, settings: FleetSettings) -> None:
        """Put the runner out, longer each time; one more failure afterwards repeats it."""
        length_s = min(settings.eject_limit_s, settings.eject_base_s * 2.0**self.times_out)
        length_s *= 1.0 + JITTER_FRACTION * random.random()
        self.times_out += 1
        self.out_until_s = now_s + length_s
        self.failures = settings.eject_after_failures - 1


def may_eject(runners: int, out: int, max_fraction: float) -> bool:
    """Tell whether one more of ``runners`` may be put out when ``out`` already are."""
    return out + 1 <= int(runners * max_fraction)
