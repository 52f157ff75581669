"""Derives from a Runner resource what the runner serves and loads, and whether it is usable."""

from dataclasses import dataclass

from rainsail.control.controllers.machines import MachineView, WatchedMachineState
from rainsail.resources.specs import Kind, Resource, RunnerSpec, RunnerStatus
from rainsail.state.interface import ReplicatedReader


@dataclass(frozen=True, slots=True)
class RunnerView:
    """A Runner resource with its spec and status.

    ``leaving`` means that it takes no new work: it is drained, or its machine is leaving or gone.
    """

    resource: Resource
    spec: RunnerSpec
    status: RunnerStatus
    leaving: bool

    @property
    def name(self) -> str:
        """The runner's name."""
        return self.resource.key.name

    @property
    def target(self) -> str:
        """The version it was last ordered to load, else the one it has loaded."""
        return self.status.loading_version or self.status.loaded_version

    @property
    def serving(self) -> str:
        """The version it serves requests with now, or an empty string."""
        status = self.status
        settled = status.loading_version in ("", status.loaded_version)
        usable = status.ready and status.reachable and not self.leaving
        return status.loaded_version if settled and usable else ""

    @property
    def loading(self) -> bool:
        """Whether it has a target version, can become ready and serves no requests yet."""
        return bool(self.target) and self.usable and not self.serving

    @property
    def usable(self) -> bool:
        """Whether it may be ordered to load a version."""
        return self.status.reachable and not self.leaving


def is_leaving(resource: Resource, machines: MachineView | None) -> bool:
    """Tell whether a runner is drained or its machine is leaving or gone."""
    spec = resource.spec
    if isinstance(spec, RunnerSpec) and spec.drain:
        return True
    state = None if machines is None else machines.machine_state(resource.key.name)
    return state in (WatchedMachineState.LEAVING, WatchedMachineState.GONE)


def view_runners(state: ReplicatedReader, machines: MachineView | None) -> list[RunnerView]:
    """Return every runner in name order."""
    views = []
    for resource in state.list_resources(Kind.RUNNER):
        spec = resource.spec
        if not isinstance(spec, RunnerSpec):
            continue
        status = resource.status if isinstance(resource.status, RunnerStatus) else RunnerStatus()
        views.append(RunnerView(resource, spec, status, is_leaving(resource, machines)))
    return views
