"""The ledger's leader as gateways meet it: it takes their reports and places their requests.

While a service has slots to spare gateways choose by themselves and nobody is told anything. Once
it is busy, each gateway that has something under way there hears of it with each of its reports,
and asks for a place for each request. A leader that is asked too often says so: then gateways
choose by themselves again, and know from the reports how busy the service is.
"""

from collections import deque
from collections.abc import Callable
from random import Random

from rainsail.cluster.registry import RunnerRegistry
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.routing.messages import OnlineUse, Placement, PlaceRequest, RunnerUnsound, ServiceLoad
from rainsail.routing.online_use import OnlineUseBook
from rainsail.routing.placer import Placer
from rainsail.routing.residency import RegionMap
from rainsail.routing.soundness import SoundnessBook
from rainsail.routing.warm_up_limiter import WarmUpLimiter
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

BUSY_SHARE = 0.6
"""Gateways are told of a service once online work holds this share of its slots."""
COUNTED_EVERY_S = 0.04
"""Loads are counted once in this time for reports, however many gateways report."""
MOST_ASKS_PER_S = 800
"""A leader that is asked more often than this has gateways choose by themselves for a while."""
RELIEVED_FOR_S = 2.0


class PlacementService:
    """Answers while this node leads."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        registry: RunnerRegistry,
        online: OnlineUseBook,
        items: Callable[[str], int],
        leads: Callable[[], bool],
        make_room: Callable[[str], None],
        warm_ups: WarmUpLimiter,
        regions: RegionMap,
        random: Random,
        metrics: NodeMetrics,
    ) -> None:
        """``items`` counts the items that run at a runner; ``make_room`` ends what gives way.

        ``leads`` tells whether this node leads and knows a routing table, and with it what runners
        that warm up bear.
        """
        self._messenger = messenger
        self._clock = clock
        self._registry = registry
        self._online = online
        self._leads = leads
        self._metrics = metrics
        self._soundness = SoundnessBook()
        self._placer = Placer(
            registry, online, items, self._soundness, warm_ups, regions, random, make_room
        )
        self._warm_ups = warm_ups
        self._counted: dict[str, tuple[float, int, int]] = {}
        self._told_busy: dict[str, set[str]] = {}
        self._asked_s: deque[float] = deque()
        self._relieved_until_s = float("-inf")
        messenger.serve(OnlineUse, self._take_use)
        messenger.serve(PlaceRequest, self._place)

    def leadership_changed(self, leads: bool) -> None:
        """Begin anew with each leadership."""
        self._soundness.clear()
        self._told_busy.clear()
        self._counted.clear()
        self._warm_ups.begin(self._clock.seconds())

    def runner_started_again(self, runner: str) -> None:
        """Hold nothing against a runner for what it did in the life before."""
        self._soundness.forget(runner)

    # --- reports -------------------------------------------------------------------------

    def _take_use(self, gateway: str, message: OnlineUse) -> None:
        self._online.take(gateway, message, self._clock.seconds())
        if not self._leads():
            return
        self._take_outcomes(message)
        records = [self._registry.get(use.runner) for use in message.uses]
        services = {record.service for record in records if record is not None}
        told_before = self._told_busy.setdefault(gateway, set())
        for service in sorted(services | told_before):
            self._tell(gateway, service, told_before)

    def _take_outcomes(self, message: OnlineUse) -> None:
        now = self._clock.seconds()
        for each in message.outcomes:
            out_s = self._soundness.saw(each.runner, each.answered, each.failed, now)
            if out_s is not None:
                logger.bind(runner=each.runner, out_s=out_s).info("runner_unsound")
                self._metrics.count("runners_unsound")
                unsound = RunnerUnsound(each.runner, out_s)
                self._messenger.send_all(self._online.gateways(), unsound)

    def _tell(self, gateway: str, service: str, told_before: set[str]) -> None:
        online, slots = self._count(service)
        busy = online >= BUSY_SHARE * slots
        if not busy and service not in told_before:
            return
        told_before.discard(service)
        if busy:
            told_before.add(service)
        own = self._online.of_gateway(gateway)
        own_there = sum(own.get(each.runner, 0) for each in self._registry.ready(service))
        places = busy and self._clock.seconds() >= self._relieved_until_s
        self._messenger.send(gateway, ServiceLoad(service, online, slots, own_there, places))

    def _count(self, service: str) -> tuple[int, int]:
        now = self._clock.seconds()
        at_s, online, slots = self._counted.get(service, (float("-inf"), 0, 0))
        if now - at_s >= COUNTED_EVERY_S:
            self._online.expire(now)
            online, slots = self._placer.load(self._registry.ready(service))
            self._counted[service] = (now, online, slots)
        return online, slots

    # --- placing -------------------------------------------------------------------------

    def _place(self, source: str, ask: PlaceRequest) -> Placement | Fault:
        if not self._leads():
            return Fault(FaultCode.NOT_LEADER, "jobs.place", "another node leads")
        now = self._clock.seconds()
        self._note_asked(now)
        placement = self._placer.place(source, ask, now)
        outcome = "refused" if placement.refused else "placed"
        self._metrics.count("placements", outcome=outcome)
        return placement

    def _note_asked(self, now: float) -> None:
        """Have gateways choose by themselves for a while when too many ask."""
        self._asked_s.append(now)
        while self._asked_s[0] < now - 1.0:
            self._asked_s.popleft()
        if len(self._asked_s) > MOST_ASKS_PER_S and now >= self._relieved_until_s:
            self._relieved_until_s = now + RELIEVED_FOR_S
            logger.bind(asked=len(self._asked_s)).info("placements_paused")
