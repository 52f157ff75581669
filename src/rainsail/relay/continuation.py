"""Decides whether a request goes on after what a runner answered, or did not answer. Pure.

The only place that says what may be sent a second time and what a client gets in the end. Clients'
requests (``relay.run``) and batch items (``jobs.item_run``) judge a runner's answer by the same
``judge_head``. What follows from it differs, for these reasons:

* Running a client's request twice may do harm. What may have run is repeated only on routes that
  allow it: ``safe`` ones, and resumable streams. An item may always run again, since the ledger
  lists one result for it, whichever run brings it. ``jobs.after_run`` decides when it does.
* A client waits: its request ends at its deadline and after so many attempts. For an item only
  answers that report a failure count as attempts, and no deadline ends it.
* A failure that a runner reports is an answer, which a client gets unless another runner may still
  do better. It is never part of an item's text.

A client is told 503, which says that its request was not run and may be sent again, only while no
runner can have run it; afterwards it is told 502 or 504.

``gateway.retry`` decides for the native front by the request's class, since native engines say for
certain what they did not run.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from rainsail.http.client import AnswerHead
from rainsail.relay.events import is_event_stream
from rainsail.relay.protocol import AnswerVerdict
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import Route, RouteKind

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
UNCONFIRMED_BEGINNING = "nothing tells yet whether the stream has its beginning"
OVERLONG_EVENT = "an event has no end"
CLOSED_EARLY = "the connection ended before the stream"
SILENT = "silent"
ROUTE_REMOVED = "the route is gone"
QUARANTINED = "runners ended under this request, so that it is held"
TIMED_OUT = "the time allowed is over"

# --- what a runner's answer is ---------------------------------------------------------------


class HeadKind(StrEnum):
    """What the head of an answer says of the attempt."""

    FOREIGN = "foreign"
    """It answers another request, so that this one may have run or not."""
    NOT_RUN = "not_run"
    """The runner has not run the request and never will."""
    EVENTS = "events"
    """A stream of events follows."""
    BODY = "body"
    """Anything else follows: another kind of success, or a failure."""


def judge_head(head: AnswerHead, verdict: AnswerVerdict) -> HeadKind:
    """Judge the head of an answer to a client's request or to an item."""
    if not verdict.belongs:
        return HeadKind.FOREIGN
    if verdict.not_run:
        return HeadKind.NOT_RUN
    return HeadKind.EVENTS if is_event_stream(head) else HeadKind.BODY


class AttemptEnd(StrEnum):
    """What became of one sending of a request to a runner."""

    NOT_RUN = "not_run"
    """The request never left, or the runner has not run it and never will."""
    ANSWERED = "answered"
    """A whole answer that reports no failure of the runner."""
    FAILED = "failed"
    """A whole answer by which the runner reports a failure of its own."""
    FAILED_AS_NOT_RUN = "failed_as_not_run"
    """The same with a status that promises the client that nothing was run, without any proof."""
    UNUSABLE = "unusable"
    """An answer that can't be part of the one which the client has begun to get."""
    BROKEN = "broken"
    """The answer broke off, lacked an event, was another request's, or did not come in time."""
    BROKEN_SUSPECT = "broken_suspect"
    """The same, and the request is not to reach another runner before the cause is known."""
    IMPOSSIBLE = "impossible"
    """The runner says that no run of this item can succeed; items only."""


def judge_body(status: int, verdict: AnswerVerdict) -> AttemptEnd:
    """Judge a whole answer to a client's request that is no stream of events."""
    if verdict.promises_not_run:
        return AttemptEnd.FAILED_AS_NOT_RUN
    return AttemptEnd.FAILED if status >= STATUS_SERVER_ERROR else AttemptEnd.ANSWERED


def judge_item_body(status: int) -> AttemptEnd:
    """Judge a whole answer to an item that is no stream of events, and so not its text.

    Only 422 and 500 say something of the item itself. What else comes tells as little as a
    connection that breaks: a proxy or a program in the runner's place may have sent it.
    """
    if status == STATUS_IMPOSSIBLE:
        return AttemptEnd.IMPOSSIBLE
    return AttemptEnd.FAILED if status == STATUS_SERVER_ERROR else AttemptEnd.BROKEN


# --- what follows for a client's request -----------------------------------------------------


class ClientHas(StrEnum):
    """How much of its answer a client has."""

    NOTHING = "nothing"
    NUMBERED_EVENTS = "numbered_events"
    """Whole events of a stream, which any runner can continue behind the last one."""
    OTHER_BYTES = "other_bytes"
    """What only the runner that sent it can continue."""


class RequestOutcome(StrEnum):
    """How a client's request ended, as logs and metrics name it."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    OVER_QUOTA = "over_quota"
    BROKEN = "broken"
    """The answer was cut off after it had begun."""
    EXPIRED = "expired"
    """The answer was cut off when the request's time was over."""
    HELD = "held"
    """No runner may get the request: it is suspected of ending runners."""
    LEFT = "left"
    """The client closed the connection."""


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """What was sent of a request, and what came of it.

    ``attempts`` counts the sendings that reached the runner which was meant. ``runner_found`` tells
    whether any runner was chosen, ``last_event`` is the number of the last event that the client
    has, now or from an earlier answer. ``reason`` says what became of the last attempt.
    """

    attempts: int
    may_have_run: bool
    runner_found: bool
    client_has: ClientHas
    last_event: int | None
    reason: str


@dataclass(frozen=True, slots=True)
class SendTerms:
    """What limits the next sending: all of it may have changed since the last one.

    ``route`` is that of the routing table in force, None when it has none for the request any more.
    ``quarantined`` requests reach no runner. ``time_left_s`` is the time until the deadline.
    """

    route: Route | None
    quarantined: bool
    time_left_s: float


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send to a runner that was not tried, by the rules of ``route``.

    The runner continues behind the event ``after_event``, or begins afresh if that is None.
    """

    route: Route
    after_event: int | None


@dataclass(frozen=True, slots=True)
class Abort:
    """Cut off the answer that the client has begun to get, so that it does not look complete."""

    outcome: RequestOutcome
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client with a status of the gateway's own.

    ``retry_after_s`` is when the client should send its request again (None: not said).
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
    """Tell whether the client gets a whole answer as the runner gave it.

    It does not get a failure that another runner may still make good, nor one whose status would
    make it send again what may have run.
    """
    if end == AttemptEnd.FAILED:
        return not may_repeat(route, client_has)
    return end == AttemptEnd.ANSWERED


def may_leave_silent_runner(route: Route, client_has: ClientHas, other_runner_left: bool) -> bool:
    """Tell whether a request may leave a runner that sends nothing, though it may still answer."""
    return other_runner_left and may_repeat(route, client_has)


def may_compare_runs(
    progress: RequestProgress,
    sent_by: Route,
    terms: SendTerms,
    other_runner_left: bool,
    settings: RelaySettings,
) -> bool:
    """Tell whether a run that is under way may be given up for one to compare it with."""
    progress = replace(progress, may_have_run=True)
    if not other_runner_left:
        return False
    if end_after_attempt(AttemptEnd.BROKEN, sent_by, progress, settings) is not None:
        return False
    return isinstance(decide_send(progress, terms, settings), SendAgain)


def decide_send(
    progress: RequestProgress, terms: SendTerms, settings: RelaySettings
) -> SendAgain | Ending:
    """Decide whether a request may be sent to one more runner, the first one included."""
    route = terms.route
    if terms.quarantined:
        return _end_quarantined(progress)
    if route is None:
        return _end_without_route(progress, settings)
    in_time = terms.time_left_s >= settings.min_time_left_s
    harmless = not progress.may_have_run or may_repeat(route, progress.client_has)
    if in_time and harmless and progress.attempts < route.max_attempts:
        return SendAgain(route, progress.last_event)
    return give_up(progress, settings)


def end_after_attempt(
    end: AttemptEnd, sent_by: Route, progress: RequestProgress, settings: RelaySettings
) -> Ending | None:
    """Return the end of a request after an attempt whose answer is not passed on.

    None leaves the decision to ``decide_send``: the request may go on if the terms of now allow it.
    So after a possible run both routes have to allow a repetition, the one by which the request was
    sent and the one in force. A new table can't make a request repeatable that was not.
    """
    if end == AttemptEnd.NOT_RUN:
        return None
    if end != AttemptEnd.BROKEN_SUSPECT and may_repeat(sent_by, progress.client_has):
        return None
    return give_up(progress, settings)


def give_up(progress: RequestProgress, settings: RelaySettings) -> Ending:
    """Return the end of a request that no further runner may get."""
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.BROKEN, progress.reason)
    status = STATUS_BAD_GATEWAY if progress.may_have_run else STATUS_UNAVAILABLE
    return _refuse(status, progress.reason, progress, settings)


def give_up_without_runner(
    progress: RequestProgress, no_runner_reason: str, settings: RelaySettings
) -> Ending:
    """Return the end of a request for which no runner is left; an earlier failure is the reason."""
    reason = progress.reason or no_runner_reason
    return give_up(replace(progress, reason=reason), settings)


def time_out(progress: RequestProgress, is_sent: bool, settings: RelaySettings) -> Ending:
    """Return the end of a request whose time is over; ``is_sent``: a runner has it just now."""
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.EXPIRED, TIMED_OUT)
    may_have_run = progress.may_have_run or is_sent
    status = STATUS_GATEWAY_TIMEOUT if may_have_run else STATUS_UNAVAILABLE
    return _refuse(status, TIMED_OUT, progress, settings)


def refuse_overloaded(service: str, retry_after_s: float) -> Refuse:
    """Return the end of a request that would wait too long for a slot; it has reached no runner."""
    reason = f"{service} has no slot within the target"
    return Refuse(STATUS_UNAVAILABLE, retry_after_s, RequestOutcome.REFUSED, reason)


def refuse_over_quota(tenant: str, wait_s: float) -> Refuse:
    """Return the end of a request that its tenant's quota allows only after ``wait_s``."""
    reason = f"tenant {tenant} is over its quota"
    return Refuse(STATUS_OVER_QUOTA, wait_s, RequestOutcome.OVER_QUOTA, reason)


def _end_quarantined(progress: RequestProgress) -> Ending:
    """End a request that is suspected of ending runners.

    The client is not asked to send it again, and an earlier sending of the same may have run.
    """
    if progress.client_has != ClientHas.NOTHING:
        return Abort(RequestOutcome.HELD, QUARANTINED)
    return Refuse(STATUS_BAD_GATEWAY, None, RequestOutcome.HELD, QUARANTINED)


def _end_without_route(progress: RequestProgress, settings: RelaySettings) -> Ending:
    if progress.client_has != ClientHas.NOTHING or progress.may_have_run:
        return give_up(progress, settings)
    return _refuse(STATUS_NOT_FOUND, ROUTE_REMOVED, progress, settings)


def _refuse(status: int, reason: str, progress: RequestProgress, settings: RelaySettings) -> Refuse:
    """Refuse with a status; only a client that is told 503 is told when to come back."""
    if status != STATUS_UNAVAILABLE:
        return Refuse(status, None, RequestOutcome.FAILED, reason)
    # A full runner has a free slot soon; a runner that is not there takes longer to appear.
    after_full_s, without_runner_s = settings.retry_after_s, settings.no_runner_retry_after_s
    retry_after_s = after_full_s if progress.runner_found else without_runner_s
    return Refuse(status, retry_after_s, RequestOutcome.REFUSED, reason)
