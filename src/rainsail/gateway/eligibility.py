"""Which runners may get a request: usable, of the right role, with the adapter loaded. Pure."""

from collections.abc import Sequence

from rainsail.gateway import runner_state
from rainsail.gateway.admission_queues import Slots
from rainsail.gateway.runner_state import RunnerState
from rainsail.resources.specs import RunnerRole


def eligible_runners(
    states: Sequence[RunnerState], now_s: float, batch: bool, adapter: str = ""
) -> list[RunnerState]:
    """Return the runners that may get new work of this class and adapter."""
    shunned = RunnerRole.ONLINE_ONLY if batch else RunnerRole.BATCH_ONLY
    return [
        state
        for state in states
        if state.spec.role != shunned
        and runner_state.takes_new_work(state, now_s)
        and (not adapter or has_adapter(state, adapter))
    ]


def has_adapter(state: RunnerState, adapter: str) -> bool:
    """Tell whether a runner has an adapter loaded, by its last report or else its status."""
    adapters = state.report.adapters if state.report else state.status.adapters
    return adapter in adapters


def without(states: Sequence[RunnerState], excluded: Sequence[str]) -> list[RunnerState]:
    """Return the runners that have not failed this request yet; all when none is left."""
    fresh = [state for state in states if state.name not in excluded]
    return fresh or list(states)


def online_slots(states: Sequence[RunnerState], now_s: float, slots_per_runner: float) -> Slots:
    """Return the online slots of these runners, and how many others seem to hold."""
    total = 0.0
    others = 0.0
    for state in states:
        slots = max(1.0, state.spec.batch_slots * slots_per_runner)
        total += slots
        others += min(slots, state.foreign_online(now_s))
    return Slots(total, others)
