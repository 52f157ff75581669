"""Placement and roll-out: orders runners to load versions and adapters, a few at a time.

The controller writes ``loading_version``, ``adapters`` and a higher ``fence`` into a runner's
status. The gateway that owns the runner sends the order to the engine under that fence and
reports the result, including readiness. An engine may serve its old version while it fetches the
next one; this controller counts the runner as not serving from the order on. Every write expects
the revision that the decision was based on, so a conflicting change makes the next round plan
again.
"""

from dataclasses import dataclass, replace

from rainsail.control.controllers.conditions import READY, ROLLING_OUT, with_condition
from rainsail.control.controllers.machines import MachineView
from rainsail.control.controllers.planner import FirstSeen
from rainsail.control.controllers.rollout import (
    RolloutView,
    choose_switches,
    is_complete,
    ready_count,
)
from rainsail.control.controllers.runner_view import RunnerView, view_runners
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.resources.specs import (
    AdapterSpec,
    Condition,
    Kind,
    ModelVersionSpec,
    Resource,
    ResourceKey,
    RunnerStatus,
    ServiceSpec,
    ServiceStatus,
)
from rainsail.state.commands import Command, PutStatus
from rainsail.state.interface import ReplicatedReader


@dataclass(frozen=True, slots=True)
class _Ages:
    """Ages in seconds, counted under this leadership.

    ``load_s`` is how long a runner's current load has run, ``silent_s`` how long a runner
    has been loading without a break, and ``version_s`` how long a service has had its active
    version.
    """

    load_s: dict[str, float]
    silent_s: dict[str, float]
    version_s: dict[str, float]


def _spec(service: Resource) -> ServiceSpec:
    return service.spec if isinstance(service.spec, ServiceSpec) else ServiceSpec()


class PlacementPlanner:
    """Plans loads for every service and reports the progress of each roll-out."""

    name = "placement"

    def __init__(self, settings: ReconcilerSettings, machines: MachineView | None = None) -> None:
        self._settings = settings
        self._machines = machines
        self._loads = FirstSeen()
        self._not_serving = FirstSeen()
        self._versions = FirstSeen()
        self._adapter_changes: dict[str, float] = {}

    def begin(self) -> None:
        """Reset all ages."""
        self._loads.clear()
        self._not_serving.clear()
        self._versions.clear()
        self._adapter_changes.clear()

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return status changes of runners and services."""
        runners = view_runners(state, self._machines)
        services = state.list_resources(Kind.SERVICE)
        ages = self._observe(runners, services, now_s)
        load_slots = self._free_load_slots(runners, ages, now_s)
        commands: list[Command] = []
        for service in services:
            view = self._rollout_view(service, runners, ages, load_slots)
            problem = version_problem(state, service.key.name, view.version)
            if problem:
                commands += _report(service, 0, False, problem)
                continue
            adapters = wanted_adapters(state, service.key.name)
            switches = choose_switches(view)
            commands += [_switch(runner, view.version, adapters) for runner in switches]
            load_slots -= sum(1 for runner in switches if not runner.loading)
            changes = self._adapter_commands(view, adapters, load_slots, now_s)
            load_slots -= len(changes)
            commands += changes
            commands += report_rollout(service, view)
        return commands

    def _observe(self, runners: list[RunnerView], services: list[Resource], now_s: float) -> _Ages:
        loading = [runner for runner in runners if runner.loading]
        load_keys = [(each.name, each.target, each.status.fence) for each in loading]
        load_ages_s = self._loads.ages_s(load_keys, now_s)
        names = [runner.name for runner in loading]
        versions = [(each.key.name, _spec(each).active_version) for each in services]
        version_ages_s = self._versions.ages_s(versions, now_s)
        return _Ages(
            dict(zip(names, load_ages_s, strict=True)),
            dict(zip(names, self._not_serving.ages_s(names, now_s), strict=True)),
            dict(zip((name for name, _ in versions), version_ages_s, strict=True)),
        )

    def _rollout_view(
        self, service: Resource, runners: list[RunnerView], ages: _Ages, load_slots: int
    ) -> RolloutView:
        spec = _spec(service)
        own = tuple(each for each in runners if each.spec.service == service.key.name)
        version_age_s = ages.version_s[service.key.name]
        return RolloutView(
            spec.active_version,
            spec.runners,
            own,
            frozenset(each.name for each in own if self._is_stalled(each, ages)),
            frozenset(each.name for each in own if ages.silent_s.get(each.name, 0) > version_age_s),
            load_slots,
            self._settings.max_concurrent_loads,
        )

    def _is_stalled(self, runner: RunnerView, ages: _Ages) -> bool:
        return ages.load_s.get(runner.name, 0.0) >= self._settings.load_stall_s

    def _free_load_slots(self, runners: list[RunnerView], ages: _Ages, now_s: float) -> int:
        """Return how many further loads may start, to limit the load on the weight store."""
        pacing_s = self._settings.adapter_pacing_s
        self._adapter_changes = {
            name: since_s
            for name, since_s in self._adapter_changes.items()
            if now_s - since_s < pacing_s
        }
        loading = sum(1 for each in runners if each.loading and not self._is_stalled(each, ages))
        return self._settings.max_concurrent_loads - loading - len(self._adapter_changes)

    def _adapter_commands(
        self, view: RolloutView, adapters: tuple[str, ...], load_slots: int, now_s: float
    ) -> list[Command]:
        outdated = [
            runner
            for runner in view.runners
            if runner.serving == view.version and runner.status.adapters != adapters
        ]
        chosen = outdated[: max(0, load_slots)]
        for runner in chosen:
            self._adapter_changes[runner.name] = now_s
        return [_put(runner, replace(runner.status, adapters=adapters)) for runner in chosen]


def version_problem(state: ReplicatedReader, service: str, version: str) -> str:
    """Return the reason why a version can't be loaded, or an empty string."""
    if not version:
        return "no active version"
    resource = state.get(ResourceKey(Kind.MODEL_VERSION, version))
    if resource is None or not isinstance(resource.spec, ModelVersionSpec):
        return f"version {version} is not declared"
    if resource.spec.service != service:
        return f"version {version} is one of service {resource.spec.service}"
    return ""


def wanted_adapters(state: ReplicatedReader, service: str) -> tuple[str, ...]:
    """Return the names of a service's adapters in name order."""
    return tuple(
        resource.key.name
        for resource in state.list_resources(Kind.ADAPTER)
        if isinstance(resource.spec, AdapterSpec) and resource.spec.service == service
    )


def _switch(runner: RunnerView, version: str, adapters: tuple[str, ...]) -> PutStatus:
    """Return the load order; a redirected runner is ready only once its owner reports so."""
    ready = runner.status.ready and not runner.loading
    status = replace(runner.status, loading_version=version, adapters=adapters, ready=ready)
    return _put(runner, status)


def _put(runner: RunnerView, status: RunnerStatus) -> PutStatus:
    resource = runner.resource
    ordered = replace(status, fence=runner.status.fence + 1)
    return PutStatus(resource.key, ordered, resource.conditions, resource.revision)


def report_rollout(service: Resource, view: RolloutView) -> list[Command]:
    """Return the status change that reports a service's progress, or nothing if unchanged."""
    ready = ready_count(view)
    complete = is_complete(view)
    reason = f"{ready} of {view.wanted} runners ready with {view.version}"
    return _report(service, ready, not complete, reason, view.version if complete else None)


def _report(
    service: Resource, ready: int, rolling: bool, reason: str, reached: str | None = None
) -> list[Command]:
    before = service.status if isinstance(service.status, ServiceStatus) else ServiceStatus()
    status = ServiceStatus(ready, before.ready_version if reached is None else reached)
    is_ready = 0 < ready >= _spec(service).runners
    conditions = service.conditions
    for type_, value in ((READY, is_ready), (ROLLING_OUT, rolling)):
        condition = Condition(type_, value, reason, service.generation)
        conditions = with_condition(conditions, condition)
    if (status, conditions) == (service.status, service.conditions):
        return []
    return [PutStatus(service.key, status, conditions, service.revision)]
