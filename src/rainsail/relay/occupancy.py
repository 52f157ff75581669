"""Asks the ledger's leader how occupied runners are, just before one is chosen.

An answer takes a round trip between zones, a few milliseconds; a choice without it goes to a full
runner while slots are free elsewhere. The leader may be gone: then the gateway chooses at once by
what it knows itself, and asks again a little later.
"""

from collections.abc import Callable

from expression import Result

from rainsail.errors import Fault
from rainsail.jobs.messages import ReadOccupancy, ServiceOccupancy
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.load import LoadBook
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

ANSWER_WITHIN_S = 0.04
"""Longer than a busy leader takes, and short beside any target for a first byte."""
ASK_AGAIN_AFTER_S = 0.5
"""Pause after an answer that did not come."""


class OccupancyReader:
    """Keeps the load book up to date for each choice."""

    def __init__(
        self, messenger: Messenger, clock: Clock, loads: LoadBook, metrics: NodeMetrics
    ) -> None:
        self._metrics = metrics
        self._messenger = messenger
        self._clock = clock
        self._loads = loads
        self._leader = ""
        self._ask_after_s = float("-inf")

    def set_leader(self, address: str) -> None:
        """Ask this node from now on; empty when none is known."""
        self._leader = address
        self._ask_after_s = float("-inf")

    def refresh(self, service: str, done: Callable[[], None]) -> None:
        """Take in what the leader knows of a service, then call ``done``, in any case."""
        if not self._leader or self._clock.seconds() < self._ask_after_s:
            done()
            return
        question = ReadOccupancy(service)
        reply = self._messenger.call(self._leader, question, ANSWER_WITHIN_S)
        reply.addCallback(self._take_reply)
        reply.addCallback(lambda _: done())

    def _take_reply(self, result: Result[ServiceOccupancy, Fault]) -> None:
        now = self._clock.seconds()
        outcome = "missed" if result.is_error() else "answered"
        self._metrics.count("occupancy_reads", outcome=outcome)
        if result.is_error():
            self._ask_after_s = now + ASK_AGAIN_AFTER_S
            return
        own = {each.runner: each.running for each in result.ok.own}
        for each in result.ok.runners:
            self._loads.told(each.runner, each.running, own.get(each.runner, 0), now)
