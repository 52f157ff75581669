"""The HTTP/1.1 server: its limits, its connections and their planned end."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from rainsail.budget.client_budget import ClientBudget
from rainsail.http.exchange import Handler
from rainsail.http.limits import HttpLimits
from rainsail.http.parsing_queue import ParsingQueue
from rainsail.http.server_connection import ServerConnection
from rainsail.runtime.clock import Clock


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


__all__ = ["HttpLimits", "HttpServer"]
