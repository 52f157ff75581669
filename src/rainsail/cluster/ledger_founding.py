"""Founding of the ledger: the root group's leader chooses, once, the founding storage nodes."""

from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.founders import choose_founders, voters_for
from rainsail.cluster.messages import NodeRole
from rainsail.consensus.driver import GroupDriver
from rainsail.logs import logger
from rainsail.state.cluster_commands import FoundLedger

FOUND_WITH_FEWER_AFTER_S = 6.0
"""How long a leader waits for enough storage nodes before it founds the ledger with fewer."""


class LedgerFounding:
    """Checks periodically whether the ledger can be founded."""

    def __init__(
        self, group: GroupDriver, state: FleetState, directory: NodeDirectory, losses: int
    ) -> None:
        """``losses`` is how many machines with a disk may be lost at one time."""
        self._group = group
        self._state = state
        self._directory = directory
        self._wanted = voters_for(losses)
        self._leads_since_s: float | None = None
        self._proposed = False

    def check(self, now: float) -> None:
        """Found the ledger if this controller leads and enough storage nodes are live."""
        if not self._group.is_leader():
            self._leads_since_s = None
            return
        if self._leads_since_s is None:
            self._leads_since_s = now
        if self._state.founders or self._proposed:
            return
        nodes = self._directory.live(NodeRole.STORAGE, now)
        waited_s = now - self._leads_since_s
        if not nodes or (len(nodes) < self._wanted and waited_s < FOUND_WITH_FEWER_AFTER_S):
            return
        founders = choose_founders(nodes, self._wanted)
        self._proposed = True
        logger.bind(founders=",".join(founders)).info("ledger_founders_chosen")
        self._group.propose(FoundLedger(founders)).addCallback(self._ended)

    def _ended(self, result: object) -> None:
        self._proposed = False
