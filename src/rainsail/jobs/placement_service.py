"""Serves the gateways' load reports and placement requests on the ledger's leader.

While a service has spare slots, gateways choose runners by themselves and the leader sends them
nothing. Once a service is busy, the leader answers each report of a gateway that has requests in
flight there with the service's load, and the gateway then requests a placement for each request. A
leader that gets too many placement requests tells gateways to choose by themselves for a while;
from its answers to their reports they still know how busy the service is.
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

Below 1, so that gateways request placements before the slots run out. Placement as a whole raised
the benchmark score of one day from 0.672 to 0.806; this share was not varied by itself.
"""
LOAD_COUNT_PERIOD_S = 0.04
"""Time for which a service's counted load is reused, however many gateways report.

Two periods of the gateways' reports (20 ms each).
"""
MAX_REQUESTS_PER_S = 800
"""Rate of placement requests above which gateways are told to choose by themselves.

Leaves the leader's processor time to the ledger.
"""
PLACING_PAUSE_S = 2.0
"""Time for which gateways then choose by themselves.

Longer than the steepest part of a burst, so that gateways do not alternate between the modes.
"""
REQUEST_WINDOW_S = 1.0
"""Sliding window over which placement requests are counted."""


@dataclass(frozen=True, slots=True)
class PlacementFleet:
    """The state of the runners: their records, online work, warm-ups and regions."""

    registry: RunnerRegistry
    online: OnlineUseTracker
    warm_ups: WarmUpLimiter
    regions: RegionMap


@dataclass(frozen=True, slots=True)
class ItemsAtRunners:
    """Access to the items at a runner: their number, and their preemption."""

    count_at: Callable[[str], int]
    preempt_at: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _CountedLoad:
    """A service's online requests and slots at the time of the last count."""

    counted_s: float
    online: int
    slots: int


class PlacementService:
    """Handles reports and placement requests; answers them while this node leads."""

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
        """``leads`` tells whether this node leads and has a routing table.

        The table is required because it has the load limits of runners that warm up.
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
        """The services that each gateway was last told are busy."""
        self._requested_s: deque[float] = deque()
        """Times of the placement requests within ``REQUEST_WINDOW_S``."""
        self._paused_until_s = float("-inf")
        messenger.serve(OnlineUse, self._on_report)
        messenger.serve(PlaceRequest, self._on_place_request)

    def on_leadership_changed(self) -> None:
        """Discard state from an earlier leadership."""
        self._outliers.clear()
        self._busy_services.clear()
        self._loads.clear()
        self._fleet.warm_ups.begin(self._clock.seconds())

    def on_runner_restarted(self, runner: str) -> None:
        """Forget the failures of a runner from before its restart."""
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
        """Count outcomes over all reports; have all gateways eject runners that fail too often."""
        now = self._clock.seconds()
        for each in message.outcomes:
            out_s = self._outliers.record(each.runner, each.answered, each.failed, now)
            if out_s is not None:
                logger.bind(runner=each.runner, out_s=out_s).info("runner_unsound")
                self._metrics.count("runners_unsound")
                unsound = RunnerUnsound(each.runner, out_s)
                self._messenger.send_all(self._fleet.online.gateways(), unsound)

    def _answer_report(self, gateway: str, service: str, busy_before: set[str]) -> None:
        """Send a gateway the load of a busy service, and once more when it stops being busy."""
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
        """Count a placement request; pause placement for a while if there are too many."""
        self._requested_s.append(now)
        while self._requested_s[0] < now - REQUEST_WINDOW_S:
            self._requested_s.popleft()
        if len(self._requested_s) > MAX_REQUESTS_PER_S and now >= self._paused_until_s:
            self._paused_until_s = now + PLACING_PAUSE_S
            logger.bind(asked=len(self._requested_s)).info("placements_paused")
