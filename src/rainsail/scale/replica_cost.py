"""What a replica's snapshot and its watches cost at some number of resources."""

import time
from dataclasses import dataclass

from rainsail.control.settings import ControlSettings
from rainsail.control.watcher import WatchHub
from rainsail.scale.workload import FleetSize, declarations, operator_change
from rainsail.simulation.clock import VirtualClock
from rainsail.state.machine import ReplicatedState

WATCHERS = 100
CHANGES = 200


@dataclass(frozen=True, slots=True)
class ReplicaCost:
    """A snapshot's bytes, processor seconds to write and to restore it; a watch per event."""

    snapshot_bytes: int
    snapshot_processor_s: float
    restore_processor_s: float
    watch_bytes_per_event: float
    watch_processor_s_per_event: float


class _CountingLines:
    """A watch's client that counts bytes."""

    def __init__(self) -> None:
        self.size = 0

    def write_line(self, line: bytes) -> None:
        """Count a line."""
        self.size += len(line)

    def end(self, cut: bool) -> None:
        """The watch is over."""


def measure_replica(size: FleetSize) -> ReplicaCost:
    """Measure a replica's state of a whole fleet."""
    state = ReplicatedState()
    index = 0
    for command in declarations(size):
        index += 1
        state.apply(index, command)
    start_s = time.thread_time()
    chunks = list(state.snapshot())
    snapshot_s = time.thread_time() - start_s
    start_s = time.thread_time()
    ReplicatedState().restore(chunks)
    restore_s = time.thread_time() - start_s
    event_bytes, event_s = _watch(state, size, index)
    return ReplicaCost(sum(map(len, chunks)), snapshot_s, restore_s, event_bytes, event_s)


def _watch(state: ReplicatedState, size: FleetSize, index: int) -> tuple[float, float]:
    """Return bytes and processor seconds of one event for one watcher."""
    hub = WatchHub(state, VirtualClock(), ControlSettings())
    sinks = [_CountingLines() for _ in range(WATCHERS)]
    for sink in sinks:
        hub.watch(sink, state.revision, ()).start()
    start_s = time.thread_time()
    for number in range(CHANGES):
        state.apply(index + 1 + number, operator_change(size, number))
        hub.state_applied()
    events = CHANGES * WATCHERS
    spent_s = (time.thread_time() - start_s) / events
    return sum(sink.size for sink in sinks) / events, spent_s
