"""Gateways over emulated engines and one in-memory control group, on the virtual clock."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from expression import Error, Ok
from twisted.internet.defer import Deferred

from rainsail.control.messages import QuotaReport, QuotaShare, QuotaShares, SessionRequest
from rainsail.emulator.answers import expected_answer
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import Answer, CallerRequest, RequestHandle
from rainsail.gateway.runner_reconciler import RunnerReconciler
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ModelVersionSpec,
    RequestClass,
    ResourceKey,
    RunnerSpec,
    ServiceSpec,
    SessionSpec,
    TenantSpec,
)
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.engine_link import EngineNetwork, SimulatedEngineClient
from rainsail.state.commands import PutResource
from rainsail.state.machine import ReplicatedState

SERVICE = "assistant"
V1_BYTES = 8 * 10**9
"""Size of the version's weights; loading takes 4 s at the emulated store's rate."""
COARSE_TOKENS_PER_CHUNK = 8
"""Tokens per chunk for tests that check only times: fewer events with the same times."""
WIDE_TOKENS_PER_S = 1e9


class GroupDouble(LocalControl):
    """An in-memory control group that serves sessions and lends a fixed share of each quota."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__({0: ReplicatedState()}, clock)
        self.lent_fraction = 0.8
        self.unreachable = False
        self._handlers[SessionRequest] = self._read_session
        self._handlers[QuotaReport] = self._lend

    def call(self, request: Any, timeout_s: float) -> "Deferred[Any]":
        """Answer, or fail with TIMEOUT when control is unreachable."""
        return self._time_out(timeout_s) if self.unreachable else super().call(request, timeout_s)

    def propose(self, command: Any, timeout_s: float, group: int = 0) -> "Deferred[Any]":
        """Commit, or fail with TIMEOUT without a commit when control is unreachable."""
        return (
            self._time_out(timeout_s) if self.unreachable else super().propose(command, timeout_s)
        )

    def _time_out(self, timeout_s: float) -> "Deferred[Any]":
        done: Deferred[Any] = Deferred()
        fault = Fault(FaultCode.TIMEOUT, "control", "unreachable", outcome=Outcome.UNKNOWN)
        self._clock.callLater(timeout_s, done.callback, Error(fault))
        return done

    def _answer(self, handler: Any, request: Any, done: "Deferred[Any]") -> None:
        reply = handler(request, self.states[request.group])
        done.callback(Error(reply) if isinstance(reply, Fault) else Ok(reply))

    def _read_session(self, request: SessionRequest, state: ReplicatedState) -> Any:
        view = state.session(request.session)
        return view or Fault(FaultCode.NOT_FOUND, "control.session", request.session)

    def _lend(self, request: QuotaReport, state: ReplicatedState) -> QuotaShares:
        shares = []
        for tenant in state.list_resources(Kind.TENANT):
            assert isinstance(tenant.spec, TenantSpec)
            rate = tenant.spec.tokens_per_second * self.lent_fraction
            burst = tenant.spec.burst_tokens * self.lent_fraction
            shares.append(QuotaShare(tenant.key.name, rate, burst))
        return QuotaShares(tuple(shares), 4.0)


@dataclass
class Caller:
    """A caller that records all it receives; implements ``ResponseSink``."""

    clock: VirtualClock
    request: CallerRequest
    sent_s: float
    handle: RequestHandle | None = None
    parts: list[str] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    first_part_s: float | None = None
    ended_s: float | None = None

    def on_part(self, text: str, tokens: int) -> None:
        """Record a part."""
        assert self.ended_s is None, "a part came after the end"
        if self.first_part_s is None:
            self.first_part_s = self.clock.seconds()
        self.parts.append(text)

    def on_answer(self, answer: Answer) -> None:
        """Record the answer."""
        self._end()
        self.answers.append(answer)

    def on_fault(self, fault: Fault) -> None:
        """Record the fault."""
        self._end()
        self.faults.append(fault)

    def _end(self) -> None:
        assert self.ended_s is None, "the request ended twice"
        self.ended_s = self.clock.seconds()

    @property
    def text(self) -> str:
        """The streamed text."""
        return "".join(self.parts)

    @property
    def took_s(self) -> float:
        """Seconds from sending to the end."""
        assert self.ended_s is not None, f"{self.request.request_id} has not ended yet"
        return self.ended_s - self.sent_s

    def is_complete(self) -> bool:
        """Return whether the answer and the streamed parts equal the model's answer."""
        request = self.request
        wanted = expected_answer(request.model, request.prompt, request.max_tokens, request.seed)
        return bool(self.answers) and self.answers[0].text == wanted == self.text


@dataclass
class GatewayProcess:
    """The components of one gateway."""

    name: str
    clock: SkewedClock
    config: LocalConfig
    engine: SimulatedEngineClient
    fleet: RunnerFleet
    core: GatewayCore
    reconciler: RunnerReconciler


class GatewayFleet:
    """Runners, gateways and their callers."""

    def __init__(
        self,
        runners: int = 3,
        gateways: int = 1,
        slots: int = 8,
        settings: GatewaySettings | None = None,
        engine_settings: EngineSettings | None = None,
        preload: str = "v1",
        zones: int = 1,
    ) -> None:
        self.clock = VirtualClock()
        self.settings = settings or GatewaySettings()
        self.control = GroupDouble(self.clock)
        self.state = self.control.states[0]
        self.network = EngineNetwork(self.clock)
        self.weight_store = WeightStore(self.clock)
        self.engines: dict[str, EmulatedEngine] = {}
        self.gateways: list[GatewayProcess] = []
        self.callers: list[Caller] = []
        self.calls: dict[str, int] = {}
        self._changes = 0
        self.put(Kind.SERVICE, SERVICE, ServiceSpec("v1", runners))
        self.put(Kind.MODEL_VERSION, "v1", ModelVersionSpec(SERVICE, "weights", V1_BYTES))
        self.put(Kind.TENANT, "hotel", TenantSpec(WIDE_TOKENS_PER_S, WIDE_TOKENS_PER_S))
        for index in range(runners):
            self._add_engine(index, index % zones, slots, engine_settings, preload)
        for index in range(gateways):
            name = f"gateway-{index}"
            self.put(Kind.GATEWAY, name, GatewaySpec("r", f"z{index % zones}", "1"))
        for index in range(gateways):
            self.gateways.append(self._gateway(f"gateway-{index}", f"z{index % zones}"))
        self.run(1.5)

    def _add_engine(
        self, index: int, zone: int, slots: int, settings: EngineSettings | None, preload: str
    ) -> None:
        name = f"runner-{index}"
        address = f"engine-{index}"
        self.put(
            Kind.RUNNER, name, RunnerSpec(address, "r", f"z{zone}", SERVICE, batch_slots=slots)
        )
        settings = settings or EngineSettings.language_model(max_running=2 * slots)
        engine = EmulatedEngine(name, self.clock, Random(index), settings, self.weight_store)
        if preload:
            engine.preload(preload)
        self.engines[name] = engine
        self.network.add(address, engine)

    def _gateway(self, name: str, zone: str) -> GatewayProcess:
        clock = SkewedClock(self.clock)
        random = Random(len(self.gateways) + 7)
        config = LocalConfig(self.state)
        engine = SimulatedEngineClient(name, self.network, clock, Random(2))
        settings = self.settings
        fleet = RunnerFleet(name, zone, config, engine, clock, random, settings)
        control = self.control
        core = GatewayCore(name, "1", zone, config, control, engine, fleet, clock, random, settings)
        reconciler = RunnerReconciler(fleet, config, control, engine, clock, random, settings)
        fleet.start()
        core.start()
        reconciler.start()
        return GatewayProcess(name, clock, config, engine, fleet, core, reconciler)

    # --- driving --------------------------------------------------------------------------------

    def put(self, kind: Kind, name: str, spec: Any) -> None:
        """Change a resource and publish it to every gateway."""
        self._changes += 1
        change = PutResource(f"change-{self._changes}", ResourceKey(kind, name), spec)
        self.control.apply(change)
        self.publish()

    def publish(self) -> None:
        """Publish the changes so far to every gateway."""
        for gateway in self.gateways:
            gateway.config.publish()

    def run(self, seconds: float) -> None:
        """Advance the virtual time and publish configuration changes periodically."""
        end_s = self.clock.seconds() + seconds
        while self.clock.seconds() < end_s:
            self.clock.run_until(min(end_s, self.clock.seconds() + 0.1))
            self.publish()

    def ask(
        self,
        request_id: str,
        gateway: int = 0,
        tokens: int = 40,
        prompt: str = "",
        tenant: str = "hotel",
        class_: RequestClass | None = None,
        session: str = "",
        deadline_s: float = 0.0,
    ) -> Caller:
        """Submit a request and return its caller."""
        request = CallerRequest(
            request_id,
            tenant,
            SERVICE,
            prompt or f"where is container {request_id}? ",
            tokens,
            class_,
            session,
            deadline_s=deadline_s,
        )
        caller = Caller(self.clock, request, self.clock.seconds())
        self.callers.append(caller)
        caller.handle = self.gateways[gateway].core.submit(request, caller)
        return caller

    def count_calls(self, method: str) -> None:
        """Count the calls of an engine client's method, at every gateway, from now on."""
        self.calls[method] = 0
        for gateway in self.gateways:
            self._count_calls(gateway.engine, method)

    def _count_calls(self, engine: SimulatedEngineClient, method: str) -> None:
        called = getattr(engine, method)

        def count(*arguments: Any) -> Any:
            self.calls[method] += 1
            return called(*arguments)

        setattr(engine, method, count)

    def open_session(self, name: str, tenant: str = "hotel") -> None:
        """Create a session resource."""
        self.put(Kind.SESSION, name, SessionSpec(tenant, SERVICE))

    def runs_of(self, request_id: str) -> int:
        """Return the number of times that engines started a request."""
        return sum(
            1
            for engine in self.engines.values()
            for record in engine.executions
            if record.request_id == request_id
        )

    def runner_of(self, request_id: str) -> str:
        """Return the runner that started a request most recently."""
        found = [
            (record.started_s, engine.runner)
            for engine in self.engines.values()
            for record in engine.executions
            if record.request_id == request_id
        ]
        return max(found)[1]
