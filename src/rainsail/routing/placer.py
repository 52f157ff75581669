"""Places online requests for all gateways, at the ledger's leader.

A single gateway does not know what the others have sent: choosing by itself, it would send requests
to full runners while slots are free elsewhere. The leader knows the requests of all gateways and
the running batch items. It places a request on a free slot; otherwise on the slot of an item,
which is preempted; otherwise at the runner with the shortest queue, if the gateway accepts the
wait. Among equal runners, one in the gateway's zone is preferred. A runner that is warming up gets
no more than its rate.

Does no I/O; the caller passes the time and the random source.
"""

from collections.abc import Callable
from random import Random

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.outlier_ejection import OutlierDetector
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpLimiter

MAX_COMPARED_RUNNERS = 64
"""Runners that are compared for one request; of more, a random sample of this size is compared.

Bounds the leader's time for a request in a fleet of thousands of runners.
"""
FREE_SLOT, PREEMPTS_ITEM, QUEUE = range(3)
"""Ranks of a runner for a request, best first."""


class Placer:
    """Places requests of one fleet."""

    def __init__(
        self,
        registry: RunnerRegistry,
        online: OnlineUseTracker,
        items: Callable[[str], int],
        outliers: OutlierDetector,
        warm_ups: WarmUpLimiter,
        regions: RegionMap,
        random: Random,
        preempt_items: Callable[[str], None] = lambda runner: None,
    ) -> None:
        """``items`` counts the items running at a runner; ``preempt_items`` preempts some."""
        self._preempt_items = preempt_items
        self._registry = registry
        self._online = online
        self._items = items
        self._outliers = outliers
        self._warm_ups = warm_ups
        self._regions = regions
        self._random = random

    def place(self, gateway: str, request: PlaceRequest, now: float) -> Placement:
        """Place a request, or refuse it if more requests wait than the gateway accepts."""
        allowed = request.allowed_regions
        ready = self._registry.ready(request.service)
        records = [each for each in ready if self._regions.allows(allowed, each.zone)]
        online, slots = self.load(records)
        too_many = 0 <= request.most_waiting * slots < online + 1 - slots
        if too_many:
            return Placement("", 0, online, slots, refused=True)
        record = self._choose(records, request, now)
        if record is None:
            return Placement("", 0, online, slots, refused=False)
        number = self._online.place(gateway, record.runner, now)
        self._warm_ups.sent(record, now)
        if self._items(record.runner):
            self._preempt_items(record.runner)
        return Placement(record.runner, number, online, slots, refused=False)

    def load(self, records: list[RunnerRecord]) -> tuple[int, int]:
        """Return the total of requests in flight at runners, and of their slots."""
        online = sum(self._online.running(record.runner) for record in records)
        return online, sum(record.slots for record in records)

    def _choose(
        self, records: list[RunnerRecord], request: PlaceRequest, now: float
    ) -> RunnerRecord | None:
        avoided = set(request.avoid)
        allowed = {
            each.runner: each
            for each in records
            if each.runner not in avoided and self._warm_ups.may_send(each, now)
        }
        compared = self._outliers.not_ejected(list(allowed), now)
        if len(compared) > MAX_COMPARED_RUNNERS:
            compared = self._random.sample(compared, MAX_COMPARED_RUNNERS)
        if not compared:
            return None
        best = min(compared, key=lambda runner: self._rank(allowed[runner], request.zone))
        return allowed[best]

    def _rank(self, record: RunnerRecord, zone: str) -> tuple[int, float, float, float]:
        """Return the rank of a runner; the lowest is best.

        Of runners with a free slot, those that are warming up come last: their rate is limited.
        """
        slots = max(1, record.slots)
        online = self._online.running(record.runner)
        items = self._items(record.runner)
        elsewhere = float(record.zone != zone)
        tie_break = self._random.random()
        if online + items < slots:
            warming = float(self._registry.is_warming(record.runner))
            return (FREE_SLOT, warming, elsewhere, (online + items) / slots + tie_break / slots)
        if online < slots:
            return (PREEMPTS_ITEM, 0.0, elsewhere, online / slots + tie_break / slots)
        return (QUEUE, 0.0, online / slots, elsewhere + tie_break)
