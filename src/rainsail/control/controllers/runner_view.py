"""What the controllers make of a Runner resource: what it serves, loads and may take."""

from dataclasses import dataclass

from rainsail.control.controllers.machines import MachineView, WatchedMachineState
from rainsail.resources.specs import Kind, Resource, RunnerSpec, RunnerStatus
from rainsail.state.interface import ReplicatedReader


@dataclass(frozen=True, slots=True)
class RunnerView:
    """A runner as the placement sees it.

    ``leaving`` means that it takes no new work: it is drained or its machine is going away.
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
        """The version that it was last told to load, or the one it has."""
        return self.status.loading_version or self.status.loaded_version

    @property
    def serving(self) -> str:
        """The version that it answers with now, or an empty string."""
        status = self.status
        settled = status.loading_version in ("", status.loaded_version)
        usable = status.ready and status.reachable and not self.leaving
        return status.loaded_version if settled and usable else ""

    @property
    def loading(self) -> bool:
        """Whether it was told to load something and is expected to become ready."""
        return bool(self.target) and self.usable and not self.serving

    @property
    def usable(self) -> bool:
        """Whether it may be told to load something."""
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
