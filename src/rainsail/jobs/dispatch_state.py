"""The in-memory state that the dispatcher's parts share."""

from dataclasses import dataclass

from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.item_routes import ItemRoutes
from rainsail.jobs.job_tables import JobTables
from rainsail.jobs.runner_slots import RunnerSlots
from rainsail.jobs.running_items import RunningItems
from rainsail.jobs.waiting_items import WaitingItems
from rainsail.relay.stream_beginnings import StreamBeginnings


@dataclass(frozen=True, slots=True)
class DispatchState:
    """Waiting and running items, use of runner slots, the routing table, beginnings of streams.

    ``tables`` tells for which jobs that table is new enough.
    """

    waiting: WaitingItems
    running: RunningItems
    slots: RunnerSlots
    routes: ItemRoutes
    tables: JobTables
    beginnings: StreamBeginnings


def make_dispatch_state(node: DispatchNode, ledger: Ledger) -> DispatchState:
    """Return a state without any items and without a routing table."""
    running = RunningItems()
    slots = RunnerSlots(node.warm_ups, node.settings, running)
    routes = ItemRoutes(ledger.state)
    tables = JobTables(node.tables, node.clock)
    waiting = WaitingItems(routes.name_of)
    return DispatchState(waiting, running, slots, routes, tables, StreamBeginnings())
