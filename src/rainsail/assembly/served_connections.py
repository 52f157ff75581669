"""Follows the connections of a web site, so that a planned stop cuts no request.

A process that stops listening and then ends would drop requests that it has not read, and answers
that are still being worked on or have not left yet. ``stop_accepting`` lets in what has been sent
to the port; each answer tells its client that the connection closes. ``finish`` lets requests under
way end, closes each connection once its bytes have left, and gives up on what is left after a
limit. A connection that has carried no request yet gets ``FIRST_REQUEST_S`` from its start.
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
"""Idle connections are read for this long before they are closed at a planned stop.

Longer than the way of a request that was sent when the stop began.
"""


class ServedConnections:
    """The open connections of one site, by their channels."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self._clock = clock
        self._channels: set[Any] = set()
        self._opened_s: dict[Any, float] = {}
        """When the connections were opened that have carried no request yet."""
        self._is_closing = False
        self._finished: Deferred[None] | None = None
        self._timer: Any = None
        followed: Any = site
        find = followed.getResourceFor
        build = followed.buildProtocol

        def follow_request(request: Any) -> Any:
            self._opened_s.pop(request.channel, None)
            if self._is_closing:
                _close_after(request)
            return find(request)

        def follow_connection(address: Any) -> Any:
            protocol = build(address)
            self._follow(protocol)
            return protocol

        followed.getResourceFor = follow_request
        followed.buildProtocol = follow_connection

    @inlineCallbacks
    def stop_accepting(self, port: Any) -> Generator[Deferred[Any], Any, None]:
        """Close the listening port once all that was sent to it so far has been read."""
        self._announce_close()
        yield sleep(self._clock, IDLE_READ_S)
        ignore_new_connections(port)
        yield sleep(self._clock, HANDSHAKE_S)
        accept_and_close(port)
        yield sleep(self._clock, IDLE_READ_S)

    def finish(self, limit_s: float) -> "Deferred[None]":
        """Fire when every connection is closed; those still open after ``limit_s`` are cut."""
        self._announce_close()
        for channel in list(self._channels):
            self._close_when_idle(channel)
        if not self._channels:
            return succeed(None)
        self._finished = Deferred()
        self._timer = self._clock.callLater(limit_s, self._cut)
        return self._finished

    def _announce_close(self) -> None:
        """Have each answer that has not begun tell that its connection closes."""
        self._is_closing = True
        for channel in self._channels:
            for request in channel.requests:
                _close_after(request)

    def _close_when_idle(self, channel: Any) -> None:
        """Close a connection on which no request is under way, partly read or unread."""
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
        """Return how much longer the first request of a connection is to be expected."""
        opened_s = self._opened_s.get(channel)
        return 0.0 if opened_s is None else opened_s + FIRST_REQUEST_S - self._clock.seconds()

    def _follow(self, protocol: Any) -> None:
        """Follow a connection from its start to its end."""
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

    def _cut(self) -> None:
        """Reset every connection; ``finish`` fires when the last one is closed.

        Were it to fire at once, the process could end before the resets: its connections would then
        close in order, which ends an answer without a length as complete.
        """
        requests = sum(len(channel.requests) for channel in self._channels)
        logger.warning("{} requests have outlasted the planned stop and are cut", requests)
        for channel in list(self._channels):
            channel.transport.abortConnection()


def has_begun_request(channel: Any) -> bool:
    """Tell whether some bytes of a request have been read that is not answered yet."""
    # Twisted makes a request of its first line; the bytes before the line's end are its own.
    return bool(channel.requests or getattr(channel, "_buffer", b""))


def _close_after(request: Any) -> None:
    """Close a request's connection behind its answer, and tell the client so if it still can."""
    if request.startedWriting:
        return
    request.responseHeaders.setRawHeaders(b"connection", [b"close"])
    request.channel.persistent = False
