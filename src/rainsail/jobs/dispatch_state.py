"""The soft state of the dispatcher, which its parts share."""

from dataclasses import dataclass

from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.item_routes import ItemRoutes
from rainsail.jobs.runner_slots import RunnerSlots
from rainsail.jobs.running_items import RunningItems
from rainsail.jobs.waiting_items import WaitingItems
from rainsail.relay.stream_beginnings import StreamBeginnings


@dataclass(frozen=True, slots=True)
class DispatchState:
    """Which items wait or run where, who holds slots, the table in force, how streams begin."""

    waiting: WaitingItems
    running: RunningItems
    slots: RunnerSlots
    routes: ItemRoutes
    beginnings: StreamBeginnings


def make_dispatch_state(node: DispatchNode, ledger: Ledger) -> DispatchState:
    """Return a state in which nothing waits or runs and no table is known."""
    running = RunningItems()
    slots = RunnerSlots(node.warm_ups, node.settings, running)
    routes = ItemRoutes(ledger.state)
    return DispatchState(WaitingItems(), running, slots, routes, StreamBeginnings())
