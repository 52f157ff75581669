"""Decides whether a request is retried after an attempt, and what the client gets. Pure.

This is the only place that defines what may be sent again and how a request ends. Clients' requests
(``relay.run``) and batch items (``jobs.item_run``) classify a runner's answer by the same
``judge_head``. The consequences differ, for these reasons:

* Running a client's request twice may do harm. A request that may have run is repeated only on
  routes that allow it: ``safe`` routes and resumable streams. An item may always run again, since
  the ledger keeps one result per item, whichever run produced it. ``jobs.after_run`` decides when.
* A client waits: its request ends at its deadline and after a maximum number of attempts. For an
  item only answers that report a failure count as attempts, and it has no deadline.
* A failure that a runner reports is forwarded to a client unless another runner may still succeed.
  It never becomes part of an item's text.

Status 503 promises the client that its request was not run and may be sent again, so it is used
only while no runner can have run it; afterwards the status is 502 or 504.

The native API's retries are decided in ``gateway.retry`` by the request's class, since native
engines state for certain what they did not run.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from rainsail.http.client import AnswerHead, Framing
from rainsail.relay.events import is_event_stream
from rainsail.relay.protocol import AnswerVerdict
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import Route, RouteKind

STATUS_MIN_SUCCESS = 200
STATUS_MIN_REDIRECTION = 300
STATUS_NOT_FOUND = 404
STATUS_IMPOSSIBLE = 422
STATUS_OVER_QUOTA = 429
STATUS_SERVER_ERROR = 500
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504

FOREIGN_ANSWER = "the answer belongs to another request"
MISSING_EVENT = "an event is missing"
LOST_BEGINNING = "the stream lacks its beginning"
UNCONFIRMED_BEGINNING = "the beginning of the stream is not confirmed yet"
OVERLONG_EVENT = "an event exceeds the maximum size"
NO_ROOM = "no room for what the runner sends"
OVERLONG_TEXT = "the text exceeds the maximum size"
MORE_EVENTS = "more events follow the one that was to be confirmed as the last"
UNCONFIRMED_END = "the end of the stream is not confirmed"
REFUTED_END = "the stream was ended before its last event"
CLOSED_EARLY = "the connection closed before the end of the stream"
CUT_BY_LENGTH = "the stated length ends inside an event"
CLOSED_BEFORE_BODY = "the connection closed before the body of the answer"
SILENT = "silent"
ROUTE_REMOVED = "the route was removed"
QUARANTINED = "quarantined, since runners crashed while running this request"
ON_TRIAL = "on trial, since runners crashed while running this request"
TIMED_OUT = "the deadline has passed"
STOPPING = "this gateway is stopping, and the request may not end in time"
STOPPED = "this gateway has stopped"

OTHER_GATEWAY_AFTER_S = 0.0
"""Retry delay of what a gateway refuses at its end: no new client comes here any more."""

# --- classification of a runner's answer -----------------------------------------------------


class HeadKind(StrEnum):
    """Classes of answers by their head."""

    FOREIGN = "foreign"
    """It answers another request; this one may have run or not."""
    NOT_RUN = "not_run"
    """The runner has not run the request and will not."""
    EVENTS = "events"
    """An event stream follows."""
    BODY = "body"
    """Another body follows, of a success or a failure."""


def judge_head(head: AnswerHead, verdict: AnswerVerdict) -> HeadKind:
    """Classify the head of an answer to a client's request or to an item."""
    if not verdict.belongs:
        return HeadKind.FOREIGN
    if verdict.not_run:
        return HeadKind.NOT_RUN
    return HeadKind.EVENTS if is_event_stream(head) else HeadKind.BODY


class AttemptEnd(StrEnum):
    """Results of one attempt."""

    NOT_RUN = "not_run"
    """The request was not sent, or the runner has not run it and will not."""
    ANSWERED = "answered"
    """A complete answer that reports no failure of the runner."""
    FAILED = "failed"
    """A complete answer by which the runner reports a failure."""
    FAILED_AS_NOT_RUN = "failed_as_not_run"
    """The same, with a status that clients take for "not run", but without proof of that."""
    UNUSABLE = "unusable"
    """An answer that can't continue the one that the client has received in part."""
    BROKEN = "broken"
    """The answer was interrupted, lacked an event, was another request's, or timed out."""
    BROKEN_SUSPECT = "broken_suspect"
    """The same, and the request must not reach another runner before the cause is known."""
    IMPOSSIBLE = "impossible"
    """The runner reports that no run of this item can succeed; items only."""


def judge_body(status: int, verdict: AnswerVerdict) -> AttemptEnd:
    """Classify a complete answer to a client's request that is not an event stream."""
    if verdict.promises_not_run:
        return AttemptEnd.FAILED_AS_NOT_RUN
    return AttemptEnd.FAILED if status >= STATUS_SERVER_ERROR else AttemptEnd.ANSWERED


def may_end_body(head: AnswerHead, body_bytes: int) -> bool:
    """Tell whether an orderly end of an answer that is not a stream may complete it.

    Where only the connection's close marks the end, a runner that crashed behind its head looks
    like one that has finished: a close before the first byte does not complete a success. The
    status of a failure says what there is to say.
    """
    if head.framing != Framing.CLOSE or body_bytes:
        return True
    return not STATUS_MIN_SUCCESS <= head.status < STATUS_MIN_REDIRECTION


def judge_item_body(status: int) -> AttemptEnd:
    """Classify a complete answer to an item that is not an event stream, and so not its text.

    Only 422 and 500 concern the item itself. Any other status counts like a broken connection: a
    proxy, or another program at the runner's address, may have sent it.
    """
    if status == STATUS_IMPOSSIBLE:
        return AttemptEnd.IMPOSSIBLE
    return AttemptEnd.FAILED if status == STATUS_SERVER_ERROR else AttemptEnd.BROKEN


# --- decisions on a client's request ---------------------------------------------------------


class ClientHas(StrEnum):
    """How much of its answer a client has."""

    NOTHING = "nothing"
    NUMBERED_EVENTS = "numbered_events"
    """Complete events of a stream, which any runner can continue after the last one."""
    OTHER_BYTES = "other_bytes"
    """Data that only the runner that sent it can continue."""


class RequestOutcome(StrEnum):
    """Outcomes of a client's request, as named in logs and metrics."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    OVER_QUOTA = "over_quota"
    BROKEN = "broken"
    """The answer was aborted after a part had been sent."""
    EXPIRED = "expired"
    """The answer was aborted at the request's deadline."""
    HELD = "held"
    """The request is quarantined: it is suspected of crashing runners."""
    LEFT = "left"
    """The client closed the connection."""


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """The attempts of a request so far, and their results.

    ``attempts`` counts the attempts that reached the intended runner. ``runner_found`` tells
    whether any runner was chosen. ``last_event`` is the number of the last event that the client
    has, from this answer or an earlier one. ``reason`` is the result of the last attempt.
    """

    attempts: int
    may_have_run: bool
    runner_found: bool
    client_has: ClientHas
    last_event: int | None
    reason: str


@dataclass(frozen=True, slots=True)
class SendTerms:
    """The constraints on the next attempt; all of them may have changed since the last one.

    ``route`` comes from the current routing table; None means that the table no longer has one for
    the request. ``quarantined`` requests reach no runner. ``time_left_s`` is the time until the
    deadline. ``ends_in_time`` is False when the gateway is stopping and the request would probably
    outlast its grace time; its client may retry after ``other_gateway_after_s``.
    """

    route: Route | None
    quarantined: bool
    time_left_s: float
    ends_in_time: bool = True
    other_gateway_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send to a runner that was not tried, by the rules of ``route``.

    The runner resumes after event ``after_event``, or starts from the beginning if that is None.
    """

    route: Route
    after_event: int | None


@dataclass(frozen=True, slots=True)
class Abort:
    """Abort the answer that the client has received in part, so that it does not look complete."""

    outcome: RequestOutcome
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client with a status set by the gateway.

    ``retry_after_s`` is sent as ``Retry-After``; None omits it.
    """

    status: int
    retry_after_s: float | None
    outcome: RequestOutcome
    reason: str


Ending = Abort | Refuse


def may_repeat(route: Route, client_has: ClientHas) -> bool:
    """Tell whether a request that may have run may be sent to another runner."""
    if not route.repeatable:
        return False
    if client_has == ClientHas.NOTHING:
        return True
    return route.kind == RouteKind.STREAM and client_has == ClientHas.NUMBERED_EVENTS


def forwards_answer(end: AttemptEnd, route: Route, client_has: ClientHas) -> bool:
    """Tell whether a runner's complete answer is forwarded to the client unchanged.

    A failure is not forwarded while another runner may still succeed, nor is one whose status would
    make the client repeat a request that may have run.
    """
    if end == AttemptEnd.FAILED:
        return not may_repeat(route, client_has)
    return end == AttemptEnd.ANSWERED


def may_leave_silent_runner(route: Route, client_has: ClientHas, other_runner_left: bool) -> bool:
    """Tell whether a request may move away from a silent runner, which may still answer."""
    return other_runner_left and may_repeat(route, client_has)


def may_compare_runs(
    progress: RequestProgress,
    sent_by: Route,
    terms: SendTerms,
    other_runner_left: bool,
    settings: RelaySettings,
) -> bool:
    """Tell whether the current run may be dropped and repeated elsewhere for comparison."""
    progress = replace(progress, may_have_run=True)
    if not other_runner_left:
        return False
    if end_after_attempt(AttemptEnd.BROKEN, sent_by, progress, settings) is not None:
        return False
    return isinstance(decide_send(progress, terms, settings), SendAgain)


def decide_send(
    progress: RequestProgress, terms: SendTerms, settings: RelaySettings
) -> SendAgain | Ending:
    """Decide whether a request may be sent to a runner; used before every attempt."""
    route = terms.route
    if terms.quarantined:
        return _end_quarantined(progress)
    if route is None:
        return _end_without_route(progress, settings)
    if not terms.ends_in_time:
        return _refuse_stopping(progress, terms.other_gateway_after_s, settings)
    in_time = terms.time_left_s >= settings.min_time_left_s
    harmless = not progress.may_have_run or may_repeat(route, progress.client_has)
    if in_time and harmless and progress.attempts < route.max_attempts:
        return SendAgain(route, progress.last_event)
    return give_up(progress, settings)


def end_after_attempt(
    end: AttemptEnd, sent_by: Route, progress: RequestProgress, settings: RelaySettings
) -> Ending | None:
    """Return how a request ends after an attempt whose answer is not forwarded.

    None leaves the decision to ``decide_send``, which applies the current terms. So after a
    possible run both routes have to allow a repetition: the one by which the request was sent and
    the one of the current table. A new table can't make a request repeatable in retrospect.
    """
    if end == AttemptEnd.NOT_RUN:
        return None
    if end != AttemptEnd.BROKEN_SUSPECT and may_repeat(sent_by, progress.client_has):
        return None
    return give_up(progress, settings)


def give_up(progress: RequestProgress, settings: RelaySettings) -> Ending:
    """Return how a request ends that may not be sent to another runner."""
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.BROKEN, progress.reason)
    status = STATUS_BAD_GATEWAY if progress.may_have_run else STATUS_UNAVAILABLE
    return _refuse(status, progress.reason, progress, settings)


def give_up_without_runner(
    progress: RequestProgress, no_runner_reason: str, settings: RelaySettings
) -> Ending:
    """Return how a request ends for which no runner is left.

    The reason is that of the last failed attempt, if there was one.
    """
    reason = progress.reason or no_runner_reason
    return give_up(replace(progress, reason=reason), settings)


def give_up_untried(progress: RequestProgress, settings: RelaySettings) -> Ending:
    """Return how a request ends that was held, while another one is run to test whether it may run.

    The client may try again: the result is known soon.
    """
    return give_up(replace(progress, reason=ON_TRIAL), settings)


def give_up_lost_stream(
    progress: RequestProgress, reason: str, retry_after_s: float | None, settings: RelaySettings
) -> Ending:
    """Return how a request ends whose stream can't continue at the version that began it.

    Without ``retry_after_s`` the client is not asked to resume again: the stream is lost.
    """
    if progress.client_has != ClientHas.NOTHING or progress.may_have_run:
        return give_up(replace(progress, reason=reason), settings)
    return Refuse(STATUS_UNAVAILABLE, retry_after_s, RequestOutcome.REFUSED, reason)


def time_out(progress: RequestProgress, is_sent: bool, settings: RelaySettings) -> Ending:
    """Return how a request ends at its deadline; ``is_sent``: an attempt is under way."""
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.EXPIRED, TIMED_OUT)
    may_have_run = progress.may_have_run or is_sent
    status = STATUS_GATEWAY_TIMEOUT if may_have_run else STATUS_UNAVAILABLE
    return _refuse(status, TIMED_OUT, progress, settings)


def end_by_stop(progress: RequestProgress, is_sent: bool) -> Ending:
    """Return how a request ends with its gateway's grace time; ``is_sent`` as in ``time_out``.

    A stream that has begun is aborted: its client resumes it at another gateway.
    """
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.BROKEN, STOPPED)
    if progress.may_have_run or is_sent:
        return Refuse(STATUS_GATEWAY_TIMEOUT, None, RequestOutcome.FAILED, STOPPED)
    return Refuse(STATUS_UNAVAILABLE, OTHER_GATEWAY_AFTER_S, RequestOutcome.REFUSED, STOPPED)


def refuse_overloaded(service: str, retry_after_s: float) -> Refuse:
    """Return the refusal of a request that would wait too long for a slot; no runner has run it."""
    reason = f"{service} has no slot within the target"
    return Refuse(STATUS_UNAVAILABLE, retry_after_s, RequestOutcome.REFUSED, reason)


def refuse_over_quota(tenant: str, wait_s: float) -> Refuse:
    """Return the refusal of a request that its tenant's quota admits only after ``wait_s``."""
    reason = f"tenant {tenant} is over its quota"
    return Refuse(STATUS_OVER_QUOTA, wait_s, RequestOutcome.OVER_QUOTA, reason)


def _end_quarantined(progress: RequestProgress) -> Ending:
    """End a request that is suspected of crashing runners.

    The client is not asked to retry, and an earlier request with the same content may have run.
    """
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.HELD, QUARANTINED)
    return Refuse(STATUS_BAD_GATEWAY, None, RequestOutcome.HELD, QUARANTINED)


def _refuse_stopping(
    progress: RequestProgress, retry_after_s: float, settings: RelaySettings
) -> Ending:
    """End a request that a stopping gateway doesn't send any more."""
    if progress.client_has != ClientHas.NOTHING or progress.may_have_run:
        return give_up(progress, settings)
    return Refuse(STATUS_UNAVAILABLE, retry_after_s, RequestOutcome.REFUSED, STOPPING)


def _end_without_route(progress: RequestProgress, settings: RelaySettings) -> Ending:
    if progress.client_has != ClientHas.NOTHING or progress.may_have_run:
        return give_up(progress, settings)
    return _refuse(STATUS_NOT_FOUND, ROUTE_REMOVED, progress, settings)


def _refuse(status: int, reason: str, progress: RequestProgress, settings: RelaySettings) -> Refuse:
    """Refuse with a status; only 503 comes with a retry delay."""
    if status != STATUS_UNAVAILABLE:
        return Refuse(status, None, RequestOutcome.FAILED, reason)
    # A full runner soon has a free slot again; a missing runner takes longer to appear.
    after_full_s, without_runner_s = settings.retry_after_s, settings.no_runner_retry_after_s
    retry_after_s = after_full_s if progress.runner_found else without_runner_s
    return Refuse(status, retry_after_s, RequestOutcome.REFUSED, reason)
