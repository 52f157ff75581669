"""Emptying (decommissioning) of storage nodes: an operator's order and its progress."""

from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.founders import voters_for
from rainsail.cluster.leader_answers import not_leading, reply_to_proposal
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import EmptyingStatus, EmptyNode, NodeRole, ReadEmptying
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import ReleaseNode
from rainsail.wire.messenger import Messenger

ORDER_WITHIN_S = 0.9
"""After this time the operator is told that the outcome is unknown."""


class EmptyingOrders:
    """Accepts orders at any controller and forwards them to the leader, which decides."""

    def __init__(
        self,
        group: GroupDriver,
        state: FleetState,
        directory: NodeDirectory,
        calls: LeaderCaller,
        clock: Clock,
        losses: int,
    ) -> None:
        """``losses`` is how many machines with a disk may be lost at one time."""
        self._group = group
        self._state = state
        self._directory = directory
        self._calls = calls
        self._clock = clock
        self._losses = losses

    def serve(self, messenger: Messenger) -> None:
        """Register the handlers for calls that other controllers forward to the leader."""
        messenger.serve(EmptyNode, lambda source, message: self._empty_as_leader(message))
        messenger.serve(ReadEmptying, lambda source, message: self._status_as_leader(message))

    def empty(self, name: str) -> "Deferred[Result[Any, Fault]]":
        """Empty a storage node; NOT_FOUND if it is unknown, CONFLICT if too few would remain."""
        return self._calls.call(EmptyNode(name), self._empty_as_leader, ORDER_WITHIN_S)

    def status(self, name: str) -> "Deferred[Result[Any, Fault]]":
        """Return the progress of a node's emptying; NOT_FOUND if it was not ordered."""
        return self._calls.call(ReadEmptying(name), self._status_as_leader, ORDER_WITHIN_S)

    def _empty_as_leader(self, message: EmptyNode) -> Any:
        step = "cluster.empty_node"
        if not self._group.is_leader():
            return not_leading(self._group, step)
        node = self._directory.find(message.name, NodeRole.STORAGE)
        if node is None:
            return Fault(FaultCode.NOT_FOUND, step, f"no storage node {message.name}")
        if node.address in self._state.released:
            return EmptyingStatus(message.name, False)
        remaining = self._remaining_without(node.address)
        if remaining < voters_for(self._losses):
            return Fault(FaultCode.CONFLICT, step, f"only {remaining} storage nodes would stay")
        proposed = self._group.propose(ReleaseNode(node.address))
        return proposed.addCallback(reply_to_proposal, EmptyingStatus(message.name, False))

    def _remaining_without(self, address: str) -> int:
        """Return how many live storage nodes would remain without this one."""
        leaving = {address, *self._state.released}
        live = self._directory.live(NodeRole.STORAGE, self._clock.seconds())
        return sum(1 for node in live if node.address not in leaving)

    def _status_as_leader(self, message: ReadEmptying) -> Any:
        step = "cluster.emptying"
        if not self._group.is_leader():
            return not_leading(self._group, step)
        node = self._directory.find(message.name, NodeRole.STORAGE)
        if node is None or node.address not in self._state.released:
            return Fault(FaultCode.NOT_FOUND, step, f"{message.name} is not being emptied")
        return EmptyingStatus(message.name, self._is_emptied(node.address))

    def _is_emptied(self, address: str) -> bool:
        leading = self._directory.ledger_status(self._clock.seconds())
        if leading is None:
            return False
        status = leading[1]
        enough = len(status.voters) >= voters_for(self._losses)
        return status.settled and enough and address not in status.voters
