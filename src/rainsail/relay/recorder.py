"""Records the attempts and the outcome of one relayed request for routing, quarantine and the log.

Owns the request's fingerprint and the logged reason for its end. The records are kept by the
gateway's runner loads, connection pool, overload guard and quarantine guard.
"""

from collections.abc import Sequence
from typing import Any

from rainsail.cluster.messages import RunnerRecord
from rainsail.http.exchange import HttpRequest
from rainsail.http.reachability import Reachability
from rainsail.logs import logger
from rainsail.quarantine.fingerprint import (
    Fingerprint,
    fingerprint_hex,
    fingerprint_of,
    part_fingerprints,
)
from rainsail.quarantine.guard import Fingerprints
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import (
    REFUTED_END,
    UNCONFIRMED_BEGINNING,
    UNCONFIRMED_END,
    RequestOutcome,
)
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.sender import RequestSender
from rainsail.tenancy.tenants import Identity

MILLISECONDS_PER_S = 1000
STATUS_MIN_REJECTION = 400


class RequestRecorder:
    """Reports the attempts of one request and logs its end."""

    def __init__(
        self,
        context: RelayContext,
        request: HttpRequest,
        facts: RequestFacts,
        identity: Identity,
    ) -> None:
        self.reason = ""
        """Why the last attempt did not complete the request; empty if none has failed."""
        self._context = context
        self._request = request
        self._facts = facts
        self._identity = identity
        self.split_service = ""
        """The service chosen for the request if its route is split among several, else empty."""
        self.service = ""
        """The service chosen for the request, empty before."""
        self._held = b""
        """The fingerprint for which the request is held, if it is."""
        self._fingerprints: dict[str, Fingerprint] = {}
        """Cache of fingerprints by ``split_service``."""
        self._part_fingerprints: dict[str, tuple[Fingerprint, ...]] = {}
        """Cache of the prompt parts' fingerprints by service."""

    @property
    def fingerprint(self) -> Fingerprint:
        """The hash that identifies repetitions of this request at the same service.

        Computed on first use, since it costs a digest of the body.
        """
        known = self._fingerprints.get(self.split_service)
        if known is not None:
            return known
        request = self._request
        made = self._fingerprints[self.split_service] = fingerprint_of(
            self._identity.tenant,
            self._facts.host,
            request.method,
            request.target,
            request.body,
            self.split_service,
        )
        return made

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """The hashes of the prompt's parts at the chosen service; none before it is chosen."""
        if not self.service or not self._facts.prompt:
            return ()
        known = self._part_fingerprints.get(self.service)
        if known is not None:
            return known
        tenant, model, prompt = self._identity.tenant, self._facts.model, self._facts.prompt
        made = part_fingerprints(tenant, self.service, model, prompt)
        self._part_fingerprints[self.service] = made
        return made

    @property
    def _part_ids(self) -> list[str]:
        return [part.part for part in self._facts.prompt[:-1]]

    @property
    def _all_fingerprints(self) -> Fingerprints:
        return (self.fingerprint, *self.part_fingerprints)

    def is_quarantined(self) -> bool:
        """Tell whether the request is quarantined now, so that no runner may get it."""
        guard = self._context.guard
        held = guard.held_among(self._all_fingerprints) if guard.holds_any else None
        self._held = held or b""
        return held is not None

    def unproven_fingerprints(self) -> Fingerprints:
        """Return the fingerprints for which the request may run only as a trial."""
        guard = self._context.guard
        return guard.unproven_among(self._all_fingerprints) if guard.has_unproven else ()

    def trial_sent(self, record: RunnerRecord, unproven: Fingerprints) -> None:
        """Record that the request is sent as a trial, and what this gateway runs beside it."""
        context = self._context
        known_s = context.registry.history.known_s(record, context.clock.seconds())
        self._log_trial(unproven).bind(
            runner=record.runner,
            online_beside=context.loads.of(record.runner).in_flight,
            runner_known_ms=round(known_s * MILLISECONDS_PER_S),
        ).info("request_trial_sent")

    def trial_unused(self, unproven: Fingerprints, reason: str) -> None:
        """Record a permit for a trial with which the request was not sent."""
        self._log_trial(unproven).bind(reason=reason).info("request_trial_unused")

    def _log_trial(self, unproven: Fingerprints) -> Any:
        names = ",".join(map(fingerprint_hex, unproven))
        return logger.bind(request=self._facts.request, trial_of=names)

    # --- attempts ------------------------------------------------------------------------

    def answered(self, attempt: Attempt) -> None:
        """Record a success; it shows that the request did not crash the runner."""
        self._context.loads.answered(attempt.record.runner)
        guard = self._context.guard
        if not guard.wants_answers or attempt.failed or attempt.head is None:
            return
        # A runner may reject a request without beginning to answer its prompt.
        is_rejected = attempt.head.status >= STATUS_MIN_REJECTION
        cleared = (self.fingerprint,) if is_rejected else self._all_fingerprints
        guard.answered(attempt.record, cleared, attempt.proves_survival)

    def goes_on(self, attempt: Attempt) -> bool:
        """Report a stream that has gone on for a while, as its runner has survived the prompt.

        Return whether that was reported now.
        """
        guard = self._context.guard
        if not guard.wants_answers or not attempt.times.is_survival_check_due(
            self._context.clock.seconds()
        ):
            return False
        guard.answered(attempt.record, self.part_fingerprints, proves_survival=False)
        return True

    def failed(self, attempt: Attempt) -> None:
        """Record an answer with an error status."""
        assert attempt.head is not None
        self.reason = f"the runner answered {attempt.head.status}"
        self._count_failure(attempt)

    def refused(self, attempt: Attempt) -> None:
        """Record that the runner was full, or that its address belongs to another runner."""
        assert attempt.verdict is not None and attempt.head is not None
        self.reason = f"the runner refused with {attempt.head.status}"
        now = self._context.clock.seconds()
        if attempt.verdict.other_runner:
            self._context.loads.failed(attempt.record.runner, now, at_once=True)
        else:
            self._context.loads.full(attempt.record.runner, now)

    def unreachable(self, attempt: Attempt, reason: str) -> None:
        """Record that no connection to the runner could be opened."""
        self.reason = reason
        if reason == Reachability.REFUSED:
            self._context.guard.connection_refused(attempt.record)
        now = self._context.clock.seconds()
        self._context.loads.failed(attempt.record.runner, now, at_once=True)
        self._context.pool.forget(attempt.record.address)

    def interrupted(self, attempt: Attempt, reason: str, last_event: int | None) -> bool:
        """Record an answer interrupted after an event; tell whether the request may be resent.

        It may not while the quarantine investigates whether the request has crashed the runner.
        """
        self.reason = reason
        self._count_failure(attempt)
        self._context.pool.forget(attempt.record.address)
        may_resend = True
        if attempt.connection_ended:
            guard = self._context.guard
            may_resend = guard.connection_ended(
                attempt.record, self._all_fingerprints, self._part_ids, attempt.times
            )
        logger.bind(
            request=self._facts.request,
            runner=attempt.record.runner,
            version=attempt.version,
            fingerprint=fingerprint_hex(self.fingerprint),
            parts=self._parts_text(),
            reason=reason,
            last_event=last_event,
        ).info("attempt_broke")
        return may_resend

    def returned(self, attempt: Attempt) -> None:
        """Record that a silent runner is not given up: it sends again, or no other one takes over.

        It is not what the request ends by, so the reason for that stays.
        """
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log.bind(reason=self.reason).info("silent_runner_kept")

    def _parts_text(self) -> str:
        """Return the ids of the prompt's parts with their fingerprints, for the log."""
        names = zip(self._part_ids, self.part_fingerprints, strict=False)
        return ",".join(f"{part}:{fingerprint_hex(each)}" for part, each in names)

    def dropped_unconfirmed(self, attempt: Attempt) -> None:
        """Record that the stream is compared with another run; the runner may be without fault."""
        self.reason = UNCONFIRMED_BEGINNING
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log.bind(reason=UNCONFIRMED_BEGINNING).info("attempt_unconfirmed")

    def end_held(self, attempt: Attempt, max_hold_s: float) -> None:
        """Record that the stream has ended and its end is held for at most ``max_hold_s``."""
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log.bind(most_ms=round(max_hold_s * MILLISECONDS_PER_S)).info("stream_end_held")

    def end_unconfirmed(self, attempt: Attempt, last_event: int | None) -> None:
        """Record that another run is asked whether the stream ends here; the runner may be right.

        ``last_event`` is the number of the last event that the client has.
        """
        self.reason = UNCONFIRMED_END
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log = log.bind(run_events=attempt.event_count, answer=attempt.summary)
        log.bind(last_event=last_event).info("stream_end_checked")

    def end_refuted(self, attempt: Attempt, last_event: int | None) -> None:
        """Record that the runner has ended the stream before its last event."""
        self.reason = REFUTED_END
        self._count_failure(attempt)
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log = log.bind(run_events=attempt.event_count, answer=attempt.summary)
        log.bind(last_event=last_event).info("stream_end_refuted")

    def end_accepted(self, last_event: int | None, runners: str, is_confirmed: bool) -> None:
        """Record that an end that was checked completes the stream.

        ``runners`` have stated it; without ``is_confirmed`` no other run could tell.
        """
        log = logger.bind(request=self._facts.request, runners=runners, last_event=last_event)
        log.bind(is_confirmed=is_confirmed).info("stream_end_accepted")

    def _count_failure(self, attempt: Attempt) -> None:
        self._context.loads.failed(attempt.record.runner, self._context.clock.seconds())

    def streamed(self, service: str, first_s: float | None) -> None:
        """Report to the overload guard how long a complete stream has held a slot.

        ``first_s`` is when its first byte was sent, in seconds since the request arrived.
        """
        if first_s is not None:
            self._context.overload.answered(service, self._elapsed_s() - first_s)

    # --- end of the request --------------------------------------------------------------

    def log_end(self, outcome: RequestOutcome, sender: RequestSender, answer: ClientAnswer) -> None:
        """Log the outcome of the request and a summary of its attempts and answers.

        The request's body is dropped: objects that refer to each other keep it long after the end.
        """
        context = self._context
        first_s = answer.first_s
        log = logger.bind(
            request=self._facts.request,
            route=sender.route.name,
            tenant=self._identity.tenant,
            table=0 if context.table is None else context.table.version,
            runners=",".join(sorted(sender.tried)),
            sends=sender.attempts_counted,
            answers=_summaries(sender.attempts),
            run_events=",".join(str(attempt.event_count) for attempt in sender.attempts),
            run_ends=",".join(attempt.end_reason for attempt in sender.attempts),
            deadline_ms=_milliseconds(self._facts.deadline_s),
            deadlines_sent_ms=_deadlines_sent(sender.attempts),
            last_event=answer.last_event,
            reason="" if outcome == RequestOutcome.COMPLETED else self.reason,
            fingerprint=fingerprint_hex(self._fingerprints.get(self.split_service, b"")),
            held=fingerprint_hex(self._held),
            first_ms=_milliseconds(first_s),
            took_ms=round(self._elapsed_s() * MILLISECONDS_PER_S),
        )
        grace_left_ms = context.stop.remaining_ms
        if grace_left_ms is not None:
            log = log.bind(grace_left_ms=grace_left_ms)
        log.info(f"request_{outcome.value}")
        self._request = self._request.without_body()

    def _elapsed_s(self) -> float:
        return self._context.clock.seconds() - self._request.received_s


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MILLISECONDS_PER_S)


def _deadlines_sent(attempts: Sequence[Attempt]) -> str:
    """Return the time left that each attempt's runner was told; empty if the client stated none."""
    stated = (_milliseconds(attempt.deadline_left_s) for attempt in attempts)
    return ",".join(str(each) for each in stated if each is not None)


def _summaries(attempts: Sequence[Attempt]) -> str:
    return ",".join(attempt.summary for attempt in attempts)
