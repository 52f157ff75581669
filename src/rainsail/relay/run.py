"""One client's request on its way: sent, sent again where that is allowed, answered once.

What may be repeated: a ``safe`` request and a resumable stream after any failure, everything else
only after a runner said that it has not run it. A client hears 503 only while nothing may have
run; afterwards it is 502 or 504. What has been given up is answered at once. A request that is held
for ending runners is sent to none, and answered as one under which a runner ended.
"""

from collections.abc import Callable

from rainsail.cluster.messages import RunnerRecord
from rainsail.http.exchange import Exchange
from rainsail.logs import logger
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_of, name_of
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.events import Event
from rainsail.relay.protocol import RequestFacts, RunnerTarget
from rainsail.relay.runner_finder import RunnerFinder
from rainsail.relay.runner_notes import RunnerNotes
from rainsail.relay.silence import SilenceWatch
from rainsail.relay.table import Route, RouteKind
from rainsail.routing.messages import Placement
from rainsail.runtime.clock import Timer
from rainsail.tenancy.tenants import NOBODY, Identity

STATUS_NOT_FOUND = 404
STATUS_OVER_QUOTA = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
MISSING_EVENT = "an event is missing"
HELD = "runners ended under this request, so that it is held"


class RelayRun:
    """Implements ``rainsail.relay.attempt.AttemptOwner``."""

    def __init__(
        self,
        context: RelayContext,
        exchange: Exchange,
        facts: RequestFacts,
        route: Route,
        ended: Callable[["RelayRun"], None],
        identity: Identity = NOBODY,
    ) -> None:
        self._identity = identity
        self._admitted = False
        self._context = context
        self._exchange = exchange
        self._facts = facts
        self._route = route
        self._on_ended = ended
        self._answer = ClientAnswer(exchange, context.protocol, context.clock, facts.after_event)
        self._ended = False
        self._attempt: Attempt | None = None
        self._attempts: list[Attempt] = []
        self._finder = RunnerFinder(context, facts, route, identity)
        self._sends = 0
        self._may_have_run = False
        self._received_s = exchange.request.received_s
        self._expiry_s = self._received_s + _time_allowed(route, facts)
        self._expiry: Timer | None = None
        self._silence = SilenceWatch(context, self._leave_silent)
        self._last_reason = ""
        self._fingerprint: Fingerprint = b""
        self._notes = RunnerNotes(context, lambda: self.fingerprint)
        self.outcome = ""
        exchange.on_left(self._client_left)

    # --- life cycle ----------------------------------------------------------------------

    def start(self) -> None:
        """Send to a first runner, once the service has room and the tenant's quota allows it."""
        clock = self._context.clock
        left_s = max(0.0, self._expiry_s - clock.seconds())
        self._expiry = clock.callLater(left_s, self._expired)
        self._context.admit(self._identity, self._quota_decided)

    def _quota_decided(self, wait_s: float) -> None:
        """Go on, or have the client come back when the quota allows it."""
        if self._ended:
            if wait_s <= 0:
                self._context.give_back(self._identity)
            return
        if wait_s <= 0:
            self._admitted = True
            self._try_next()
            return
        self._last_reason = f"tenant {self._identity.tenant} is over its quota"
        self._answer.refuse(STATUS_OVER_QUOTA, wait_s)
        self._finish("over_quota")

    def _finish(self, outcome: str) -> None:
        if self._ended:
            return
        self._ended = True
        self.outcome = outcome
        self._silence.stop()
        if self._expiry is not None and self._expiry.active():
            self._expiry.cancel()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
        self._give_back_unrun(outcome)
        self._log(outcome)
        self._on_ended(self)

    def _give_back_unrun(self, outcome: str) -> None:
        """What has certainly not run does not count against the tenant's quota."""
        never_sent = not self._sends and not self._may_have_run
        if self._admitted and (outcome == "refused" or never_sent):
            self._context.give_back(self._identity)

    @property
    def kind(self) -> RouteKind:
        """What may be repeated of the request."""
        return self._route.kind

    @property
    def fingerprint(self) -> Fingerprint:
        """What this request has in common with its repetitions; made when it is first asked for."""
        if not self._fingerprint:
            request = self._exchange.request
            self._fingerprint = fingerprint_of(
                self._identity.tenant,
                self._facts.host,
                request.method,
                request.target,
                request.body,
            )
        return self._fingerprint

    @property
    def sends(self) -> int:
        """How many runners it was sent to."""
        return self._sends

    @property
    def first_s(self) -> float | None:
        """When the first byte of the answer left, in seconds since the request came."""
        return self._answer.first_s

    def _log(self, outcome: str) -> None:
        took_s = self._context.clock.seconds() - self._received_s
        table = self._context.table
        logger.bind(
            request=self._facts.request,
            route=self._route.name,
            tenant=self._identity.tenant,
            table=0 if table is None else table.version,
            runners=",".join(sorted(self._finder.tried)),
            sends=self._sends,
            answers=",".join(attempt.summary for attempt in self._attempts),
            last_event=self._answer.last_event,
            reason=self._last_reason if outcome != "completed" else "",
            fingerprint=name_of(self._fingerprint),
            first_ms=None if self.first_s is None else round(self.first_s * 1000),
            took_ms=round(took_s * 1000),
        ).info(f"request_{outcome}")

    def _client_left(self) -> None:
        self._last_reason = "the client left"
        self._answer.close()
        self._finish("left")

    def _expired(self) -> None:
        if self._answer.begun:
            self._last_reason = "the time allowed is over"
            self._answer.abort()
            self._finish("expired")
        elif not self._ended:
            unclear = self._may_have_run or self._attempt is not None
            status = STATUS_GATEWAY_TIMEOUT if unclear else STATUS_UNAVAILABLE
            self._refuse(status, "the time allowed is over")

    # --- sending -------------------------------------------------------------------------

    def _try_next(self) -> None:
        """Send to a runner once the loads of its service are up to date, or give up at once."""
        route = self._allowed_route()
        if route is not None:
            self._finder.ask(route, self._send_next)

    def _refuse_overloaded(self, retry_after_s: float) -> None:
        self._last_reason = f"{self._finder.service} has no slot within the target"
        self._answer.refuse(STATUS_UNAVAILABLE, retry_after_s)
        self._finish("refused")

    def _send_next(self, placement: Placement | None) -> None:
        """Send to a runner; what was allowed may have changed since the leader was asked."""
        route = self._allowed_route()
        if route is None:
            return
        self._route = route
        now = self._context.clock.seconds()
        found = self._finder.find(route, placement, self._expiry_s - now)
        if found.retry_after_s is not None:
            self._refuse_overloaded(found.retry_after_s)
        elif found.record is None:
            self._last_reason = self._last_reason or self._finder.why_none()
            self._give_up()
        else:
            self._send(found.record, now)

    def _allowed_route(self) -> Route | None:
        """Return the route by which one more sending is allowed; otherwise end the request."""
        if self._ended:
            return None
        if self._notes.request_is_held():
            # Looked up before each sending: it may have been held while this request waited.
            self._give_up_held()
            return None
        route = self._current_route()
        if route is None:
            self._lose_route()
            return None
        left_s = self._expiry_s - self._context.clock.seconds()
        time_left = left_s >= self._context.settings.least_time_left_s
        repeatable = not self._may_have_run or self._may_repeat(route)
        if self._sends < route.max_attempts and time_left and repeatable:
            return route
        self._give_up()
        return None

    def _current_route(self) -> Route | None:
        """Look the route up anew: the table may have changed since the request came."""
        table = self._context.table
        return None if table is None else table.match(self._facts.host, self._facts.path)

    def _lose_route(self) -> None:
        if not self._answer.begun and not self._may_have_run:
            self._refuse(STATUS_NOT_FOUND, "the route is gone")
        else:
            self._give_up()

    def _send(self, record: RunnerRecord, now: float) -> None:
        context = self._context
        self._sends += 1
        left_s = None if self._facts.deadline_s is None else self._deadline_left_s(now)
        target = RunnerTarget(record.runner, record.address)
        request = context.protocol.relayed(
            self._exchange.request, target, left_s, self._answer.last_event, self._identity
        )
        self._finder.note_sent(record)
        attempt = Attempt(self, context, record, self._facts.request, self._speaks_within_s())
        self._attempt = attempt
        self._attempts.append(attempt)
        self._silence.request_sent(self._route, self._sends)
        attempt.call = context.pool.send(record.address, request, attempt)

    def _speaks_within_s(self) -> float:
        settings = self._context.settings
        if self._route.kind == RouteKind.STREAM:
            return settings.stream_speaks_within_s
        return settings.answer_speaks_within_s

    def _deadline_left_s(self, now: float) -> float:
        assert self._facts.deadline_s is not None
        return max(0.001, self._received_s + self._facts.deadline_s - now)

    # --- silence -------------------------------------------------------------------------

    def _leave_silent(self) -> None:
        """Leave a runner that says nothing, if another one is there and can go on."""
        attempt = self._attempt
        if attempt is None or not self._may_repeat(self._route) or not self._finder.others_left():
            return
        attempt.cancel()
        self.answer_broke(attempt, "silent")

    # --- AttemptOwner: what came ---------------------------------------------------------

    def head_came(self, attempt: Attempt) -> None:
        """Leave a runner whose answer, whatever else comes of it, can be no part of the client's.

        A failure is whole by itself: its end would be taken for the end of the stream.
        """
        if not self._answer.may_include(attempt):
            attempt.cancel()
            self._take_failure(attempt)

    def events_came(self, attempt: Attempt, events: list[Event]) -> None:
        """Hand whole events on, at once."""
        if self._ended:
            return
        whole = self._answer.write_events(attempt, events)
        if whole:
            self._silence.events_came(self._route, self._sends)
        else:
            attempt.cancel()
            self.answer_broke(attempt, MISSING_EVENT)

    def body_grew(self, attempt: Attempt) -> None:
        """Pass a large answer on before it has ended, unless it's a failure that no client gets."""
        if attempt.body_bytes < self._context.settings.buffered_bytes:
            return
        if self._is_replaced(attempt):
            attempt.cancel()
            self._take_failure(attempt)
        else:
            self._answer.write_body(attempt)

    def stream_ended(self, attempt: Attempt) -> None:
        """End the answer as complete, if what the end left open is the next event."""
        assert attempt.stream is not None
        if not self._answer.write_events(attempt, attempt.stream.last_events()):
            self.answer_broke(attempt, MISSING_EVENT)
            return
        self._notes.answered(attempt)
        self._note_slot_time()
        self._attempt = None
        self._answer.end_stream(attempt)
        self._finish("completed")

    def _note_slot_time(self) -> None:
        """Learn how long a stream holds a slot: from its first byte on."""
        if self.first_s is not None:
            took_s = self._context.clock.seconds() - self._received_s
            self._context.overload.answered(self._finder.service, took_s - self.first_s)

    def answer_came(self, attempt: Attempt) -> None:
        """Pass a whole answer on, or try again where its status asks for that."""
        if self._is_replaced(attempt):
            self._take_failure(attempt)
            return
        self._attempt = None
        self._note_answer(attempt)
        if self._answer.begun:
            self._answer.write_body(attempt)
            self._answer.end()
        else:
            self._answer.pass_on(attempt)
        self._finish("failed" if attempt.failed else "completed")

    def _is_replaced(self, attempt: Attempt) -> bool:
        """Tell whether the client gets something else in the place of a runner's failure."""
        assert attempt.verdict is not None
        repeated = self._may_repeat(self._route)
        return attempt.failed and (repeated or attempt.verdict.promises_not_run)

    def _note_answer(self, attempt: Attempt) -> None:
        if attempt.failed and attempt.head is not None:
            self._last_reason = f"the runner answered {attempt.head.status}"
            self._notes.failed(attempt)
        else:
            self._notes.answered(attempt)

    def _take_failure(self, attempt: Attempt) -> None:
        """A runner answered with what no client gets: the request has run, or may have."""
        assert attempt.head is not None
        self._attempt = None
        attempt.body.clear()
        self._may_have_run = True
        self._last_reason = f"the runner answered {attempt.head.status}"
        self._notes.failed(attempt)
        if self._may_repeat(self._route):
            self._try_next()
        else:
            self._give_up()

    # --- AttemptOwner: what did not come -------------------------------------------------

    def runner_refused(self, attempt: Attempt) -> None:
        """Try another runner: this one has not run it."""
        assert attempt.verdict is not None and attempt.head is not None
        self._attempt = None
        self._last_reason = f"the runner refused with {attempt.head.status}"
        if attempt.verdict.other_runner:
            # No runner has seen the request: it must not cost one of the attempts.
            self._sends -= 1
        self._notes.refused(attempt)
        self._try_next()

    def runner_unreached(self, attempt: Attempt, reason: str) -> None:
        """Try another runner: the request never left for this one."""
        self._attempt = None
        self._sends -= 1
        self._last_reason = reason
        self._notes.unreached(attempt)
        self._try_next()

    def answer_broke(self, attempt: Attempt, reason: str) -> None:
        """Go on at another runner where that is allowed; otherwise the client hears of it."""
        self._attempt = None
        self._last_reason = reason
        self._may_have_run = True
        may_go_on = self._notes.broke(attempt)
        logger.bind(
            request=self._facts.request,
            runner=attempt.record.runner,
            fingerprint=name_of(self.fingerprint),
            reason=reason,
            last_event=self._answer.last_event,
        ).info("attempt_broke")
        if may_go_on and self._may_repeat(self._route):
            self._try_next()
        else:
            self._give_up()

    def _may_repeat(self, route: Route) -> bool:
        """Tell whether a request that may have run may be sent again by a route."""
        if not route.repeatable:
            return False
        if not self._answer.begun:
            return True
        return route.kind == RouteKind.STREAM and self._answer.can_be_continued

    # --- giving up -----------------------------------------------------------------------

    def _give_up(self) -> None:
        if self._answer.begun:
            self._answer.abort()
            self._finish("broken")
            return
        status = STATUS_BAD_GATEWAY if self._may_have_run else STATUS_UNAVAILABLE
        self._refuse(status, self._last_reason)

    def _give_up_held(self) -> None:
        """Answer 502: the client must not come back, and another of its tries may have run."""
        self._last_reason = HELD
        if self._answer.begun:
            self._answer.abort()
        else:
            self._answer.refuse(STATUS_BAD_GATEWAY, None)
        self._finish("held")

    def _retry_after_s(self) -> float:
        settings = self._context.settings
        return settings.retry_after_s if self._finder.tried else settings.no_runner_retry_after_s

    def _refuse(self, status: int, reason: str) -> None:
        self._last_reason = reason
        retry_after_s = None
        if status == STATUS_UNAVAILABLE:
            retry_after_s = self._retry_after_s()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
        self._answer.refuse(status, retry_after_s)
        self._finish("refused" if status == STATUS_UNAVAILABLE else "failed")


def _time_allowed(route: Route, facts: RequestFacts) -> float:
    if facts.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, facts.deadline_s)
