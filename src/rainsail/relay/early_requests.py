"""Holds requests that reach a gateway after its start, before it has a routing table.

Unless the controllers are down, the table arrives within a second. A refused client retries late
and only about once, so requests wait briefly for the table instead, and only right after the start.
"""

from collections.abc import Callable

from rainsail.http.exchange import Exchange
from rainsail.runtime.clock import Clock

STARTUP_PERIOD_S = 2.0
"""A gateway that has no table after this time has no controller that answers.

Well above the 0.6 s within which gateways get a table.
"""
MAX_HOLD_S = 0.8
"""A request waits at most this long: gateways get a table 0.5 to 0.6 s after their start."""
MAX_HELD_REQUESTS = 500
"""Requests held at once, so that they take a few megabytes at most."""
MAX_HELD_BYTES = 8 * 1024 * 1024
"""Total size of the bodies held at once.

The body of a job may have a megabyte, and a gateway has about 200 MB in all.
"""


class EarlyRequests:
    """Holds requests until ``release``; refuses those that wait for too long."""

    def __init__(self, clock: Clock, refuse: Callable[[Exchange], None]) -> None:
        self._clock = clock
        self._refuse = refuse
        self._started_s = clock.seconds()
        self._held: dict[int, Exchange] = {}
        self._held_bytes = 0
        self._last_number = 0

    def hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it after the startup period or if too many are held."""
        starting = self._clock.seconds() - self._started_s < STARTUP_PERIOD_S
        size = len(exchange.request.body)
        full = len(self._held) >= MAX_HELD_REQUESTS or self._held_bytes + size > MAX_HELD_BYTES
        if not starting or full:
            self._refuse(exchange)
            return
        self._held_bytes += size
        self._last_number += 1
        number = self._last_number
        self._held[number] = exchange
        exchange.on_disconnect(lambda: self._client_disconnected(number))
        self._clock.callLater(MAX_HOLD_S, self._expire, number)

    def _client_disconnected(self, number: int) -> None:
        self._drop(number)

    def _drop(self, number: int) -> Exchange | None:
        exchange = self._held.pop(number, None)
        if exchange is not None:
            self._held_bytes -= len(exchange.request.body)
        return exchange

    def _expire(self, number: int) -> None:
        exchange = self._drop(number)
        if exchange is not None:
            self._refuse(exchange)

    def release(self, handle: Callable[[Exchange], None]) -> None:
        """Pass all held requests to ``handle`` in the order of their arrival."""
        held, self._held = self._held, {}
        self._held_bytes = 0
        for exchange in held.values():
            handle(exchange)
