"""A gateway over emulated engines on loopback sockets, with a modelled control group.

What a request meets is the product's own: caller API, core, engine client, engine protocol. Only
the control group is modelled, as no step of an online request waits for it.
"""

from random import Random
from typing import Any

from rainsail.batch.intake import JobIntake
from rainsail.batch.settings import BatchSettings
from rainsail.benchmarks.child import LOOPBACK
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.engine_server import EngineServer
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.http_client import HttpEngineClient
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.http_api import CallerApi
from rainsail.gateway.openai.authentication import hash_key
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ModelVersionSpec,
    RunnerSpec,
    ServiceSpec,
    SessionSpec,
    TenantSpec,
)
from rainsail.runtime.clock import MonotonicClock
from rainsail.state.machine import ReplicatedState

SERVICE = "bench"
VERSION = "bench-1"
TENANT = "caller"
API_KEY = "bench-key"
GATEWAY = "gateway-bench"
REGION = "local"
ZONE = "local"
VERSION_BYTES = 10**9
WIDE_TOKENS_PER_S = 1e12
"""A quota that never stands in the way: the limits are benched apart."""
SLOTS_PER_RUNNER = 4096
"""Not measured; chosen so that no request of a bench waits for a slot."""

FAST_ENGINE = EngineSettings(
    step_base_s=0.0005,
    step_per_sequence_s=1e-9,
    prefill_token_s=1e-9,
    prefill_tokens_per_step=1_000_000,
    max_running=SLOTS_PER_RUNNER,
    max_waiting=SLOTS_PER_RUNNER,
    kv_tokens_total=1_000_000_000,
    retain_chunks_s=1.0,
)
"""An engine whose own time hardly counts: half a millisecond an iteration."""
SLOW_ENGINE = FAST_ENGINE.model_copy(update={"step_base_s": 0.5})
"""An engine whose streams stay open: two tokens a second."""


class LoopbackEngines:
    """Emulated engines on ports of their own."""

    def __init__(self, reactor: Any, count: int, settings: EngineSettings) -> None:
        clock = MonotonicClock(reactor)
        store = WeightStore(clock)
        self.ports: list[Any] = []
        for index in range(count):
            name = f"runner-{index}"
            engine = EmulatedEngine(name, clock, Random(index), settings, store)
            engine.preload(VERSION)
            self.ports.append(EngineServer(engine, clock).listen(reactor, LOOPBACK, 0))

    @property
    def addresses(self) -> list[str]:
        """Base URLs of the engines."""
        return [f"http://{LOOPBACK}:{port.getHost().port}" for port in self.ports]

    async def close(self) -> None:
        """Stop listening."""
        for port in self.ports:
            await port.stopListening()


class LoopbackGateway:
    """A gateway and its caller API over given engines."""

    def __init__(self, reactor: Any, engine_addresses: list[str]) -> None:
        clock = MonotonicClock(reactor)
        random = Random(1)
        state = ReplicatedState()
        control = LocalControl({0: state}, clock)
        self._control = control
        self._put_resources(engine_addresses)
        self._config = LocalConfig(state)
        settings = GatewaySettings()
        self._engine = HttpEngineClient(clock, reactor)
        self.fleet = RunnerFleet(GATEWAY, ZONE, self._config, self._engine, clock, random, settings)
        self.core = GatewayCore(
            GATEWAY,
            "1",
            ZONE,
            self._config,
            control,
            self._engine,
            self.fleet,
            clock,
            random,
            settings,
        )
        intake = JobIntake(control, clock, random, BatchSettings(), clock.seconds)
        api = CallerApi(self.core, self._config, intake, CallerApiSettings(), clock.seconds)
        self._engine_count = len(engine_addresses)
        self.fleet.start()
        self.core.start()
        self._port = api.listen(reactor, LOOPBACK, 0)

    def _put_resources(self, engine_addresses: list[str]) -> None:
        put = self._control.put
        put(Kind.SERVICE, SERVICE, ServiceSpec(VERSION, len(engine_addresses)))
        put(Kind.MODEL_VERSION, VERSION, ModelVersionSpec(SERVICE, "weights", VERSION_BYTES))
        key_hashes = (hash_key(API_KEY),)
        tenant = TenantSpec(WIDE_TOKENS_PER_S, WIDE_TOKENS_PER_S, key_hashes=key_hashes)
        put(Kind.TENANT, TENANT, tenant)
        put(Kind.GATEWAY, GATEWAY, GatewaySpec(REGION, ZONE, "1"))
        for index, address in enumerate(engine_addresses):
            runner = RunnerSpec(address, REGION, ZONE, SERVICE, batch_slots=SLOTS_PER_RUNNER)
            put(Kind.RUNNER, f"runner-{index}", runner)

    def open_sessions(self, count: int) -> list[str]:
        """Create session resources; return their names."""
        first = len(self._config.list_resources(Kind.SESSION))
        names = [f"session-{index}" for index in range(first, first + count)]
        for name in names:
            self._control.put(Kind.SESSION, name, SessionSpec(TENANT, SERVICE))
        self._config.publish()
        return names

    @property
    def address(self) -> str:
        """Base URL of the caller API."""
        return f"http://{LOOPBACK}:{self._port.getHost().port}"

    def is_ready(self) -> bool:
        """Tell whether every engine has reported and may get work."""
        return len(self.fleet.eligible(SERVICE, batch=False)) == self._engine_count

    async def close(self) -> None:
        """Stop at once and close the port."""
        self.core.stop()
        self.fleet.stop()
        await self._port.stopListening()
        await self._engine.close()
