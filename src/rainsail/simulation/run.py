"""One simulated run: a site, a seed and a fault plan in; a history and its judgement out."""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass

from rainsail.errors import Outcome
from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.engine_events import with_executions
from rainsail.experiment.history import (
    AnswerReceived,
    FaultsEnded,
    History,
    RequestSent,
    RunEnded,
)
from rainsail.experiment.item_counts import count_items
from rainsail.resources.specs import (
    Kind,
    ModelVersionSpec,
    ResourceKey,
    RunnerSpec,
    ServiceSpec,
    Spec,
    TenantSpec,
)
from rainsail.simulation.actors import job_clients
from rainsail.simulation.fault_plan import FaultPlan, draw_plan
from rainsail.simulation.fleet import SimulatedFleet, engine_address
from rainsail.simulation.injector import FaultInjector
from rainsail.simulation.site_plan import WEIGHT_BYTES, SitePlan
from rainsail.state.commands import MUST_NOT_EXIST

FAULT_SHARE = 0.6
"""Share of the run's time in which failures may be under way."""
TRAFFIC_SHARE = 0.85
"""Share of the run's time in which users start new work."""
SETTLE_LIMIT_S = 120.0
"""Virtual time after the run in which everything accepted has to complete."""
SETTLE_STEP_S = 5.0
WAIT_LOOK_PERIOD_S = 0.1
WAIT_RECORD_LIMIT_S = 0.3
DECLARE_AT_S = 0.5
TRAFFIC_AT_S = 8.0
TENANT_TOKENS_PER_S = 50_000.0
TENANT_BURST_TOKENS = 200_000.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """What a run came to; ``to_json`` is the command's last line."""

    seed: int
    site: str
    history_sha256: str
    violations: tuple[Violation, ...]
    faults: dict[str, int]
    accepted_items: int
    completed_items: int
    cancelled_items: int
    online_requests: int
    not_run: int
    unknown: int

    def to_json(self) -> str:
        """Return the result as one JSON object."""
        return json.dumps(asdict(self))


class SimulationRun:
    """Runs a site for some virtual minutes under a plan of failures."""

    def __init__(self, site: SitePlan, seed: int, minutes: float) -> None:
        self.history = History()
        self.fleet = SimulatedFleet(site, seed, self.history)
        self._site = site
        self._seed = seed
        self._end_s = minutes * 60.0

    def drawn_plan(self) -> FaultPlan:
        """Draw this seed's failures of all kinds."""
        draw = self.fleet.world.random_for("plan")
        return draw_plan(draw, self.fleet.targets(), self._end_s * FAULT_SHARE)

    def run(
        self, plan: FaultPlan, progress: Callable[[float], None] = lambda seconds: None
    ) -> RunResult:
        """Run to the end, settle, check; ``progress`` hears the virtual seconds done."""
        injector = FaultInjector(self.fleet)
        job_clients.FAILURES.clear()
        self._start()
        injector.schedule(plan)
        clock = self.fleet.clock
        clock.callLater(self._end_s * TRAFFIC_SHARE, self._stop_traffic)
        now_s = 0.0
        while now_s < self._end_s:
            now_s = min(now_s + SETTLE_STEP_S, self._end_s)
            clock.run_until(now_s)
            progress(now_s)
        self.history.record(FaultsEnded(now_s))
        self.fleet.jobs.read_again()
        complete = self._settle()
        self.history.record(RunEnded(clock.seconds(), complete))
        if job_clients.FAILURES:
            raise RuntimeError(job_clients.FAILURES[0])
        return self._result(injector)

    # --- the course of a run -------------------------------------------------------------

    def _start(self) -> None:
        fleet = self.fleet
        for replica in fleet.replicas.values():
            replica.start()
        for gateway in fleet.gateways.values():
            gateway.start()
        fleet.clock.callLater(DECLARE_AT_S, self._declare_site)
        fleet.clock.callLater(TRAFFIC_AT_S, fleet.callers.start)
        fleet.clock.callLater(TRAFFIC_AT_S, fleet.jobs.start)
        fleet.clock.callLater(TRAFFIC_AT_S, fleet.operators.start)
        fleet.record_waits(WAIT_LOOK_PERIOD_S, WAIT_RECORD_LIMIT_S)

    def _declare_site(self) -> None:
        for key, spec in self._site_resources():
            self.fleet.operators.first.put(key, spec, MUST_NOT_EXIST, key.name)

    def _site_resources(self) -> list[tuple[ResourceKey, Spec]]:
        declared: list[tuple[ResourceKey, Spec]] = []
        for tenant in (*self._site.tenants, "tenant-batch"):
            spec = TenantSpec(TENANT_TOKENS_PER_S, TENANT_BURST_TOKENS)
            declared.append((ResourceKey(Kind.TENANT, tenant), spec))
        for plan in self._site.runners:
            version = f"{plan.service}-v1"
            weights = ModelVersionSpec(plan.service, f"{plan.service}/1", WEIGHT_BYTES)
            declared.append((ResourceKey(Kind.MODEL_VERSION, version), weights))
            service = ServiceSpec(version, plan.count, batch_weight=self._site.batch_weight)
            declared.append((ResourceKey(Kind.SERVICE, plan.service), service))
            for number in range(plan.count):
                name = f"{plan.service}-{number + 1}"
                zone = self.fleet.runner_zone(name)
                runner = RunnerSpec(
                    engine_address(name),
                    self._site.region,
                    zone,
                    plan.service,
                    batch_slots=plan.batch_slots,
                )
                declared.append((ResourceKey(Kind.RUNNER, name), runner))
        return declared

    def _stop_traffic(self) -> None:
        self.fleet.callers.stop()
        self.fleet.jobs.stop()
        self.fleet.operators.stop()

    def _settle(self) -> bool:
        """Run on until every job is finished and every caller answered, or the limit."""
        clock = self.fleet.clock
        limit_s = clock.seconds() + SETTLE_LIMIT_S
        while clock.seconds() < limit_s:
            if self.fleet.jobs.settled() and self.fleet.callers.settled():
                break
            clock.advance(SETTLE_STEP_S)
        return True

    # --- the judgement -------------------------------------------------------------------

    def merged_history(self) -> History:
        """Return the history with the engines' executions put in at their times."""
        return with_executions(self.history, self.fleet.engines.values())

    def _result(self, injector: FaultInjector) -> RunResult:
        history = self.merged_history()
        self.history = history
        items = count_items(history)
        answers = history.of_type(AnswerReceived)
        return RunResult(
            seed=self._seed,
            site=self._site.name,
            history_sha256=history.sha256(),
            violations=tuple(check_history(history)),
            faults=dict(sorted(injector.counts.items())),
            accepted_items=items.accepted,
            completed_items=items.completed,
            cancelled_items=items.cancelled,
            online_requests=len(history.of_type(RequestSent)),
            not_run=sum(1 for event in answers if event.outcome == Outcome.NOT_RUN),
            unknown=sum(1 for event in answers if event.outcome == Outcome.UNKNOWN),
        )
