"""Follows the connections of a web site, so that a planned stop cuts no answer.

A process that stops listening and then ends would drop answers that are still being worked on, or
that are written but have not left yet. ``finish`` lets requests under way end, closes each
connection once its bytes have left, and gives up on what is left after a limit.
"""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Site

from rainsail.logs import logger
from rainsail.runtime.clock import Clock


class ServedConnections:
    """The connections of one site that have carried a request."""

    def __init__(self, site: Site, clock: Clock) -> None:
        self._clock = clock
        self._under_way: dict[Any, int] = {}
        self._finished: Deferred[None] | None = None
        self._timer: Any = None
        followed: Any = site
        find = followed.getResourceFor

        def follow(request: Any) -> Any:
            self._begun(request)
            return find(request)

        followed.getResourceFor = follow

    def finish(self, limit_s: float) -> "Deferred[None]":
        """Fire when every connection is closed; those still open after ``limit_s`` are cut."""
        for channel, requests in list(self._under_way.items()):
            if not requests:
                channel.loseConnection()
        if not self._under_way:
            return succeed(None)
        self._finished = Deferred()
        self._timer = self._clock.callLater(limit_s, self._cut)
        return self._finished

    def _begun(self, request: Any) -> None:
        channel = request.channel
        if channel not in self._under_way:
            self._under_way[channel] = 0
            self._watch(channel)
        self._under_way[channel] += 1
        request.notifyFinish().addBoth(lambda _: self._over(channel))

    def _watch(self, channel: Any) -> None:
        """Hear of the end of a connection."""
        lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            lost(reason)
            self._closed(channel)

        channel.connectionLost = connection_lost

    def _over(self, channel: Any) -> None:
        if channel not in self._under_way:
            return
        self._under_way[channel] -= 1
        if self._finished is not None and not self._under_way[channel]:
            channel.loseConnection()

    def _closed(self, channel: Any) -> None:
        self._under_way.pop(channel, None)
        if self._finished is not None and not self._under_way:
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
        requests = sum(self._under_way.values())
        logger.warning("{} requests have outlasted the planned stop and are cut", requests)
        for channel in list(self._under_way):
            channel.transport.abortConnection()
