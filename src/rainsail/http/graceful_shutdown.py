"""Closes the port and the connections of an ``HttpServer`` without interrupting requests.

A client whose connection is reset after it has sent a request can't tell whether that ran. So
requests that have reached the port are accepted and answered, and later clients are refused while
they connect, before they have sent anything.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.http.server import HttpServer
from rainsail.runtime.clock import Clock
from rainsail.runtime.sockets import HANDSHAKE_S, accept_and_close, ignore_new_connections

IDLE_CLOSE_PERIOD_S = 0.1


class GracefulShutdown:
    """Shuts one server down; ``port`` is the reactor's listening port for it."""

    def __init__(self, server: HttpServer, port: Any, clock: Clock) -> None:
        self._server = server
        self._port = port
        self._clock = clock

    def finish(self, limit_s: float) -> "Deferred[None]":
        """Close everything; fires when the last connection has closed, or after ``limit_s``."""
        finished: Deferred[None] = Deferred()
        limit = self._clock.callLater(limit_s, finished.callback, None)

        def on_drained() -> None:
            if limit.active():
                limit.cancel()
                finished.callback(None)

        self._server.drain()
        ignore_new_connections(self._port)
        self._clock.callLater(HANDSHAKE_S, self._close_port, on_drained)
        return finished

    def _close_port(self, on_drained: Callable[[], None]) -> None:
        accept_and_close(self._port)
        self._clock.callLater(IDLE_CLOSE_PERIOD_S, self._close_idle)
        self._server.when_drained(on_drained)

    def _close_idle(self) -> None:
        """Close idle connections repeatedly until none is left, including new ones."""
        self._server.close_idle()
        if self._server.connections:
            self._clock.callLater(IDLE_CLOSE_PERIOD_S, self._close_idle)
