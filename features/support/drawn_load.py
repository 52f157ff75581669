"""Simulates batch items on the slots that random online traffic leaves, in the product's order.

Time is virtual. Engines, lengths, due times and the shape of the traffic are drawn at random, so
that no decision can depend on the figures of one deployment.
"""

import random
from dataclasses import dataclass

from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.job_state import NO_EVENT
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.waiting_items import WaitingItems
from rainsail.state.job_commands import ItemNote

SERVICE = "service"
STEP_S = 0.1
STEPS_PER_PLAN = 2
STEPS_PER_NOTE = 5
STARTS_AGAIN_S = 0.06
"""Time that a started run spends on its prompt before the first event."""
ARRIVALS_S = 60.0
LAST_S = 400.0


@dataclass(frozen=True)
class DrawnLoad:
    """One deployment and its traffic; times are seconds."""

    slots: int
    event_s: float
    due_s: float
    lengths: tuple[tuple[float, int], ...]
    """The job's arrival and the events of each item, in the order of arrival."""
    online: tuple[int, ...]
    """Slots that online work takes in each step."""

    def free(self, step):
        """Return the slots left in a step; all of them after the end of online traffic."""
        return self.slots - (self.online[step] if step < len(self.online) else 0)


def draw_load(seed, traffic, load):
    """Draw a deployment whose items need ``load`` times the slot time that online work leaves."""
    draw = random.Random(seed)
    slots = draw.randint(3, 8) * draw.randint(4, 24)
    online = _online(draw, traffic, slots)
    free = slots - sum(online) / len(online)
    mean_s = draw.uniform(1.0, 6.0)
    event_s = draw.uniform(0.01, 0.04)
    items_per_job = draw.randint(4, 24)
    jobs_per_s = load * free / mean_s / items_per_job
    lengths = []
    at_s = draw.expovariate(jobs_per_s)
    while at_s < ARRIVALS_S:
        for _ in range(items_per_job):
            length_s = max(0.2, draw.gauss(mean_s, 0.3 * mean_s))
            lengths.append((at_s, round(length_s / event_s)))
        at_s += draw.expovariate(jobs_per_s)
    return DrawnLoad(slots, event_s, draw.uniform(3.0, 5.0) * mean_s, tuple(lengths), online)


def _online(draw, traffic, slots):
    low, high = draw.uniform(0.1, 0.4), draw.uniform(0.7, 0.95)
    period_s = draw.uniform(2.0, 15.0)
    burst_share = draw.uniform(0.25, 0.5)
    step_at_s = draw.uniform(0.3, 0.7) * ARRIVALS_S
    taken = []
    for step in range(round(ARRIVALS_S / STEP_S)):
        at_s = step * STEP_S
        if traffic == "steady":
            share = (low + high) / 2
        elif traffic == "stepped":
            share = low if at_s < step_at_s else high
        else:
            share = high if at_s % period_s < burst_share * period_s else low
        taken.append(min(slots, max(0, round(slots * share + draw.gauss(0.0, 0.03 * slots)))))
    return tuple(taken)


class DueFirst(ItemOrder):
    """Baseline: earliest due time first, and last the items that can't be in time by themselves."""

    def plan(self, service, fresh, begun, now):
        """Mark each item as infeasible that needs more time than it has left."""
        for each in fresh:
            if now + self.lengths.remaining_s(0) > self.due.due_s(each.job):
                self._fresh_admitted[each.job] = 0
        for work in begun:
            if now + self.lengths.remaining_s(work.events) > self.due.due_s(work.job):
                self._infeasible.add((work.job, work.index))


@dataclass
class Outcome:
    """The outcome of a simulated load."""

    items: int
    in_time: int
    still_open: int
    cuts: int


class LoadRun:
    """Simulates one load with one item order, and with a reserve if one is given."""

    def __init__(self, load, order, reserve=None):
        self._load = load
        self._order = order
        self._reserve = reserve
        self._cuts = 0
        self._waiting = WaitingItems()
        self._running = []
        self._reads_s = {}
        self._events = {}
        self._noted = {}
        self._in_time = 0
        self._ended = 0

    def play(self):
        """Simulate until all items have ended, at most until ``LAST_S``."""
        jobs = {}
        for at_s, events in self._load.lengths:
            jobs.setdefault(at_s, []).append(events)
        arrivals = sorted(jobs.items())
        step = 0
        while self._ended < len(self._load.lengths) and step * STEP_S < LAST_S:
            now = step * STEP_S
            while arrivals and arrivals[0][0] <= now:
                self._accept(*arrivals.pop(0))
            if step % STEPS_PER_PLAN == 0:
                self._plan(self._load.free(step), now)
                self._plan_reserve(self._load.free(step), now)
            self._cut(self._load.free(step))
            self._fill(self._load.free(step))
            self._run(now)
            if step % STEPS_PER_NOTE == 0:
                self._note(now)
            step += 1
        items = len(self._load.lengths)
        return Outcome(items, self._in_time, items - self._ended, self._cuts)

    def _accept(self, at_s, lengths):
        job = f"job at {at_s}"
        works = [OpenItem(job, index) for index in range(len(lengths))]
        self._events.update({(job, index): events for index, events in enumerate(lengths)})
        self._order.due.set_due(job, at_s, self._load.due_s)
        self._waiting.add_job(job, works)

    def _plan(self, free, now):
        order, waiting = self._order, self._waiting
        order.begin_plan()
        order.on_slots_seen(SERVICE, free, now)
        begun = [*waiting.requeued_items, *self._running]
        order.plan(SERVICE, waiting.fresh(), begun, now)

    def _plan_reserve(self, free, now):
        if self._reserve is not None:
            self._reserve.on_online_seen(SERVICE, self._load.slots - free, now)
            needed = self._order.slots_needed(SERVICE)
            self._reserve.plan(SERVICE, self._load.slots, needed)

    def _cut(self, free):
        """Preempt the least urgent runs beyond the free slots."""
        self._running.sort(key=self._order.urgency)
        for work in self._running[free:]:
            self._cuts += 1
            self._waiting.requeue(work)
        del self._running[free:]

    def _fill(self, free):
        """Start the most urgent items."""
        limit = None if self._reserve is None else self._reserve.limit(SERVICE)
        most = free if limit is None else min(free, limit)
        if len(self._running) >= most:
            return
        for work in self._waiting.by_urgency(self._order):
            if len(self._running) >= most:
                return
            self._waiting.take(work)
            self._reads_s[(work.job, work.index)] = STARTS_AGAIN_S
            self._running.append(work)

    def _run(self, now):
        for work in list(self._running):
            key = (work.job, work.index)
            self._reads_s[key] -= STEP_S
            if self._reads_s[key] > 0:
                continue
            share = min(1.0, -self._reads_s[key] / STEP_S)
            made = work.ran_s / self._load.event_s
            work.ran_s += share * STEP_S
            new = round(work.ran_s / self._load.event_s) - round(made)
            work.progress.texts.extend(["text"] * new)
            if work.events >= self._events[key]:
                self._end(work, now)

    def _end(self, work, now):
        self._running.remove(work)
        self._order.lengths.finished(work.events)
        self._ended += 1
        self._in_time += now <= self._order.due.due_s(work.job)

    def _note(self, now):
        notes = []
        for work in self._running:
            key = (work.job, work.index)
            new = work.events - self._noted.get(key, 0)
            if new:
                texts = ("text",) * new
                notes.append(ItemNote(work.job, work.index, NO_EVENT, work.events, texts))
                self._noted[key] = work.events
        self._order.lengths.progressed(now, tuple(notes))
