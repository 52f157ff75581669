"""The ledger's leader as gateways call it: it takes their reports and places their requests.

While a service has slots to spare gateways choose runners by themselves, and the leader sends them
nothing. Once a service is busy, the leader answers each report of a gateway that has requests under
way there with the service's load, and the gateway asks for a place for each request. A leader that
is asked too often has gateways choose by themselves for a while; from its answers to their reports
they still know how busy the service is.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rainsail.cluster.registry import RunnerRegistry
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.routing.messages import OnlineUse, Placement, PlaceRequest, RunnerUnsound, ServiceLoad
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.outlier_ejection import OutlierDetector
from rainsail.routing.placer import Placer
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpLimiter
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

BUSY_SHARE = 0.6
"""A service is busy once online work holds this share of its slots.

Not measured by itself (with the whole of placement, worth 0.672 before and 0.806 after on one day);
chosen so that gateways ask before the slots run out.
"""
LOAD_COUNT_PERIOD_S = 0.04
"""A service's load is counted once in this time for reports, however many gateways report.

Not measured; chosen as two periods of the gateways' reports (20 ms).
"""
MAX_REQUESTS_PER_S = 800
"""Requests for a place beyond which the leader has gateways choose by themselves.

Not measured; chosen so that a leader's processor is left to the ledger.
"""
PLACING_PAUSE_S = 2.0
"""Time for which gateways then choose by themselves.

Not measured; chosen longer than a burst's steepest part, so that gateways do not alternate.
"""
REQUEST_WINDOW_S = 1.0
"""Time over which requests for a place are counted."""


@dataclass(frozen=True, slots=True)
class PlacementFleet:
    """What is known of the runners: their records, online work, warm-ups and regions."""

    registry: RunnerRegistry
    online: OnlineUseTracker
    warm_ups: WarmUpLimiter
    regions: RegionMap


@dataclass(frozen=True, slots=True)
class ItemsAtRunners:
    """What placement needs of the items: their number at a runner, and to have them preempted."""

    count_at: Callable[[str], int]
    preempt_at: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _CountedLoad:
    """A service's online requests and slots when they were counted last."""

    counted_s: float
    online: int
    slots: int


class PlacementService:
    """Answers while this node leads."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        fleet: PlacementFleet,
        items: ItemsAtRunners,
        leads: Callable[[], bool],
        random: Random,
        metrics: NodeMetrics,
    ) -> None:
        """``leads`` tells whether this node leads and knows a routing table.

        Without the table it does not know how much runners bear while they warm up.
        """
        self._messenger = messenger
        self._clock = clock
        self._fleet = fleet
        self._leads = leads
        self._metrics = metrics
        self._outliers = OutlierDetector()
        self._placer = Placer(
            fleet.registry,
            fleet.online,
            items.count_at,
            self._outliers,
            fleet.warm_ups,
            fleet.regions,
            random,
            items.preempt_at,
        )
        self._loads: dict[str, _CountedLoad] = {}
        self._busy_services: dict[str, set[str]] = {}
        """The services of which each gateway knows that they are busy, by its last answer."""
        self._requested_s: deque[float] = deque()
        """When a place was asked for, within ``REQUEST_WINDOW_S``."""
        self._paused_until_s = float("-inf")
        messenger.serve(OnlineUse, self._on_report)
        messenger.serve(PlaceRequest, self._on_place_request)

    def on_leadership_changed(self) -> None:
        """Forget what was learnt under another leadership."""
        self._outliers.clear()
        self._busy_services.clear()
        self._loads.clear()
        self._fleet.warm_ups.begin(self._clock.seconds())

    def on_runner_restarted(self, runner: str) -> None:
        """Forget the failures of a runner before it restarted."""
        self._outliers.forget(runner)

    # --- reports -------------------------------------------------------------------------

    def _on_report(self, gateway: str, message: OnlineUse) -> None:
        self._fleet.online.take(gateway, message, self._clock.seconds())
        if not self._leads():
            return
        self._take_outcomes(message)
        records = [self._fleet.registry.get(use.runner) for use in message.uses]
        services = {record.service for record in records if record is not None}
        busy_before = self._busy_services.setdefault(gateway, set())
        for service in sorted(services | busy_before):
            self._answer_report(gateway, service, busy_before)

    def _take_outcomes(self, message: OnlineUse) -> None:
        """Have all gateways leave out the runners that fail too often, over all reports."""
        now = self._clock.seconds()
        for each in message.outcomes:
            out_s = self._outliers.record(each.runner, each.answered, each.failed, now)
            if out_s is not None:
                logger.bind(runner=each.runner, out_s=out_s).info("runner_unsound")
                self._metrics.count("runners_unsound")
                unsound = RunnerUnsound(each.runner, out_s)
                self._messenger.send_all(self._fleet.online.gateways(), unsound)

    def _answer_report(self, gateway: str, service: str, busy_before: set[str]) -> None:
        """Send a gateway the load of a service that is busy, and once when it is so no more."""
        load = self._count(service)
        busy = load.online >= BUSY_SHARE * load.slots
        if not busy and service not in busy_before:
            return
        busy_before.discard(service)
        if busy:
            busy_before.add(service)
        own = self._fleet.online.of_gateway(gateway)
        ready = self._fleet.registry.ready(service)
        own_there = sum(own.get(record.runner, 0) for record in ready)
        places = busy and self._clock.seconds() >= self._paused_until_s
        answer = ServiceLoad(service, load.online, load.slots, own_there, places)
        self._messenger.send(gateway, answer)

    def _count(self, service: str) -> _CountedLoad:
        now = self._clock.seconds()
        load = self._loads.get(service)
        if load is None or now - load.counted_s >= LOAD_COUNT_PERIOD_S:
            self._fleet.online.expire(now)
            online, slots = self._placer.load(self._fleet.registry.ready(service))
            load = self._loads[service] = _CountedLoad(now, online, slots)
        return load

    # --- placing -------------------------------------------------------------------------

    def _on_place_request(self, gateway: str, request: PlaceRequest) -> Placement | Fault:
        if not self._leads():
            return Fault(FaultCode.NOT_LEADER, "jobs.place", "another node leads")
        now = self._clock.seconds()
        self._count_request(now)
        placement = self._placer.place(gateway, request, now)
        outcome = "refused" if placement.refused else "placed"
        self._metrics.count("placements", outcome=outcome)
        return placement

    def _count_request(self, now: float) -> None:
        """Have gateways choose by themselves for a while when they ask too often."""
        self._requested_s.append(now)
        while self._requested_s[0] < now - REQUEST_WINDOW_S:
            self._requested_s.popleft()
        if len(self._requested_s) > MAX_REQUESTS_PER_S and now >= self._paused_until_s:
            self._paused_until_s = now + PLACING_PAUSE_S
            logger.bind(asked=len(self._requested_s)).info("placements_paused")
