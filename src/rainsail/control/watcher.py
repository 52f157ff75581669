"""Watches of resource changes, independent of HTTP: JSON lines in revision order without gaps.

A watcher has no buffer of its own: it reads the replica's applied events from its own revision
on, and stops reading while its client is slow. A watcher that falls too far behind gets an error
line and is disconnected.
"""

import json
from collections.abc import Callable
from typing import Any, Protocol

from rainsail.control.resource_json import JsonObject, event_to_json, fault_to_json
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, WatchEvent
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader

STEP = "operator_api.watch"
EVENT_BATCH_SIZE = 100
"""Number of events read from the state at a time."""


class LineSink(Protocol):
    """Receives a watch's lines; it may pause and resume its watcher while it takes one."""

    def write_line(self, line: bytes) -> None:
        """Take one line with its newline."""
        ...

    def end(self, disconnect: bool) -> None:
        """End the watch; with ``disconnect`` the client has a limited time to read the rest."""
        ...


class EventLines:
    """Cache of encoded lines of recent events, so that each event is encoded once per replica."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._lines: dict[int, bytes] = {}

    def line(self, event: WatchEvent) -> bytes:
        """Return the event's line."""
        known = self._lines.get(event.revision)
        if known is not None:
            return known
        line = json_line(event_to_json(event))
        self._lines[event.revision] = line
        if len(self._lines) > self._capacity:
            del self._lines[next(iter(self._lines))]
        return line


def json_line(body: JsonObject) -> bytes:
    """Return one JSON line."""
    return json.dumps(body, separators=(",", ":")).encode() + b"\n"


class Watcher:
    """Sends the events of the applied state after a given revision to one sink."""

    def __init__(
        self,
        state: ReplicatedReader,
        clock: Clock,
        settings: ControlSettings,
        lines: EventLines,
        sink: LineSink,
        revision: int,
        kinds: tuple[Kind, ...],
        on_end: Callable[["Watcher"], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._settings = settings
        self._lines = lines
        self._sink = sink
        self._revision = revision
        self._kinds = kinds
        self._on_end = on_end
        self._sent_in_force_revision = 0
        self._paused = False
        self._ended = False
        self._timer: Any = None

    def start(self) -> None:
        """Send the events that exist already, then bookmarks and changes."""
        self._schedule_bookmark()
        self.state_changed()

    def pause(self) -> None:
        """Stop writing, because the client doesn't keep up."""
        self._paused = True

    def resume(self) -> None:
        """Continue where the watch was paused."""
        self._paused = False
        self.state_changed()

    def state_changed(self) -> None:
        """Send new events, unless paused."""
        if self._ended:
            return
        if not self._paused:
            self._send_events()
        if self._paused:
            self._disconnect_if_too_slow()
        elif not self._ended and self._state.in_force_revision > self._sent_in_force_revision:
            self._send_bookmark()

    def stop(self) -> None:
        """End without a final line; the client has disconnected or the final line was sent."""
        if self._ended:
            return
        self._ended = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._on_end(self)

    def _send_events(self) -> None:
        while not self._paused:
            events = self._state.events_since(self._revision, EVENT_BATCH_SIZE)
            if events is None:
                self._end_with("revision_compacted", self._compacted_fault())
                return
            if not events:
                return
            for event in events:
                self._send_event(event)
                if self._paused:
                    return

    def _send_event(self, event: WatchEvent) -> None:
        self._revision = event.revision
        if not self._kinds or event.resource.key.kind in self._kinds:
            self._sink.write_line(self._lines.line(event))

    def _send_bookmark(self) -> None:
        self._sent_in_force_revision = self._state.in_force_revision
        self._sink.write_line(
            json_line(
                {
                    "type": "bookmark",
                    "revision": self._revision,
                    "in_force_revision": self._sent_in_force_revision,
                }
            )
        )

    def _schedule_bookmark(self) -> None:
        self._timer = self._clock.callLater(
            self._settings.watch_bookmark_period_s, self._bookmark_due
        )

    def _bookmark_due(self) -> None:
        if not self._paused:
            self._send_bookmark()
        self._schedule_bookmark()

    def _disconnect_if_too_slow(self) -> None:
        waiting = self._state.revision - self._revision
        if waiting > self._settings.watch_buffer_events:
            detail = f"{waiting} events wait for this watcher; go on from the last revision read"
            self._end_with("too_slow", Fault(FaultCode.OVERLOADED, STEP, detail), disconnect=True)

    def _compacted_fault(self) -> Fault:
        detail = f"events after revision {self._revision} are gone: list again"
        return Fault(
            FaultCode.REVISION_COMPACTED, STEP, detail, current_revision=self._state.revision
        )

    def _end_with(self, line_type: str, fault: Fault, disconnect: bool = False) -> None:
        line = {"type": line_type, "revision": self._revision, **fault_to_json(fault)}
        self._sink.write_line(json_line(line))
        self.stop()
        self._sink.end(disconnect)


class WatchHub:
    """All watchers of one replica."""

    def __init__(self, state: ReplicatedReader, clock: Clock, settings: ControlSettings) -> None:
        self._state = state
        self._clock = clock
        self._settings = settings
        self._lines = EventLines(settings.watch_buffer_events)
        self._watchers: dict[Watcher, None] = {}

    def __len__(self) -> int:
        return len(self._watchers)

    def watch(self, sink: LineSink, revision: int, kinds: tuple[Kind, ...]) -> Watcher:
        """Create a watcher of changes after ``revision``; the caller starts it."""
        watcher = Watcher(
            self._state,
            self._clock,
            self._settings,
            self._lines,
            sink,
            revision,
            kinds,
            lambda ended: self._watchers.pop(ended, None),
        )
        self._watchers[watcher] = None
        return watcher

    def state_applied(self) -> None:
        """Let every watcher send new events."""
        for watcher in list(self._watchers):
            watcher.state_changed()
