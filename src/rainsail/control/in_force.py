"""The leader's loop that marks revisions as in force: applied by every gateway that may serve.

At most one MarkInForce command is in flight, and at most one starts per period. Each command
covers all revisions acknowledged so far, so a burst of changes needs few commands.
"""

from collections.abc import Callable
from typing import Any

from rainsail.consensus.interface import Group
from rainsail.control.config_leases import ConfigLeaseTable
from rainsail.control.leader_loop import LeaderLoop
from rainsail.runtime.clock import Clock
from rainsail.state.commands import MarkInForce
from rainsail.state.interface import ReplicatedReader


class InForceLoop(LeaderLoop):
    """Proposes MarkInForce while this replica leads."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        leases: ConfigLeaseTable,
        clock: Clock,
        period_s: float,
        serving: Callable[[], bool],
    ) -> None:
        super().__init__(clock, period_s)
        self._group = group
        self._state = state
        self._leases = leases
        self._serving = serving
        self._proposed_revision = 0
        self._under_way = False

    def floor_revision(self) -> int:
        """Return the revision below which no gateway may get a lease.

        It includes MarkInForce commands that are proposed and may still be committed.
        """
        return max(self._state.in_force_revision, self._proposed_revision)

    def begin(self) -> None:
        """Start a leadership term."""
        self._proposed_revision = 0
        self.start(self._period_s)

    def run_once(self) -> None:
        """Mark the acknowledged revision as in force, if no MarkInForce is in flight."""
        if self._under_way or not self._serving():
            return
        if self._state.in_force_revision >= self._state.revision:
            return
        target = self._leases.in_force_revision(self._state.revision, self._clock.seconds())
        if target is None or target <= self._state.in_force_revision:
            return
        self._proposed_revision = max(self._proposed_revision, target)
        self._under_way = True
        self._group.propose(MarkInForce(target)).addBoth(self._finished)

    def _finished(self, _: Any) -> None:
        self._under_way = False
