"""Finds the runner of one request's next sending, or says that it had better come back later."""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord
from rainsail.relay.context import RelayContext
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.table import Route
from rainsail.routing.choice import MILLISECONDS_PER_S, Wish
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.routing.residency import AllowedRegions
from rainsail.tenancy.tenants import Identity

ANY_WAIT = -1.0
"""Tells the leader to place a request however long it waits."""


@dataclass(frozen=True, slots=True)
class Found:
    """A runner; or when the client should come back; or neither, when no runner is left."""

    record: RunnerRecord | None = None
    retry_after_s: float | None = None


class RunnerFinder:
    """Where one request may go; ``tried`` are the runners that it was sent to."""

    def __init__(
        self, context: RelayContext, facts: RequestFacts, route: Route, identity: Identity
    ) -> None:
        self.service = ""
        self.tried: set[str] = set()
        self._context = context
        self._facts = facts
        self._identity = identity
        self._allowed: AllowedRegions = None
        self._comes_back = context.overload.comes_back(route.name, facts.deadline_s)

    def ask(self, route: Route, answered: Callable[[Placement | None], None]) -> None:
        """Have the ledger's leader place the request, unless where its prompt lies matters more.

        ``answered`` gets None when this gateway has to choose by itself.
        """
        self._follow(route)
        context = self._context
        must_ask = self._only_granted_left()
        if context.chooser.has_home(self._facts.prompt) and not must_ask:
            answered(None)
            return
        now = context.clock.seconds()
        avoid = tuple({*self.tried, *context.loads.unfit(now)})
        most_waiting = ANY_WAIT
        if self._may_be_refused():
            most_waiting = context.overload.most_waiting(self.service, route.target_s)
        allowed = self._allowed
        ask = PlaceRequest(
            self.service,
            context.zone,
            avoid,
            most_waiting,
            allowed is not None,
            tuple(sorted(allowed or ())),
        )
        context.place(ask, answered, must_ask)

    def find(self, route: Route, placement: Placement | None, left_s: float) -> Found:
        """Decide, ``left_s`` before the request's time is over."""
        self._follow(route)
        retry_after_s = self._retry_after_s(route, placement, left_s)
        if retry_after_s is not None:
            return Found(retry_after_s=retry_after_s)
        return Found(self._placed_record(placement) or self._choose())

    def _only_granted_left(self) -> bool:
        """Tell whether every runner that is left warms up, and gets only what is granted."""
        left = [each for each in self._ready() if each.runner not in self.tried]
        return bool(left) and all(map(self._context.registry.warm_ups.is_limited, left))

    def _ready(self) -> list[RunnerRecord]:
        """Return the runners that may get the request, tried ones too."""
        return self._context.ready(self.service, self._allowed)

    def others_left(self) -> bool:
        """Tell whether some runner was not tried."""
        return any(record.runner not in self.tried for record in self._ready())

    def why_none(self) -> str:
        """Say, for the log, why no runner may get the request now."""
        registry = self._context.registry
        drained = outside = warming = 0
        for record in registry.records():
            if record.service != self.service or not record.takes_work:
                continue
            if record.runner in self.tried:
                continue
            if registry.zone_drains.is_draining(record.zone):
                drained += 1
            elif not self._context.regions.allows(self._allowed, record.zone):
                outside += 1
            elif registry.warm_ups.is_limited(record):
                warming += 1
        if not drained + outside + warming:
            return f"no runner of {self.service} is known"
        return (
            f"no runner of {self.service} may get it: {drained} in draining zones, "
            f"{outside} outside the allowed regions, {warming} warming up"
        )

    def note_sent(self, record: RunnerRecord) -> None:
        """Count in what a runner has to read, and tell the others of a long prompt."""
        self.tried.add(record.runner)
        if not self._facts.prompt:
            return
        context = self._context
        reading_ms = context.chooser.reading_ms(self._facts.prompt, record.runner)
        reading_s = reading_ms / MILLISECONDS_PER_S
        context.prefixes.sent(self._facts.prompt, record.runner)
        context.loads.reads(record.runner, reading_s, context.clock.seconds())
        if reading_ms >= context.settings.told_reading_ms:
            context.tell_reading(record.runner, reading_s)

    def _follow(self, route: Route) -> None:
        """Go by a route as it is now: its services, and the regions that it allows."""
        self._allowed = self._context.allowed_regions(route, self._identity)
        if not route.allows(self.service):
            self.service = self._context.split.service(route)

    def _may_be_refused(self) -> bool:
        """Tell whether the request may be refused for too long a wait: once, before any run."""
        if not self._context.settings.mechanisms.admission or self.tried:
            return False
        return not self._comes_back and self._facts.after_event is None

    def _retry_after_s(
        self, route: Route, placement: Placement | None, left_s: float
    ) -> float | None:
        if not self._may_be_refused():
            return None
        context = self._context
        now = context.clock.seconds()
        if placement is not None:
            refused = placement.refused
            return context.overload.refused(self.service, left_s, now) if refused else None
        ready = self._ready()
        own = sum(context.loads.of(record.runner).in_flight for record in ready)
        return context.overload.retry_after_s(self.service, own, route.target_s, left_s, now)

    def _placed_record(self, placement: Placement | None) -> RunnerRecord | None:
        """Return the runner that the leader named, if it still takes work."""
        if placement is None or placement.runner in self.tried:
            return None
        context = self._context
        record = context.registry.get(placement.runner)
        if record is None or not context.registry.is_ready(record.runner):
            return None
        return record if context.regions.allows(self._allowed, record.zone) else None

    def _choose(self) -> RunnerRecord | None:
        """Choose by what this gateway knows, among the runners that need no grant."""
        context = self._context
        records = [
            record for record in self._ready() if not context.registry.warm_ups.is_limited(record)
        ]
        wish = Wish(self._facts.prompt, context.zone)
        now = context.clock.seconds()
        return context.chooser.choose(records, frozenset(self.tried), wish, now)
