"""The quarantine at a sending node: enforces the list of held requests and reports crashes.

The end of a connection alone does not mean a crash: runners also reset connections, networks
partition, and machines lose power. A runner counts as crashed if its address refuses connections
shortly afterwards. An address that does not answer at all is behind a partition or without power,
which no request can cause.

A request that was held and released without an answer runs only as a trial, one at a time in the
whole fleet: the leading controller permits it.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.http.reachability import Reachability
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.crash_reports import CrashReport, CrashReports
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_hex, is_of_part
from rainsail.quarantine.guard import Fingerprints, TrialDecided
from rainsail.quarantine.messages import (
    CrashedRun,
    NamedPart,
    PartsNamed,
    RequestAnswered,
    RequestsWatched,
    RunnerCrashed,
    RunnerEnded,
    RunsReset,
    TrialsFailed,
)
from rainsail.quarantine.run_times import (
    PROMPT_READ_AFTER_S,
    UNKNOWN_AGE,
    RunAge,
    RunTimes,
)
from rainsail.quarantine.trial_client import TrialClient
from rainsail.runtime.clock import Clock
from rainsail.wire.extensions import FAILED_TRIALS, HOLD_TRIALS, PART_NAMES, RESET_RUNS
from rainsail.wire.messenger import Messenger

PROBE_DELAYS_S = (0.05, 0.5)
"""Delays of the probes of a runner's address after a connection to it has ended. A process that
shuts down in order may accept connections for a short time after it has closed others."""
MAX_REPORTED = 1024
"""About the maximum number of requests and prompt parts that are reported for one crash."""
MAX_PART_ID_LENGTH = 64
"""Characters of a part's id that are kept for operators; clients choose the ids."""
MAX_FINGERPRINTS_SHOWN = 32
"""Requests and parts that the log line on a crash names; it is cut at some 1 kB."""


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
    broken: dict[Fingerprint, RunAge] = field(default_factory=dict)
    names: dict[Fingerprint, NamedPart] = field(default_factory=dict)
    probes: int = 0
    permits: list[int] = field(default_factory=list)
    """The permits of trials among them."""
    reset: set[Fingerprint] = field(default_factory=set)
    """Those whose connections had ended when a probe found the runner alive."""


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
        self._trials = TrialClient(messenger, clock, follower, metrics)
        self._crash_checks: dict[str, _CrashCheck] = {}
        self._survival_checks: dict[str, set[Fingerprint]] = {}
        """By runner of which a check is pending whether it survives: parts that wait for the next
        check, as their runs were not known at the beginning of this one."""
        self._reports = CrashReports(self._view)
        messenger.serve(RequestsWatched, self._watch)
        follower.on_controller_started = self._report_again

    # --- enforcement ---------------------------------------------------------------------

    @property
    def holds_any(self) -> bool:
        """Whether any request is held."""
        return bool(self._view.held)

    def held_among(self, fingerprints: Fingerprints) -> Fingerprint | None:
        """Return the fingerprint for which a request must not reach a runner, if there is one."""
        return next((each for each in fingerprints if each in self._view.held), None)

    @property
    def has_unproven(self) -> bool:
        """Whether any request may run only as a trial."""
        return bool(self._view.unproven)

    def unproven_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return the fingerprints for which a request may run only as a trial."""
        return tuple(each for each in fingerprints if each in self._view.unproven)

    def suspects_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return the fingerprints that are watched or on the list."""
        return tuple(filter(self._view.wants_answer, fingerprints))

    def may_have_crashed(self, record: RunnerRecord) -> bool:
        """Tell whether a runner was found crashed, or whether a check of that is pending."""
        is_checked = record.runner in self._crash_checks
        return is_checked or self._follower.registry.is_found_crashed(record)

    def request_trial(
        self, fingerprints: Fingerprints, decided: TrialDecided, ends: int = 0
    ) -> None:
        """Ask the controllers for a permit."""
        self._trials.request(fingerprints, decided, ends)

    def trial_ended(self, fingerprints: Fingerprints, has_run: bool) -> None:
        """Tell the controllers what became of a permit, unless a check is pending."""
        self._trials.ended(fingerprints, has_run)

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

        A response that has gone on for a while is reported as one that proves nothing yet.

        Without proof of the runner's survival its address is tried first, for the parts only: a
        part that many requests hold would otherwise never be cleared where runners mark no ends.
        """
        wanted = [each for each in fingerprints if self._view.wants_answer(each)]
        if proves_survival:
            self._report_answered(wanted)
            return
        parts = [each for each in wanted if is_of_part(each)]
        waiting = self._survival_checks.get(record.runner)
        if waiting is not None:
            waiting.update(parts)
        elif parts:
            self._check_survival_later(record, parts)

    def _report_answered(self, fingerprints: Fingerprints) -> None:
        self._reports.answered(fingerprints, self._clock.seconds())
        for fingerprint in fingerprints:
            self._view.unwatch(fingerprint)
            self._send_to_controllers(RequestAnswered(fingerprint))

    def _check_survival_later(self, record: RunnerRecord, parts: Fingerprints) -> None:
        self._survival_checks[record.runner] = set()
        self._clock.callLater(PROBE_DELAYS_S[-1], self._check_survival, record, parts)

    def _check_survival(self, record: RunnerRecord, parts: Fingerprints) -> None:
        def probed(reach: Reachability) -> None:
            waiting = self._survival_checks.pop(record.runner)
            known = self._follower.registry.get(record.runner)
            if reach != Reachability.OPEN or known is None or known.born != record.born:
                return
            self._report_answered(parts)
            still_wanted = sorted(filter(self._view.wants_answer, waiting))
            if still_wanted:
                self._check_survival_later(record, still_wanted)

        self._metrics.count("runner_probes")
        self._connections.probe(record.address, probed)

    def connection_ended(
        self,
        record: RunnerRecord,
        fingerprints: Fingerprints,
        part_ids: Sequence[str],
        times: RunTimes,
    ) -> bool:
        """Start a check whether the runner has crashed.

        Returns False for a request that was held before, or that holds such a part.

        A runner that has announced its shutdown is not checked. The parts of a run that had gone on
        writing are no suspects.
        """
        self._survival_checks.get(record.runner, set()).difference_update(fingerprints)
        known = self._follower.registry.get(record.runner)
        if known is None or known.state == RunnerState.READY:
            has_read_prompt = times.wrote_s >= PROMPT_READ_AFTER_S
            suspects = fingerprints[:1] if has_read_prompt else fingerprints
            age = RunAge(self._clock.seconds() - times.sent_s, times.wrote_s)
            check = self._check_runner(record, suspects, age)
            check.permits += self._trials.take_open(fingerprints)
            for fingerprint, part in zip(suspects[1:], part_ids, strict=False):
                name = part[:MAX_PART_ID_LENGTH]
                check.names[fingerprint] = NamedPart(fingerprint, record.service, name)
        return self._view.ever_held.isdisjoint(fingerprints)

    def connection_refused(self, record: RunnerRecord) -> None:
        """Check whether a runner has crashed that this node had no connection to.

        Other nodes may have none either, and no request is a suspect.
        """
        if record.takes_work and not self._follower.registry.is_found_crashed(record):
            self._check_runner(record, (), UNKNOWN_AGE)

    def _check_runner(
        self, record: RunnerRecord, fingerprints: Fingerprints, age: RunAge
    ) -> _CrashCheck:
        check = self._crash_checks.get(record.runner)
        if check is None:
            check = _CrashCheck(record, self._clock.seconds())
            self._crash_checks[record.runner] = check
            self._probe_later(check)
        if len(check.broken) < MAX_REPORTED:
            for each in fingerprints:
                known = check.broken.get(each)
                check.reset.discard(each)
                check.broken[each] = age if known is None else known.youngest(age)
        return check

    def _probe_later(self, check: _CrashCheck) -> None:
        due_s = check.began_s + PROBE_DELAYS_S[check.probes]
        check.probes += 1
        self._clock.callLater(max(0.0, due_s - self._clock.seconds()), self._probe, check)

    def _probe(self, check: _CrashCheck) -> None:
        self._metrics.count("runner_probes")
        self._connections.probe(check.record.address, lambda reach: self._probed(check, reach))

    def _probed(self, check: _CrashCheck, reach: Reachability) -> None:
        if reach == Reachability.OPEN:
            check.reset.update(check.broken)
            # If the runner crashes later all the same, the report on that counts.
            self._end_trials(check)
        if reach != Reachability.REFUSED and check.probes < len(PROBE_DELAYS_S):
            self._probe_later(check)
            return
        del self._crash_checks[check.record.runner]
        if reach == Reachability.REFUSED:
            self._follower.registry.note_crash(check.record)
            self._report(check)
            return
        self._end_trials(check)

    def _end_trials(self, check: _CrashCheck) -> None:
        """Tell the controllers that the runner of some trials has survived them."""
        permits, check.permits = check.permits, []
        for permit in permits:
            self._trials.tell_end(permit, has_run=True)

    def _report(self, check: _CrashCheck) -> None:
        runner = check.record.runner
        shown = ",".join(map(fingerprint_hex, islice(check.broken, MAX_FINGERPRINTS_SHOWN)))
        log = logger.bind(runner=runner, requests=len(check.broken), fingerprints=shown)
        log.info("runner_ended")
        self._metrics.count("runner_ends_seen")
        report = CrashReport(runner, check.began_s, check.broken, check.names, check.reset)
        if report.runs:
            self._reports.add(report)
        self._send_report(report, self._follower.heartbeat_targets())

    def _send_report(self, report: CrashReport, controllers: Sequence[str]) -> None:
        """Send a report to controllers, in the form that each of them knows."""
        age_s = self._clock.seconds() - report.at_s
        names = tuple(report.names[each] for each in report.runs if each in report.names)
        if names:
            named = PartsNamed(names)
            self._messenger.send_all(self._supporting(PART_NAMES, controllers), named)
        if report.reset:
            reset = RunsReset(report.runner, tuple(report.reset))
            self._messenger.send_all(self._supporting(RESET_RUNS, controllers), reset)
        runs = tuple(CrashedRun(each, age.ran_s, age.wrote_s) for each, age in report.runs.items())
        with_ages = self._supporting(HOLD_TRIALS, controllers)
        without = [each for each in controllers if each not in with_ages]
        self._messenger.send_all(with_ages, RunnerCrashed(report.runner, runs, age_s))
        if report.runs:
            ended = RunnerEnded(report.runner, tuple(report.runs), age_s)
            self._messenger.send_all(without, ended)

    def _report_again(self, controller: str) -> None:
        """Report the latest crashes, answers and failed trials to a controller that has started."""
        now = self._clock.seconds()
        crashes, answers = self._reports.crashes(now), self._reports.answers(now)
        trials = self._reports.failed_trials()
        for report in crashes:
            self._send_report(report, (controller,))
        for fingerprint in answers:
            self._messenger.send(controller, RequestAnswered(fingerprint))
        if trials and self._supporting(FAILED_TRIALS, (controller,)):
            self._messenger.send(controller, TrialsFailed(trials))
        if crashes or trials:
            log = logger.bind(controller=controller, crashes=len(crashes), answers=len(answers))
            log.bind(failed_trials=len(trials)).info("crashes_reported_again")

    def _supporting(self, extension: int, controllers: Sequence[str] | None = None) -> list[str]:
        """Return the controllers that know an extension, of all that this node follows."""
        level = self._messenger.extension_level
        asked = self._follower.heartbeat_targets() if controllers is None else controllers
        return [each for each in asked if level(each) >= extension]

    def _send_to_controllers(self, message: RequestAnswered) -> None:
        """Send to every controller that this node follows, so that a new leader has it as well."""
        self._messenger.send_all(self._follower.heartbeat_targets(), message)
