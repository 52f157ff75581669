"""Runs leased batch items on the idle capacity of the runners that a gateway owns.

On every change of a runner (an online request arrives or ends, a load report arrives) the policy
returns how many items the runner may hold. Items above that number are preempted at once; free
places are filled with items that were leased in advance. ``item_runs`` holds the running items,
``lease_pools`` the waiting ones; ``result_committer`` and ``item_returns`` record their outcomes.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from rainsail.batch import preemption
from rainsail.batch.fleet_view import BatchFleet
from rainsail.batch.held_item import HeldItem
from rainsail.batch.interface import BatchRunnerView, DispatchPolicy
from rainsail.batch.item_returns import ItemReturns
from rainsail.batch.item_runner import LeasedItemRun, LeasedRunEnd
from rainsail.batch.item_runs import LeasedItemRuns
from rainsail.batch.lease_pool import LeasePool
from rainsail.batch.lease_pools import LeasePools
from rainsail.batch.lease_renewer import LeaseRenewer
from rainsail.batch.prefill_meter import OnlinePrefillMeter
from rainsail.batch.result_committer import ResultCommitter
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.engine.interface import EngineClient, Priority
from rainsail.resources.specs import RunnerSpec
from rainsail.runtime.clock import Clock
from rainsail.state.commands import GroupId, ItemRef, ItemResult


@dataclass(slots=True)
class DispatchCounts:
    """Counts of the runs that this dispatcher started and how they ended, and of lapsed leases."""

    started: int = 0
    finished: int = 0
    preempted: int = 0
    failed: int = 0
    not_run: int = 0
    revoked: int = 0
    lapses: int = 0


class BatchDispatcher:
    """The batch part of one gateway. ``holder``, the gateway's incarnation, holds the leases.

    ``prefill`` is the meter through which the gateway's core sends its online attempts. Without
    it, the policy does not know how many prompt tokens wait for prefill.
    """

    def __init__(
        self,
        holder: str,
        fleet: BatchFleet,
        config: ConfigReader,
        control: ControlClient,
        engine: EngineClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
        policy: DispatchPolicy,
        prefill: OnlinePrefillMeter | None = None,
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._clock = clock
        self._settings = settings
        self._policy = policy
        self._prefill = prefill
        self.counts = DispatchCounts()
        self.committer = ResultCommitter(holder, control, clock, random, settings)
        self.returns = ItemReturns(holder, control, clock, random, settings)
        self._leases = LeaseRenewer(
            holder,
            control,
            clock,
            settings,
            self._held_refs,
            self._stop_revoked,
            self._lease_lapsed,
            self._note_backlog,
        )
        note_leased = self._leases.note_leased
        self._pools = LeasePools(
            lambda service: LeasePool(
                service, holder, control, clock, random, settings, note_leased
            )
        )
        self._runs = LeasedItemRuns(holder, fleet, engine, clock, self._run_ended)
        self._allowances: dict[str, int] = {}
        self._not_before_s: dict[str, float] = {}
        self._evaluating = ""
        self._running = False
        self._timers: list[Any] = []

    # --- start and stop ----------------------------------------------------------------

    def start(self) -> None:
        """Begin to lease and run items."""
        self._running = True
        self._fleet.on_change(self._runner_changed)
        if self._prefill is not None:
            self._prefill.on_change(self._engine_changed)
        self._tick()
        self._renew()

    def stop(self) -> "Deferred[None]":
        """Stop and return every item; fires once the ledger has recorded all of them."""
        self._running = False
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        for run in self._runs.all():
            self.returns.add(self._runs.stop(run))
        for held in self._pools.stop():
            self.returns.add(held)
        drained = DeferredList([self.committer.drain(), self.returns.drain()])
        return drained.addCallback(lambda _: None)

    @property
    def running_items(self) -> int:
        """The number of items that run on engines."""
        return len(self._runs)

    def _tick(self) -> None:
        self._leases.check()
        runners = self._runners()
        self._allowances = {name: self._allowances.get(name, 0) for name in runners}
        for runner in runners:
            self._evaluate(runner)
        for service, pool in self._pools.by_service():
            for held in pool.take_stale():
                self.returns.add(held)
            pool.set_target(self._target(service))
        self._schedule(self._settings.tick_s, self._tick)

    def _renew(self) -> None:
        self._leases.renew_all()
        self._schedule(self._settings.lease_renewal_period_s, self._renew)

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        if not self._running:
            return
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._clock.callLater(delay_s, call))

    # --- allowances of runners ------------------------------------------------------------

    def _runners(self) -> list[str]:
        """Return the owned runners, then formerly owned ones that still run items."""
        owned = [runner.name for runner in self._fleet.owned_runners()]
        known = dict.fromkeys(owned)
        known.update(dict.fromkeys(self._runs.runners()))
        return list(known)

    def _runner_changed(self, runner: str) -> None:
        if self._running and runner != self._evaluating:
            self._leases.check()
            self._evaluate(runner)

    def _engine_changed(self, address: str) -> None:
        for runner in self._allowances:
            spec = self._spec(runner)
            if spec is not None and spec.address == address:
                self._runner_changed(runner)

    def _evaluate(self, runner: str) -> None:
        """Adjust a runner to its allowance: preempt surplus items, or fill free places."""
        previous = self._evaluating
        self._evaluating = runner
        try:
            allowance = self._allowance(runner)
            self._allowances[runner] = allowance
            running = self._runs.count(runner)
            if running > allowance:
                self._preempt(runner, running - allowance)
            elif running < allowance:
                self._fill(runner, allowance - running)
        finally:
            self._evaluating = previous

    def _allowance(self, runner: str) -> int:
        state = self._fleet.runner(runner)
        if state is None or not state.owned or not self._fleet.usable(runner):
            return 0
        allowance = self._policy.allowance(self._view(runner, state.spec)).items
        if self._takes_new_items(runner):
            return allowance
        return min(allowance, self._runs.count(runner))

    def _view(self, runner: str, spec: RunnerSpec) -> BatchRunnerView:
        view = self._fleet.view(runner)
        if self._prefill is None:
            return view
        tokens = self._prefill.prefill_tokens(spec.address)
        return replace(view, online_prefill_tokens=tokens) if tokens else view

    def _takes_new_items(self, runner: str) -> bool:
        """Tell whether new items may start: the configuration is valid, and no pause is active."""
        if not self._config.lease_valid():
            return False
        return self._clock.seconds() >= self._not_before_s.get(runner, 0.0)

    def _spec(self, runner: str) -> RunnerSpec | None:
        state = self._fleet.runner(runner)
        return None if state is None else state.spec

    def _preempt(self, runner: str, count: int) -> None:
        resume_s = self._clock.seconds() + self._settings.refill_delay_s
        self._not_before_s[runner] = max(resume_s, self._not_before_s.get(runner, 0.0))
        for run in preemption.choose_victims(self._runs.of_runner(runner), count):
            self.counts.preempted += 1
            self._pools.requeue(self._runs.stop(run))

    def _fill(self, runner: str, count: int) -> None:
        spec = self._spec(runner)
        if spec is None:
            return
        pool = self._pools.of_service(spec.service)
        taken = 0
        while taken < count and (held := pool.take(runner)) is not None:
            taken += 1
            if self._leases.valid(held.group):
                self.counts.started += 1
                self._runs.start(runner, spec, held, self._priority())
        if taken and pool.is_low():
            pool.set_target(self._target(spec.service))

    def _target(self, service: str) -> int:
        """Return how many leased items to keep ready: the free places and a few per runner."""
        target = 0
        for runner, allowance in self._allowances.items():
            spec = self._spec(runner)
            if allowance == 0 or spec is None or spec.service != service:
                continue
            spare = allowance - self._runs.count(runner)
            target += max(0, spare) + self._settings.prefetch_items_per_runner
        return target

    def _priority(self) -> Priority:
        return Priority.LOW if self._policy.low_priority else Priority.HIGH

    # --- ends of runs ---------------------------------------------------------------------

    def _run_ended(
        self, run: LeasedItemRun, end: LeasedRunEnd, detail: str, retry_after_s: float
    ) -> None:
        held = self._runs.held_item(run)
        if end is LeasedRunEnd.FINISHED:
            self.counts.finished += 1
            result = ItemResult(held.ref, run.text, run.tokens)
            self.committer.add(held.group, result)
        elif end is LeasedRunEnd.FAILED:
            self.counts.failed += 1
            self.returns.add(held, detail)
        else:
            self.counts.not_run += 1
            delay_s = max(retry_after_s, self._settings.tick_s)
            self._not_before_s[run.runner] = self._clock.seconds() + delay_s
            self._requeue_or_return(held)
        if self._running:
            self._evaluate(run.runner)

    def _requeue_or_return(self, held: HeldItem) -> None:
        if self._running:
            self._pools.requeue(held)
        else:
            self.returns.add(held)

    # --- leases ---------------------------------------------------------------------------

    def _held_refs(self, group: GroupId) -> list[ItemRef]:
        pending = self.committer.pending_refs(group)
        return [*pending, *self._pools.refs(group), *self._runs.refs(group)]

    def _note_backlog(self, group: GroupId, backlog: dict[str, int]) -> None:
        for service, pool in self._pools.by_service():
            pool.note_backlog(group, backlog.get(service, 0))
            pool.set_target(self._target(service))

    def _stop_revoked(self, group: GroupId, refs: tuple[ItemRef, ...]) -> None:
        """Cancel the items whose leases the ledger has revoked for this holder."""
        for ref in refs:
            self._pools.drop(group, ref)
        for run in self._runs.of_group(group):
            if run.held.ref in refs:
                self.counts.revoked += 1
                self._runs.stop(run)

    def _lease_lapsed(self, group: GroupId) -> None:
        """Stop and return every item of a group; the ledger ignores returns of revoked leases."""
        self.counts.lapses += 1
        for run in self._runs.of_group(group):
            self.returns.add(self._runs.stop(run))
        for held in self._pools.take_group(group):
            self.returns.add(held)
