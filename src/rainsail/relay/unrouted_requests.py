"""Requests for which the routing table here has no route, until a quorum has confirmed that table.

A client takes "not found" for final. The table here may be older than the one in force, also right
after a start, so that a request is rejected only by a table that was confirmed a moment ago; until
then it waits briefly, and is refused for now if the table can't be confirmed.
"""

from collections.abc import Callable

from rainsail.cluster.table_confirmation import TableConfirmation
from rainsail.http.exchange import Exchange
from rainsail.relay.held_requests import HeldRequests
from rainsail.runtime.clock import Clock

TRUSTED_S = 1.0
"""How long a confirmed table may reject requests: half the time in which a change takes effect.

Bounds the controllers' load by clients that send only such requests.
"""


class UnroutedRequests:
    """Holds requests without a route until it is certain whether they have one."""

    def __init__(
        self,
        tables: TableConfirmation,
        clock: Clock,
        decide: Callable[[Exchange], None],
        refuse: Callable[[Exchange], None],
    ) -> None:
        """``decide`` gets a request once the table is confirmed; ``refuse`` if it can't be."""
        self._tables = tables
        self._clock = clock
        self._decide = decide
        self._refuse = refuse
        self._held = HeldRequests(clock, refuse)
        self._is_failing = False
        """Whether the last confirmation failed."""

    def may_reject(self) -> bool:
        """Tell whether the table was confirmed recently enough to reject a request at once."""
        return self._tables.is_confirmed_since(self._clock.seconds() - TRUSTED_S)

    def hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it at once while the table can't be confirmed."""
        if self._is_failing:
            self._refuse(exchange)
            self._tables.confirm().addCallback(self._note_result)
            return
        number = self._held.hold(exchange)
        if number is not None:
            self._tables.confirm().addCallback(self._confirmed, number)

    def release(self, handle: Callable[[Exchange], None]) -> None:
        """Pass all held requests to ``handle`` in the order of their arrival."""
        for exchange in self._held.take_all():
            handle(exchange)

    def _note_result(self, is_confirmed: bool) -> None:
        self._is_failing = not is_confirmed

    def _confirmed(self, is_confirmed: bool, number: int) -> None:
        self._note_result(is_confirmed)
        exchange = self._held.take(number)
        if exchange is None:
            return
        if is_confirmed:
            self._decide(exchange)
        else:
            self._refuse(exchange)
