"""Passes on that a runner was found crashed: another process may soon answer at its address.

A node finds that out from its own connections only. Another node, without one, would take the
process that starts again there for the one that it knows, until the first report of the new process
has arrived; streams that the old one began must not continue there.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.cluster.registry import RunnerRegistry
from rainsail.logs import logger
from rainsail.wire.codec import wire_record
from rainsail.wire.extensions import RUNNER_DOUBTS
from rainsail.wire.messenger import Messenger


@wire_record("RunnerDoubted")
@dataclass(frozen=True, slots=True)
class RunnerDoubted:
    """One-way, from a controller to the nodes that know this record: an incarnation has crashed."""

    runner: str
    born: int


class RunnerDoubts:
    """A controller's part: takes what nodes have found, and tells all nodes once."""

    def __init__(
        self,
        messenger: Messenger,
        registry: RunnerRegistry,
        live_nodes: Callable[[], tuple[str, ...]],
    ) -> None:
        self._messenger = messenger
        self._registry = registry
        self._live_nodes = live_nodes

    def runner_crashed(self, runner: str, at_s: float) -> None:
        """Take a crash at a time of this node's clock, unless the runner has reported since."""
        record = self._registry.get(runner)
        if record is None or not record.takes_work or self._registry.has_heard(runner, at_s):
            return
        if self._registry.is_found_crashed(record):
            return
        self._registry.note_crash(record)
        logger.bind(runner=runner, born=record.born).info("runner_doubted")
        level = self._messenger.extension_level
        nodes = [each for each in self._live_nodes() if level(each) >= RUNNER_DOUBTS]
        self._messenger.send_all(nodes, RunnerDoubted(runner, record.born))


def take_doubt(registry: RunnerRegistry, message: RunnerDoubted) -> None:
    """Apply a controller's message at a node, unless a newer incarnation is known there."""
    record = registry.get(message.runner)
    if record is not None and record.born == message.born:
        registry.note_crash(record)
