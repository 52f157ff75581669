"""A node's knowledge that no newer routing table was in force at some moment.

A node's table may be older than the one in force, even while controllers answer its heartbeats: the
controller that has acknowledged a table may be frozen, and the others learn that it is committed
only from their next leader. A decision for good that rests on what a table lacks therefore needs a
table that a quorum has confirmed. Nothing here is durable.
"""

from twisted.internet.defer import Deferred

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import SubmitTable, TableAccepted
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.runtime.clock import Clock, sleep
from rainsail.wire.messenger import Messenger

NEWEST_VERSION_QUERY = SubmitTable(0, b"")
"""Asks the controllers' leader for the newest version, confirmed by a quorum.

Every table is at least as new as version 0, so that this order changes nothing.
"""
CONFIRM_WITHIN_S = 3.0
"""Time limit of one confirmation; covers the election of a leader of the controllers."""
CALL_TIMEOUT_S = 0.4
"""Timeout of one attempt: a frozen controller delays the confirmation by this time only."""
TABLE_POLL_S = 0.02
"""Interval at which the arrival of a newer table is looked for."""


class TableConfirmation:
    """Confirms the routing table of this node; one call at a time for all who ask."""

    def __init__(self, follower: FleetFollower, messenger: Messenger, clock: Clock) -> None:
        self._follower = follower
        self._clock = clock
        self._calls = LeaderCaller(messenger, clock, None, self._controllers, CALL_TIMEOUT_S)
        self._confirmed_s = float("-inf")
        self._waiting: list[tuple[float, Deferred[bool]]] = []
        self._is_running = False

    def _controllers(self) -> list[str]:
        controllers = self._follower.controllers
        return controllers.in_touch() or list(controllers.addresses())

    def is_confirmed_since(self, moment_s: float) -> bool:
        """Tell whether the table here is at least as new as all that were in force at a moment."""
        return self._confirmed_s >= moment_s

    def confirm(self) -> "Deferred[bool]":
        """Fire with whether the table here is now at least as new as the one in force.

        Fires within two times ``CONFIRM_WITHIN_S``.
        """
        done: Deferred[bool] = Deferred()
        self._waiting.append((self._clock.seconds(), done))
        self._run_next()
        return done

    def _run_next(self) -> None:
        if self._is_running or not self._waiting:
            return
        self._is_running = True
        begun_s = self._clock.seconds()
        Deferred.fromCoroutine(self._confirm(begun_s)).addCallback(self._end, begun_s)

    async def _confirm(self, begun_s: float) -> Fault | None:
        """Ask for the newest version and wait until this node has it; return the fault, if any."""
        until_s = begun_s + CONFIRM_WITHIN_S
        result = await self._calls.call(
            NEWEST_VERSION_QUERY, None, CONFIRM_WITHIN_S, repeatable=True
        )
        if result.is_error():
            return result.error
        newest: TableAccepted = result.ok
        while self._follower.table_version < newest.version:
            if self._clock.seconds() >= until_s:
                detail = f"table {newest.version} has not arrived"
                return Fault(FaultCode.TIMEOUT, "cluster.confirm_table", detail)
            self._follower.learn_table_version(newest.version)
            await sleep(self._clock, TABLE_POLL_S)
        return None

    def _end(self, fault: Fault | None, begun_s: float) -> None:
        self._is_running = False
        if fault is None:
            self._confirmed_s = begun_s
        else:
            version = self._follower.table_version
            logger.bind(version=version, fault=str(fault)).info("table_not_confirmed")
        answered = [done for asked_s, done in self._waiting if asked_s <= begun_s]
        self._waiting = [each for each in self._waiting if each[0] > begun_s]
        for done in answered:
            done.callback(fault is None)
        self._run_next()
