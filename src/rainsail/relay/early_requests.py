"""Holds requests that reach a gateway after its start, before it has a routing table.

Unless the controllers are down, the table arrives within a second. A refused client retries late
and only about once, so requests wait briefly for the table instead, and only right after the start.
"""

from collections.abc import Callable

from rainsail.http.exchange import Exchange
from rainsail.relay.held_requests import HeldRequests
from rainsail.runtime.clock import Clock

STARTUP_PERIOD_S = 2.0
"""A gateway that has no table after this time has no controller that answers.

Well above the 0.6 s within which gateways get a table.
"""


class EarlyRequests:
    """Holds requests until ``release``; refuses those that wait for too long."""

    def __init__(self, clock: Clock, refuse: Callable[[Exchange], None]) -> None:
        self._clock = clock
        self._refuse = refuse
        self._started_s = clock.seconds()
        self._held = HeldRequests(clock, refuse)

    def hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it after the startup period or if too many are held."""
        if self._clock.seconds() - self._started_s < STARTUP_PERIOD_S:
            self._held.hold(exchange)
        else:
            self._refuse(exchange)

    def release(self, handle: Callable[[Exchange], None]) -> None:
        """Pass all held requests to ``handle`` in the order of their arrival."""
        for exchange in self._held.take_all():
            handle(exchange)
