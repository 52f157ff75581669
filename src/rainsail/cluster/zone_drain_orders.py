"""Zone drains: ordered by an operator at any controller, decided by the root group's leader.

An order is in force once a quorum has synced it. Orders on one zone are serialized: each carries
the revision that its proposer has read, so an order that was delayed between controllers while a
newer one was acknowledged has no effect. An order that was stuck at a frozen controller is
recognized by its closed connection: operators retry elsewhere, or send a newer order, only after
they have given up on the call. This makes it safe to repeat an order.
"""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.leader_answers import confirmed_read, not_leading
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import (
    OrderZoneDrain,
    ReadZoneDrains,
    ZoneDrainAnswer,
    ZoneDrainNotice,
)
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import SetZoneDrain, ZoneDrain
from rainsail.wire.messenger import Messenger

ORDER_WITHIN_S = 0.9
"""After this time the operator is told that the outcome is unknown."""
STEP = "cluster.order_zone_drain"


class ZoneDrainOrders:
    """Accepts orders at any controller and forwards them to the leader, which decides."""

    def __init__(
        self,
        group: GroupDriver,
        state: FleetState,
        calls: LeaderCaller,
        clock: Clock,
        zones: Callable[[], frozenset[str]],
    ) -> None:
        """``zones`` returns the zones of the fleet; orders on others are refused."""
        self._group = group
        self._state = state
        self._calls = calls
        self._clock = clock
        self._zones = zones

    def serve(self, messenger: Messenger) -> None:
        """Register the handlers for calls that other controllers forward to the leader."""
        messenger.serve(OrderZoneDrain, lambda source, message: self._order_as_leader(message))
        messenger.serve(ReadZoneDrains, lambda source, message: self._read_as_leader(message))

    def order(
        self, zone: str, draining: bool, is_awaited: Callable[[], bool] = lambda: True
    ) -> "Deferred[Result[ZoneDrain, Fault]]":
        """Begin or end the drain of a zone; NOT_FOUND if the fleet has no such zone.

        ``is_awaited`` tells whether the operator still waits for the reply.
        """
        if zone not in self._zones():
            return succeed(Error(Fault(FaultCode.NOT_FOUND, STEP, f"no zone {zone}")))
        logger.bind(zone=zone, draining=draining).info("zone_drain_ordered")
        return Deferred.fromCoroutine(self._order(zone, draining, is_awaited))

    def read(self) -> "Deferred[Result[ZoneDrainNotice, Fault]]":
        """Return the newest order on each zone, confirmed by a quorum."""
        return self._calls.call(ReadZoneDrains(), self._read_as_leader, ORDER_WITHIN_S, True)

    async def _order(
        self, zone: str, draining: bool, is_awaited: Callable[[], bool]
    ) -> Result[ZoneDrain, Fault]:
        """Read a zone's newest order from the leader, then propose the next (compare-and-set).

        If another order gets in between it may be newer than this one, so there is no retry.
        """
        deadline_s = self._clock.seconds() + ORDER_WITHIN_S
        known = await self._calls.call(
            ReadZoneDrains(), self._read_as_leader, ORDER_WITHIN_S, repeatable=True
        )
        left_s = deadline_s - self._clock.seconds()
        if known.is_error() or left_s <= 0:
            return Error(_unclear("the newest order was not read in time"))
        if not is_awaited():
            # The order may have been stuck here while a newer one was accepted. The revision
            # that was just read does not reveal that, since it already includes the newer order.
            logger.bind(zone=zone, draining=draining).warning("zone_drain_order_dropped")
            return Error(Fault(FaultCode.UNAVAILABLE, STEP, "the operator has left"))
        expected = _revision_of(zone, known.ok)
        message = OrderZoneDrain(zone, draining, expected)
        result = await self._calls.call(message, self._order_as_leader, left_s, repeatable=True)
        if result.is_error():
            return Error(result.error)
        answer: ZoneDrainAnswer = result.ok
        if not answer.taken:
            return Error(_unclear("another order on the zone came in between"))
        return Ok(answer.drain)

    def _order_as_leader(self, message: OrderZoneDrain) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, STEP))
        held = self._state.zone_drain(message.zone)
        if held.draining == message.draining or held.revision != message.expected_revision:
            return confirmed_read(self._group, lambda: self._answer(message))
        command = SetZoneDrain(message.zone, message.draining, message.expected_revision)
        proposed = self._group.propose(command)
        return proposed.addCallback(self._proposed, message)

    def _proposed(self, result: Any, message: OrderZoneDrain) -> Any:
        return result.error if result.is_error() else self._answer(message)

    def _answer(self, message: OrderZoneDrain) -> ZoneDrainAnswer:
        held = self._state.zone_drain(message.zone)
        return ZoneDrainAnswer(held, held.draining == message.draining)

    def _read_as_leader(self, message: ReadZoneDrains) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, "cluster.read_zone_drains"))
        return confirmed_read(self._group, lambda: ZoneDrainNotice(self._state.zone_drains()))


def _unclear(detail: str) -> Fault:
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, outcome=Outcome.UNKNOWN)


def _revision_of(zone: str, notice: ZoneDrainNotice) -> int:
    """Return the revision of a zone's newest order, 0 when there is none."""
    return max((drain.revision for drain in notice.zone_drains if drain.zone == zone), default=0)
