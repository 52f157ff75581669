"""Tracks the connections of a web site, so that a graceful stop drops no request.

A process that merely stops listening and ends would drop requests that it has not read yet, and
responses that are still being produced or sent. ``stop_accepting`` accepts the connections and
reads the requests that already reached the port; from then on each response announces that its
connection closes. ``finish`` lets requests in progress end, closes each connection once its bytes
are sent, and aborts those that are left after a limit. A connection without a request so far stays
open for ``FIRST_REQUEST_S`` from its start.
"""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.web.server import Site

from rainsail.logs import logger
from rainsail.runtime.clock import Clock, sleep
from rainsail.runtime.sockets import (
    FIRST_REQUEST_S,
    HANDSHAKE_S,
    accept_and_close,
    close_if_nothing_unread,
    ignore_new_connections,
)

IDLE_READ_S = 0.25
"""Idle connections are read for this long before they are closed at a graceful stop.

Longer than a request that was sent when the stop began takes to arrive.
"""


class ServedConnections:
    """The open connections of one site, by their HTTP channels."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self._clock = clock
        self._channels: set[Any] = set()
        self._opened_s: dict[Any, float] = {}
        """When each connection that has carried no request yet was opened."""
        self._is_closing = False
        self._finished: Deferred[None] | None = None
        self._timer: Any = None
        tracked: Any = site
        find = tracked.getResourceFor
        build = tracked.buildProtocol

        def track_request(request: Any) -> Any:
            self._opened_s.pop(request.channel, None)
            if self._is_closing:
                _close_after(request)
            return find(request)

        def track_connection(address: Any) -> Any:
            protocol = build(address)
            self._track(protocol)
            return protocol

        tracked.getResourceFor = track_request
        tracked.buildProtocol = track_connection

    @inlineCallbacks
    def stop_accepting(self, port: Any) -> Generator[Deferred[Any], Any, None]:
        """Close the listening port once the connections and requests sent so far are read."""
        self._announce_close()
        yield sleep(self._clock, IDLE_READ_S)
        ignore_new_connections(port)
        yield sleep(self._clock, HANDSHAKE_S)
        accept_and_close(port)
        yield sleep(self._clock, IDLE_READ_S)

    def finish(self, limit_s: float) -> "Deferred[None]":
        """Fire when every connection is closed; those still open after ``limit_s`` are aborted."""
        self._announce_close()
        for channel in list(self._channels):
            self._close_when_idle(channel)
        if not self._channels:
            return succeed(None)
        self._finished = Deferred()
        self._timer = self._clock.callLater(limit_s, self._abort_remaining)
        return self._finished

    def _announce_close(self) -> None:
        """Make each response that has not started yet announce that its connection closes."""
        self._is_closing = True
        for channel in self._channels:
            for request in channel.requests:
                _close_after(request)

    def _close_when_idle(self, channel: Any) -> None:
        """Close a connection once no request is in progress, partly read or unread on it."""
        for request in channel.requests:
            answered = request.notifyFinish()
            answered.addCallbacks(lambda _: self._close_when_idle(channel), lambda _: None)
        if channel not in self._channels or has_begun_request(channel):
            return
        wait_s = self._first_request_wait_s(channel)
        if wait_s > 0:
            self._clock.callLater(wait_s, self._close_when_idle, channel)
        else:
            close_if_nothing_unread(channel.transport, channel.loseConnection)

    def _first_request_wait_s(self, channel: Any) -> float:
        """Return how much longer to wait for the first request of a connection."""
        opened_s = self._opened_s.get(channel)
        return 0.0 if opened_s is None else opened_s + FIRST_REQUEST_S - self._clock.seconds()

    def _track(self, protocol: Any) -> None:
        """Track a connection from its start to its end."""
        # Twisted wraps the channel that reads the requests.
        channel = getattr(protocol, "_channel", protocol)
        made, lost = channel.connectionMade, channel.connectionLost

        def connection_made() -> None:
            self._channels.add(channel)
            self._opened_s[channel] = self._clock.seconds()
            made()

        def connection_lost(reason: Any) -> None:
            lost(reason)
            self._on_closed(channel)

        channel.connectionMade = connection_made
        channel.connectionLost = connection_lost

    def _on_closed(self, channel: Any) -> None:
        self._channels.discard(channel)
        self._opened_s.pop(channel, None)
        if self._finished is not None and not self._channels:
            self._fire()

    def _fire(self) -> None:
        finished, self._finished = self._finished, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if finished is not None:
            finished.callback(None)

    def _abort_remaining(self) -> None:
        """Reset every connection; ``finish`` fires when the last one is closed.

        If it fired at once, the process could end before the resets are sent. Its connections
        would then close in order, and a truncated response without a length would look complete.
        """
        requests = sum(len(channel.requests) for channel in self._channels)
        logger.warning("aborting {} requests not finished within the graceful stop", requests)
        for channel in list(self._channels):
            channel.transport.abortConnection()


def has_begun_request(channel: Any) -> bool:
    """Tell whether bytes of a request that is not answered yet have been read."""
    # Twisted creates the request at its first complete line; until then it buffers the bytes.
    return bool(channel.requests or getattr(channel, "_buffer", b""))


def _has_next_request(channel: Any) -> bool:
    """Tell whether bytes of a request behind the one in progress have been read."""
    # Twisted keeps the rest of one read in the first, and what comes later in the second.
    return bool(getattr(channel, "_buffer", b"") or getattr(channel, "_dataBuffer", []))


def _close_after(request: Any) -> None:
    """Close a request's connection after its response, announced if no header is sent yet.

    It stays open if another request has been sent behind this one: that one is answered too.
    """
    if request.startedWriting or _has_next_request(request.channel):
        return
    request.responseHeaders.setRawHeaders(b"connection", [b"close"])
    request.channel.persistent = False
