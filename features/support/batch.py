"""A small batch fleet in virtual time: gateways with dispatchers, and emulated engines."""

from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.batch.dispatcher import BatchDispatcher
from rainsail.batch.intake import JobIntake
from rainsail.batch.policies import make_policy
from rainsail.batch.prefill_meter import OnlinePrefillMeter
from rainsail.batch.settings import BatchSettings
from rainsail.emulator.answers import expected_answer
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import (
    AttemptListener,
    EndReason,
    EngineAttemptEnd,
    GenerateRequest,
    Priority,
)
from rainsail.engine.prefix import CHARACTERS_PER_TOKEN
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ResourceKey,
    RunnerSpec,
    ServiceSpec,
    TenantSpec,
)
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.engine_link import EngineNetwork, SimulatedEngineClient
from rainsail.state.commands import ItemBody, PutResource
from rainsail.state.machine import ReplicatedState

SERVICE = "reports"
DEADLINE_UNIX_S = 86_400.0
POISON = "poison"


class PoisonableEngineClient(SimulatedEngineClient):
    """Ends every attempt with a poison prompt as if the engine had crashed."""

    batch_clock: Any = None

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Start an attempt, unless its prompt would crash the engine."""
        if not request.prompt.startswith(POISON):
            super().generate(address, request, listener)
            return
        end = EngineAttemptEnd(request.attempt_id, EndReason.LOST, 0, 0, 0, "the engine died")
        self.batch_clock.callLater(0.02, listener.on_end, end)


@dataclass
class GatewayProcess:
    """The batch part of one gateway."""

    name: str
    clock: SkewedClock
    config: LocalConfig
    engine: PoisonableEngineClient
    prefill: OnlinePrefillMeter
    fleet: RunnerFleet
    dispatcher: BatchDispatcher


class BatchFleet:
    """Engines, gateways and a simulated control plane."""

    def __init__(
        self,
        runners: int,
        gateways: int = 1,
        policy: str = "preemptive",
        slots: int = 8,
        groups: int = 1,
        **settings: Any,
    ) -> None:
        self.clock = VirtualClock()
        self.settings = BatchSettings(groups=tuple(range(groups)), policy=policy, **settings)
        self.states = {group: ReplicatedState() for group in self.settings.groups}
        self.control = LocalControl(self.states, self.clock)
        self.network = EngineNetwork(self.clock)
        self.engines: list[EmulatedEngine] = []
        self.ends: dict[str, list[EndReason]] = {}
        self.slots = slots
        self._declare(gateways, runners)
        self.gateways = [self._gateway(f"gateway-{index}") for index in range(gateways)]
        self.intake = JobIntake(
            self.control, self.clock, Random(3), self.settings, self.clock.seconds
        )
        self.control.start()
        self.run(1.5)

    def _declare(self, gateways: int, runners: int) -> None:
        for group in self.settings.groups:
            self._put(Kind.SERVICE, SERVICE, ServiceSpec("v1", runners), group)
        for tenant in ("broker", "exporter"):
            self._put(Kind.TENANT, tenant, TenantSpec(1e9, 1e9))
        for index in range(gateways):
            name = f"gateway-{index}"
            self._put(Kind.GATEWAY, name, GatewaySpec("r", f"z{index}", f"{name}/1"))
        for index in range(runners):
            zone = f"z{index % gateways}"
            spec = RunnerSpec(f"engine-{index}", "r", zone, SERVICE, batch_slots=self.slots)
            self._put(Kind.RUNNER, f"runner-{index}", spec)
            self._engine(f"runner-{index}", spec.address)

    def _put(self, kind: Kind, name: str, spec: Any, group: int = 0) -> None:
        self.control.apply(PutResource(f"{kind}/{name}", ResourceKey(kind, name), spec), group)

    def _engine(self, runner: str, address: str) -> None:
        settings = EngineSettings.language_model(max_running=self.slots)
        engine = EmulatedEngine(runner, self.clock, Random(1), settings, WeightStore(self.clock))
        engine.preload("v1")
        self.engines.append(engine)
        self.network.add(address, engine)

    def _gateway(self, name: str) -> GatewayProcess:
        clock = SkewedClock(self.clock)
        engine = PoisonableEngineClient(name, self.network, clock, Random(2))
        engine.batch_clock = clock
        config = LocalConfig(self.states[0])
        zone = f"z{name.rsplit('-', 1)[1]}"
        fleet = RunnerFleet(name, zone, config, engine, clock, Random(4), GatewaySettings())
        fleet.start()
        prefill = OnlinePrefillMeter(engine, fleet.cached_tokens)
        dispatcher = BatchDispatcher(
            f"{name}/1",
            fleet,
            config,
            self.control,
            engine,
            clock,
            Random(5),
            self.settings,
            make_policy(self.settings),
            prefill,
        )
        dispatcher.start()
        return GatewayProcess(name, clock, config, engine, prefill, fleet, dispatcher)

    # --- simulation -----------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Run virtual time."""
        self.clock.advance(seconds)

    def run_until(self, condition: Any, limit_s: float) -> bool:
        """Run until the condition holds; return False if the limit is reached first."""
        end_s = self.clock.seconds() + limit_s
        while not condition():
            if not self.clock.run_next(end_s):
                return False
        return True

    def answer(self, deferred: "Deferred[Any]", limit_s: float = 60.0) -> Any:
        """Run until a Deferred has fired and return its result."""
        fired: list[Any] = []
        deferred.addBoth(fired.append)
        assert self.run_until(lambda: fired, limit_s), "no answer within the limit"
        return fired[0]

    def items(self, count: int, prompt: str = "report", max_tokens: int = 40) -> Any:
        """Return items with distinct prompts."""
        return tuple(
            ItemBody(f"item-{index}", f"{prompt} {index} " + "seal " * 20, max_tokens)
            for index in range(count)
        )

    def submit(self, items: Any, key: str = "night", tenant: str = "broker") -> Any:
        """Submit a job and return the intake's answer."""
        submitted = self.intake.submit(tenant, key, SERVICE, items, DEADLINE_UNIX_S)
        return self.answer(submitted)

    # --- observation ----------------------------------------------------------------------

    def job(self, job_id: str) -> Any:
        """Return a job from the group that stores it."""
        for state in self.states.values():
            view = state.job(job_id)
            if view is not None:
                return view
        return None

    def rows(self, job_id: str) -> Any:
        """Return every finished item of a job."""
        return self.states[0].results(job_id, 0, 1_000_000)

    def wrong_answers(self, job_id: str, items: Any) -> list[int]:
        """Return the indexes of results that differ from the expected complete answer."""
        return [
            row.index
            for row in self.rows(job_id)
            if row.text
            != expected_answer(SERVICE, items[row.index].prompt, items[row.index].max_tokens, 0)
        ]

    def batch_running(self) -> int:
        """Return the number of attempts that have not ended at the engines."""
        return sum(
            1 for engine in self.engines for record in engine.executions if record.ended_s is None
        )

    def start_online(
        self, gateway: GatewayProcess, runner: str, count: int, prompt_tokens: int = 0
    ) -> None:
        """Send online requests to a runner like the gateway's core."""
        for index in range(count):
            attempt_id = f"online-{self.clock.seconds():.3f}-{index}"
            gateway.fleet.attempt_started(runner, attempt_id, False)
            prompt = f"alarm {index}".ljust(prompt_tokens * CHARACTERS_PER_TOKEN, "?")
            request = GenerateRequest(
                attempt_id, attempt_id, SERVICE, "", prompt, 200, Priority.HIGH
            )
            address = f"engine-{runner.rsplit('-', 1)[1]}"
            gateway.prefill.generate(address, request, _OnlineListener(gateway, runner))


class _OnlineListener:
    """Notifies the fleet of the end of an online attempt."""

    def __init__(self, gateway: GatewayProcess, runner: str) -> None:
        self._gateway = gateway
        self._runner = runner

    def on_chunk(self, chunk: Any) -> None:
        """Take a chunk."""

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Take the end."""
        self._gateway.fleet.attempt_ended(self._runner, end.attempt_id, end.reason)
