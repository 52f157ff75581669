"""A sending node's part: it obeys the list of held requests and reports what ended runners.

A connection that ends says little: runners reset connections, links are cut, machines lose power.
A runner has ended on its own if its address, reached a moment later, refuses connections. An
address that says nothing is behind a cut or without power, and no request is to blame for that.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.http.reachability import Reachability
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.messages import RequestAnswered, RequestsWatched, RunnerEnded
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

PROBES_AFTER_S = (0.05, 0.5)
"""When a runner's address is tried after a connection to it has ended. A process that closes its
connections in order may take connections for a moment more."""
MOST_REPORTED = 256
"""So many requests are reported of one runner's end."""


class AddressProbe(Protocol):
    """Tries whether an address takes connections."""

    def probe(self, address: str, told: Callable[[Reachability], None]) -> None:
        """Open a connection, close it again, and tell what came of it."""
        ...


@dataclass(slots=True)
class _Inquiry:
    """Whether a runner has ended, and which of this node's requests it had then."""

    record: RunnerRecord
    began_s: float
    broken: dict[Fingerprint, None] = field(default_factory=dict)
    probes: int = 0


class QuarantineAgent:
    """Implements ``rainsail.quarantine.guard.RequestGuard`` for one node."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        follower: FleetFollower,
        connections: AddressProbe,
        metrics: NodeMetrics,
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._follower = follower
        self._connections = connections
        self._metrics = metrics
        self._book = follower.quarantine
        self._inquiries: dict[str, _Inquiry] = {}
        messenger.serve(RequestsWatched, self._watch)

    # --- obeying -------------------------------------------------------------------------

    @property
    def holds_any(self) -> bool:
        """Tell whether some request is held."""
        return bool(self._book.held)

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request must not reach a runner."""
        return fingerprint in self._book.held

    # --- reporting -----------------------------------------------------------------------

    @property
    def wants_answers(self) -> bool:
        """Tell whether an answer to some request would be news."""
        return self._book.wants_answers(self._clock.seconds())

    def _watch(self, source: str, message: RequestsWatched) -> None:
        self._book.watch(message.fingerprints, self._clock.seconds())

    def answered(self, fingerprint: Fingerprint) -> None:
        """Tell the controllers of an answer that they want to know of."""
        if self._book.wants_answer(fingerprint):
            self._book.unwatch(fingerprint)
            self._tell(RequestAnswered(fingerprint))

    def connection_ended(self, record: RunnerRecord, fingerprint: Fingerprint) -> bool:
        """Find out whether the runner has ended; False for a request that was held before.

        A runner that had taken its leave ends without a cause.
        """
        known = self._follower.registry.get(record.runner)
        if known is None or known.state == RunnerState.READY:
            self._inquire(record, fingerprint)
        return fingerprint not in self._book.offenders

    def _inquire(self, record: RunnerRecord, fingerprint: Fingerprint) -> None:
        inquiry = self._inquiries.get(record.runner)
        if inquiry is None:
            inquiry = _Inquiry(record, self._clock.seconds())
            self._inquiries[record.runner] = inquiry
            self._probe_later(inquiry)
        if len(inquiry.broken) < MOST_REPORTED:
            inquiry.broken[fingerprint] = None

    def _probe_later(self, inquiry: _Inquiry) -> None:
        due_s = inquiry.began_s + PROBES_AFTER_S[inquiry.probes]
        inquiry.probes += 1
        self._clock.callLater(max(0.0, due_s - self._clock.seconds()), self._probe, inquiry)

    def _probe(self, inquiry: _Inquiry) -> None:
        self._metrics.count("runner_probes")
        self._connections.probe(inquiry.record.address, lambda reach: self._probed(inquiry, reach))

    def _probed(self, inquiry: _Inquiry, reach: Reachability) -> None:
        if reach != Reachability.REFUSED and inquiry.probes < len(PROBES_AFTER_S):
            self._probe_later(inquiry)
            return
        del self._inquiries[inquiry.record.runner]
        if reach == Reachability.REFUSED:
            self._report(inquiry)

    def _report(self, inquiry: _Inquiry) -> None:
        runner = inquiry.record.runner
        age_s = self._clock.seconds() - inquiry.began_s
        logger.bind(runner=runner, requests=len(inquiry.broken)).info("runner_ended")
        self._metrics.count("runner_ends_seen")
        self._tell(RunnerEnded(runner, tuple(inquiry.broken), age_s))

    def _tell(self, message: RunnerEnded | RequestAnswered) -> None:
        """Tell every controller that this node follows: whichever leads next knows it too."""
        self._messenger.send_all(self._follower.heartbeat_targets(), message)
