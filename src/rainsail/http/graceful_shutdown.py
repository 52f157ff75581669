"""Closes the port and the connections of an ``HttpServer`` without interrupting requests.

A client whose connection is reset after it has sent a request can't tell whether that ran. So
requests that have reached the port are accepted and answered, and later clients are refused while
they connect, before they have sent anything. What is still under way shortly before the time limit
is ended with a complete answer.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.http.server import HttpServer
from rainsail.runtime.clock import Clock, Timer
from rainsail.runtime.sockets import HANDSHAKE_S, accept_and_close, ignore_new_connections

IDLE_CLOSE_PERIOD_S = 0.1
LAST_ANSWERS_S = 0.4
"""The last answers are written this long before the limit, so that they leave the process."""
LAST_ANSWERS_SHARE = 0.25
"""Upper bound of the same, as a share of the limit."""


def last_answers_s(limit_s: float) -> float:
    """Return how long before a time limit the requests under way are ended."""
    return min(LAST_ANSWERS_S, LAST_ANSWERS_SHARE * limit_s)


def _no_requests() -> None:
    """Ends nothing: the server's requests have no owner that ends them itself."""


class GracefulShutdown:
    """Shuts one server down; ``port`` is the reactor's listening port for it."""

    def __init__(self, server: HttpServer, port: Any, clock: Clock) -> None:
        self._server = server
        self._port = port
        self._clock = clock
        self._timers: list[Timer] = []
        self._is_finished = False
        self._finished: Deferred[None] = Deferred()
        self._end_requests: Callable[[], None] = _no_requests

    def finish(
        self, limit_s: float, end_requests: Callable[[], None] = _no_requests
    ) -> "Deferred[None]":
        """Close everything; fires when the last connection has closed, or after ``limit_s``.

        ``end_requests`` is called shortly before the limit, to end requests by their own rules. The
        server ends those that are under way behind it.
        """
        clock = self._clock
        self._end_requests = end_requests
        self._timers = [
            clock.callLater(limit_s - last_answers_s(limit_s), self._end_under_way),
            clock.callLater(limit_s, self._finish),
        ]
        self._server.drain()
        ignore_new_connections(self._port)
        clock.callLater(HANDSHAKE_S, self._close_port)
        return self._finished

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._finished.callback(None)

    def _end_under_way(self) -> None:
        self._end_requests()
        self._server.end_requests()

    def _close_port(self) -> None:
        accept_and_close(self._port)
        self._clock.callLater(IDLE_CLOSE_PERIOD_S, self._close_idle)
        self._server.when_drained(self._finish)

    def _close_idle(self) -> None:
        """Close idle connections repeatedly until none is left, including new ones."""
        self._server.close_idle()
        if self._server.connections:
            self._clock.callLater(IDLE_CLOSE_PERIOD_S, self._close_idle)
