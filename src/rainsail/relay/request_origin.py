"""The origin of one request's stream: found when a client resumes, recorded as events are sent."""

from collections.abc import Callable

from rainsail.cluster.registry import UNCONFIRMED_VERSION
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.logs import logger
from rainsail.relay.attempt import Attempt
from rainsail.relay.context import RelayContext
from rainsail.relay.origin_client import RENEWAL_PERIOD_S, FoundOrigin
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.resumption import (
    UNKNOWN_ORIGIN,
    LostStream,
    decide_origin,
    implied_origin,
    stream_name,
)
from rainsail.relay.table import Route
from rainsail.relay.version_quorum import SoleVersion, SoleVersionAnswer
from rainsail.tenancy.tenants import Identity


class RequestOrigin:
    """Which service and software version a stream has to continue at; ``origin`` None: any."""

    def __init__(self, context: RelayContext, facts: RequestFacts, identity: Identity) -> None:
        self.origin: StreamOrigin | None = None
        self._context = context
        self._facts = facts
        self._identity = identity
        self._renewed_s = float("-inf")
        self._attempts: list[Attempt] = []
        """Those that brought events of which the client has some."""

    @property
    def is_resumed(self) -> bool:
        """Whether the client has the beginning of the stream from an earlier answer."""
        return self._facts.after_event is not None

    def find(self, route: Route, decided: Callable[[LostStream | None], None]) -> None:
        """Find where a resumed stream began; ``decided`` gets the reason if it can't continue."""

        def found(result: FoundOrigin) -> None:
            registry = self._context.registry
            decision = decide_origin(
                result, self._services(route), registry.sole_version, registry.lacks_versions
            )
            if isinstance(decision, LostStream):
                self._log_lost(result.controllers, "no record")
                decided(decision)
            elif result.origin is not None:
                self._continue_at(decision, "record", result.controllers, decided)
            else:
                self._confirm_sole(decision, decided)

        if self._facts.resumes:
            self._context.origins.find(self._name, found)
        else:
            found(FoundOrigin(None, is_certain=True))

    def _confirm_sole(
        self, origin: StreamOrigin, decided: Callable[[LostStream | None], None]
    ) -> None:
        """Continue a stream of unknown origin if a quorum knows of no other than this one."""

        def answered(answer: SoleVersionAnswer) -> None:
            if answer.result == SoleVersion.CONFIRMED:
                self._continue_at(origin, "sole version", answer.controllers, decided)
            else:
                self._log_lost(answer.controllers, answer.result.value)
                decided(LostStream(UNKNOWN_ORIGIN, is_certain=False))

        quorum = self._context.version_quorum
        quorum.confirm_sole(origin.service, origin.version, answered)

    def _continue_at(
        self,
        origin: StreamOrigin,
        source: str,
        controllers: tuple[str, ...],
        decided: Callable[[LostStream | None], None],
    ) -> None:
        self.origin = origin
        log = logger.bind(request=self._facts.request, resumes=self._facts.resumes, source=source)
        log = log.bind(service=origin.service, version=origin.version, controllers=controllers)
        log.info("stream_origin_found")
        decided(None)

    def _log_lost(self, controllers: tuple[str, ...], reason: str) -> None:
        log = logger.bind(request=self._facts.request, resumes=self._facts.resumes, reason=reason)
        log.bind(controllers=controllers).info("stream_origin_unknown")

    def _services(self, route: Route) -> frozenset[str]:
        """Return the services at which a stream of a route may have begun."""
        return self._context.route_services.possible(route, self._context.clock.seconds())

    @property
    def _name(self) -> str:
        return stream_name(self._facts, self._identity, self._facts.resumes or self._facts.request)

    def events_sent(self, attempt: Attempt, route: Route) -> None:
        """Record who began the stream whose events the client has; renew the record at times."""
        if self.origin is None:
            record = attempt.record
            self.origin = StreamOrigin(record.service, attempt.version)
        if not self._attempts or self._attempts[-1] is not attempt:
            self._attempts.append(attempt)
        now = self._context.clock.seconds()
        if now - self._renewed_s >= RENEWAL_PERIOD_S:
            self._renewed_s = now
            implied = implied_origin(self._services(route), self._context.registry.sole_version)
            self._context.origins.began(self._name, self.origin, implied == self.origin)

    def completed(self) -> None:
        """Forget the record: the client has the whole stream."""
        if self.origin is not None:
            self._context.origins.completed(self._name)

    def is_confirmed(self) -> bool:
        """Tell whether each attempt has certainly reached the process that its version is of."""
        registry = self._context.registry
        return all(
            registry.is_version_confirmed(each.record, each.times.sent_s) for each in self._attempts
        )

    def withdraw(self) -> None:
        """Record that nobody may continue the stream, as its software version is not known."""
        service = self._attempts[-1].record.service if self._attempts else ""
        self.origin = StreamOrigin(service, f"{UNCONFIRMED_VERSION} {self._name}")
        self._context.origins.began(self._name, self.origin, is_implied=False)
