"""Reconciles the runners that this gateway owns.

Sends fenced orders that bring an engine to its wanted state, and writes the observed status.
"""

from dataclasses import dataclass, replace
from random import Random

from expression import Result

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.engine.interface import EngineClient, EngineOrder, OrderKind, OrderReply
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    AdapterSpec,
    Kind,
    ModelVersionSpec,
    ResourceKey,
    RunnerRole,
    RunnerStatus,
)
from rainsail.runtime.clock import Clock
from rainsail.state.commands import CommandOutcome, PutStatus

FOREVER_S = float("inf")


def required_orders(
    status: RunnerStatus,
    loaded_version: str,
    loading_version: str,
    adapters: tuple[str, ...],
    weight_bytes: dict[str, int],
) -> tuple[EngineOrder, ...]:
    """Return the orders that bring an engine to the state wanted by its runner's status. Pure.

    There is no order to unload a version: the engine replaces it when the next one is loaded.
    """
    fence = status.fence
    wanted = status.loading_version
    if wanted and wanted not in (loaded_version, loading_version):
        return (EngineOrder(fence, OrderKind.LOAD_VERSION, wanted, weight_bytes.get(wanted, 0)),)
    if loading_version:
        return ()
    missing = [name for name in status.adapters if name not in adapters]
    surplus = [name for name in adapters if name not in status.adapters]
    load = [
        EngineOrder(fence, OrderKind.LOAD_ADAPTER, name, weight_bytes.get(name, 0))
        for name in missing
    ]
    unload = [EngineOrder(fence, OrderKind.UNLOAD_ADAPTER, name) for name in surplus]
    return tuple(load + unload)


def observed_status(state: ObservedRunner, silent: bool) -> RunnerStatus:
    """Return the status that an owner writes for a runner, from the engine's load report.

    The wanted fields (``loading_version``, ``adapters``, ``fence``) belong to the placement
    controller and are unchanged.
    """
    report = state.report
    if silent:
        return replace(state.status, ready=False, reachable=False)
    if report is None:
        return state.status
    ready = bool(report.loaded_version) and state.leaving is None
    return replace(state.status, loaded_version=report.loaded_version, ready=ready, reachable=True)


def role_order(state: ObservedRunner) -> EngineOrder:
    """Return the order that sets the role of the runner's spec."""
    return EngineOrder(state.status.fence, OrderKind.SET_ROLE, state.spec.role.value)


@dataclass(slots=True)
class _SentOrder:
    order: EngineOrder
    incarnation: str
    sent_s: float


class RunnerReconciler:
    """Reconciles each owned runner periodically and when it changes."""

    def __init__(
        self,
        fleet: RunnerFleet,
        config: ConfigReader,
        control: ControlClient,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._control = control
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings.keeper
        self._sent: dict[tuple[str, str], _SentOrder] = {}
        self._writing: dict[str, int] = {}
        self._stopped = False
        fleet.on_change(self._on_runner_changed)

    def start(self) -> None:
        """Begin to reconcile owned runners."""
        self._reconcile_all()

    def stop(self) -> None:
        """Stop sending orders and writing statuses."""
        self._stopped = True

    def _reconcile_all(self) -> None:
        if self._stopped:
            return
        for state in self._fleet.owned_runners():
            self._reconcile(state)
        delay_s = self._settings.check_period_s * (0.9 + 0.2 * self._random.random())
        self._clock.callLater(delay_s, self._reconcile_all)

    def _on_runner_changed(self, runner: str) -> None:
        state = self._fleet.runner(runner)
        if state is not None and state.owned and not self._stopped:
            self._reconcile(state)

    def _reconcile(self, state: ObservedRunner) -> None:
        now_s = self._clock.seconds()
        silent = state.is_silent(now_s)
        if state.report is not None and not silent:
            self._send_orders(state, now_s)
        self._write_status(state, silent)

    # --- orders ---------------------------------------------------------------------------------

    def _send_orders(self, state: ObservedRunner, now_s: float) -> None:
        report = state.report
        if report is None:
            return
        orders = required_orders(
            state.status,
            report.loaded_version,
            report.loading_version,
            report.adapters,
            self._weight_bytes(state.status),
        )
        for order in orders:
            self._send_once(state, order, report.incarnation, now_s, self._settings.order_resend_s)
        self._send_role(state, report.incarnation, now_s)

    def _send_role(self, state: ObservedRunner, incarnation: str, now_s: float) -> None:
        """Send an unchanged role again only to a restarted engine; load reports do not name it."""
        key = (state.name, OrderKind.SET_ROLE.value)
        if state.spec.role == RunnerRole.MIXED and key not in self._sent:
            return
        self._send_once(state, role_order(state), incarnation, now_s, FOREVER_S)

    def _send_once(
        self,
        state: ObservedRunner,
        order: EngineOrder,
        incarnation: str,
        now_s: float,
        for_s: float,
    ) -> None:
        key = (state.name, order.kind.value)
        if order.kind in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER):
            key = (state.name, f"{order.kind}/{order.target}")
        sent = self._sent.get(key)
        if (
            sent is not None
            and (sent.order, sent.incarnation) == (order, incarnation)
            and now_s - sent.sent_s < for_s
        ):
            return
        self._sent[key] = _SentOrder(order, incarnation, now_s)
        done = self._engine.order(state.spec.address, order)
        done.addCallback(self._ordered, key)

    def _ordered(self, reply: Result[OrderReply, Fault], key: tuple[str, str]) -> None:
        """Forget a failed order so that it is sent again; the next load report shows the effect."""
        if reply.is_error() and reply.error.code != FaultCode.FENCED:
            self._sent.pop(key, None)

    def _weight_bytes(self, status: RunnerStatus) -> dict[str, int]:
        sizes = {}
        version = self._config.get(ResourceKey(Kind.MODEL_VERSION, status.loading_version))
        if version is not None and isinstance(version.spec, ModelVersionSpec):
            sizes[status.loading_version] = version.spec.weight_bytes
        for name in status.adapters:
            adapter = self._config.get(ResourceKey(Kind.ADAPTER, name))
            if adapter is not None and isinstance(adapter.spec, AdapterSpec):
                sizes[name] = adapter.spec.weight_bytes
        return sizes

    # --- status ---------------------------------------------------------------------------------

    def _write_status(self, state: ObservedRunner, silent: bool) -> None:
        observed = observed_status(state, silent)
        if observed == state.status or self._writing.get(state.name) == state.revision:
            return
        if not self._config.lease_valid():
            return
        self._writing[state.name] = state.revision
        resource = self._config.get(ResourceKey(Kind.RUNNER, state.name))
        conditions = resource.conditions if resource is not None else ()
        command = PutStatus(
            ResourceKey(Kind.RUNNER, state.name), observed, conditions, state.revision
        )
        done = self._control.propose(command, self._settings.command_timeout_s)
        done.addCallback(self._written, state.name)

    def _written(self, reply: Result[CommandOutcome, Fault], runner: str) -> None:
        """After a fault, let the next reconciliation write again with the revision read by then."""
        if reply.is_error():
            self._writing.pop(runner, None)
