"""Sends a relayed request to one runner after another, and keeps its attempts.

Relies on ``runner_finder`` to choose the runner and on the gateway's connection pool to send.
``continuation`` decides whether a request may be sent at all.
"""

from collections.abc import Callable

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.http.exchange import HttpRequest
from rainsail.http.pool import Call
from rainsail.relay.attempt import Attempt, AttemptOwner
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import SendAgain
from rainsail.relay.protocol import RequestFacts, RunnerTarget
from rainsail.relay.response_timeout import ResponseTimeout
from rainsail.relay.runner_finder import SETTLED_S, FindResult, RunnerFinder
from rainsail.relay.table import Route, RouteKind
from rainsail.routing.messages import Placement
from rainsail.runtime.clock import Timer
from rainsail.tenancy.tenants import Identity

MIN_DEADLINE_S = 0.001
"""Sent to a runner when the deadline has passed, since an absent header would mean no deadline.

The shortest time that the platform's header can state.
"""
REFUSAL_WITHIN_S = 0.05
"""A runner that has no room for a request usually refuses it within this time.

Until then a silent runner is not given up for it; longer, and two would work on one request.
"""
REFUSAL_OF_BEGUN_WITHIN_S = 0.2
"""The same for an answer that has begun, which would be cut: the client can't be refused then."""
SENT_CHECK_S = 0.05
"""Period of the checks whether the connection for a request is open, so that it has been sent."""


class RequestSender:
    """The attempts of one request; ``attempt`` is the current one.

    ``silent`` is an earlier attempt at a runner that sends nothing, while another runner is tried:
    it is given up once that one takes the request. ``route`` is that of the last attempt, or of the
    next one while that is being placed.
    """

    def __init__(
        self,
        context: RelayContext,
        request: HttpRequest,
        facts: RequestFacts,
        route: Route,
        identity: Identity,
        owner: AttemptOwner,
        response_timed_out: Callable[[], None],
        not_refused: Callable[[], None],
    ) -> None:
        """``response_timed_out`` is called when a runner has sent nothing for too long.

        ``not_refused`` is called when another one had the time to refuse the request.
        """
        self.route = route
        self.attempt: Attempt | None = None
        self.silent: Attempt | None = None
        self.attempts: list[Attempt] = []
        self.attempts_counted = 0
        """Attempts that count towards the route's maximum."""
        self._is_paused = False
        """The client takes its answer too slowly."""
        self._context = context
        self._request = request
        self._facts = facts
        self._identity = identity
        self._owner = owner
        self._finder = RunnerFinder(context, facts, route, identity)
        self._timeout = ResponseTimeout(context, response_timed_out)
        self._not_refused = not_refused
        self._refusal_timer: Timer | None = None
        self._refusal_within_s = REFUSAL_WITHIN_S

    @property
    def service(self) -> str:
        """The service that serves the request; empty before the first placement."""
        return self._finder.service

    @property
    def is_sent(self) -> bool:
        """Tell whether a runner has the request now."""
        return self.attempt is not None or self.silent is not None

    @property
    def tried(self) -> set[str]:
        """The runners that the request was sent to."""
        return self._finder.tried

    def continue_at(self, origin: StreamOrigin | None) -> None:
        """Send only to runners of the service and software version that began the stream."""
        self._finder.origin = origin

    def is_origin_gone(self) -> bool:
        """Tell whether no runner of the version that began the stream takes work."""
        return self._finder.is_origin_gone()

    def ask_placement(self, route: Route, placed: Callable[[Placement | None], None]) -> None:
        """Ask for a placement; ``placed`` gets None if this gateway has to choose."""
        self.route = route
        self._finder.ask(route, placed)

    def find(self, route: Route, placement: Placement | None, left_s: float) -> FindResult:
        """Find the runner for the next attempt, ``left_s`` before the request's deadline."""
        self.route = route
        return self._finder.find(route, placement, left_s)

    def suit_trial(self, found: FindResult) -> FindResult:
        """Replace a runner that was found by the one that suits a trial best."""
        return self._finder.suit_trial(found)

    def no_runner_reason(self) -> str:
        """Return, for the log, why no runner may get the request now."""
        return self._finder.no_runner_reason()

    def other_runner_left(self) -> bool:
        """Tell whether a runner that may get the request was not tried yet."""
        return self._finder.has_untried_runner()

    def allow_again(self, record: RunnerRecord) -> None:
        """Let a runner that the request was sent to get it once more."""
        self._finder.tried.discard(record.runner)

    def send(self, record: RunnerRecord, how: SendAgain) -> None:
        """Start an attempt at a runner."""
        context = self._context
        self.attempts_counted += 1
        deadline_left_s = self._deadline_left_s()
        request = context.protocol.relayed(
            self._request,
            RunnerTarget(record.runner, record.address),
            deadline_left_s,
            how.after_event,
            self._identity,
        )
        self._finder.record_sent(record)
        response_within_s = self._response_within_s()
        attempt = Attempt(self._owner, context, record, self._facts.request, response_within_s)
        attempt.deadline_left_s = deadline_left_s
        attempt.after_event = how.after_event
        self.attempt = attempt
        self.attempts.append(attempt)
        self._timeout.request_sent(self.route, self.attempts_counted)
        settled_s = 0.0 if self._finder.origin is None else SETTLED_S
        call = context.pool.send(record.address, request, attempt, settled_s=settled_s)
        attempt.call = call
        if self.silent is not None and self.attempt is attempt:
            self._await_refusal(call)
        if self._is_paused:
            self.set_paused(True)

    def _await_refusal(self, call: Call) -> None:
        """Give a runner the time to refuse the request, once a connection has taken it."""
        call_later = self._context.clock.callLater
        if call.sent:
            self._refusal_timer = call_later(self._refusal_within_s, self._not_refused)
        else:
            self._refusal_timer = call_later(SENT_CHECK_S, self._await_refusal, call)

    def keep_silent(self, has_begun: bool) -> None:
        """Keep the current attempt as the silent one, to try another runner.

        ``has_begun``: the client has a part of its answer.
        """
        self._refusal_within_s = REFUSAL_OF_BEGUN_WITHIN_S if has_begun else REFUSAL_WITHIN_S
        self.silent, self.attempt = self.attempt, None

    def return_to_silent(self) -> None:
        """Go on with the silent attempt, and cancel the one at the other runner."""
        other, silent = self.attempt, self.take_silent()
        self.attempt = silent
        if other is not None:
            other.cancel()
        self.events_received()

    def take_silent(self) -> Attempt | None:
        """Return the silent attempt, and forget it: it is over or is given up."""
        if self._refusal_timer is not None and self._refusal_timer.active():
            self._refusal_timer.cancel()
        self._refusal_timer = None
        silent, self.silent = self.silent, None
        return silent

    def events_received(self) -> None:
        """Restart the time-out for the next events, unless the answer is not read for now."""
        if not self._is_paused:
            self._timeout.events_received(self.route, self.attempts_counted)

    def set_paused(self, is_paused: bool) -> None:
        """Pause or continue the reading of answers; a runner is not silent during a pause."""
        self._is_paused = is_paused
        if self.silent is not None:
            self.silent.set_paused(is_paused)
        if self.attempt is None:
            return
        self.attempt.set_paused(is_paused)
        if is_paused:
            self._timeout.stop()
        else:
            self._timeout.events_received(self.route, self.attempts_counted)

    def uncount_attempt(self) -> None:
        """Take the last attempt out of the count: it has not reached the intended runner."""
        self.attempts_counted -= 1

    def not_run(self, attempt: Attempt) -> None:
        """Take back what was noted of the prompt at a runner that has not run the request."""
        self._finder.record_not_run(attempt.record)

    def stop_timeout(self) -> None:
        """Cancel the response time-out."""
        self._timeout.stop()

    def drop_body(self) -> None:
        """Drop the request's body: nothing is sent any more."""
        self._request = self._request.without_body()

    def cancel(self) -> None:
        """Cancel the attempts that are under way."""
        attempt, self.attempt = self.attempt, None
        for each in (attempt, self.take_silent()):
            if each is not None:
                each.cancel()

    def _response_within_s(self) -> float:
        """Return how long the runner may send nothing before it is ejected for all requests."""
        settings = self._context.settings
        if self.route.kind == RouteKind.STREAM:
            return settings.stream_idle_timeout_s
        return settings.answer_idle_timeout_s

    def _deadline_left_s(self) -> float | None:
        """Return the time left until the client's stated deadline; None if it stated none."""
        if self._facts.deadline_s is None:
            return None
        deadline_s = self._request.received_s + self._facts.deadline_s
        return max(MIN_DEADLINE_S, deadline_s - self._context.clock.seconds())
