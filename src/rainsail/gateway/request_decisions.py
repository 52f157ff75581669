"""Decisions about one caller's request, as pure functions.

``RequestRun`` calls them and acts on the results. Retries are decided in ``gateway.retry``.
"""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.engine.interface import EngineAttemptEnd
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway import request as request_machine
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.retry import RetryReason
from rainsail.state.commands import ClaimResult, Turn

STEP = "gateway.request"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The complete answer that an earlier submission of the same request has recorded."""

    text: str


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request can't be answered; ``retry_after_s`` is None when it is unknown."""

    code: FaultCode
    detail: str
    peer: str = ""
    retry_after_s: float | None = None


class AfterAbandon(StrEnum):
    """What to do with a request whose caller has disconnected."""

    FINISH_RECORDING = "the whole answer is recorded to its end"
    FINISH_ATTEMPT = "the attempt runs on, so that its answer is recorded"
    CANCEL = "the attempt is cancelled at its engine"


def decide_after_claim(claim: ClaimResult) -> RecordedAnswer | Fault | None:
    """Interpret the reply to a claim; None means that it is granted and the request continues."""
    if claim.granted:
        return None
    if claim.outcome == Outcome.COMPLETED:
        return RecordedAnswer(claim.response)
    detail = f"an earlier request with this id went through {claim.gateway}"
    return Fault(FaultCode.CONFLICT, STEP, detail, outcome=Outcome.UNKNOWN)


def decide_after_last_turn(
    last_turn: Turn | None, caller: CallerRequest
) -> RecordedAnswer | Fault | None:
    """Compare a session's last turn with the request; None means that the request is a new turn.

    A recorded turn that is sent again gets its recorded answer. A different prompt under the same
    request id is a conflict.
    """
    if last_turn is None or last_turn.request_id != caller.request_id:
        return None
    if last_turn.prompt == caller.prompt:
        return RecordedAnswer(last_turn.answer)
    return Fault(FaultCode.CONFLICT, STEP, "the session has another turn under this request id")


def decide_after_abandon(
    status: request_machine.RequestStatus, repeatable: bool, attempts_that_may_have_run: int
) -> AfterAbandon:
    """Decide what to do with a request whose caller has disconnected.

    A non-repeatable request that was sent continues, so that the caller gets the recorded answer
    when it submits the same id again. For the same reason a recording in progress finishes.
    """
    if status is request_machine.RequestStatus.RECORDING:
        return AfterAbandon.FINISH_RECORDING
    if not repeatable and attempts_that_may_have_run:
        return AfterAbandon.FINISH_ATTEMPT
    return AfterAbandon.CANCEL


def last_attempt_failure(end: EngineAttemptEnd, runner: str, reason: RetryReason) -> Failure:
    """Return the failure of a request whose last attempt failed and is not retried."""
    late = reason == RetryReason.DEADLINE
    code = FaultCode.TIMEOUT if late else FaultCode.UNAVAILABLE
    detail = f"{end.reason}: {end.detail}; {reason}"
    return Failure(code, detail, runner, end.retry_after_s or None)


def failure_fault(
    failure: Failure, attempts_that_may_have_run: int, default_retry_s: float
) -> Fault:
    """Return the fault for the caller, with the outcome and the time to retry after."""
    outcome = request_machine.failure_outcome(attempts_that_may_have_run)
    retry_s = failure.retry_after_s or default_retry_s
    return Fault(failure.code, STEP, failure.detail, failure.peer, outcome, retry_s)


def recording_fault(cause: Fault) -> Fault:
    """Return the fault for a caller whose complete answer could not be recorded."""
    return Fault(cause.code, STEP, cause.detail, cause.peer, Outcome.UNKNOWN)
