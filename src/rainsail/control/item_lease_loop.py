"""The leader's loop that revokes the batch leases of holders that stopped renewing."""

from collections.abc import Callable
from typing import Any

from rainsail.consensus.interface import Group
from rainsail.control.item_leases import ItemLeaseTable
from rainsail.runtime.clock import Clock
from rainsail.state.commands import RevokeLeases
from rainsail.state.interface import ReplicatedReader


class ItemLeaseLoop:
    """Proposes RevokeLeases for lapsed holders while this replica leads."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        leases: ItemLeaseTable,
        clock: Clock,
        period_s: float,
        serving: Callable[[], bool],
    ) -> None:
        self._group = group
        self._state = state
        self._leases = leases
        self._clock = clock
        self._period_s = period_s
        self._serving = serving
        self._under_way: dict[str, bool] = {}
        self._timer: Any = None

    def begin(self) -> None:
        """Start with a leadership; every holder gets a full period."""
        self.end()
        self._leases.begin()
        self._timer = self._clock.callLater(0.0, self._tick)

    def end(self) -> None:
        """Stop with the leadership."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _tick(self) -> None:
        self._timer = self._clock.callLater(self._period_s, self._tick)
        if not self._serving():
            return
        for holder in self._leases.lapsed(self._state.holders(), self._clock.seconds()):
            if holder not in self._under_way:
                self._revoke(holder)

    def _revoke(self, holder: str) -> None:
        self._under_way[holder] = True
        done = self._group.propose(RevokeLeases(holder))
        done.addBoth(lambda _: self._under_way.pop(holder, None))
