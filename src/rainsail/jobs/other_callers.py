"""Load from callers that neither the gateways' reports nor this leader's items account for.

A ledger leader that loses its power leaves its items running: their connections end only when the
runners notice. What a runner reports of its load, less the requests known to run there, counts as
taken slots and fades over the time that an item takes to end.
"""

from dataclasses import dataclass

from rainsail.routing.facts import ServerLoad

REPORT_DECAY_S = 4.0
"""Time after which a report no longer counts.

Not measured by itself; chosen so that an item that was running at the report has probably ended.
"""


@dataclass(frozen=True, slots=True)
class _Report:
    requests: int
    reported_s: float


class OtherCallersLoad:
    """The unaccounted requests at each runner by its last report, falling to 0 with time."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def on_load_report(self, runner: str, load: ServerLoad, known: int, now: float) -> None:
        """Take a runner's report, of which ``known`` requests are accounted for."""
        unaccounted = max(0, load.running + load.waiting - known)
        self._reports[runner] = _Report(unaccounted, now)

    def forget(self, runner: str) -> None:
        """Forget what a runner reported."""
        self._reports.pop(runner, None)

    def clear(self) -> None:
        """Forget every report."""
        self._reports.clear()

    def at(self, runner: str, now: float) -> int:
        """Return how many unaccounted requests a runner probably still has."""
        report = self._reports.get(runner)
        if report is None:
            return 0
        remaining_share = max(0.0, 1.0 - (now - report.reported_s) / REPORT_DECAY_S)
        return round(report.requests * remaining_share)
