"""Sends items to runners, and acts on the end of each run.

``after_run`` decides what follows the end of a run.
"""

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.http.reachability import Reachability
from rainsail.jobs.after_run import (
    CONFIRMATION_PAUSE_S,
    RUNNER_BACKOFF_MAX_S,
    ItemOver,
    decide_after_run,
    failures_after_run,
    item_backoff_s,
    runner_pause_s,
)
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.failure_notes import FailureNotes
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_run import NO_STATUS, AskedRun, ItemRun, RunEnd
from rainsail.jobs.job_state import RelayedJob
from rainsail.jobs.open_item import OpenItem
from rainsail.relay.continuation import STATUS_SERVER_ERROR
from rainsail.relay.protocol import ItemRequest, RunnerTarget
from rainsail.relay.stream_beginnings import BeginningVerdict, StreamBeginning, StreamSource
from rainsail.routing.facts import ServerLoad

MIXABLE_RUNS = 2
"""A text may be of two software versions only if so many runs have written it."""
IDLE_TIMEOUT_S = 4.0
"""A run without a new event for this long is closed; the item is requeued.

Far longer than a runner takes to read a prompt, or between two events.
"""

CLOSED_ENDS = (
    RunEnd.BROKEN,
    RunEnd.UNCONFIRMED,
    RunEnd.END_UNCONFIRMED,
    RunEnd.END_REFUTED,
    RunEnd.CONFIRMED,
)
"""Ends of runs of which something may still arrive, or whose text may be dropped."""


class ItemRuns:
    """Starts runs, handles their ends, and times out idle ones."""

    def __init__(
        self,
        node: DispatchNode,
        ledger: Ledger,
        state: DispatchState,
        recorder: ItemRecorder,
        notes: FailureNotes,
    ) -> None:
        self._notes = notes
        self._guard = ItemGuard(ledger.state, node.guard, state.routes, node.protocol)
        self._node = node
        self._routes = state.routes
        self._beginnings = state.beginnings
        self._slots = state.slots
        self._running = state.running
        self._waiting = state.waiting
        self._recorder = recorder

    def start(self, item: OpenItem, job: RelayedJob, record: RunnerRecord, now: float) -> None:
        """Send an item to a runner, which resumes after the last event received.

        An item whose text another service or software version has written begins anew.
        """
        content = job.items[item.index]
        version = self._node.registry.version_at_start(record)
        self._bind_to(item, StreamOrigin(record.service, version))
        item.progress.runs.append((record, now))
        after_event = item.progress.ends.resume_after(item.progress.last_event)
        request = self._node.protocol.item_request(
            ItemRequest(job.host, content, after_event, job.tenant),
            RunnerTarget(record.runner, record.address),
        )
        source = self._source_of(item, job, record)
        self._learn_from_previous_leader(item, source)
        item.begin_run(record.runner, now)
        beside = self._slots.use_of(record, now)
        self._slots.on_item_started(record, now)
        self._running.add(item)
        asked = AskedRun(record.runner, after_event, lambda: self._is_only_runner(record))
        item.run = self._new_run(item, content.item, source, asked)
        known_s = self._node.registry.history.known_s(record, now)
        self._recorder.item_sent(item, beside, known_s)
        item.call = self._node.pool.send(record.address, request, item.run)

    def _bind_to(self, item: OpenItem, origin: StreamOrigin) -> None:
        """Make a runner's service and version the origin of the item's text."""
        if item.begun and item.progress.origin != origin:
            self._recorder.text_dropped(item, origin.version)
            item.progress.start_anew()
            item.progress.from_previous_leader = False
            item.forget_dropped_events()
        item.progress.origin = origin

    def is_origin_confirmed(self, item: OpenItem) -> bool:
        """Tell whether another run may continue an item's text at the origin known for it."""
        confirms = self._node.registry.is_version_confirmed
        return all(confirms(record, at_s) for record, at_s in item.progress.runs)

    def is_text_confirmed(self, item: OpenItem) -> bool:
        """Tell whether all runs of an item's text have certainly reached one software version.

        A text of one run is of one version whichever process wrote it.
        """
        return len(item.progress.runs) < MIXABLE_RUNS or self.is_origin_confirmed(item)

    def _source_of(self, item: OpenItem, job: RelayedJob, record: RunnerRecord) -> StreamSource:
        route = self._routes.of_item(job, item.index)
        return StreamSource(record.service, "" if route is None else route.name)

    def _learn_from_previous_leader(self, item: OpenItem, source: StreamSource) -> None:
        """Learn how streams begin from the progress that a previous leader committed."""
        progress = item.progress
        if progress.from_previous_leader and progress.first_event is not None:
            self._beginnings.observe(StreamBeginning(source, progress.first_event))
        progress.from_previous_leader = False

    def _is_only_runner(self, record: RunnerRecord) -> bool:
        """Tell whether no other runner of its service can be asked about the end of a text."""
        ready = self._node.registry.ready(record.service)
        return all(each.runner == record.runner for each in ready)

    def _new_run(
        self, item: OpenItem, item_name: str, source: StreamSource, asked: AskedRun
    ) -> ItemRun:
        runner = item.runner

        def on_ended(run: ItemRun, end: RunEnd, reason: str) -> None:
            self._on_run_ended(item, end, reason)

        def on_load_report(load: ServerLoad) -> None:
            self._slots.on_load_report(runner, load, self._node.clock.seconds())

        return ItemRun(
            item_name,
            item.progress,
            self._node.protocol,
            source,
            self._beginnings,
            on_ended,
            on_load_report,
            self._node.clock.seconds,
            self._node.budget,
            asked,
        )

    def end_idle_runs(self) -> None:
        """End the runs without a new event for ``IDLE_TIMEOUT_S``."""
        now = self._node.clock.seconds()
        for item in list(self._running):
            if item.idle_s(now) > IDLE_TIMEOUT_S and item.run is not None:
                self._on_run_ended(item, RunEnd.BROKEN, "silent")
                # Any other item sent there could also wait for the whole timeout.
                self._slots.pause(item.runner, now + RUNNER_BACKOFF_MAX_S)

    def report_survival(self) -> None:
        """Report the runs that have gone on for a while, as far as the quarantine wants to know."""
        if not self._node.guard.wants_answers:
            return
        now = self._node.clock.seconds()
        for item in list(self._running):
            if item.run is not None and item.run.times.is_survival_check_due(now):
                self._guard.on_run_goes_on(item, self._node.registry.get(item.runner))

    def list_confirmed(self) -> None:
        """List the waiting items whose texts other streams' beginnings have confirmed meanwhile.

        A text that turns out to lack its first events is dropped; its item runs again.
        """
        for item in list(self._waiting.requeued_items):
            unconfirmed = item.progress.unconfirmed
            if unconfirmed is None:
                continue
            verdict = self._beginnings.judge(unconfirmed.beginning)
            if verdict == BeginningVerdict.WHOLE:
                item.progress.take_confirmed()
                self._waiting.take(item)
                self._recorder.item_over(item, ItemOver(True, RunEnd.CONFIRMED.value))
            elif verdict == BeginningVerdict.LOST:
                item.progress.unconfirmed = None

    def _on_run_ended(self, item: OpenItem, end: RunEnd, reason: str) -> None:
        now = self._node.clock.seconds()
        self._running.remove(item)
        record = self._node.registry.get(item.runner)
        self._guard.on_run_ended(item, record)
        status = NO_STATUS if item.run is None else item.run.answered_status
        item.failures = failures_after_run(item.failures, end, status)
        if status == STATUS_SERVER_ERROR:
            item.failed_at_s[item.runner] = now
        if end == RunEnd.END_UNCONFIRMED:
            item.failed_at_s[item.runner] = now
        if end in CLOSED_ENDS:
            item.close_run(now)
            item.forget_dropped_events()
        item.ran_s = item.running_s(now)
        if item.events == item.events_at_start and item.progress.runs:
            # This run has written nothing.
            item.progress.runs.pop()
        if end == RunEnd.UNREACHED and reason == Reachability.REFUSED and record is not None:
            self._node.guard.connection_refused(record)
        item.run = None
        item.call = None
        if end not in (RunEnd.WHOLE, RunEnd.CONFIRMED):
            service = "" if record is None else record.service
            fingerprint_name = self._guard.fingerprint_name(item, service)
            self._recorder.run_ended_early(item, end, reason, fingerprint_name, status)
        self._count_run_end(item.runner, end, now)
        for runner in item.progress.ends.take_refuted():
            self._recorder.end_refuted(item, runner)
            self._count_run_end(runner, RunEnd.END_REFUTED, now)
        self._list_or_requeue(item, end, now)

    def _count_run_end(self, runner: str, end: RunEnd, now: float) -> None:
        failed_runs = self._slots.count_run_end(runner, end)
        self._slots.pause(runner, now + runner_pause_s(end, failed_runs))

    def _list_or_requeue(self, item: OpenItem, end: RunEnd, now: float) -> None:
        """List an item that is over; requeue any other for its next run."""
        if not self.is_text_confirmed(item):
            self._recorder.text_dropped(item, NO_VERSION)
            item.progress.start_anew()
            item.forget_dropped_events()
            end = RunEnd.BROKEN if end in (RunEnd.WHOLE, RunEnd.CONFIRMED) else end
        failures = item.failures.failed
        decision = decide_after_run(end, failures, self._routes.max_attempts(item))
        if isinstance(decision, ItemOver):
            self._recorder.item_over(item, decision)
            return
        self._notes.settle(item)
        item.ready_at_s = now
        if end in (RunEnd.BROKEN, RunEnd.END_REFUTED):
            item.ready_at_s += item_backoff_s(item.count_runs_without_event(), end)
        elif end == RunEnd.UNCONFIRMED:
            item.ready_at_s += CONFIRMATION_PAUSE_S
        self._waiting.requeue(item)
