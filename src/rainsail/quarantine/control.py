"""The quarantine at a controller: counts crashes per request; the root group decides on holds.

Every controller that nodes follow receives every crash report, so a new leader already has them.
A hold is a replicated decision of the root group: it survives failures of controllers and gateways,
and a power loss of all machines.

Each first hold is put on trial, like a circuit breaker that is half open: it is released
but not forgotten, and the leader permits one request at a time to run. An answer clears the
suspect. A crash holds it again; after a few of them the hold lasts. That it is on trial is
in the group's state too, and a new leader waits until a trial of the former one must have shown.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from expression import Error, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.leader_answers import confirmed_read, not_leading
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.quarantine.crash_reports import KEPT_S as CRASHES_KEPT_S
from rainsail.quarantine.failed_trials import FailedTrials
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_hex
from rainsail.quarantine.messages import (
    NamedPart,
    OrderRelease,
    PartsNamed,
    PermitEnded,
    QuarantineNotice,
    ReadQuarantine,
    RequestAnswered,
    RequestPermit,
    RequestsWatched,
    RequestTrial,
    RunnerCrashed,
    RunnerEnded,
    RunsReset,
    TrialReply,
    TrialsFailed,
)
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.suspects import REPORTS_SETTLE_S, SuspectTracker
from rainsail.quarantine.trials import PERMIT_S, UNNUMBERED, TrialPermits
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import (
    NO_QUARANTINE,
    HoldRequest,
    Quarantine,
    QuarantinedRequest,
    ReleaseRequest,
)
from rainsail.state.quarantine import by_fingerprint
from rainsail.wire.messenger import Messenger

FIRST_HOLD_S = 600.0
"""Duration of the first hold. A harmless request that was held by mistake is released after it; a
harmful one then crashes one more runner."""
HOLD_WITHOUT_EVIDENCE_S = 10.0
"""The same, if the leader has restarted and does not know the evidence: it is put on trial then."""
HOLD_GROWTH_FACTOR = 6
"""Each further hold is longer by this factor."""
MAX_HOLD_S = 7 * 24 * 3600.0
ORDER_TIMEOUT_S = 0.9
WATCH_BATCH_S = 0.02
"""The reports of all nodes on one crash arrive within a few milliseconds; their suspects are sent
in one message."""
DOUBT_WITHIN_S = 2.0
"""An older crash is reported again, and its runner may have started since."""
MILLISECONDS_PER_S = 1000
MAX_PART_NAMES = 4096
"""Names of suspected parts that a controller keeps for operators, the newest ones."""
STEP = "quarantine.release"


class QuarantineControl:
    """Serves nodes over the messenger, and operators through its methods."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        group: GroupDriver,
        state: FleetState,
        follower: FleetFollower,
        calls: LeaderCaller,
        followers: Callable[[], tuple[str, ...]],
    ) -> None:
        """``followers`` returns the nodes that follow this controller."""
        self._messenger = messenger
        self._clock = clock
        self._group = group
        self._state = state
        self._follower = follower
        self._calls = calls
        self._followers = followers
        self._suspects = SuspectTracker(clock.seconds() - CRASHES_KEPT_S)
        self._applied = NO_QUARANTINE
        self._held_since_s: dict[Fingerprint, float] = {}
        self._proposed: set[Fingerprint] = set()
        self._watched: dict[Fingerprint, None] = {}
        self._part_names: OrderedDict[Fingerprint, NamedPart] = OrderedDict()
        self._permits = TrialPermits()
        self._failed_trials = FailedTrials()
        self.on_crash: Callable[[str, float], None] = lambda runner, at_s: None
        """Called with each runner that a node has found crashed, and the time."""
        self.permits_lapsed = 0
        """How many permits for trials have lapsed here without a word on what became of them."""
        self.holds_refuted = 0
        """How many requests or parts proved harmless after they had been held."""
        self.applied()
        messenger.serve(RunnerEnded, self._on_runner_ended)
        messenger.serve(RunsReset, self._on_runs_reset)
        messenger.serve(RunnerCrashed, self._on_runner_crashed)
        messenger.serve(
            RequestTrial,
            lambda source, message: self._permit_as_leader(source, UNNUMBERED, message),
        )
        messenger.serve(
            RequestPermit,
            lambda source, message: self._permit_as_leader(source, message.number, message),
        )
        messenger.serve(PermitEnded, self._on_permit_ended)
        messenger.serve(TrialsFailed, self._on_trials_failed)
        messenger.serve(RequestAnswered, self._on_answered)
        messenger.serve(PartsNamed, self._on_parts_named)
        messenger.serve(ReadQuarantine, lambda source, message: self._read_as_leader(message))
        messenger.serve(OrderRelease, lambda source, message: self._release_as_leader(message))

    @property
    def suspects(self) -> int:
        """The number of requests that may have crashed a runner."""
        return self._suspects.count

    @property
    def on_trial(self) -> int:
        """The number of requests and parts of which one at a time may run."""
        return sum(not each.held for each in self._applied.requests)

    # --- reports of nodes ----------------------------------------------------------------

    def _on_runner_ended(self, source: str, message: RunnerEnded) -> None:
        self._take_crash(message.runner, message.age_s, message.fingerprints, {})

    def _on_runs_reset(self, source: str, message: RunsReset) -> None:
        """Ignore it: a trial tells whether such a run was the cause."""

    def _on_runner_crashed(self, source: str, message: RunnerCrashed) -> None:
        ages = {run.fingerprint: RunAge(run.ran_s, run.wrote_s) for run in message.runs}
        self._take_crash(message.runner, message.age_s, tuple(ages), ages)

    def _take_crash(
        self,
        runner: str,
        age_s: float,
        fingerprints: tuple[Fingerprint, ...],
        ages: dict[Fingerprint, RunAge],
    ) -> None:
        now = self._clock.seconds()
        at_s = now - max(0.0, age_s)
        if age_s <= DOUBT_WITHIN_S:
            self.on_crash(runner, at_s)
        self._permits.note_crash(at_s)
        self._permits.crash_reported(fingerprints)
        if not fingerprints:
            return
        watched = self._suspects.crashed(runner, fingerprints, at_s, now, ages)
        if watched and not self._watched:
            self._clock.callLater(WATCH_BATCH_S, self._send_watched)
        self._watched.update(dict.fromkeys(watched))
        self._clock.callLater(REPORTS_SETTLE_S, self.look)

    def _on_trials_failed(self, source: str, message: TrialsFailed) -> None:
        self._failed_trials.take(message.trials, self._clock.seconds())
        self.look()

    def _on_parts_named(self, source: str, message: PartsNamed) -> None:
        for named in message.parts:
            self._part_names[named.fingerprint] = named
            self._part_names.move_to_end(named.fingerprint)
        while len(self._part_names) > MAX_PART_NAMES:
            self._part_names.popitem(last=False)

    def name_of_part(self, fingerprint: Fingerprint) -> NamedPart | None:
        """Return what a part's fingerprint stands for, None if no node has said it lately."""
        return self._part_names.get(fingerprint)

    def _send_watched(self) -> None:
        """Ask the nodes to report responses to new suspects, in one message per crash."""
        watched, self._watched = tuple(self._watched), {}
        self._messenger.send_all(self._followers(), RequestsWatched(watched))

    def _on_answered(self, source: str, message: RequestAnswered) -> None:
        self._suspects.answered(message.fingerprint, self._clock.seconds())
        if self._times_held(message.fingerprint):
            self.look()

    def _times_held(self, fingerprint: Fingerprint) -> int:
        """Return how often a request was held, 0 if it is not on the list."""
        known = by_fingerprint(self._state.quarantine.snapshot().requests).get(fingerprint)
        return 0 if known is None else known.times

    # --- decisions -----------------------------------------------------------------------

    def look(self) -> None:
        """Hold what is due, forget what is refuted, release expired holds; called periodically.

        What an answer makes due is held before what it refutes is forgotten, or it would run.
        """
        now = self._clock.seconds()
        self._permits.note_leadership(self._group.is_leader(), now)
        if not self._group.is_leader():
            return
        for fingerprint in self._suspects.due(now):
            self._propose(HoldRequest(fingerprint))
        for fingerprint in self._failed_trials.uncounted(self._applied, now):
            self._propose(HoldRequest(fingerprint))
        for each in self._applied.requests:
            if self._suspects.is_refuted(each.fingerprint):
                self._propose(ReleaseRequest(each.fingerprint, each.times, forget=True))
                continue
            since_s = self._held_since_s.get(each.fingerprint, now)
            if not each.held and self._lacks_hold(each):
                self._propose(HoldRequest(each.fingerprint))
            is_over = now - since_s >= self._hold_duration_s(each)
            if each.held and (is_over or self._suspects.is_on_trial(each.fingerprint)):
                self._propose(ReleaseRequest(each.fingerprint, each.times, forget=False))

    def _lacks_hold(self, request: QuarantinedRequest) -> bool:
        """Tell whether a request that is on trial may not run any more.

        One hold follows several trials that crash at about the same time.
        """
        if request.times < self._suspects.times_to_begin_with(request.fingerprint):
            return True
        return not self._suspects.may_be_tried(request.fingerprint)

    def _propose(self, command: HoldRequest | ReleaseRequest) -> None:
        """Propose a command to the group, at most one at a time for each request."""
        fingerprint = command.fingerprint
        if fingerprint in self._proposed:
            return
        self._proposed.add(fingerprint)
        done = self._group.propose(command)
        done.addCallback(lambda result: self._on_decided(command, result))

    def _on_decided(
        self, command: HoldRequest | ReleaseRequest, result: Result[Any, Fault]
    ) -> None:
        """Put a hold on trial at once, so that a loss of power can't part them.

        A proposal that failed is made again by the next look, if it is still needed.
        """
        self._proposed.discard(command.fingerprint)
        if result.is_error():
            self._log_of(command.fingerprint).bind(fault=str(result.error)).warning(
                "quarantine_not_decided"
            )
            return
        if isinstance(command, ReleaseRequest) and command.forget:
            self.holds_refuted += 1
        if self._suspects.is_refuted(command.fingerprint):
            # The answer came while another decision was under way.
            self.look()
            return
        if not self._suspects.is_on_trial(command.fingerprint):
            return
        is_release = isinstance(command, ReleaseRequest)
        if not is_release or self._suspects.times_to_begin_with(command.fingerprint) > 1:
            self.look()

    def _hold_duration_s(self, request: QuarantinedRequest) -> float:
        """Return how long a request is held; holds that were put on trial do not count."""
        if self._suspects.lacks_evidence(request.fingerprint):
            return HOLD_WITHOUT_EVIDENCE_S
        times = max(1, request.times - self._suspects.trials(request.fingerprint))
        return min(MAX_HOLD_S, FIRST_HOLD_S * HOLD_GROWTH_FACTOR ** (times - 1))

    # --- trials --------------------------------------------------------------------------

    def _permit_as_leader(
        self, sender: str, number: int, message: RequestTrial | RequestPermit
    ) -> "Deferred[Any]":
        """Decide on a trial once a quorum has confirmed that no other controller leads."""
        if not self._group.is_leader():
            return succeed(TrialReply(False))
        fingerprints = message.fingerprints
        return confirmed_read(self._group, lambda: self._permit(sender, number, fingerprints))

    def _permit(
        self, sender: str, number: int, fingerprints: tuple[Fingerprint, ...]
    ) -> TrialReply:
        now = self._clock.seconds()
        self._permits.note_leadership(self._group.is_leader(), now)
        fingerprints = self._permits.listed(fingerprints)
        if not fingerprints:
            # The sender has not heard yet that they were cleared.
            return TrialReply(True)
        may_be_tried = all(map(self._suspects.may_be_tried, fingerprints))
        if not may_be_tried or not self._permits.permit(fingerprints, now, sender, number):
            return TrialReply(False)
        for each in fingerprints:
            self._log_of(each).info("quarantine_trial")
        if number != UNNUMBERED:
            self._clock.callLater(PERMIT_S, self._permit_lapsed, sender, number)
        return TrialReply(True)

    def _on_permit_ended(self, source: str, message: PermitEnded) -> None:
        if self._permits.ended(source, message.number, message.has_run):
            logger.bind(sender=source).info("quarantine_permit_returned")

    def _permit_lapsed(self, sender: str, number: int) -> None:
        """Count a run as a failed trial if its sender may be lost with its report on a crash."""
        lapsed = self._permits.lapsed(sender, number)
        if not lapsed or not self._group.is_leader():
            return
        self.permits_lapsed += 1
        for fingerprint in lapsed:
            self._log_of(fingerprint).bind(sender=sender).warning("quarantine_permit_lapsed")
            self._propose(HoldRequest(fingerprint))

    def applied(self) -> None:
        """Apply a new list of held requests, and send it to the nodes."""
        quarantine = self._state.quarantine.snapshot()
        if quarantine.revision == self._applied.revision:
            return
        former, self._applied = self._applied, quarantine
        # A decision may explain the crashes for which it was taken.
        crashes = {
            each.fingerprint: self._crashes_at(each.fingerprint)
            for each in quarantine.requests
            if each.held and each.fingerprint not in self._held_since_s
        }
        self._suspects.decided(quarantine, self._clock.seconds())
        self._note_changes(former, quarantine, crashes)
        self._permits.decided(quarantine, self._clock.seconds())
        self._follower.take_quarantine(quarantine)
        self._messenger.send_all(self._followers(), QuarantineNotice(quarantine))

    def _crashes_at(self, fingerprint: Fingerprint) -> dict[str, Any]:
        """Return the log fields on the crashes beside a suspect."""
        now = self._clock.seconds()
        crashes = self._suspects.crashes_of(fingerprint)
        ago_s = [now - at_s for _, at_s in crashes]
        return {
            "runners": ",".join(runner for runner, _ in crashes),
            "crashed_ms_ago": ",".join(str(round(each * MILLISECONDS_PER_S)) for each in ago_s),
            "requests": self._suspects.requests_at_crashes_of(fingerprint),
        }

    def _note_changes(
        self,
        former: Quarantine,
        quarantine: Quarantine,
        crashes: dict[Fingerprint, dict[str, Any]],
    ) -> None:
        """Log what has changed; ``crashes`` has the fields on those behind each new hold."""
        now = self._clock.seconds()
        held = {each.fingerprint: each for each in quarantine.requests if each.held}
        known = {each.fingerprint for each in quarantine.requests}
        times = {each.fingerprint: each.times for each in former.requests}
        for fingerprint in sorted(held.keys() - self._held_since_s.keys()):
            status = self._suspects.trial_status(fingerprint, held[fingerprint].times)
            log = self._log_of(fingerprint).bind(
                times=held[fingerprint].times,
                **crashes[fingerprint],
                trial="yes" if status.has_trial else "no",
                reason=status.value,
            )
            log.warning("quarantine_held")
        for fingerprint in sorted(self._held_since_s.keys() - held.keys()):
            outcome = "on_trial" if fingerprint in known else "cleared"
            held_ms = round((now - self._held_since_s[fingerprint]) * MILLISECONDS_PER_S)
            log = self._log_of(fingerprint).bind(outcome=outcome, held_ms=held_ms)
            log.info("quarantine_released")
        for fingerprint in sorted(times.keys() - known):
            self._log_of(fingerprint).bind(times=times[fingerprint]).info("quarantine_cleared")
        self._held_since_s = {name: self._held_since_s.get(name, now) for name in held}

    def _log_of(self, fingerprint: Fingerprint) -> Any:
        """Return a logger bound to a fingerprint, and to the name of the part if it is known."""
        log = logger.bind(fingerprint=fingerprint_hex(fingerprint))
        named = self.name_of_part(fingerprint)
        return log if named is None else log.bind(service=named.service, part=named.part)

    # --- operators -----------------------------------------------------------------------

    def read(self) -> "Deferred[Result[QuarantineNotice, Fault]]":
        """Return the list of held requests, confirmed by a quorum."""
        return self._calls.call(ReadQuarantine(), self._read_as_leader, ORDER_TIMEOUT_S, True)

    def release(
        self, fingerprint: Fingerprint, is_awaited: Callable[[], bool] = lambda: True
    ) -> "Deferred[Result[QuarantineNotice, Fault]]":
        """Release a request and remove it from the list; NOT_FOUND if it is not on the list.

        ``is_awaited`` returns whether the operator's connection is still open.
        """
        return Deferred.fromCoroutine(self._release(fingerprint, is_awaited))

    async def _release(
        self, fingerprint: Fingerprint, is_awaited: Callable[[], bool]
    ) -> Result[QuarantineNotice, Fault]:
        """Order the release at the leader, unless the operator has disconnected by then.

        A delayed order could otherwise release a request that has been held again in the meantime.
        The disconnection is noticed while this controller reads the list from the leader.
        """
        deadline_s = self._clock.seconds() + ORDER_TIMEOUT_S
        known = await self.read()
        if known.is_error():
            return Error(known.error)
        if not is_awaited():
            log = logger.bind(fingerprint=fingerprint_hex(fingerprint))
            log.warning("quarantine_release_dropped")
            return Error(Fault(FaultCode.UNAVAILABLE, STEP, "the operator has left"))
        left_s = max(0.0, deadline_s - self._clock.seconds())
        message = OrderRelease(fingerprint)
        return await self._calls.call(message, self._release_as_leader, left_s)

    def _read_as_leader(self, message: ReadQuarantine) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, "quarantine.read"))
        return confirmed_read(self._group, self._notice)

    def _release_as_leader(self, message: OrderRelease) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, STEP))
        times = self._times_held(message.fingerprint)
        if not times:
            detail = f"request {fingerprint_hex(message.fingerprint)} is not held"
            return succeed(Fault(FaultCode.NOT_FOUND, STEP, detail))
        self._suspects.answered(message.fingerprint, self._clock.seconds())
        proposed = self._group.propose(ReleaseRequest(message.fingerprint, times, forget=True))
        return proposed.addCallback(
            lambda result: result.error if result.is_error() else self._notice()
        )

    def _notice(self) -> QuarantineNotice:
        return QuarantineNotice(self._state.quarantine.snapshot())
