"""The quarantine at a sending node: enforces the list of held requests and reports crashes.

The end of a connection alone does not mean a crash: runners also reset connections, networks
partition, and machines lose power. A runner counts as crashed if its address refuses connections
shortly afterwards. An address that does not answer at all is behind a partition or without power,
which no request can cause.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.http.reachability import Reachability
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.fingerprint import Fingerprint, is_of_part
from rainsail.quarantine.guard import Fingerprints
from rainsail.quarantine.messages import (
    NamedPart,
    PartsNamed,
    RequestAnswered,
    RequestsWatched,
    RunnerEnded,
)
from rainsail.runtime.clock import Clock
from rainsail.wire.extensions import PART_NAMES
from rainsail.wire.messenger import Messenger

PROBE_DELAYS_S = (0.05, 0.5)
"""Delays of the probes of a runner's address after a connection to it has ended. A process that
shuts down in order may accept connections for a short time after it has closed others."""
MAX_REPORTED = 1024
"""About the maximum number of requests and prompt parts that are reported for one crash."""
MAX_PART_ID_LENGTH = 64
"""Characters of a part's id that are kept for operators; clients choose the ids."""


class AddressProbe(Protocol):
    """Checks whether an address accepts connections."""

    def probe(self, address: str, told: Callable[[Reachability], None]) -> None:
        """Open a connection, close it again, and pass the result to ``told``."""
        ...


@dataclass(slots=True)
class _CrashCheck:
    """A pending check whether a runner has crashed, with the requests that it was running."""

    record: RunnerRecord
    began_s: float
    broken: dict[Fingerprint, None] = field(default_factory=dict)
    names: dict[Fingerprint, NamedPart] = field(default_factory=dict)
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
        self._view = follower.quarantine
        self._crash_checks: dict[str, _CrashCheck] = {}
        self._survival_checks: set[str] = set()
        """Runners of which a check is pending whether they survived an unmarked end."""
        messenger.serve(RequestsWatched, self._watch)

    # --- enforcement ---------------------------------------------------------------------

    @property
    def holds_any(self) -> bool:
        """Whether any request is held."""
        return bool(self._view.held)

    def held_among(self, fingerprints: Fingerprints) -> Fingerprint | None:
        """Return the fingerprint for which a request must not reach a runner, if there is one."""
        return next((each for each in fingerprints if each in self._view.held), None)

    # --- reporting -----------------------------------------------------------------------

    @property
    def wants_answers(self) -> bool:
        """Whether responses to some requests have to be reported."""
        return self._view.wants_answers(self._clock.seconds())

    def _watch(self, source: str, message: RequestsWatched) -> None:
        self._view.watch(message.fingerprints, self._clock.seconds())

    def answered(
        self, record: RunnerRecord, fingerprints: Fingerprints, proves_survival: bool
    ) -> None:
        """Report a complete response to the controllers, if they watch the request or its parts.

        Without proof of the runner's survival its address is tried first, for the parts only: a
        part that many requests hold would otherwise never be cleared where runners mark no ends.
        """
        wanted = [each for each in fingerprints if self._view.wants_answer(each)]
        if proves_survival:
            self._report_answered(wanted)
            return
        parts = [each for each in wanted if is_of_part(each)]
        if parts and record.runner not in self._survival_checks:
            self._survival_checks.add(record.runner)
            self._clock.callLater(PROBE_DELAYS_S[-1], self._check_survival, record, parts)

    def _report_answered(self, fingerprints: Fingerprints) -> None:
        for fingerprint in fingerprints:
            self._view.unwatch(fingerprint)
            self._send_to_controllers(RequestAnswered(fingerprint))

    def _check_survival(self, record: RunnerRecord, parts: Fingerprints) -> None:
        def probed(reach: Reachability) -> None:
            self._survival_checks.discard(record.runner)
            known = self._follower.registry.get(record.runner)
            if reach == Reachability.OPEN and known is not None and known.born == record.born:
                self._report_answered(parts)

        self._metrics.count("runner_probes")
        self._connections.probe(record.address, probed)

    def connection_ended(
        self, record: RunnerRecord, fingerprints: Fingerprints, part_ids: Sequence[str]
    ) -> bool:
        """Start a check whether the runner has crashed.

        Returns False for a request that was held before, or that holds such a part.

        A runner that has announced its shutdown is not checked.
        """
        known = self._follower.registry.get(record.runner)
        if known is None or known.state == RunnerState.READY:
            check = self._check_runner(record, fingerprints)
            for fingerprint, part in zip(fingerprints[1:], part_ids, strict=False):
                name = part[:MAX_PART_ID_LENGTH]
                check.names[fingerprint] = NamedPart(fingerprint, record.service, name)
        return self._view.ever_held.isdisjoint(fingerprints)

    def _check_runner(self, record: RunnerRecord, fingerprints: Fingerprints) -> _CrashCheck:
        check = self._crash_checks.get(record.runner)
        if check is None:
            check = _CrashCheck(record, self._clock.seconds())
            self._crash_checks[record.runner] = check
            self._probe_later(check)
        if len(check.broken) < MAX_REPORTED:
            check.broken.update(dict.fromkeys(fingerprints))
        return check

    def _probe_later(self, check: _CrashCheck) -> None:
        due_s = check.began_s + PROBE_DELAYS_S[check.probes]
        check.probes += 1
        self._clock.callLater(max(0.0, due_s - self._clock.seconds()), self._probe, check)

    def _probe(self, check: _CrashCheck) -> None:
        self._metrics.count("runner_probes")
        self._connections.probe(check.record.address, lambda reach: self._probed(check, reach))

    def _probed(self, check: _CrashCheck, reach: Reachability) -> None:
        if reach != Reachability.REFUSED and check.probes < len(PROBE_DELAYS_S):
            self._probe_later(check)
            return
        del self._crash_checks[check.record.runner]
        if reach == Reachability.REFUSED:
            self._report(check)

    def _report(self, check: _CrashCheck) -> None:
        runner = check.record.runner
        age_s = self._clock.seconds() - check.began_s
        logger.bind(runner=runner, requests=len(check.broken)).info("runner_ended")
        self._metrics.count("runner_ends_seen")
        self._send_to_controllers(RunnerEnded(runner, tuple(check.broken), age_s))
        names = tuple(check.names[each] for each in check.broken if each in check.names)
        level = self._messenger.extension_level
        supporting = [
            each for each in self._follower.heartbeat_targets() if level(each) >= PART_NAMES
        ]
        if names:
            self._messenger.send_all(supporting, PartsNamed(names))

    def _send_to_controllers(self, message: RunnerEnded | RequestAnswered) -> None:
        """Send to every controller that this node follows, so that a new leader has it as well."""
        self._messenger.send_all(self._follower.heartbeat_targets(), message)
