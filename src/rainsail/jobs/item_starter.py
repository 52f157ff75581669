"""Starts waiting items on free runner slots, most urgent first."""

from collections.abc import Iterator
from enum import StrEnum

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.jobs.after_run import (
    STEADY_LEADERSHIP_S,
    BeforeRun,
    ItemOver,
    decide_before_run,
)
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.failure_notes import FailureNotes
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.item_origin import preferred_records
from rainsail.jobs.item_planner import ItemPlanner
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_runs import ItemRuns
from rainsail.jobs.item_wait import ItemWait, WaitCause
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.slot_use import choose_runner
from rainsail.jobs.suspect_placement import SuspectPlacement
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.relay.item_fields import is_sendable
from rainsail.relay.split import WeightedServicePicker
from rainsail.relay.table import Route
from rainsail.routing.residency import AllowedRegions

QUARANTINED = "quarantined"
NO_ENTRY = b""
"""An item that waits by no entry of the quarantine's list."""
HELD = "held, as its attempts may be used up,"


class StartResult(StrEnum):
    """The result of trying to start an item."""

    WAITS_NO_LONGER = "waits_no_longer"
    """It has started or is over, and leaves the queue."""
    PASSED_OVER = "passed_over"
    """It has to wait, but the items after it may start."""


_Places = tuple[str, AllowedRegions]
"""A service, and the regions in which items may run."""


class ItemStarter:
    """Assigns items to runners, which ``slot_use.choose_runner`` selects."""

    def __init__(
        self,
        node: DispatchNode,
        ledger: Ledger,
        state: DispatchState,
        planner: ItemPlanner,
        runs: ItemRuns,
        recorder: ItemRecorder,
        notes: FailureNotes,
    ) -> None:
        self._notes = notes
        notes.on_start_noted = self._on_start_noted
        self._guard = ItemGuard(ledger.state, node.guard, state.routes, node.protocol)
        self._placement = SuspectPlacement(node, state.running, self._guard)
        self._node = node
        self._ledger = ledger
        self._routes = state.routes
        self._tables = state.tables
        self._slots = state.slots
        self._running = state.running
        self._waiting = state.waiting
        self._planner = planner
        self._runs = runs
        self._recorder = recorder
        self._split = WeightedServicePicker(node.random)
        self._wait_for_reports_until_s = 0.0
        self._leads_since_s = 0.0

    def begin_leadership(self) -> None:
        """Delay the first start until a gateway has reported, at most by ``report_wait_s``."""
        self._leads_since_s = now = self._node.clock.seconds()
        self._wait_for_reports_until_s = now + self._node.settings.report_wait_s

    def start_items(self) -> None:
        """Start items until no service has a free slot for the next most urgent one."""
        now = self._node.clock.seconds()
        if not self._may_start(now) or self._routes.table is None:
            return
        self._placement.begin_round()
        full: set[_Places] = set()
        everywhere: set[_Places] = {(name, None) for name in self._routes.batch_services()}
        self._return_permits(now)
        for item in self._in_order(now):
            if not self._tables.covers(item.job):
                continue
            held = self._guard.held_entry(item)
            if held is not None:
                self._note_wait(item, WaitCause.HELD, held, now)
                self._keep_waiting(item, now, QUARANTINED)
            elif item.ready_at_s <= now:
                if self._start_or_give_up(item, now, full) == StartResult.WAITS_NO_LONGER:
                    self._waiting.take(item)
                elif full >= everywhere:
                    return

    def _in_order(self, now: float) -> Iterator[OpenItem]:
        """Yield the waiting items, first those with a permit that others wait for, then by urgency.

        The caller may take the last yielded item.
        """
        yield from [each for each in self._waiting.requeued_items if each.trial_until_s >= now]
        yield from self._waiting.by_urgency(self._planner.order)

    def _return_permits(self, now: float) -> None:
        """Give back the permits for which no slot was found in time."""
        for item in self._waiting.requeued_items:
            if item.permit and 0.0 < item.trial_until_s < now:
                self._guard.return_permit(item)

    def _may_start(self, now: float) -> bool:
        if not self._ledger.may_start():
            return False
        return self._slots.online.heard_any or now >= self._wait_for_reports_until_s

    def _keep_waiting(self, item: OpenItem, now: float, cause: str) -> None:
        """Keep an item waiting that must not be sent; give it up at its route's time limit."""
        self._waiting.skip(item)
        job = self._ledger.job_of(item)
        kept_s = 0.0 if job is None else self._routes.kept_s(job)
        if job is None or not kept_s:
            return
        if self._ledger.time.at(now) - job.accepted_s >= kept_s:
            self._waiting.take(item)
            self._recorder.item_over(item, ItemOver(False, f"still {cause} at its time limit"))

    def _start_or_give_up(self, item: OpenItem, now: float, full: set[_Places]) -> StartResult:
        """Start an item if a runner has a free slot.

        An item that is not open any more, or that has no route, leaves the queue as well. ``full``
        collects where an item found no slot, so that no less urgent one is started there.
        """
        if not self._ledger.is_open(item):
            return StartResult.WAITS_NO_LONGER
        job = self._ledger.state.jobs[item.job]
        route = self._routes.of_item(job, item.index)
        if route is None:
            self._recorder.item_over(item, ItemOver(False, "no route"))
            return StartResult.WAITS_NO_LONGER
        if not is_sendable(job.items[item.index]):
            self._recorder.item_over(item, ItemOver(False, "it can't be sent as an HTTP request"))
            return StartResult.WAITS_NO_LONGER
        decision = decide_before_run(item.failures, self._routes.max_attempts(item))
        if decision == BeforeRun.GIVE_UP:
            self._recorder.item_over(item, ItemOver(False, "failed at every attempt"))
            return StartResult.WAITS_NO_LONGER
        if decision == BeforeRun.HOLD:
            self._hold(item, now)
            return StartResult.PASSED_OVER
        item.is_held = False
        item.is_sent_alone = decision == BeforeRun.SEND_ALONE
        if item.is_sent_alone and not self._may_send_alone(now):
            self._note_wait(item, WaitCause.SENT_ALONE, NO_ENTRY, now)
            self._waiting.skip(item)
            return StartResult.PASSED_OVER
        if item.begun and not self._runs.is_origin_confirmed(item):
            item.progress.origin = None
        # A text of unknown origin begins anew: the ledger keeps who wrote it.
        origin = item.progress.origin if item.begun else None
        service = self._service_for(origin, route)
        held = self._guard.held_entry(item, service)
        if held is not None:
            # The next split decision may select another service.
            self._note_wait(item, WaitCause.HELD, held, now)
            self._keep_waiting(item, now, QUARANTINED)
            return StartResult.PASSED_OVER
        allowed = self._routes.allowed_regions(route, job.tenant)
        unproven = self._guard.unproven_entries(item, service)
        record = None
        if (service, allowed) not in full:
            is_trial = bool(unproven)
            record = self._choose_runner(item, origin, service, allowed, now, is_trial)
        if record is not None:
            if not self._notes.may_send(item):
                item.runner = record.runner
                self._running.add(item)
                self._notes.note_start(item)
                return StartResult.WAITS_NO_LONGER
            if not self._guard.may_try(item, unproven, now):
                self._note_wait(item, WaitCause.TRIAL, unproven[0], now)
                self._keep_waiting(item, now, QUARANTINED)
                return StartResult.PASSED_OVER
            item.trial_of = unproven
            self._runs.start(item, job, record, now)
            self._placement.count(item)
            return StartResult.WAITS_NO_LONGER
        if item.wait is not None:
            item.wait.note(WaitCause.SLOT, NO_ENTRY, now)
        # The runners that this item avoids may have free slots for other items.
        is_restricted = bool(item.failed_at_s or unproven) or origin is not None
        if not is_restricted:
            full.add((service, allowed))
        return StartResult.PASSED_OVER

    def _note_wait(self, item: OpenItem, cause: WaitCause, entry: Fingerprint, now: float) -> None:
        """Note why an item waits; log each change of the cause."""
        if item.wait is None:
            item.wait = ItemWait(since_s=now)
        if item.wait.note(cause, entry, now):
            self._recorder.item_waits(item, item.wait)

    def _may_send_alone(self, now: float) -> bool:
        """Tell whether an item may be sent that the loss of this leader would hold."""
        if now - self._leads_since_s < STEADY_LEADERSHIP_S:
            return False
        return not any(item.is_sent_alone and item.awaits_answer for item in self._running)

    def _hold(self, item: OpenItem, now: float) -> None:
        """Hold an item whose attempts may be used up, but not certainly."""
        if not item.is_held:
            item.is_held = True
            self._recorder.item_held(item)
        self._keep_waiting(item, now, HELD)

    def _on_start_noted(self, item: OpenItem) -> None:
        """Send an item whose run the ledger counts by now, if it may still be sent."""
        now = self._node.clock.seconds()
        self._running.remove(item)
        item.starting = 0
        self._waiting.requeue(item)
        if not self._may_start(now) or not self._tables.covers(item.job):
            return
        if self._routes.table is None:
            return
        if self._guard.held_entry(item) is not None:
            return
        if self._start_or_give_up(item, now, set()) == StartResult.WAITS_NO_LONGER:
            self._waiting.take(item)

    def _service_for(self, origin: StreamOrigin | None, route: Route) -> str:
        """Return the service that wrote the item's text so far, else the next one of the split."""
        if origin is not None and route.allows(origin.service):
            return origin.service
        return self._split.service(route)

    def _choose_runner(
        self,
        item: OpenItem,
        origin: StreamOrigin | None,
        service: str,
        allowed: AllowedRegions,
        now: float,
        is_trial: bool,
    ) -> RunnerRecord | None:
        if not self._planner.may_run_more(service):
            return None
        allowed_records = [
            record
            for record in self._node.registry.ready(service)
            if self._node.regions.allows(allowed, record.zone)
        ]
        # A runner that fails every item must not use up the item's attempts.
        preferred = [each for each in allowed_records if not item.avoids(each.runner, now)]
        ready = preferred or allowed_records
        uses = {
            record.runner: self._slots.use_of(record, now)
            for record in ready
            if self._slots.may_start_at(record, now)
        }
        free = [each for each in ready if each.runner in uses and uses[each.runner].free > 0]
        waited_s = now - item.ready_at_s
        if origin is not None:
            # A text may not go on at a process of which the version is not known.
            replaced = self._node.registry.may_be_replaced
            free = [each for each in free if not replaced(each)]
        usable = preferred_records(ready, free, origin, waited_s, self._origin_of)
        if is_trial:
            usable = self._placement.for_trial(usable, uses, now)
        else:
            usable = self._placement.for_other(item, service, usable)
        records = {record.runner: record for record in usable}
        chosen = choose_runner([uses[runner] for runner in records], self._node.zone)
        return None if chosen is None else records[chosen.runner]

    def _origin_of(self, record: RunnerRecord) -> StreamOrigin:
        return StreamOrigin(record.service, self._node.registry.versions.of(record))
