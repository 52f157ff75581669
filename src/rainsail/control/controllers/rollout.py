"""Which runners of one service to switch to its active version now. Pure.

Rules: free runners first; at most so many loads at a time; the next runners wait until those
already switched are ready; a runner that answers is switched only while another one answers; a
runner on its way to another version is turned round at once, since it answers nobody.
"""

from dataclasses import dataclass

from rainsail.control.controllers.runner_view import RunnerView


@dataclass(frozen=True, slots=True)
class RolloutView:
    """One service's wish and its runners.

    ``stalled`` names runners whose load takes too long, ``ill`` those that answered nobody
    already when the version was chosen, so that they prove nothing about it. ``places`` is how
    many further loads the whole fleet may begin, ``max_loads`` how many of this service may be
    under way at a time.
    """

    version: str
    wanted: int
    runners: tuple[RunnerView, ...]
    stalled: frozenset[str]
    ill: frozenset[str]
    places: int
    max_loads: int


def choose_switches(view: RolloutView) -> list[RunnerView]:
    """Return the runners to switch now, in the order of choice."""
    usable = [runner for runner in view.runners if runner.usable]
    others = [runner for runner in usable if runner.target != view.version]
    turned = [runner for runner in others if runner.loading]
    switched = turned + [runner for runner in usable if runner.target == view.version]
    places = min(view.places, view.max_loads - _gating(view, turned))
    free = [runner for runner in others if not runner.target]
    chosen = free[: max(0, min(places, view.wanted - len(switched)))]
    replaced = _replaceable(view, others, places - len(chosen))
    return turned + chosen + replaced


def _gating(view: RolloutView, turned: list[RunnerView]) -> int:
    """Count the loads that further ones have to wait for.

    A stalled load stands in the way only while it may be the version's fault: while another
    version still answers and none has become ready with this one.
    """
    pending = [
        runner
        for runner in view.runners
        if runner.target == view.version and runner.loading and runner.name not in view.ill
    ]
    served = {runner.serving: None for runner in view.runners if runner.serving}
    suspicious = bool(served) and view.version not in served
    if not suspicious:
        pending = [runner for runner in pending if runner.name not in view.stalled]
    return len(pending) + sum(1 for runner in turned if runner.name not in view.ill)


def _replaceable(view: RolloutView, others: list[RunnerView], places: int) -> list[RunnerView]:
    """Return runners that answer with another version, leaving at least one that answers."""
    answering = sum(1 for runner in view.runners if runner.serving)
    bound = max(0, min(places, answering - 1))
    return [runner for runner in others if runner.serving][:bound]


def ready_count(view: RolloutView) -> int:
    """Return how many runners answer with the wanted version."""
    return sum(1 for runner in view.runners if runner.serving == view.version)


def is_complete(view: RolloutView) -> bool:
    """Tell whether enough runners answer with the version and none is left with another."""
    left = [runner for runner in view.runners if runner.usable and runner.target]
    settled = all(runner.target == view.version for runner in left)
    return settled and ready_count(view) >= view.wanted
