"""Runs the items of open jobs while this node leads the ledger.

Soft state: what runs where, and how far each answer has come. A new leader runs unlisted items
anew; a listed item is never run again. Results are listed by commands of the ledger group, in
batches, and count once these are committed.
"""

from collections.abc import Callable, Iterable
from itertools import chain
from random import Random
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.pool import ConnectionPool
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.item_rooms import ItemRooms
from rainsail.jobs.item_run import ItemRun, RunEnd
from rainsail.jobs.job_state import JobState, RelayedJob, StateObserver
from rainsail.jobs.ledger_time import LedgerTime
from rainsail.jobs.plan import PlanSettings, items_to_yield, roomiest
from rainsail.jobs.reserve import Reserve
from rainsail.jobs.urgency import FreshItems, ItemOrder
from rainsail.jobs.waiting import WaitingItems
from rainsail.jobs.work import Work, note_of, taken_up
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.guard import RequestGuard
from rainsail.relay.protocol import ItemRequest, RelayProtocol, RunnerTarget
from rainsail.relay.split import SplitPicker
from rainsail.relay.table import Route, RoutingTable
from rainsail.routing.residency import AllowedRegions, RegionMap
from rainsail.routing.warm_up_limiter import WarmUpLimiter
from rainsail.runtime.clock import Clock
from rainsail.state.job_commands import ItemNote, ItemOutcome, NoteProgress

PLAN_PERIOD_S = 0.05
ORDER_PERIOD_S = 0.2
"""Time between two decisions on which items can be in time together."""
RETRY_PAUSE_S = 0.25
FAILED_RUNNER_PAUSE_S = 1.5
"""A runner that broke a run off takes no items for this long."""
SILENT_RUN_S = 4.0
"""A run from which nothing comes for this long goes on elsewhere."""


Each = TypeVar("Each", FreshItems, Work, ItemNote)

ListOutcome = Callable[[str, ItemOutcome], None]
"""Commits an item's end; called once an item."""

MayStart = Callable[[], bool]
"""Tells whether this node still leads, and hears of runners that leave and tables that change.

A node that was frozen or is cut off must not act on what it knew before.
"""

KeepNotes = Callable[[NoteProgress], "Deferred[Any]"]
"""Commits how far items have come; fires with a fault when that is refused or unclear."""


class Dispatcher(StateObserver):
    """Chooses and runs items; ``start`` and ``stop`` follow the leadership."""

    def __init__(
        self,
        state: JobState,
        registry: RunnerRegistry,
        pool: ConnectionPool,
        protocol: RelayProtocol,
        clock: Clock,
        ledger_time: LedgerTime,
        random: Random,
        zone: str,
        warm_ups: WarmUpLimiter,
        regions: RegionMap,
        guard: RequestGuard,
        list_outcome: ListOutcome,
        keep_notes: KeepNotes,
        may_start: MayStart,
        settings: PlanSettings,
        metrics: NodeMetrics,
    ) -> None:
        self._state = state
        self._registry = registry
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._random = random
        self._zone = zone
        self._regions = regions
        self._guard = ItemGuard(state, guard)
        self._list_outcome = list_outcome
        self._keep_notes = keep_notes
        self._may_start = may_start
        self._settings = settings
        self._ledger_time = ledger_time
        self._table: RoutingTable | None = None
        self._waiting = WaitingItems()
        self._order = ItemOrder(settings.mechanisms)
        self._reserve = Reserve()
        self._planned_s = float("-inf")
        self.rooms = ItemRooms(warm_ups, settings)
        self.online = self.rooms.online
        self._running = self.rooms.running
        self._known_jobs: set[str] = set()
        self._split = SplitPicker(random)
        self._active = False
        self._metrics = metrics
        metrics.gauge("items_waiting", lambda: float(len(self._waiting)))
        metrics.gauge("items_running", lambda: float(sum(map(len, self._running.values()))))
        self._blind_until_s = 0.0

    # --- life cycle ----------------------------------------------------------------------

    def start(self) -> None:
        """Take up every open job."""
        self._active = True
        self._waiting.clear()
        self._known_jobs.clear()
        self.rooms.clear()
        self._reserve.clear()
        self._blind_until_s = self._clock.seconds() + self._settings.blind_s
        self._tick()
        self._note_progress()

    def stop(self) -> None:
        """Close every run: another leader runs what is not listed."""
        self._active = False
        now = self._clock.seconds()
        for works in self._running.values():
            for work in works:
                work.cut(now)
        self._running.clear()
        self._waiting.clear()

    @property
    def table_version(self) -> int:
        """The version of the routing table by which items run, 0 while none is known."""
        return 0 if self._table is None else self._table.version

    def set_table(self, table: RoutingTable) -> None:
        """Send by this routing table from now on."""
        self._table = table
        self._registry.warm_ups.set_terms(table.warm_up_terms())
        for job in self._state.jobs.values():
            self._set_due(job)

    def accepted(self, job: RelayedJob) -> None:
        """Learn of a job, leader or not."""
        self._ledger_time.heard(job.accepted_s, self._clock.seconds())
        self._set_due(job)

    def progressed(self, ledger_s: float, notes: tuple[ItemNote, ...]) -> None:
        """Learn how fast items run, and how many at a time while another node leads."""
        self._ledger_time.heard(ledger_s, self._clock.seconds())
        self._order.lengths.progressed(ledger_s, notes)
        if not self._active:
            for service, running in self._by_service(notes).items():
                self._order.room_seen(service, len(running), ledger_s)

    def finished(self, events: int) -> None:
        """Learn how long items are."""
        self._order.lengths.finished(events)

    def _set_due(self, job: RelayedJob) -> None:
        route = None if self._table is None else self._table.match(job.host, job.path)
        within_s = 0.0 if route is None else route.completion_s
        self._order.due.set_due(job.job, job.accepted_s, within_s)

    def runner_started_again(self, record: RunnerRecord) -> None:
        """Forget what was known of a runner's life before."""
        self.rooms.forget(record.runner)
        self._pool.forget(record.address)

    def runners_changed(self, changed: list[RunnerRecord]) -> None:
        """Close idle connections to runners that take nothing more."""
        for record in changed:
            if not self._registry.is_ready(record.runner) and record.address:
                self._pool.forget(record.address)

    def _tick(self) -> None:
        if not self._active:
            return
        self._take_up_jobs()
        self._drop_ended()
        self._plan_order()
        self._give_way()
        self._leave_silent()
        self._start_items()
        self._clock.callLater(PLAN_PERIOD_S, self._tick)

    # --- jobs ----------------------------------------------------------------------------

    def _take_up_jobs(self) -> None:
        for job in self._state.jobs.values():
            if job.job in self._known_jobs:
                continue
            self._known_jobs.add(job.job)
            if job.ended:
                continue
            self._set_due(job)
            self._waiting.add_job(job.job, [taken_up(job, index) for index in sorted(job.unlisted)])

    def _drop_ended(self) -> None:
        self._waiting.drop(self._is_job_open)
        now = self._clock.seconds()
        for works in self._running.values():
            for work in [each for each in works if not self._is_open(each)]:
                work.cut(now)
                works.remove(work)

    def _is_open(self, work: Work) -> bool:
        """Tell whether an item is still to be run: an earlier leader's word may yet list it."""
        return self._is_job_open(work.job) and work.index in self._state.jobs[work.job].unlisted

    def _is_job_open(self, name: str) -> bool:
        job = self._state.jobs.get(name)
        return job is not None and not job.ended

    def forget_jobs(self) -> None:
        """Forget what is known of jobs that are not kept any more; called now and then."""
        self._known_jobs.intersection_update(self._state.jobs)
        self._order.due.keep_only(self._state.jobs)
        self.rooms.keep_only({record.runner for record in self._registry.records()})

    # --- order ---------------------------------------------------------------------------

    def _plan_order(self) -> None:
        """Decide now and then which items can be in time together."""
        now = self._clock.seconds()
        if self._table is None or now - self._planned_s < ORDER_PERIOD_S:
            return
        self._planned_s = now
        self._order.begin_plan()
        fresh = self._by_service(self._waiting.fresh())
        begun = self._by_service(chain(self._waiting.put_back_items, *self._running.values()))
        for service in sorted({*self._table.batch_services(), *fresh, *begun}):
            records = self._registry.ready(service)
            slots = sum(self.rooms.slots_for_items(record, now) for record in records)
            ledger_s = self._ledger_time.at(now)
            self._order.room_seen(service, slots, ledger_s)
            self._order.plan(service, fresh.get(service, []), begun.get(service, []), ledger_s)
            self._plan_reserve(service, records, now)

    def _plan_reserve(self, service: str, records: list[RunnerRecord], now: float) -> None:
        """Decide how many slots stay free for online work that may come back."""
        if not self._settings.mechanisms.batch_reserve:
            return
        online = sum(self.online.running(record.runner) for record in records)
        self._reserve.online_seen(service, online, now)
        slots = sum(record.slots for record in records)
        self._reserve.plan(service, slots, self._order.slots_needed(service))

    def _may_run_more(self, service: str) -> bool:
        limit = self._reserve.limit(service)
        if limit is None:
            return True
        ready = self._registry.ready(service)
        return sum(self.rooms.items_at(each.runner) for each in ready) < limit

    def _by_service(self, items: Iterable[Each]) -> dict[str, list[Each]]:
        """Sort items by the service that runs most of their job; those of no route are left out."""
        found: dict[str, list[Each]] = {}
        for item in items:
            job = self._state.jobs.get(item.job)
            route = None if job is None else self._route(job, job.path)
            if route is not None:
                service = max(route.shares, key=lambda share: share.weight).service
                found.setdefault(service, []).append(item)
        return found

    # --- room ----------------------------------------------------------------------------

    def _give_way(self) -> None:
        """Close the least urgent runs where online work needs their slots."""
        for runner in self._running:
            self.make_room(runner)

    def make_room(self, runner: str) -> None:
        """Close a runner's least urgent runs as far as online work needs their slots."""
        record = self._registry.get(runner)
        works = self._running.get(runner)
        if record is None or not works:
            return
        count = items_to_yield(self.rooms.room(record, self._clock.seconds()))
        for work in sorted(works, key=self._order.urgency)[len(works) - count :]:
            self._give_way_one(work, works, runner)

    def _give_way_one(self, work: Work, works: list[Work], runner: str) -> None:
        now = self._clock.seconds()
        work.cut(now)
        works.remove(work)
        if self._settings.mechanisms.yield_pause:
            self.rooms.rests(runner, now + self._settings.crowded_s)
        work.ready_at_s = now
        self._waiting.put_back(work)
        log = logger.bind(job=self._job_id(work), item=self._item_id(work), runner=runner)
        log.bind(last_event=work.progress.last_event).info("item_gave_way")
        self._metrics.count("items_gave_way")

    def _leave_silent(self) -> None:
        now = self._clock.seconds()
        for works in self._running.values():
            for work in list(works):
                seen = len(work.progress.texts)
                if seen != work.events_seen:
                    work.events_seen, work.seen_at_s = seen, now
                elif now - work.seen_at_s > SILENT_RUN_S and work.run is not None:
                    self._run_ended(work, RunEnd.BROKEN, "silent")

    # --- notes ---------------------------------------------------------------------------

    def _note_progress(self) -> None:
        """Have the ledger keep what has come of each running item since the last time.

        While items only wait, the time alone is kept: the next leader has to know their age.
        """
        if not self._active:
            return
        notes: list[ItemNote] = []
        noted_before: list[tuple[Work, int]] = []
        if self._settings.mechanisms.progress_notes:
            for work in chain.from_iterable(self._running.values()):
                noted_before.append((work, work.noted))
                notes += note_of(work)
        if notes or len(self._waiting):
            at_s = self._ledger_time.at(self._clock.seconds())
            kept = self._keep_notes(NoteProgress(tuple(notes), at_s))
            kept.addCallback(self._notes_kept, noted_before)
        self._clock.callLater(self._settings.note_period_s, self._note_progress)

    def _notes_kept(self, result: Any, noted_before: list[tuple[Work, int]]) -> None:
        """Have the next notes begin where refused ones did: the ledger takes no others.

        An outcome is unclear only when this node leads no more, and then these runs are over.
        """
        if result.is_error():
            for work, noted in noted_before:
                work.noted = min(work.noted, noted)

    # --- starting ------------------------------------------------------------------------

    def _start_items(self) -> None:
        now = self._clock.seconds()
        if not self._may_start() or (not self.online.heard_any and now < self._blind_until_s):
            return
        for work in self._waiting.by_urgency(self._order):
            if self._guard.is_held(work):
                self._keep_waiting(work, now)
                continue
            if work.ready_at_s > now:
                continue
            if self._is_open(work) and not self._start(work, now):
                return
            self._waiting.take(work)

    def _keep_waiting(self, work: Work, now: float) -> None:
        """Let a held item wait, and give it up once its route allows that."""
        self._waiting.set_aside(work)
        job = self._state.jobs.get(work.job)
        route = None if job is None else self._route(job, job.path)
        if job is None or route is None or not route.kept_s:
            return
        if self._ledger_time.at(now) - job.accepted_s >= route.kept_s:
            self._waiting.take(work)
            self._finish(work, False, "runners ended under it")

    def _start(self, work: Work, now: float) -> bool:
        """Start a run if some runner has room; True when the item needs no run now."""
        job = self._state.jobs[work.job]
        route = self._route(job, job.items[work.index].path)
        if route is None:
            return self._without_route(work)
        service = self._split.service(route)
        assert self._table is not None
        allowed = self._table.allowed_regions(route, job.tenant)
        record = self._choose(service, allowed, now)
        if record is None:
            return False
        self._run_at(work, job, record, now)
        return True

    def _route(self, job: RelayedJob, path: str) -> Route | None:
        if self._table is None:
            return None
        return self._table.match(job.host, path) or self._table.match(job.host, job.path)

    def _without_route(self, work: Work) -> bool:
        if self._table is None:
            return False
        self._finish(work, False, "no route")
        return True

    def _choose(self, service: str, allowed: AllowedRegions, now: float) -> RunnerRecord | None:
        if not self._may_run_more(service):
            return None
        records = {
            record.runner: record
            for record in self._registry.ready(service)
            if self._regions.allows(allowed, record.zone) and self.rooms.may_start_at(record, now)
        }
        rooms = {name: self.rooms.room(record, now) for name, record in records.items()}
        local = [rooms[name] for name, record in records.items() if record.zone == self._zone]
        room = roomiest(local)
        best = roomiest(list(rooms.values()))
        chosen = best if room is None else room
        return None if chosen is None else records[chosen.runner]

    def _run_at(self, work: Work, job: RelayedJob, record: RunnerRecord, now: float) -> None:
        item = job.items[work.index]
        request = self._protocol.item_request(
            ItemRequest(job.host, item, work.progress.last_event, job.tenant),
            RunnerTarget(record.runner, record.address),
        )
        work.begin_run(record.runner, now)
        self.rooms.started(record, work, now)
        work.run = ItemRun(
            item.item,
            work.progress,
            self._protocol,
            lambda run, end, reason: self._run_ended(work, end, reason),
            lambda load: self.rooms.load_heard(record.runner, load, self._clock.seconds()),
        )
        log = logger.bind(job=self._job_id(work), item=item.item, runner=record.runner)
        log.bind(after_event=work.progress.last_event).info("item_sent")
        self._metrics.count("item_runs")
        work.call = self._pool.send(record.address, request, work.run)

    # --- ending --------------------------------------------------------------------------

    def _run_ended(self, work: Work, end: RunEnd, reason: str) -> None:
        now = self._clock.seconds()
        works = self._running.get(work.runner, [])
        if work in works:
            works.remove(work)
        self._guard.run_ended(work, self._registry.get(work.runner))
        if end == RunEnd.BROKEN:
            work.cut(now)
        work.ran_s = work.running_s(now)
        work.run = None
        work.call = None
        if end != RunEnd.WHOLE:
            item = self._item_id(work)
            log = logger.bind(job=self._job_id(work), item=item, runner=work.runner, reason=reason)
            log = log.bind(fingerprint=self._guard.name(work))
            log.bind(end=end.value, last_event=work.progress.last_event).info("item_run_ended")
        self._judge(work, end)

    def _judge(self, work: Work, end: RunEnd) -> None:
        now = self._clock.seconds()
        if end == RunEnd.WHOLE:
            self._finish(work, True, "whole")
            return
        if end == RunEnd.IMPOSSIBLE:
            self._finish(work, False, "the runner says that it can never be done")
            return
        if end == RunEnd.FAILED:
            work.progress.failures += 1
            if work.progress.failures >= self._most_attempts(work):
                self._finish(work, False, "failed at every attempt")
                return
        if end in (RunEnd.BROKEN, RunEnd.NOT_RUN):
            pause_s = FAILED_RUNNER_PAUSE_S if end == RunEnd.BROKEN else RETRY_PAUSE_S
            self.rooms.rests(work.runner, now + pause_s)
        work.ready_at_s = now + (work.pause_after_break_s() if end == RunEnd.BROKEN else 0.0)
        self._waiting.put_back(work)

    def _most_attempts(self, work: Work) -> int:
        job = self._state.jobs.get(work.job)
        route = None if job is None else self._route(job, job.items[work.index].path)
        return 1 if route is None else max(1, route.max_attempts)

    def _job_id(self, work: Work) -> str:
        job = self._state.jobs.get(work.job)
        return work.job if job is None else job.client_id

    def _item_id(self, work: Work) -> str:
        job = self._state.jobs.get(work.job)
        return "" if job is None else job.items[work.index].item

    def _tokens_of(self, work: Work) -> int:
        job = self._state.jobs.get(work.job)
        return 0 if job is None else job.items[work.index].tokens

    def _finish(self, work: Work, done: bool, reason: str) -> None:
        item = self._item_id(work)
        text = work.progress.text if done else ""
        log = logger.bind(
            job=self._job_id(work), item=item, runner=work.runner, done=done, reason=reason
        )
        log = log.bind(tokens=self._tokens_of(work), ran_s=round(work.ran_s, 3))
        log.bind(events=len(work.progress.texts)).info("item_ended")
        self._metrics.count("items_ended", state="done" if done else "given_up")
        self._list_outcome(work.job, ItemOutcome(work.index, done, text))
