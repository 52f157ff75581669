"""Requests that come to a gateway which has just started and knows no routing table yet.

The table is a moment away unless controllers are away too. A refused client comes back only once or
so, and late; so requests wait for the table, not for long, and only right after the start.
"""

from collections.abc import Callable

from rainsail.http.exchange import Exchange
from rainsail.runtime.clock import Clock

STARTUP_PERIOD_S = 2.0
"""A gateway without a table that has run for longer has no controller that answers.

Not measured by itself; well above the 0.6 s after which gateways had a table.
"""
MAX_HOLD_S = 0.8
"""A request waits this long at most: two gateways had one 0.5 to 0.6 s after their start."""
MAX_HELD_REQUESTS = 500
"""Requests that wait at once. Not measured; chosen so that they cost a few megabytes at most."""
MAX_HELD_BYTES = 8 * 1024 * 1024
"""Bytes of the bodies that wait at once.

Not measured; chosen since bodies of whole jobs may have a megabyte each, and a gateway has some
200 MB in all.
"""


class EarlyRequests:
    """Holds requests back until ``release``; what waits too long is refused."""

    def __init__(self, clock: Clock, refuse: Callable[[Exchange], None]) -> None:
        self._clock = clock
        self._refuse = refuse
        self._started_s = clock.seconds()
        self._held: dict[int, Exchange] = {}
        self._held_bytes = 0
        self._last_number = 0

    def hold(self, exchange: Exchange) -> None:
        """Take a request that can't be served yet."""
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
        exchange.on_disconnect(lambda: self._left(number))
        self._clock.callLater(MAX_HOLD_S, self._expire, number)

    def _left(self, number: int) -> None:
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
        """Have all that wait served, in the order in which they came."""
        held, self._held = self._held, {}
        self._held_bytes = 0
        for exchange in held.values():
            handle(exchange)
