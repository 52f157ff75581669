"""Reports this gateway's requests in flight to the ledger's leader, shortly after each change.

Owns the leader's address and the timer of the next report. An idle gateway sends nothing.
"""

from rainsail.relay.context import RelayContext
from rainsail.relay.placement import PlacementClient
from rainsail.routing.messages import OnlineUse, RunnerOutcome, RunnerUse
from rainsail.wire.messenger import Messenger


class LoadReporter:
    """Sends at most one report per period."""

    def __init__(
        self, context: RelayContext, messenger: Messenger, placements: PlacementClient
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._placements = placements
        self._leader = ""
        self._period_s = context.settings.use_report_period_s
        self._is_planned = False
        self._is_stopped = False

    def set_leader(self, address: str) -> None:
        """Set the node to report to; empty when no leader is known."""
        self._leader = address

    def set_gateways(self, gateways: int) -> None:
        """Adapt the report period to the number of gateways that share the leader."""
        self._period_s = self._context.settings.use_report_period_s_at(gateways)

    def plan(self) -> None:
        """Schedule a report after one period, unless one is scheduled already."""
        if not self._is_planned and not self._is_stopped:
            self._is_planned = True
            self._context.clock.callLater(self._period_s, self._report)

    def stop(self) -> None:
        """Stop reporting."""
        self._is_stopped = True

    def _report(self) -> None:
        self._is_planned = False
        if self._is_stopped or not self._leader:
            return
        loads = self._context.loads
        uses = tuple(RunnerUse(runner, count) for runner, count in loads.in_flight().items())
        outcomes = tuple(
            RunnerOutcome(runner, answered, failed)
            for runner, (answered, failed) in loads.take_outcomes().items()
        )
        report = OnlineUse(uses, self._placements.seen, outcomes)
        self._messenger.send(self._leader, report)
