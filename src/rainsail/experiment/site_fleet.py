"""A site's fleet on the virtual clock: real gateways and dispatchers before emulated engines."""

from dataclasses import dataclass
from random import Random

from rainsail.batch.dispatcher import BatchDispatcher
from rainsail.batch.intake import JobIntake
from rainsail.batch.policies import make_policy
from rainsail.batch.prefill_meter import OnlinePrefillMeter
from rainsail.batch.settings import BatchSettings
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.experiment.metered_engine import MeteredEngine
from rainsail.experiment.sites import SitePreset
from rainsail.experiment.workload import TENANTS, Workload
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    RunnerSpec,
    ServiceSpec,
    SessionSpec,
    TenantSpec,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.engine_link import SimulatedEngineClient
from rainsail.simulation.engine_network import EngineNetwork
from rainsail.state.machine import ReplicatedState

REGION = "site"
VERSION = "v1"
UNLIMITED_TOKENS = 1e9
"""Tokens per second of each tenant: the experiment measures scheduling, not limits."""


@dataclass(frozen=True, slots=True)
class SiteGateway:
    """One gateway of the site."""

    name: str
    zone: int
    core: GatewayCore
    intake: JobIntake
    dispatcher: BatchDispatcher


class SiteFleet:
    """Builds and starts everything of a site for one policy."""

    def __init__(
        self, site: SitePreset, seed: int, workload: Workload, settings: BatchSettings
    ) -> None:
        self.site = site
        self.clock = VirtualClock()
        self.state = ReplicatedState()
        self.control = LocalControl({0: self.state}, self.clock)
        self.network = EngineNetwork(self.clock)
        self.model_engines: list[MeteredEngine] = []
        self._seed = seed
        self._settings = settings
        self._weights = WeightStore(self.clock)
        self._declare_resources(workload)
        self._add_engines()
        self.gateways = [self._add_gateway(name, zone) for name, zone in self._gateway_names()]
        self.control.start()

    def _random(self, part: str) -> Random:
        return Random(f"{self.site.name}/{self._seed}/fleet/{part}")

    # --- resources ------------------------------------------------------------------------

    def _declare_resources(self, workload: Workload) -> None:
        site = self.site
        self.control.put(Kind.SERVICE, site.model_service, ServiceSpec(VERSION, site.model_runners))
        self.control.put(Kind.SERVICE, site.ping_service, ServiceSpec(VERSION, site.ping_runners))
        for tenant in TENANTS:
            self.control.put(Kind.TENANT, tenant, TenantSpec(UNLIMITED_TOKENS, UNLIMITED_TOKENS))
        for name, zone in self._gateway_names():
            self.control.put(Kind.GATEWAY, name, GatewaySpec(REGION, _zone_name(zone), f"{name}/1"))
        for session in workload.sessions:
            self.control.put(
                Kind.SESSION, session.name, SessionSpec(session.tenant, session.service)
            )

    def _gateway_names(self) -> list[tuple[str, int]]:
        return [
            (f"gateway-{zone}-{number}", zone)
            for zone in range(self.site.zones)
            for number in range(self.site.gateways_per_zone)
        ]

    # --- engines --------------------------------------------------------------------------

    def _add_engines(self) -> None:
        site = self.site
        for index in range(site.model_runners):
            engine = self._add_engine(site.model_service, index, site.model_engine)
            self.model_engines.append(engine)
        for index in range(site.ping_runners):
            self._add_engine(site.ping_service, index, site.ping_engine)

    def _add_engine(self, service: str, index: int, settings: EngineSettings) -> MeteredEngine:
        runner = f"{service}-{index}"
        zone = index % self.site.zones
        engine = MeteredEngine(runner, self.clock, self._random(runner), settings, self._weights)
        engine.preload(VERSION)
        self.network.add(runner, engine)
        spec = RunnerSpec(
            runner, REGION, _zone_name(zone), service, batch_slots=settings.max_running
        )
        self.control.put(Kind.RUNNER, runner, spec)
        for gateway, gateway_zone in self._gateway_names():
            if gateway_zone != zone:
                self.network.set_extra_delay(gateway, runner, self.site.zone_delay_s)
        return engine

    # --- gateways -------------------------------------------------------------------------

    def _add_gateway(self, name: str, zone: int) -> SiteGateway:
        clock, control = self.clock, self.control
        config = LocalConfig(self.state)
        engine = SimulatedEngineClient(name, self.network, clock, self._random(f"{name}/links"))
        settings = GatewaySettings()
        fleet = RunnerFleet(
            name,
            _zone_name(zone),
            config,
            engine,
            clock,
            self._random(f"{name}/fleet"),
            settings,
        )
        prefill = OnlinePrefillMeter(engine, fleet.cached_tokens)
        core = GatewayCore(
            name,
            "1",
            _zone_name(zone),
            config,
            control,
            prefill,
            fleet,
            clock,
            self._random(f"{name}/core"),
            settings,
        )
        dispatcher = BatchDispatcher(
            f"{name}/1",
            fleet,
            config,
            control,
            engine,
            clock,
            self._random(f"{name}/dispatcher"),
            self._settings,
            make_policy(self._settings),
            prefill,
        )
        random = self._random(f"{name}/intake")
        intake = JobIntake(control, clock, random, self._settings, clock.seconds)
        fleet.start()
        core.start()
        dispatcher.start()
        return SiteGateway(name, zone, core, intake, dispatcher)


def _zone_name(zone: int) -> str:
    return f"zone-{zone}"
