"""A gateway's reports of where its streams began, to the controllers that keep the records.

Each stream is reported once its first event is at the client, as only then the gateway is certain
to be there to report it: a gateway that is lost reports nothing more. That holds for streams whose
origin is the only one that there can be as well, since another version or service may appear while
they run. Their reports are gathered for longer, as they are needed only if it does.

A controller that starts again has lost its records, and one that was not told before has none. So
each controller that the gateway begins to tell gets all streams that may still be resumed.
"""

from collections.abc import Callable, Iterable

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.stream_origins import (
    BegunStream,
    StreamOrigin,
    StreamsBegun,
    assigned_controllers,
)
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.runtime.clock import Clock, Timer
from rainsail.wire.extensions import STREAM_ORIGINS
from rainsail.wire.messenger import Messenger

MIN_REPORT_PERIOD_S = 0.01
"""Streams that begin within this time are reported in one message.

Short compared with the duration of a stream, as a gateway that fails takes what it has not reported
with it.
"""
REPORTS_PER_S = 2500.0
"""The maximum rate of these messages from all gateways together.

Few controllers get all of them, beside their other work.
"""
MIN_IMPLIED_REPORT_PERIOD_S = 0.1
IMPLIED_REPORTS_PER_S = 250.0
"""The same for streams whose origin is implied: the record is not needed unless that ends."""
MAX_STREAMS_PER_MESSAGE = 1_000


class OriginReports:
    """Gathers the streams that have begun, and tells the assigned controllers of them."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        follower: FleetFollower,
        metrics: NodeMetrics,
        under_way: Callable[[], Iterable[tuple[str, StreamOrigin]]],
    ) -> None:
        """``under_way`` returns the streams that may still be resumed, and their origins."""
        self._messenger = messenger
        self._clock = clock
        self._follower = follower
        self._metrics = metrics
        self._under_way = under_way
        self._unreported: dict[str, StreamOrigin] = {}
        self._timer: Timer | None = None
        self._due_s = float("inf")
        self._told: dict[str, int] = {}
        """The controllers that have been told of all streams, and in which epoch of theirs."""
        follower.on_heard.append(self._tell_new_controllers)

    def add(self, stream: str, origin: StreamOrigin, is_implied: bool) -> None:
        """Report a stream soon; a little later if its origin is implied."""
        self._unreported[stream] = origin
        due_s = self._clock.seconds() + self._period_s(is_implied)
        if due_s < self._due_s:
            self._cancel_timer()
            self._due_s = due_s
            self._timer = self._clock.callLater(due_s - self._clock.seconds(), self._report)

    def drop(self, stream: str) -> None:
        """Do not report a stream that nobody resumes any more."""
        self._unreported.pop(stream, None)

    def _period_s(self, is_implied: bool) -> float:
        gateways = self._follower.view().gateways
        if is_implied:
            return max(MIN_IMPLIED_REPORT_PERIOD_S, gateways / IMPLIED_REPORTS_PER_S)
        return max(MIN_REPORT_PERIOD_S, gateways / REPORTS_PER_S)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._due_s = float("inf")

    def _report(self) -> None:
        self._cancel_timer()
        unreported, self._unreported = self._unreported, {}
        assigned = self._assigned()
        # Those that miss this report get all streams once they are in touch again.
        self._told = {
            name: epoch for name, epoch in self._told.items() if assigned.get(name) == epoch
        }
        self._send(assigned, unreported.items())

    def _tell_new_controllers(self) -> None:
        """Tell each controller of all streams once it is assigned, and after each start of it."""
        assigned = self._assigned()
        new = {name: epoch for name, epoch in assigned.items() if self._told.get(name) != epoch}
        self._told = assigned
        if not new:
            return
        streams = tuple(self._under_way())
        self._send(new, streams)
        if streams:
            log = logger.bind(controllers=tuple(new), streams=len(streams))
            log.info("stream_origins_reported_again")

    def _send(
        self, controllers: Iterable[str], streams: Iterable[tuple[str, StreamOrigin]]
    ) -> None:
        """Send the records; a controller that can't be reached gets all of them later."""
        begun = [BegunStream(stream, origin) for stream, origin in streams]
        for first in range(0, len(begun), MAX_STREAMS_PER_MESSAGE):
            part = tuple(begun[first : first + MAX_STREAMS_PER_MESSAGE])
            faults = self._messenger.send_all(controllers, StreamsBegun(part))
            for controller, fault in faults.items():
                self._told.pop(controller, None)
                log = logger.bind(controller=controller, fault=str(fault), streams=len(part))
                log.info("stream_origins_not_reported")
            self._metrics.count("stream_origins_reported", float(len(part)))

    def _assigned(self) -> dict[str, int]:
        """Return the controllers to tell, with the epoch of each one's process."""
        known, level = self._follower.controllers, self._messenger.extension_level
        in_touch = [each for each in known.in_touch() if level(each) >= STREAM_ORIGINS]
        assigned = assigned_controllers(self._messenger.name, in_touch)
        return {each: known.get_or_add(each).epoch for each in assigned}
