"""Messages about requests that may crash the runners that run them."""

from dataclasses import dataclass

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import Quarantine
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_record("RunnerEnded")
@dataclass(frozen=True, slots=True)
class RunnerEnded:
    """A node's report to the controllers, one-way: a runner crashed while running these requests.

    ``age_s`` is the time since the first of their connections ended.
    """

    runner: str
    fingerprints: tuple[Fingerprint, ...]
    age_s: float


@wire_type("CrashedRun")
@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A request or prompt part that was running at a runner when it crashed.

    ``ran_s`` and ``wrote_s`` are those of ``quarantine.run_times.RunAge``.
    """

    fingerprint: Fingerprint
    ran_s: float
    wrote_s: float


@wire_record("RunnerCrashed")
@dataclass(frozen=True, slots=True)
class RunnerCrashed:
    """``RunnerEnded`` with the ages of the runs, for controllers that know this record."""

    runner: str
    runs: tuple[CrashedRun, ...]
    age_s: float


@wire_record("RunsReset")
@dataclass(frozen=True, slots=True)
class RunsReset:
    """Sent one-way before ``RunnerCrashed``: the runs whose connections had ended while the runner
    still accepted others, so that something else may have ended them."""

    runner: str
    fingerprints: tuple[Fingerprint, ...]


@wire_type("FailedTrial")
@dataclass(frozen=True, slots=True)
class FailedTrial:
    """A run that crashed its runner as the trial of an entry that was held ``times`` times."""

    fingerprint: Fingerprint
    times: int


@wire_record("TrialsFailed")
@dataclass(frozen=True, slots=True)
class TrialsFailed:
    """A node tells a controller that has started, one-way, of trials that no hold has followed."""

    trials: tuple[FailedTrial, ...]


@wire_record("RequestTrial")
@dataclass(frozen=True, slots=True)
class RequestTrial:
    """Asks for the permit to run one request whose fingerprints are on trial."""

    fingerprints: tuple[Fingerprint, ...]


@wire_record("RequestPermit")
@dataclass(frozen=True, slots=True)
class RequestPermit:
    """``RequestTrial`` with a number, unique at its sender, for controllers that know this record.

    The reply is a ``TrialReply``.
    """

    number: int
    fingerprints: tuple[Fingerprint, ...]


@wire_record("PermitEnded")
@dataclass(frozen=True, slots=True)
class PermitEnded:
    """Sent one-way by the sender of a ``RequestPermit``: what became of the permit, if any.

    ``has_run`` is false if the request has certainly not reached a runner; another one may be tried
    at once then. Otherwise the run went on or ended without a crash.
    """

    number: int
    has_run: bool


@wire_record("TrialReply")
@dataclass(frozen=True, slots=True)
class TrialReply:
    """Whether the request may run now; only the root group's leader permits it."""

    permitted: bool


@wire_type("NamedPart")
@dataclass(frozen=True, slots=True)
class NamedPart:
    """What the fingerprint of a prompt part stands for: the part's id, and the service."""

    fingerprint: Fingerprint
    service: str
    part: str


@wire_record("PartsNamed")
@dataclass(frozen=True, slots=True)
class PartsNamed:
    """A node tells the controllers, one-way, the names of suspected parts, for operators."""

    parts: tuple[NamedPart, ...]


@wire_record("RequestAnswered")
@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A node's report to the controllers, one-way: a runner has completed this request."""

    fingerprint: Fingerprint


@wire_record("RequestsWatched")
@dataclass(frozen=True, slots=True)
class RequestsWatched:
    """A controller asks the nodes, one-way, to report responses to these requests."""

    fingerprints: tuple[Fingerprint, ...]


@wire_record("QuarantineNotice")
@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """The list of held requests, pushed to nodes when it has changed."""

    quarantine: Quarantine


@wire_record("ReadQuarantine")
@dataclass(frozen=True, slots=True)
class ReadQuarantine:
    """Asks the root group's leader for the list, confirmed by a quorum."""


@wire_record("OrderRelease")
@dataclass(frozen=True, slots=True)
class OrderRelease:
    """Asks the root group's leader to release a request, for an operator."""

    fingerprint: Fingerprint
