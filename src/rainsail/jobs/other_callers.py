"""Estimates load that neither the gateways' reports nor this leader's items account for.

When a ledger leader loses power, its items keep running until the runners notice the dead
connections. The load that a runner reports, minus the requests known to run there, is therefore
counted as taken slots. It decays over the time that an item takes to end.
"""

from dataclasses import dataclass

from rainsail.routing.facts import ServerLoad

REPORT_DECAY_S = 4.0
"""Time in which a report decays to zero.

Items that ran at the time of the report have probably ended by then.
"""


@dataclass(frozen=True, slots=True)
class _Report:
    requests: int
    reported_s: float


class OtherCallersLoad:
    """The unaccounted requests at each runner by its last report, decaying linearly to 0."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def on_load_report(self, runner: str, load: ServerLoad, known: int, now: float) -> None:
        """Record a runner's report, of which ``known`` requests are accounted for."""
        unaccounted = max(0, load.running + load.waiting - known)
        self._reports[runner] = _Report(unaccounted, now)

    def forget(self, runner: str) -> None:
        """Forget a runner's report."""
        self._reports.pop(runner, None)

    def clear(self) -> None:
        """Forget every report."""
        self._reports.clear()

    def at(self, runner: str, now: float) -> int:
        """Return the estimated number of unaccounted requests that a runner still has."""
        report = self._reports.get(runner)
        if report is None:
            return 0
        remaining_share = max(0.0, 1.0 - (now - report.reported_s) / REPORT_DECAY_S)
        return round(report.requests * remaining_share)
