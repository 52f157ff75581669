"""Sends one relayed request to one runner after another, and keeps its attempts.

Relies on ``runner_finder`` to choose the runner and on the gateway's connection pool to send.
Whether a request may be sent at all is decided by ``continuation``.
"""

from collections.abc import Callable

from rainsail.cluster.messages import RunnerRecord
from rainsail.http.exchange import HttpRequest
from rainsail.relay.attempt import Attempt, AttemptOwner
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import SendAgain
from rainsail.relay.protocol import RequestFacts, RunnerTarget
from rainsail.relay.response_timeout import ResponseTimeout
from rainsail.relay.runner_finder import FindResult, RunnerFinder
from rainsail.relay.table import Route, RouteKind
from rainsail.routing.messages import Placement
from rainsail.tenancy.tenants import Identity

MIN_DEADLINE_S = 0.001
"""What a runner is told of a deadline that is over: none at all would mean no deadline.

Not measured; chosen as the shortest time that the platform's header can state.
"""


class RequestSender:
    """The attempts of one request; ``attempt`` is the one under way, ``route`` that of the last.

    While the next one is being placed, ``route`` is already that of the next.
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
    ) -> None:
        """``response_timed_out`` is called when the runner has sent nothing for too long."""
        self.route = route
        self.attempt: Attempt | None = None
        self.attempts: list[Attempt] = []
        self.attempts_counted = 0
        """Sendings that count against the route's most attempts."""
        self._context = context
        self._request = request
        self._facts = facts
        self._identity = identity
        self._owner = owner
        self._finder = RunnerFinder(context, facts, route, identity)
        self._timeout = ResponseTimeout(context, response_timed_out)

    @property
    def service(self) -> str:
        """The service that serves the request, empty before a runner was looked for."""
        return self._finder.service

    @property
    def tried(self) -> set[str]:
        """The runners that the request was sent to."""
        return self._finder.tried

    def ask_placement(self, route: Route, placed: Callable[[Placement | None], None]) -> None:
        """Ask where the request should go; ``placed`` gets None if this gateway has to choose."""
        self.route = route
        self._finder.ask(route, placed)

    def find(self, route: Route, placement: Placement | None, left_s: float) -> FindResult:
        """Find the runner of the next sending, ``left_s`` before the request's deadline."""
        self.route = route
        return self._finder.find(route, placement, left_s)

    def no_runner_reason(self) -> str:
        """Say, for the log, why no runner may get the request now."""
        return self._finder.no_runner_reason()

    def other_runner_left(self) -> bool:
        """Tell whether some runner that may get the request was not tried."""
        return self._finder.others_left()

    def send(self, record: RunnerRecord, how: SendAgain) -> None:
        """Send to a runner."""
        context = self._context
        self.attempts_counted += 1
        request = context.protocol.relayed(
            self._request,
            RunnerTarget(record.runner, record.address),
            self._deadline_left_s(),
            how.after_event,
            self._identity,
        )
        self._finder.note_sent(record)
        response_within_s = self._response_within_s()
        attempt = Attempt(self._owner, context, record, self._facts.request, response_within_s)
        self.attempt = attempt
        self.attempts.append(attempt)
        self._timeout.request_sent(self.route, self.attempts_counted)
        attempt.call = context.pool.send(record.address, request, attempt)

    def events_received(self) -> None:
        """Give the runner anew the time for the next events."""
        self._timeout.events_received(self.route, self.attempts_counted)

    def uncount_attempt(self) -> None:
        """Count the last sending no more: the runner that was meant has not seen the request."""
        self.attempts_counted -= 1

    def stop_timeout(self) -> None:
        """Wait for nothing more."""
        self._timeout.stop()

    def cancel(self) -> None:
        """Close the connection of the attempt under way, if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.cancel()

    def _response_within_s(self) -> float:
        """Return how long the runner may send nothing before it is left out for all requests."""
        settings = self._context.settings
        if self.route.kind == RouteKind.STREAM:
            return settings.stream_idle_timeout_s
        return settings.answer_idle_timeout_s

    def _deadline_left_s(self) -> float | None:
        """Return what is left of the time that the client has stated; None when it has not."""
        if self._facts.deadline_s is None:
            return None
        deadline_s = self._request.received_s + self._facts.deadline_s
        return max(MIN_DEADLINE_S, deadline_s - self._context.clock.seconds())
