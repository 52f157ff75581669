"""The leader's loop that revokes the batch item leases of holders that stopped renewing."""

from collections.abc import Callable

from rainsail.consensus.interface import Group
from rainsail.control.item_leases import ItemLeaseTable
from rainsail.control.leader_loop import LeaderLoop
from rainsail.runtime.clock import Clock
from rainsail.state.commands import RevokeLeases
from rainsail.state.interface import ReplicatedReader


class ItemLeaseLoop(LeaderLoop):
    """Proposes RevokeLeases for holders with expired leases while this replica leads."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        leases: ItemLeaseTable,
        clock: Clock,
        period_s: float,
        serving: Callable[[], bool],
    ) -> None:
        super().__init__(clock, period_s)
        self._group = group
        self._state = state
        self._leases = leases
        self._serving = serving
        self._under_way: dict[str, bool] = {}

    def begin(self) -> None:
        """Start a leadership term; every holder gets a full lease period."""
        self._leases.begin()
        self.start(0.0)

    def run_once(self) -> None:
        """Revoke the leases of holders whose lease has expired."""
        if not self._serving():
            return
        for holder in self._leases.lapsed(self._state.holders(), self._clock.seconds()):
            if holder not in self._under_way:
                self._revoke(holder)

    def _revoke(self, holder: str) -> None:
        self._under_way[holder] = True
        done = self._group.propose(RevokeLeases(holder))
        done.addBoth(lambda _: self._under_way.pop(holder, None))
