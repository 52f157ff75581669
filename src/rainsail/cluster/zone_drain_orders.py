"""Draining zones: an operator's order at any controller, decided by the root group's leader.

An order counts once a quorum has synced it. Orders on one zone take effect one after the other;
each names the order that its proposer knew, so that one which was held up between controllers
while a newer one was acknowledged changes nothing. One that waited at a controller which stood
still is known by its operator, who has left meanwhile: operators send an order elsewhere, or a
newer one, only after they have given up on the call. That makes it safe to send an order again.
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
"""After this time the operator hears that the outcome is unclear."""
STEP = "cluster.order_zone_drain"


class ZoneDrainOrders:
    """Takes orders at any controller; the leader decides on them."""

    def __init__(
        self,
        group: GroupDriver,
        state: FleetState,
        calls: LeaderCaller,
        clock: Clock,
        zones: Callable[[], frozenset[str]],
    ) -> None:
        """``zones`` returns the zones of the fleet."""
        self._group = group
        self._state = state
        self._calls = calls
        self._clock = clock
        self._zones = zones

    def serve(self, messenger: Messenger) -> None:
        """Answer other controllers while this one leads."""
        messenger.serve(OrderZoneDrain, lambda source, message: self._order_as_leader(message))
        messenger.serve(ReadZoneDrains, lambda source, message: self._read_as_leader(message))

    def order(
        self, zone: str, draining: bool, is_awaited: Callable[[], bool] = lambda: True
    ) -> "Deferred[Result[ZoneDrain, Fault]]":
        """Begin or end the drain of a zone; NOT_FOUND when the fleet has no such zone.

        ``is_awaited`` tells whether the operator still waits for the answer.
        """
        if zone not in self._zones():
            return succeed(Error(Fault(FaultCode.NOT_FOUND, STEP, f"no zone {zone}")))
        logger.bind(zone=zone, draining=draining).info("zone_drain_ordered")
        return Deferred.fromCoroutine(self._order(zone, draining, is_awaited))

    def read(self) -> "Deferred[Result[ZoneDrainNotice, Fault]]":
        """Return the newest order on each zone, as a quorum confirms it."""
        return self._calls.call(ReadZoneDrains(), self._read_as_leader, ORDER_WITHIN_S, True)

    async def _order(
        self, zone: str, draining: bool, is_awaited: Callable[[], bool]
    ) -> Result[ZoneDrain, Fault]:
        """Read the zone's newest order from the leader, then have the next one take its place.

        An order that comes in between may be newer than this one, so nothing is tried again then.
        """
        deadline_s = self._clock.seconds() + ORDER_WITHIN_S
        known = await self._calls.call(
            ReadZoneDrains(), self._read_as_leader, ORDER_WITHIN_S, repeatable=True
        )
        left_s = deadline_s - self._clock.seconds()
        if known.is_error() or left_s <= 0:
            return Error(_unclear("the newest order was not read in time"))
        if not is_awaited():
            # It may have waited here while a newer order was taken: what was read just now can't
            # tell, since it holds the newer one already.
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
