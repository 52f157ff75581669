"""Records what becomes of one relayed request: for routing, for quarantine and in the log.

Owns the request's fingerprint and the reason that the log gives for its end. Relies on the
gateway's runner loads, connection pool, overload guard and quarantine guard to keep its reports.
"""

from collections.abc import Sequence

from rainsail.http.exchange import HttpRequest
from rainsail.logs import logger
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_of, name_of
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import UNCONFIRMED_BEGINNING, RequestOutcome
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.sender import RequestSender
from rainsail.tenancy.tenants import Identity

MILLISECONDS_PER_S = 1000


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
        """Why the last attempt did not complete the request; empty before one has failed."""
        self._context = context
        self._request = request
        self._facts = facts
        self._identity = identity
        self.split_service = ""
        """The service that the request goes to, where its route is split among several."""
        self._fingerprints: dict[str, Fingerprint] = {}
        """By ``split_service``."""

    @property
    def fingerprint(self) -> Fingerprint:
        """What this request has in common with its repetitions at the same service.

        It costs a digest of the body, so that it is made when it is first asked for.
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

    def is_quarantined(self) -> bool:
        """Tell whether no runner may get the request now."""
        guard = self._context.guard
        return guard.holds_any and guard.holds(self.fingerprint)

    # --- attempts ------------------------------------------------------------------------

    def answered(self, attempt: Attempt) -> None:
        """The runner has answered without a failure: the request has not ended it."""
        self._context.loads.answered(attempt.record.runner)
        if self._context.guard.wants_answers and attempt.proves_survival:
            self._context.guard.answered(self.fingerprint)

    def failed(self, attempt: Attempt) -> None:
        """The runner answered with a failure of its own."""
        assert attempt.head is not None
        self.reason = f"the runner answered {attempt.head.status}"
        self._count_failure(attempt)

    def refused(self, attempt: Attempt) -> None:
        """The runner was full, or its address belongs to another one."""
        assert attempt.verdict is not None and attempt.head is not None
        self.reason = f"the runner refused with {attempt.head.status}"
        now = self._context.clock.seconds()
        if attempt.verdict.other_runner:
            self._context.loads.failed(attempt.record.runner, now, at_once=True)
        else:
            self._context.loads.full(attempt.record.runner, now)

    def unreachable(self, attempt: Attempt, reason: str) -> None:
        """No connection to the runner could be opened."""
        self.reason = reason
        now = self._context.clock.seconds()
        self._context.loads.failed(attempt.record.runner, now, at_once=True)
        self._context.pool.forget(attempt.record.address)

    def interrupted(self, attempt: Attempt, reason: str, last_event: int | None) -> bool:
        """The runner's answer broke off behind an event; tell whether the request may go elsewhere.

        It may not while the quarantine has to find out whether the request has ended the runner.
        """
        self.reason = reason
        self._count_failure(attempt)
        self._context.pool.forget(attempt.record.address)
        may_resend = True
        if attempt.connection_ended:
            may_resend = self._context.guard.connection_ended(attempt.record, self.fingerprint)
        logger.bind(
            request=self._facts.request,
            runner=attempt.record.runner,
            fingerprint=name_of(self.fingerprint),
            reason=reason,
            last_event=last_event,
        ).info("attempt_broke")
        return may_resend

    def dropped_unconfirmed(self, attempt: Attempt) -> None:
        """The stream's beginning is compared with another run's; the runner may have done well."""
        self.reason = UNCONFIRMED_BEGINNING
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log.bind(reason=UNCONFIRMED_BEGINNING).info("attempt_unconfirmed")

    def end_held(self, attempt: Attempt, max_hold_s: float) -> None:
        """The stream is over, and its end is held back for ``max_hold_s`` at most."""
        log = logger.bind(request=self._facts.request, runner=attempt.record.runner)
        log.bind(most_ms=round(max_hold_s * MILLISECONDS_PER_S)).info("stream_end_held")

    def _count_failure(self, attempt: Attempt) -> None:
        self._context.loads.failed(attempt.record.runner, self._context.clock.seconds())

    def streamed(self, service: str, first_s: float | None) -> None:
        """A stream is complete; the overload guard learns how long streams hold a slot.

        ``first_s`` is when its first byte left, in seconds since the request came.
        """
        if first_s is not None:
            self._context.overload.answered(service, self._elapsed_s() - first_s)

    # --- the end -------------------------------------------------------------------------

    def log_end(self, outcome: RequestOutcome, sender: RequestSender, answer: ClientAnswer) -> None:
        """Log how the request ended, and what was sent and answered until then."""
        context = self._context
        first_s = answer.first_s
        logger.bind(
            request=self._facts.request,
            route=sender.route.name,
            tenant=self._identity.tenant,
            table=0 if context.table is None else context.table.version,
            runners=",".join(sorted(sender.tried)),
            sends=sender.attempts_counted,
            answers=_summaries(sender.attempts),
            last_event=answer.last_event,
            reason="" if outcome == RequestOutcome.COMPLETED else self.reason,
            fingerprint=name_of(self._fingerprints.get(self.split_service, b"")),
            first_ms=None if first_s is None else round(first_s * MILLISECONDS_PER_S),
            took_ms=round(self._elapsed_s() * MILLISECONDS_PER_S),
        ).info(f"request_{outcome.value}")

    def _elapsed_s(self) -> float:
        return self._context.clock.seconds() - self._request.received_s


def _summaries(attempts: Sequence[Attempt]) -> str:
    return ",".join(attempt.summary for attempt in attempts)
