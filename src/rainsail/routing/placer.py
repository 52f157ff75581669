"""Where the next online request goes, decided by the ledger's leader for all gateways. Pure.

A gateway of many knows little of what the others have sent; choosing by itself it sends requests
to full runners while slots are free elsewhere. The leader knows what every gateway has under way
and what items run. It places a request on a free slot; on one that an item holds, which gives way;
or where fewest wait, if the gateway accepts the wait. Zones part what is equal. A runner that warms
up gets what its rate allows.
"""

from collections.abc import Callable
from random import Random

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.routing.online_use import OnlineUseBook
from rainsail.routing.residency import RegionMap
from rainsail.routing.soundness import SoundnessBook
from rainsail.routing.warm_up_limiter import WarmUpLimiter

MOST_COMPARED = 64
"""Runners that are compared for one request: of more than these, so many drawn by lot."""
FREE_SLOT, ITEM_GIVES_WAY, QUEUE = range(3)


class Placer:
    """Places requests of one fleet."""

    def __init__(
        self,
        registry: RunnerRegistry,
        online: OnlineUseBook,
        items: Callable[[str], int],
        soundness: SoundnessBook,
        warm_ups: WarmUpLimiter,
        regions: RegionMap,
        random: Random,
        make_room: Callable[[str], None] = lambda runner: None,
    ) -> None:
        """``items`` counts the items that run at a runner; ``make_room`` ends what gives way."""
        self._make_room = make_room
        self._registry = registry
        self._online = online
        self._items = items
        self._soundness = soundness
        self._warm_ups = warm_ups
        self._regions = regions
        self._random = random

    def place(self, gateway: str, ask: PlaceRequest, now: float) -> Placement:
        """Place a request, or refuse it when more wait than the gateway accepts."""
        allowed = ask.allowed_regions
        ready = self._registry.ready(ask.service)
        records = [each for each in ready if self._regions.allows(allowed, each.zone)]
        online, slots = self.load(records)
        too_many = 0 <= ask.most_waiting * slots < online + 1 - slots
        if too_many:
            return Placement("", 0, online, slots, refused=True)
        record = self._choose(records, ask, now)
        if record is None:
            return Placement("", 0, online, slots, refused=False)
        number = self._online.place(gateway, record.runner, now)
        self._warm_ups.sent(record, now)
        if self._items(record.runner):
            self._make_room(record.runner)
        return Placement(record.runner, number, online, slots, refused=False)

    def load(self, records: list[RunnerRecord]) -> tuple[int, int]:
        """Return the requests under way at runners, and their slots."""
        online = sum(self._online.running(record.runner) for record in records)
        return online, sum(record.slots for record in records)

    def _choose(
        self, records: list[RunnerRecord], ask: PlaceRequest, now: float
    ) -> RunnerRecord | None:
        avoided = set(ask.avoid)
        allowed = {
            each.runner: each
            for each in records
            if each.runner not in avoided and self._warm_ups.may_send(each, now)
        }
        sound = self._soundness.sound(list(allowed), now)
        if len(sound) > MOST_COMPARED:
            sound = self._random.sample(sound, MOST_COMPARED)
        if not sound:
            return None
        return allowed[min(sound, key=lambda runner: self._rank(allowed[runner], ask.zone))]

    def _rank(self, record: RunnerRecord, zone: str) -> tuple[int, float, float, float]:
        """Return the order of a runner; the least is best.

        Of runners with a free slot those that warm up come last: what they may get is scarce.
        """
        slots = max(1, record.slots)
        online = self._online.running(record.runner)
        items = self._items(record.runner)
        elsewhere = float(record.zone != zone)
        chance = self._random.random()
        if online + items < slots:
            warming = float(self._registry.is_warming(record.runner))
            return (FREE_SLOT, warming, elsewhere, (online + items) / slots + chance / slots)
        if online < slots:
            return (ITEM_GIVES_WAY, 0.0, elsewhere, online / slots + chance / slots)
        return (QUEUE, 0.0, online / slots, elsewhere + chance)
