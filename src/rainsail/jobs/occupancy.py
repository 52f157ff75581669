"""What the ledger's leader tells gateways of how occupied runners are.

A gateway of a large fleet hears from each runner now and then only. The leader knows what all
gateways have under way and what items run, so it can say at any time where slots are free.
"""

import heapq

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.messages import RunnerOccupancy, RunnerUse, ServiceOccupancy
from rainsail.jobs.online_use import OnlineUseBook

MOST_TOLD = 48
"""Runners in one answer: it stays small however many runners a service has."""


def occupancy_of(
    records: list[RunnerRecord], items: dict[str, int], online: OnlineUseBook, gateway: str
) -> ServiceOccupancy:
    """Return the runners with least to do for their slots; ``items`` counts items by runner."""
    running = {
        record.runner: online.running(record.runner) + items.get(record.runner, 0)
        for record in records
    }
    least = heapq.nsmallest(
        MOST_TOLD, records, key=lambda record: running[record.runner] / max(1, record.slots)
    )
    told = tuple(RunnerOccupancy(record.runner, running[record.runner]) for record in least)
    own = online.of_gateway(gateway)
    own_told = tuple(
        RunnerUse(each.runner, own[each.runner]) for each in told if each.runner in own
    )
    return ServiceOccupancy(told, own_told)
