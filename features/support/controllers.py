"""Controllers over an in-memory group, simulated runners and a weight store, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from expression import Ok
from twisted.internet.defer import Deferred

from rainsail.control.controllers.machines import WatchedMachineState
from rainsail.control.controllers.manager import ControllerManager
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.resources.specs import (
    AdapterSpec,
    Kind,
    ModelVersionSpec,
    Resource,
    ResourceKey,
    RunnerSpec,
    RunnerStatus,
    ServiceSpec,
    Spec,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import ANY_REVISION, Command, CommandOutcome, PutResource, PutStatus
from rainsail.state.machine import ReplicatedState

COMMIT_DELAY_S = 0.01
REPORT_LAG_S = 0.3
VERSION_BYTES = 100


class InMemoryGroup:
    """A group of one replica whose commits take ``COMMIT_DELAY_S``."""

    group = 0

    def __init__(self, clock: VirtualClock, state: ReplicatedState) -> None:
        self._clock = clock
        self._state = state
        self._index = 0
        self._leads = True
        self._applied: list[Callable[[int], None]] = []
        self._leadership: list[Callable[[bool], None]] = []
        self.proposed: list[Command] = []
        self.before_apply: Callable[[Command], None] | None = None

    def is_leader(self) -> bool:
        """Tell whether the group is led here."""
        return self._leads

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Register a listener."""
        self._applied.append(listener)

    def on_leadership(self, listener: Callable[[bool], None]) -> None:
        """Register a listener."""
        self._leadership.append(listener)

    def lead(self, leads: bool) -> None:
        """Gain or lose the leadership."""
        self._leads = leads
        for listener in self._leadership:
            listener(leads)

    def propose(self, command: Command) -> Deferred:
        """Commit a controller's command after the delay."""
        self.proposed.append(command)
        done: Deferred = Deferred()
        self._clock.callLater(COMMIT_DELAY_S, self._commit, command, done)
        return done

    def _commit(self, command: Command, done: Deferred) -> None:
        if self.before_apply is not None:
            self.before_apply(command)
        outcome = self.apply(command)
        done.callback(Ok((self._index, outcome)))

    def apply(self, command: Command) -> CommandOutcome:
        """Apply a command at once, as if another process had proposed it."""
        self._index += 1
        outcome = self._state.apply(self._index, command)
        for listener in self._applied:
            listener(self._index)
        return outcome


@dataclass
class Engine:
    """The actual state of one runner's engine: the version it serves and the load in progress."""

    version: str = ""
    loading: str = ""
    fence: int = 0
    sequence: int = 0


class MachineList:
    """A machine list whose states the test sets."""

    def __init__(self) -> None:
        self.states: dict[str, WatchedMachineState] = {}

    def machine_state(self, name: str) -> WatchedMachineState | None:
        """Return the state that was set, or None."""
        return self.states.get(name)


class Fleet:
    """Controllers over a state, with simulated gateways that carry out the load orders of runners.

    An engine serves no requests from the load order until the weights are loaded: the worst case
    for the last ready runner. ``load_s`` is how long a load takes, ``bad_versions`` never become
    ready.
    """

    def __init__(self, **settings: float) -> None:
        self.clock = VirtualClock()
        self.state = ReplicatedState()
        self.group = InMemoryGroup(self.clock, self.state)
        self.machines = MachineList()
        self.settings = ReconcilerSettings(**settings)
        self.manager = ControllerManager(
            self.group,
            self.state,
            self.clock,
            Random(7),
            self.settings,
            self.clock.seconds,
            self.machines,
        )
        self.engines: dict[str, Engine] = {}
        self.load_s = 10.0
        self.bad_versions: tuple[str, ...] = ()
        self.most_loads = 0
        self.fewest_answering: dict[str, int] = {}
        self.group.on_applied(self._run_owners)
        self.manager.start()

    # --- what operators declare ---

    def put(self, kind: Kind, name: str, spec: Spec) -> None:
        """Create or replace a resource."""
        self.group.apply(PutResource("", ResourceKey(kind, name), spec))

    def declare_service(self, service: str, version: str, runners: int) -> None:
        """Declare a service with its active version, and the version itself."""
        self.put(Kind.MODEL_VERSION, version, ModelVersionSpec(service, "file", VERSION_BYTES))
        self.put(Kind.SERVICE, service, ServiceSpec(version, runners))

    def declare_runners(self, service: str, count: int) -> None:
        """Declare a service's runners."""
        for number in range(count):
            self.declare_runner(service, f"{service}-{number}")

    def declare_runner(self, service: str, name: str, drain: bool = False) -> None:
        """Declare one runner."""
        spec = RunnerSpec("http://127.0.0.1:9", "south", "south-a", service, drain)
        self.engines.setdefault(name, Engine())
        self.put(Kind.RUNNER, name, spec)

    def declare_adapter(self, service: str, name: str) -> None:
        """Declare an adapter."""
        self.put(Kind.ADAPTER, name, AdapterSpec(service, "file", VERSION_BYTES))

    # --- reads ---

    def resource(self, kind: Kind, name: str) -> Resource:
        """Return a resource that must exist."""
        resource = self.state.get(ResourceKey(kind, name))
        assert resource is not None, f"no {kind} {name}"
        return resource

    def status(self, runner: str) -> RunnerStatus:
        """Return a runner's status."""
        status = self.resource(Kind.RUNNER, runner).status
        return status if isinstance(status, RunnerStatus) else RunnerStatus()

    def conditions(self, kind: Kind, name: str) -> dict[str, tuple[bool, int]]:
        """Return value and revision of each condition."""
        resource = self.resource(kind, name)
        return {each.type: (each.value, each.revision) for each in resource.conditions}

    def versions(self, service: str) -> list[str]:
        """Return the version that each engine of a service serves, in name order."""
        own = [name for name in sorted(self.engines) if name.startswith(f"{service}-")]
        return [self.engines[name].version for name in own]

    # --- the gateways that own the runners ---

    def _run_owners(self, index: int) -> None:
        for name, engine in self.engines.items():
            if self.state.get(ResourceKey(Kind.RUNNER, name)) is not None:
                self._take_order(name, engine)
        self._note_answering()

    def _take_order(self, name: str, engine: Engine) -> None:
        status = self.status(name)
        assert status.fence >= engine.fence, f"the fence of {name} fell"
        wanted = status.loading_version
        if status.fence == engine.fence or not wanted:
            return
        engine.fence = status.fence
        if wanted == engine.loading:
            return
        engine.version = ""
        engine.loading = wanted
        engine.sequence += 1
        loads = sum(1 for each in self.engines.values() if each.loading)
        self.most_loads = max(self.most_loads, loads)
        self.clock.callLater(REPORT_LAG_S, self.report, name)
        if wanted not in self.bad_versions:
            self.clock.callLater(self.load_s, self._loaded, name, engine, engine.sequence)

    def _loaded(self, name: str, engine: Engine, sequence: int) -> None:
        if sequence != engine.sequence:
            return
        engine.version = engine.loading
        engine.loading = ""
        self.report(name)

    def report(self, name: str, reachable: bool = True) -> None:
        """Report an engine's actual state, as the gateway that owns it does."""
        engine = self.engines[name]
        resource = self.resource(Kind.RUNNER, name)
        loading = self.status(name).loading_version
        status = replace(
            self.status(name),
            loaded_version=engine.version,
            loading_version="" if loading == engine.version else loading,
            ready=bool(engine.version),
            reachable=reachable,
        )
        self.group.apply(PutStatus(resource.key, status, resource.conditions, ANY_REVISION))

    def _note_answering(self) -> None:
        for service in self.state.list_resources(Kind.SERVICE):
            name = service.key.name
            answering = sum(1 for version in self.versions(name) if version)
            if answering or name in self.fewest_answering:
                fewest = self.fewest_answering.get(name, answering)
                self.fewest_answering[name] = min(fewest, answering)
