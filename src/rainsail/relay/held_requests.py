"""Requests that wait briefly for the routing table, up to a number and a total size."""

from collections.abc import Callable

from rainsail.http.exchange import Exchange
from rainsail.runtime.clock import Clock

MAX_HOLD_S = 0.8
"""A request waits at most this long: gateways get a table 0.5 to 0.6 s after their start."""
MAX_HELD_REQUESTS = 500
"""Requests held at once, so that they take a few megabytes at most."""
MAX_HELD_BYTES = 8 * 1024 * 1024
"""Total size of the bodies held at once.

The body of a job may have a megabyte, and a gateway has about 200 MB in all.
"""


class HeldRequests:
    """Holds requests until they are taken; refuses those that wait for too long."""

    def __init__(self, clock: Clock, refuse: Callable[[Exchange], None]) -> None:
        self._clock = clock
        self._refuse = refuse
        self._held: dict[int, Exchange] = {}
        self._held_bytes = 0
        self._last_number = 0

    def hold(self, exchange: Exchange) -> int | None:
        """Hold a request and return its number; refuse it and return None if too many are held."""
        size = len(exchange.request.body)
        if len(self._held) >= MAX_HELD_REQUESTS or self._held_bytes + size > MAX_HELD_BYTES:
            self._refuse(exchange)
            return None
        self._held_bytes += size
        self._last_number += 1
        number = self._last_number
        self._held[number] = exchange
        exchange.on_disconnect(lambda: self._client_disconnected(number))
        self._clock.callLater(MAX_HOLD_S, self._expire, number)
        return number

    def _client_disconnected(self, number: int) -> None:
        self.take(number)

    def take(self, number: int) -> Exchange | None:
        """Remove a request and return it; None if it is not held any more."""
        exchange = self._held.pop(number, None)
        if exchange is not None:
            self._held_bytes -= len(exchange.request.body)
        return exchange

    def take_all(self) -> list[Exchange]:
        """Remove all requests and return them in the order of their arrival."""
        held = list(self._held.values())
        self._held.clear()
        self._held_bytes = 0
        return held

    def _expire(self, number: int) -> None:
        exchange = self.take(number)
        if exchange is not None:
            self._refuse(exchange)
