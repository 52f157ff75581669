"""The HTTP/1.1 server: its limits, its connections and their planned end."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from rainsail.budget.client_budget import ClientBudget
from rainsail.http.exchange import Exchange, Handler, HttpRequest
from rainsail.http.limits import HttpLimits
from rainsail.http.parsing_queue import ParsingQueue
from rainsail.http.request_body import Refusal
from rainsail.http.server_connection import ServerConnection
from rainsail.http.statuses import STATUS_UNAVAILABLE
from rainsail.runtime.clock import Clock

STOPPING = "stopping"
OTHER_SERVER_AFTER_S = 0.0
"""Told to clients that are refused at the end of a planned stop: none arrives here any more."""
REFUSAL = Refusal(STATUS_UNAVAILABLE, STOPPING, OTHER_SERVER_AFTER_S)


class HttpServer(Factory):
    """Accepts connections and counts the requests in progress."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        limits: HttpLimits,
        budget: ClientBudget | None = None,
        parsing: ParsingQueue | None = None,
    ) -> None:
        """All servers of a process should share its ``budget``; by default they have their own.

        They should share ``parsing`` as well, also with the connections to runners.
        """
        self.handler = handler
        self.budget = budget or ClientBudget(clock.seconds)
        self.parsing = parsing or ParsingQueue(clock)
        self.clock = clock
        self.limits = limits
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.requests_under_way = 0
        self._on_drained: Callable[[], None] | None = None

    def buildProtocol(self, addr: Any) -> ServerConnection | None:
        """Return the protocol of an accepted connection; None closes it, as there is no room."""
        return ServerConnection(self) if self.budget.admit_connection() else None

    def drain(self) -> None:
        """Send ``Connection: close`` with every answer that begins from now on.

        Clients whose answers began before may send another request; ``close_idle`` closes their
        connections.
        """
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress or an expected first request."""
        for connection in list(self.connections):
            if not connection.awaits_first_request:
                connection.close_if_idle()

    def refuse_arriving(self, retry_after_s: Callable[[HttpRequest], float | None]) -> None:
        """Refuse the requests whose bodies are arriving and that can't be served any more.

        ``retry_after_s`` gets each of them without its body, and returns None for those that can.
        """
        for connection in list(self.connections):
            request = connection.arriving
            if request is None:
                continue
            after_s = retry_after_s(request)
            if after_s is not None:
                connection.end_request(Refusal(STATUS_UNAVAILABLE, STOPPING, after_s))

    def end_requests(self) -> None:
        """End every request with a complete answer, and refuse those that come later.

        Used before the process ends: a connection that closes without an answer leaves it open
        whether the request has run. An answer that has begun is reset.
        """
        self.handler = _refuse_late
        for connection in list(self.connections):
            connection.end_request(REFUSAL)

    def abort_unframed(self) -> None:
        """Reset the connections whose answers an orderly close would make look complete."""
        for connection in list(self.connections):
            connection.abort_unframed()

    def when_drained(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` once no connection is left, so that every answer has been flushed."""
        self._on_drained = listener
        self.check_drained()

    def check_drained(self) -> None:
        """Call the listener if the last connection has closed."""
        if not self.connections and self._on_drained is not None:
            listener, self._on_drained = self._on_drained, None
            listener()


def _refuse_late(exchange: Exchange) -> None:
    """Refuse a request that is complete too late to be handled; nothing has run."""
    exchange.answer(STATUS_UNAVAILABLE, ((b"Retry-After", b"%g" % OTHER_SERVER_AFTER_S),), b"")


__all__ = ["HttpLimits", "HttpServer"]
