"""Chooses which runners of one service to switch to its active version. Pure functions.

Rules:

- Runners without a version are loaded first.
- The number of concurrent loads is limited, and further runners wait until those already switched
  are ready.
- A runner that serves requests is switched only while another runner serves too.
- A runner that is loading another version is redirected at once, since it serves no requests.
"""

from dataclasses import dataclass

from rainsail.control.controllers.runner_view import RunnerView


@dataclass(frozen=True, slots=True)
class RolloutView:
    """One service's desired version and runner count, and its runners.

    ``stalled`` names the runners whose load takes too long. ``ill`` names the unhealthy runners:
    those that already served no requests when the version was chosen, so their state says nothing
    about that version. ``load_slots`` is the number of further loads that the whole fleet may
    start, ``max_loads`` the number of this service's loads that may run at a time.
    """

    version: str
    wanted: int
    runners: tuple[RunnerView, ...]
    stalled: frozenset[str]
    ill: frozenset[str]
    load_slots: int
    max_loads: int


def choose_switches(view: RolloutView) -> list[RunnerView]:
    """Return the runners to switch now, in order of preference."""
    usable = [runner for runner in view.runners if runner.usable]
    others = [runner for runner in usable if runner.target != view.version]
    redirected = [runner for runner in others if runner.loading]
    switched = redirected + [runner for runner in usable if runner.target == view.version]
    load_slots = min(view.load_slots, view.max_loads - _count_blocking_loads(view, redirected))
    free = [runner for runner in others if not runner.target]
    chosen = free[: max(0, min(load_slots, view.wanted - len(switched)))]
    replaced = _choose_replaced(view, others, load_slots - len(chosen))
    return redirected + chosen + replaced


def _count_blocking_loads(view: RolloutView, redirected: list[RunnerView]) -> int:
    """Count the loads that must finish before further ones start.

    A stalled load blocks others only while the version may be the cause: while another version is
    still served and no runner has become ready with this one.
    """
    pending = [
        runner
        for runner in view.runners
        if runner.target == view.version and runner.loading and runner.name not in view.ill
    ]
    served = {runner.serving: None for runner in view.runners if runner.serving}
    version_suspect = bool(served) and view.version not in served
    if not version_suspect:
        pending = [runner for runner in pending if runner.name not in view.stalled]
    return len(pending) + sum(1 for runner in redirected if runner.name not in view.ill)


def _choose_replaced(
    view: RolloutView, others: list[RunnerView], load_slots: int
) -> list[RunnerView]:
    """Return runners that serve another version, leaving at least one runner that serves."""
    answering = sum(1 for runner in view.runners if runner.serving)
    bound = max(0, min(load_slots, answering - 1))
    return [runner for runner in others if runner.serving][:bound]


def ready_count(view: RolloutView) -> int:
    """Return how many runners serve the wanted version."""
    return sum(1 for runner in view.runners if runner.serving == view.version)


def is_complete(view: RolloutView) -> bool:
    """Tell whether enough runners serve the version and no usable one has another version."""
    left = [runner for runner in view.runners if runner.usable and runner.target]
    settled = all(runner.target == view.version for runner in left)
    return settled and ready_count(view) >= view.wanted
