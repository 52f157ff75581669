"""Finds the runner for a request's next attempt, or refuses the request because of overload.

The ledger's leader places requests while their service is busy. Otherwise, and if the leader does
not answer, the gateway chooses by its own data.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.quarantine.trial_placement import TrialSite, best_trial_sites
from rainsail.relay.context import RelayContext
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.table import Route, RouteKind
from rainsail.routing.choice import MILLISECONDS_PER_S, RoutedRequest
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.routing.residency import AllowedRegions
from rainsail.tenancy.tenants import Identity

SETTLED_S = 3.0
"""Age of a connection after which the report of the runner's process has certainly arrived.

Longer than two of a runner's 1.2 s heartbeat periods.
"""
NO_SERVICE = ""
"""The service of a stream whose route no longer allows the one that began it."""
ANY_WAIT = -1.0
"""Value of ``most_waiting`` that lets the leader place a request whatever its wait."""


@dataclass(frozen=True, slots=True)
class FindResult:
    """A runner, or the retry delay of a refusal; neither if no runner is left."""

    record: RunnerRecord | None = None
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class _SentPrompt:
    """What was noted when a prompt was sent to a runner."""

    added_parts: tuple[str, ...]
    """The parts that the runner was not known to have cached."""
    prefill_s: float
    is_announced: bool
    """The other gateways were told of the prefill."""


class RunnerFinder:
    """Finds runners for one request; ``tried`` has the names of those that it was sent to."""

    def __init__(
        self, context: RelayContext, facts: RequestFacts, route: Route, identity: Identity
    ) -> None:
        self.service = ""
        self.origin: StreamOrigin | None = None
        """The service and software version that the stream has to continue at, if any."""
        self.tried: set[str] = set()
        self._context = context
        self._facts = facts
        self._identity = identity
        self._allowed: AllowedRegions = None
        self._binds = False
        """The first event binds the stream to a version: a client may resume it."""
        self._is_resent = context.overload.is_resent(route.name, facts.deadline_s)
        self._sent: dict[str, _SentPrompt] = {}
        """What was noted of the prompt at each runner that it was sent to."""

    def ask(self, route: Route, answered: Callable[[Placement | None], None]) -> None:
        """Ask the ledger's leader for a placement, unless a runner may have the prompt cached.

        ``answered`` gets None if this gateway has to choose.
        """
        self._use_route(route)
        context = self._context
        must_ask = self._only_granted_left()
        if context.chooser.has_affinity(self._facts.prompt) and not must_ask:
            answered(None)
            return
        now = context.clock.seconds()
        most_waiting = ANY_WAIT
        if self._may_be_refused():
            most_waiting = context.overload.most_waiting(self.service, route.target_s)
        request = PlaceRequest(
            service=self.service,
            zone=context.zone,
            avoid=tuple({*self.tried, *context.loads.unavailable(now), *self._other_versions()}),
            most_waiting=most_waiting,
            limited=self._allowed is not None,
            regions=tuple(sorted(self._allowed or ())),
        )
        context.place(request, answered, must_ask)

    def find(self, route: Route, placement: Placement | None, left_s: float) -> FindResult:
        """Find a runner, ``left_s`` before the request's deadline."""
        self._use_route(route)
        retry_after_s = self._retry_after_s(route, placement, left_s)
        if retry_after_s is not None:
            return FindResult(retry_after_s=retry_after_s)
        return FindResult(self._placed_record(placement) or self._choose())

    def suit_trial(self, found: FindResult) -> FindResult:
        """Replace a runner that was found by the one that suits a trial best.

        It stays if there is none that needs no grant of the leader; none is left if it may have
        crashed.
        """
        if found.record is None:
            return found
        best = {site.runner for site in best_trial_sites(list(map(self._site, self._untried())))}
        record = self._choose(lambda each: each.runner in best) or found.record
        return FindResult(None if self._context.guard.may_have_crashed(record) else record)

    def _untried(self) -> list[RunnerRecord]:
        """Return the runners that may get the request now without a grant of the leader."""
        is_limited = self._context.registry.warm_ups.is_limited
        return [
            record
            for record in self._ready()
            if record.runner not in self.tried and not is_limited(record)
        ]

    def _site(self, record: RunnerRecord) -> TrialSite:
        context = self._context
        now = context.clock.seconds()
        return TrialSite(
            record.runner,
            record.zone,
            context.guard.may_have_crashed(record),
            context.registry.may_be_replaced(record),
            context.registry.history.known_s(record, now),
            context.registry.history.since_crash_s(record, now),
            0,
            context.loads.of(record.runner).estimate(now),
        )

    def _only_granted_left(self) -> bool:
        """Tell whether all remaining runners are warming up, which need a grant of the leader."""
        left = [each for each in self._ready() if each.runner not in self.tried]
        return bool(left) and all(map(self._context.registry.warm_ups.is_limited, left))

    def _ready(self) -> list[RunnerRecord]:
        """Return the runners that may get the request, including those tried already."""
        ready = self._context.ready(self.service, self._allowed)
        return list(filter(self._may_get_now, ready))

    def _may_get_now(self, record: RunnerRecord) -> bool:
        """Tell whether a runner may begin or continue the request, as far as versions decide."""
        if self.origin is not None:
            return self._may_continue_now(record)
        return not self._binds or self._may_begin(record)

    def _may_begin(self, record: RunnerRecord) -> bool:
        """Tell whether a stream that begins at a runner continues nowhere at another version."""
        version = self._context.registry.versions.of(record)
        return self._context.version_quorum.is_known(record.service, version)

    def _may_continue(self, record: RunnerRecord) -> bool:
        """Tell whether a runner may continue the stream: its software has begun it, if any has."""
        if self.origin is None:
            return True
        version = self._context.registry.versions.of(record)
        return StreamOrigin(record.service, version) == self.origin

    def _may_continue_now(self, record: RunnerRecord) -> bool:
        """Tell whether the process at a runner's address is known to be one that may continue."""
        is_known = not self._context.registry.may_be_replaced(record)
        return self.origin is None or (is_known and self._may_continue(record))

    def _other_versions(self) -> list[str]:
        """Return the runners of the service that may not get the stream, or not now."""
        if self.origin is None and not self._binds:
            return []
        ready = self._context.ready(self.service, self._allowed)
        return [record.runner for record in ready if not self._may_get_now(record)]

    def is_origin_gone(self) -> bool:
        """Tell whether no runner that takes work is of the version that began the stream."""
        if self.origin is None:
            return False
        records = self._context.registry.records()
        return not any(record.takes_work and self._may_continue(record) for record in records)

    def has_untried_runner(self) -> bool:
        """Tell whether a ready runner was not tried yet."""
        return any(record.runner not in self.tried for record in self._ready())

    def no_runner_reason(self) -> str:
        """Return, for the log, why no runner may get the request now."""
        registry = self._context.registry
        drained = outside = warming = other_version = unconfirmed = 0
        for record in registry.records():
            if record.service != self.service or not record.takes_work:
                continue
            if record.runner in self.tried:
                continue
            if not self._may_continue(record):
                other_version += 1
            elif registry.zone_drains.is_draining(record.zone):
                drained += 1
            elif not self._context.regions.allows(self._allowed, record.zone):
                outside += 1
            elif registry.warm_ups.is_limited(record):
                warming += 1
            elif not self._may_get_now(record):
                unconfirmed += 1
        if unconfirmed:
            return f"{unconfirmed} runners of {self.service} are of a version without a quorum"
        if not drained + outside + warming + other_version:
            return f"no runner of {self.service} is known"
        return (
            f"no runner of {self.service} may get it: {drained} in draining zones, "
            f"{outside} outside the allowed regions, {warming} warming up, "
            f"{other_version} of another software version"
        )

    def record_sent(self, record: RunnerRecord) -> None:
        """Record a runner as tried, the prompt that it caches, and the time of its prefill.

        The prefill of a long prompt is announced to the other gateways.
        """
        self.tried.add(record.runner)
        if not self._facts.prompt:
            return
        context = self._context
        prefill_ms = context.chooser.prefill_ms(self._facts.prompt, record.runner)
        prefill_s = prefill_ms / MILLISECONDS_PER_S
        added = context.prefixes.sent(self._facts.prompt, record.runner)
        context.loads.add_prefill(record.runner, prefill_s, context.clock.seconds())
        is_announced = prefill_ms >= context.settings.announced_prefill_ms
        if is_announced:
            context.announce_prefill(record.runner, prefill_s)
        self._sent[record.runner] = _SentPrompt(added, prefill_s, is_announced)

    def record_not_run(self, record: RunnerRecord) -> None:
        """Take back what ``record_sent`` has noted of the prompt: the runner does not have it."""
        sent = self._sent.pop(record.runner, None)
        if sent is None:
            return
        context = self._context
        context.prefixes.not_run(sent.added_parts, record.runner)
        context.loads.add_prefill(record.runner, -sent.prefill_s, context.clock.seconds())
        if sent.is_announced:
            context.announce_prefill(record.runner, -sent.prefill_s)

    def _use_route(self, route: Route) -> None:
        """Apply a route's current services and allowed regions."""
        self._allowed = self._context.allowed_regions(route, self._identity)
        self._binds = route.kind == RouteKind.STREAM and route.resumable
        if self.origin is not None:
            self.service = self.origin.service if route.allows(self.origin.service) else NO_SERVICE
        elif not route.allows(self.service):
            self.service = self._context.split.service(route)

    def _may_be_refused(self) -> bool:
        """Tell whether the request may be refused for its expected wait.

        Only before its first attempt, and not again after an earlier refusal.
        """
        if not self._context.settings.mechanisms.admission or self.tried:
            return False
        return not self._is_resent and self._facts.after_event is None

    def _retry_after_s(
        self, route: Route, placement: Placement | None, left_s: float
    ) -> float | None:
        if not self._may_be_refused():
            return None
        context = self._context
        now = context.clock.seconds()
        if placement is not None:
            refused = placement.refused
            return context.overload.refuse(self.service, left_s, now) if refused else None
        ready = self._ready()
        own = sum(context.loads.of(record.runner).in_flight for record in ready)
        return context.overload.retry_after_s(self.service, own, route.target_s, left_s, now)

    def _placed_record(self, placement: Placement | None) -> RunnerRecord | None:
        """Return the runner named by the leader if it is still ready."""
        if placement is None or placement.runner in self.tried:
            return None
        context = self._context
        record = context.registry.get(placement.runner)
        if record is None or not context.registry.is_ready(record.runner):
            return None
        if not self._may_get_now(record):
            return None
        return record if context.regions.allows(self._allowed, record.zone) else None

    def _choose(
        self, is_allowed: Callable[[RunnerRecord], bool] = lambda record: True
    ) -> RunnerRecord | None:
        """Choose by this gateway's own data, among the runners that need no grant of the leader."""
        context = self._context
        records = [
            record
            for record in self._ready()
            if not context.registry.warm_ups.is_limited(record) and is_allowed(record)
        ]
        if self.origin is not None:
            records = self._settled(records)
        request = RoutedRequest(self._facts.prompt, context.zone)
        now = context.clock.seconds()
        return context.chooser.choose(records, frozenset(self.tried), request, now)

    def _settled(self, records: list[RunnerRecord]) -> list[RunnerRecord]:
        """Return the untried runners to which a settled connection is kept, all if there is none.

        A runner may start again under its id at another version. By the time a connection has
        settled, the report of the process behind it is known.
        """
        has_settled = self._context.pool.has_settled
        settled = [
            record
            for record in records
            if record.runner not in self.tried and has_settled(record.address, SETTLED_S)
        ]
        return settled or records
