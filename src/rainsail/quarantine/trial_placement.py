"""Decides which runners suit a trial run. Pure.

A crash during a trial counts against the request, and against all that runs beside it. So a trial
goes to a runner that is unlikely to crash for another reason, and at which little else runs. A
runner that has just crashed or started again looks like the emptiest one, to other suspects too.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SETTLED_S = 5.0
"""A runner that has become known, or that crashed, within this time may soon crash again."""


@dataclass(frozen=True, slots=True)
class TrialSite:
    """What a node knows of a runner to which a trial may be sent; times are in seconds."""

    runner: str
    zone: str
    may_have_crashed: bool
    """It was found crashed, or a check whether it has is pending."""
    may_be_replaced: bool
    """Reports of the runner may have been missed."""
    known_s: float
    """For how long the node has known its incarnation."""
    since_crash_s: float
    """Time since the last crash at its address, infinite without one."""
    suspects: int
    """Other requests there that may crash runners."""
    others: float
    """Estimated number of all other requests there."""

    @property
    def _crashed_lately(self) -> bool:
        return self.may_have_crashed or self.since_crash_s < SETTLED_S

    @property
    def _steady_s(self) -> float:
        """For how long it has certainly run, at most ``SETTLED_S``."""
        if self.may_be_replaced:
            return 0.0
        return min(self.known_s, self.since_crash_s, SETTLED_S)


def best_trial_sites(sites: Sequence[TrialSite]) -> list[TrialSite]:
    """Return the runners that suit a trial best; none if each of them may have crashed."""
    crash_zones = {site.zone for site in sites if site._crashed_lately}

    def risk(site: TrialSite) -> tuple[bool, int, int, bool]:
        return (
            site.suspects > 0,
            -int(site._steady_s),
            round(site.others),
            site.zone in crash_zones,
        )

    usable = [site for site in sites if not site.may_have_crashed]
    least = min(map(risk, usable), default=None)
    return [site for site in usable if risk(site) == least]
