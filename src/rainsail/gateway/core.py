"""The gateway's core: accepts typed requests, answers through sinks, and drains."""

from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.engine.interface import EngineClient
from rainsail.errors import Fault, FaultCode
from rainsail.gateway import drain
from rainsail.gateway.admission import Admission
from rainsail.gateway.admission_queues import Slots
from rainsail.gateway.cancellation import Canceller
from rainsail.gateway.claims import ClaimClient
from rainsail.gateway.decision_ring import DecisionRing
from rainsail.gateway.drain import DrainReport, RequestName
from rainsail.gateway.eligibility import SlotCounts
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import CallerRequest, RequestHandle, ResponseSink
from rainsail.gateway.quota import TenantQuotas
from rainsail.gateway.refusals import lease_expired
from rainsail.gateway.request_run import RequestRun
from rainsail.gateway.router import RouteDecision
from rainsail.gateway.run_context import RunContext
from rainsail.gateway.sessions import SessionKeeper
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import GatewaySpec, Kind, RequestClass, ResourceKey, ServiceSpec
from rainsail.runtime.clock import Clock

STEP = "gateway.core"
SWEEP_PERIOD_S = 1.0
"""Interval of checks for stalled streams; short compared with the stall timeout."""
DRAIN_CHECK_S = 0.05
"""Interval of checks whether a draining gateway has finished."""


class RefusedHandle:
    """The handle of a request that was refused on submission; its methods do nothing."""

    def abandon(self) -> None:
        """Do nothing."""

    def pause(self) -> None:
        """Do nothing."""

    def unpause(self) -> None:
        """Do nothing."""


class GatewayCore:
    """Implements ``rainsail.gateway.interface.Gateway``."""

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        zone: str,
        config: ConfigReader,
        control: ControlClient,
        engine: EngineClient,
        fleet: RunnerFleet,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
    ) -> None:
        self._config = config
        self._fleet = fleet
        self._clock = clock
        self._settings = settings
        self._quotas = TenantQuotas(gateway, config, control, clock, random, settings.admission)
        holder = f"{gateway}/{incarnation}"
        decisions = DecisionRing(settings.routing.explained_decisions)
        self._context = RunContext(
            gateway=gateway,
            incarnation=incarnation,
            zone=zone,
            config=config,
            engine=engine,
            fleet=fleet,
            admission=Admission(self._quotas, self._slots, clock, settings.admission),
            claims=ClaimClient(control, settings.retry),
            sessions=SessionKeeper(
                holder, zone, config, control, engine, fleet, clock, random, settings, decisions
            ),
            canceller=Canceller(engine, clock),
            decisions=decisions,
            clock=clock,
            random=random,
            settings=settings,
        )
        self._slot_counts = SlotCounts(settings.admission.slots_per_runner)
        self._runs: dict[RequestRun, None] = {}
        self._drain_started_s: float | None = None
        self._drained: Deferred[DrainReport] | None = None
        self._drain_result: DrainReport | None = None
        self._finished_in_drain = 0
        self._stopped = False
        fleet.on_change(self._runner_changed)
        fleet.on_restart(self._engine_restarted)

    def start(self) -> None:
        """Start reporting demand and checking for stalled streams."""
        self._quotas.start(self._context.admission.pump_all)
        self._context.sessions.start()
        self._clock.callLater(SWEEP_PERIOD_S, self._sweep)

    def stop(self) -> None:
        """Stop at once; for a graceful stop call ``drain`` first."""
        self._stopped = True
        self._quotas.stop()

    # --- requests -------------------------------------------------------------------------------

    def submit(self, request: CallerRequest, sink: ResponseSink) -> RequestHandle:
        """Start a request; it may be answered before this returns."""
        fault = self._refusal(request)
        if fault is not None:
            sink.on_fault(fault)
            return RefusedHandle()
        run = RequestRun(self._context, request, self._class_of(request), sink, self._ended)
        self._runs[run] = None
        run.start()
        return run

    def explain(self, request_id: str, tenant: str = "") -> tuple[RouteDecision, ...]:
        """Return the stored routing decisions for a request (of ``tenant``, when given)."""
        return self._context.decisions.explain(request_id, tenant)

    @property
    def in_progress(self) -> int:
        """Number of requests without their final answer or fault."""
        return len(self._runs)

    @property
    def requests_waiting(self) -> int:
        """Number of requests waiting for a slot or for their tenant's quota."""
        return self._context.admission.waiting_everywhere()

    @property
    def sessions_held(self) -> int:
        """Number of sessions whose highest fence this gateway holds."""
        return len(self._context.sessions.held())

    @property
    def retries_left(self) -> float:
        """Remaining retries of the service with the smallest retry budget."""
        budgets = [budget.saved for budget in self._context.budgets.values()]
        return min(budgets, default=self._settings.retry.budget_burst)

    def _refusal(self, request: CallerRequest) -> Fault | None:
        if self._drain_started_s is not None or self._drained_by_resource():
            return drain.stopping_fault(self._settings.drain.retry_after_s)
        if not self._config.ready() or not self._config.lease_valid():
            return lease_expired(STEP)
        if self._config.get(ResourceKey(Kind.SERVICE, request.model)) is None:
            return Fault(FaultCode.NOT_FOUND, STEP, f"no service {request.model}")
        if self._config.get(ResourceKey(Kind.TENANT, request.tenant)) is None:
            return Fault(FaultCode.FORBIDDEN, STEP, f"no tenant {request.tenant}")
        if request.max_tokens <= 0:
            return Fault(FaultCode.INVALID, STEP, "max_tokens must be above 0")
        return None

    def _drained_by_resource(self) -> bool:
        own = self._config.get(ResourceKey(Kind.GATEWAY, self._context.gateway))
        return own is not None and isinstance(own.spec, GatewaySpec) and own.spec.drain

    def _class_of(self, request: CallerRequest) -> RequestClass:
        if request.class_ is not None:
            return request.class_
        service = self._config.get(ResourceKey(Kind.SERVICE, request.model))
        if service is not None and isinstance(service.spec, ServiceSpec):
            return service.spec.default_class
        return RequestClass.ONLINE

    def _slots(self, service: str) -> Slots:
        now_s = self._clock.seconds()
        runners = self._fleet.eligible(service, batch=False)
        return self._slot_counts.get(service, runners, now_s)

    def _ended(self, run: RequestRun) -> None:
        self._runs.pop(run, None)
        if self._drain_started_s is not None:
            self._finished_in_drain += 1

    # --- events ---------------------------------------------------------------------------------

    def _runner_changed(self, runner: str) -> None:
        state = self._fleet.runner(runner)
        if state is not None and self._context.admission.waiting(state.spec.service):
            self._context.admission.pump(state.spec.service)

    def _engine_restarted(self, runner: str) -> None:
        for run in list(self._runs):
            run.attempt.engine_restarted(runner)

    def _sweep(self) -> None:
        if self._stopped:
            return
        now_s = self._clock.seconds()
        for run in list(self._runs):
            run.attempt.check_stalled(now_s)
        self._clock.callLater(SWEEP_PERIOD_S, self._sweep)

    # --- drain ----------------------------------------------------------------------------------

    def drain(self) -> "Deferred[DrainReport]":
        """Refuse new work; fire when the last request has ended or the grace time is over."""
        if self._drain_result is not None:
            return succeed(self._drain_result)
        done: Deferred[DrainReport] = Deferred()
        if self._drained is not None:
            self._drained.addCallback(lambda report: self._pass_on(report, done))
            return done
        self._drained = done
        self._drain_started_s = self._clock.seconds()
        self._check_drained()
        return done

    @staticmethod
    def _pass_on(report: DrainReport, other: Any) -> DrainReport:
        other.callback(report)
        return report

    def _check_drained(self) -> None:
        assert self._drain_started_s is not None and self._drained is not None
        waited_s = self._clock.seconds() - self._drain_started_s
        running = sorted(
            RequestName(run.caller.tenant, run.caller.request_id) for run in self._runs
        )
        grace_s = self._settings.drain.grace_s
        aborted = drain.requests_to_abort(running, waited_s, grace_s)
        if running and not aborted:
            self._clock.callLater(DRAIN_CHECK_S, self._check_drained)
            return
        finished = self._finished_in_drain
        for run in list(self._runs):
            run.abort(f"the gateway's grace time of {grace_s:g} s has passed")
        for name in aborted:
            drain.log_aborted(name, grace_s)
        self._drain_result = DrainReport(finished, aborted, waited_s)
        self._drained.callback(self._drain_result)
