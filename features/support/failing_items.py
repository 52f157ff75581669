"""A relayed fleet whose runners answer items as a test wants, while storage nodes are lost.

Counts each item's sends and answers at the runners, and checks both bounds of an item whose runs
fail: how often it may be sent, and when it may be listed as given up.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from expression import Ok
from features.support.relayed_fleet import HOST, JOB_PREFIX, RelayedFleet
from features.support.relaying import EVENT_STREAM_FIELDS, NOT_RUN_FIELD, event, runner_record

from rainsail.http.client import AnswerHead
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare

MAX_ATTEMPTS = 3
KEPT_S = 60.0
MOST_FAILURES = 3 * MAX_ATTEMPTS
MOST_IMPOSSIBLE = 3
TICK_S = 0.02
READ_EVERY_S = 0.5
HEARTBEAT_EVERY_S = 1.0
ANSWER_AFTER_S = (0.05, 0.3)
EVENTS = 5
COMMITTED_S = 0.2
"""Time for which the ledger may not yet know of an answer: a dispatch round and a commit."""
EVENT_EVERY_S = 0.1
KILLED_AFTER_S = 0.02
RUNNERS = 2
BROKEN_OFF = "connection reset"
STREAM_HEAD = AnswerHead(200, (*EVENT_STREAM_FIELDS, (b"transfer-encoding", b"chunked")))


class Answer(StrEnum):
    """What a runner does with a run."""

    FAILED = "500"
    FAILED_BROKEN_OFF = "500 that breaks off"
    FAILED_UNENDED = "500 that never ends"
    IMPOSSIBLE = "422"
    IMPOSSIBLE_BROKEN_OFF = "422 that breaks off"
    EVENTS = "events"
    EVENTS_BROKEN_OFF = "events that break off"
    LOST = "connection lost before a status"
    NOT_RUN = "421"
    UNREACHED = "unreachable"
    SILENT = "nothing"


FAILURES = (Answer.FAILED, Answer.FAILED_BROKEN_OFF, Answer.FAILED_UNENDED)
IMPOSSIBLES = (Answer.IMPOSSIBLE, Answer.IMPOSSIBLE_BROKEN_OFF)

ChooseAnswer = Callable[[str, int], Answer]
"""Returns the answer to a run of an item, by the item's name and the number of the run, from 0."""


class FailingItemFleet(RelayedFleet):
    """A fleet whose batch route has three attempts and a retention limit."""

    def table_of(self, content: bytes) -> Any:
        """Return the table with the batch route."""
        services = (Service("model", 10, True),)
        route = Route(
            "jobs",
            HOST,
            JOB_PREFIX,
            RouteKind.BATCH,
            (ServiceShare("model", 1.0),),
            30.0,
            1.0,
            max_attempts=MAX_ATTEMPTS,
            completion_s=20.0,
            kept_s=KEPT_S,
        )
        return Ok(RoutingTable(int(content), (route,), services, ClientLimits()))


@dataclass
class ItemRecord:
    """What the runners and the client know of an item."""

    sends: int = 0
    answers: list[Answer] = field(default_factory=list)
    """The answers that were given, at whichever sender they arrived."""
    listed: list[tuple[float, bool]] = field(default_factory=list)
    """When it was first seen in the results, and whether as done."""

    def given(self, *kinds: Answer) -> int:
        """Return how many answers of these kinds were given."""
        return sum(answer in kinds for answer in self.answers)


@dataclass
class SentRun:
    """A run as its sender knows it; times in virtual seconds."""

    item: str
    pool: Any
    """The connections of the sender; a restarted one has others."""
    sent_s: float
    answered_s: float = float("inf")
    """When its answer's head arrived."""

    @property
    def known_from_s(self) -> float:
        """When the ledger knew at the latest what had been answered."""
        return self.answered_s + COMMITTED_S


class FailingItems:
    """Plays runners and clients; ``violations`` lists each bound that was broken."""

    def __init__(self, seed: int, choose: ChooseAnswer) -> None:
        self.random = random.Random(seed)
        self.fleet = fleet = FailingItemFleet(seed)
        self.items: dict[str, ItemRecord] = defaultdict(ItemRecord)
        self.violations: list[str] = []
        self.on_answer: Callable[[str], None] = lambda sender: None
        """Called with the sender of a run when its runner has answered, before that arrives."""
        self.on_sent: Callable[[str], None] = lambda sender: None
        """Called with the sender of each run."""
        self.strikes = 0
        self.frozen: set[str] = set()
        self._late: dict[str, list[Callable[[], None]]] = defaultdict(list)
        """What arrives at a frozen node once it goes on."""
        self._choose = choose
        self.sent: list[SentRun] = []
        self._jobs: dict[str, tuple[int, float]] = {}
        self._next_read_s = self._next_heartbeat_s = 0.0
        fleet.leader("controller")
        fleet.leader("storage")
        taken = fleet.controller("controller-1").tables.replace(1, b"1")
        assert fleet.result_of(taken, "a table").is_ok()
        records = (runner_record(number) for number in range(1, RUNNERS + 1))
        self._runners = [replace(record, slots=8) for record in records]
        self._without_clocks()
        self._send_heartbeats()
        fleet.run_for(1.5)

    @property
    def now(self) -> float:
        """Virtual time."""
        return self.fleet.clock.seconds()

    def submit(self, job: str, count: int) -> None:
        """Have a gateway submit a job until it is accepted."""
        self._jobs[job] = (count, self.now)
        done = self.fleet.submit("gateway-1", job, count)
        assert self.fleet.result_of(done, "an answer to the job").is_ok()

    def hand_in(self, job: str, count: int) -> None:
        """Have a gateway submit a job, again and again until it is accepted."""
        self._jobs.setdefault(job, (count, self.now))

        def answered(result: Any) -> None:
            if result.is_error():
                self.fleet.clock.callLater(READ_EVERY_S, self.hand_in, job, count)

        self.fleet.submit("gateway-1", job, count).addCallback(answered)

    def accepted_s(self, item: str) -> float:
        """Return when an item's job was first submitted."""
        return self._jobs[item.rpartition("-")[0]][1]

    def all_items(self) -> list[str]:
        """Return the names of all items."""
        return [item for job in self._jobs for item in self.item_names(job)]

    def wait(self, seconds: float) -> None:
        """Let runners answer and clients read for a while."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.step()

    def play(self, seconds: float) -> None:
        """Let runners answer and clients read for a while, or until everything is listed."""
        until_s = self.now + seconds
        while self.now < until_s and not self.is_finished():
            self.step()

    def step(self) -> None:
        """Let one tick pass."""
        self.fleet.run_for(TICK_S)
        if self.now >= self._next_heartbeat_s:
            self._send_heartbeats()
        for name, pool in list(self.fleet.pools.items()):
            for call in list(pool.calls):
                if self.fleet.pools[name] is pool:
                    self._play_call(name, call)
        if self.now >= self._next_read_s:
            self._next_read_s = self.now + READ_EVERY_S
            for job in self._jobs:
                self._read(job)

    def is_finished(self) -> bool:
        """Tell whether all items of all jobs are listed."""
        listed = sum(bool(record.listed) for record in self.items.values())
        return listed == sum(count for count, _ in self._jobs.values())

    def item_names(self, job: str) -> list[str]:
        """Return the names of a job's items."""
        return [f"{job}-{number}" for number in range(self._jobs[job][0])]

    # --- losses --------------------------------------------------------------------------

    def kill_leaders_at_sends(self, count: int, limit_s: float) -> None:
        """Kill so many leaders, each right after the first item that it sends."""
        struck: set[tuple[str, int]] = set()
        until_s = self.now + limit_s

        def on_sent(sender: str) -> None:
            term = (sender, self.fleet.nodes[sender].role.driver.term())
            if len(struck) < count and term not in struck:
                struck.add(term)
                self.fleet.clock.callLater(KILLED_AFTER_S, self.kill, sender)

        self.on_sent = on_sent
        while len(struck) < count and self.now < until_s:
            self.step()
        assert len(struck) == count, f"{len(struck)} leaders have sent an item"

    def kill(self, name: str) -> None:
        """Kill a storage node and start it again at once."""
        self.strikes += 1
        self.fleet.crash(name)
        self._late.pop(name, None)
        self.frozen.discard(name)
        self.fleet.start(name)
        self._without_clocks()

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a storage node for a while."""
        if name in self.frozen:
            return
        self.strikes += 1
        self.frozen.add(name)
        self.fleet.freeze(name)
        self.fleet.clock.callLater(seconds, self._thaw, name)

    def _thaw(self, name: str) -> None:
        if name not in self.frozen:
            return
        self.frozen.discard(name)
        self.fleet.thaw(name)
        for arrive in self._late.pop(name, []):
            arrive()

    # --- runners -------------------------------------------------------------------------

    def _without_clocks(self) -> None:
        for pool in self.fleet.pools.values():
            pool.clock = None

    def _send_heartbeats(self) -> None:
        self._next_heartbeat_s = self.now + HEARTBEAT_EVERY_S
        for number, known in enumerate(self._runners):
            self._runners[number] = record = replace(known, sequence=known.sequence + 1)
            self.fleet.controller("controller-1").reports.take(record)

    def _play_call(self, sender: str, call: Any) -> None:
        if not hasattr(call, "kind"):
            self._begin(sender, call)
        if not call.over and not call.cancelled and self.now >= call.due_s:
            self._continue(sender, call)

    def _begin(self, sender: str, call: Any) -> None:
        item = call.field(b"item")
        call.run = SentRun(item, self.fleet.pools[sender], self.now)
        self.sent.append(call.run)
        record = self.items[item]
        self._check_send(item, record)
        call.kind = self._choose(item, record.sends)
        record.sends += 1
        self.on_sent(sender)
        call.due_s = self.now + self.random.uniform(*ANSWER_AFTER_S)
        call.next_event = 0

    def _check_send(self, item: str, record: ItemRecord) -> None:
        failures, impossible = record.given(*FAILURES), record.given(*IMPOSSIBLES)
        if failures >= MOST_FAILURES or impossible >= MOST_IMPOSSIBLE:
            at = f"at {self.now:.1f} s, after {failures} answers of 500 and {impossible} of 422"
            self.violations.append(f"{item} was sent for the {record.sends + 1}th time {at}")

    def _continue(self, sender: str, call: Any) -> None:
        if call.kind == Answer.SILENT:
            return
        if call.kind in (Answer.EVENTS, Answer.EVENTS_BROKEN_OFF):
            self._stream(sender, call)
            return
        call.over = True
        self.items[call.field(b"item")].answers.append(call.kind)
        self._answered(sender, call, lambda: _deliver(call))

    def _stream(self, sender: str, call: Any) -> None:
        """Send the head and the first event, then an event at a time."""
        if call.next_event == 0:
            call.next_event = int(call.field(b"after-event") or 0) + 1
            self._answered(sender, call, lambda: call.listener.answer_begun(STREAM_HEAD))
        elif call.kind == Answer.EVENTS_BROKEN_OFF and call.next_event > 1:
            call.over = True
            self._arrive(sender, lambda: call.listener.answer_failed(BROKEN_OFF))
        elif call.next_event > EVENTS:
            call.over = True
            self.items[call.field(b"item")].answers.append(call.kind)
            self._answered(sender, call, call.listener.answer_ended)
        else:
            data = event(call.next_event)
            call.next_event += 1
            self._arrive(sender, lambda: call.listener.answer_data(data))
        call.due_s = self.now + EVENT_EVERY_S

    def _answered(self, sender: str, call: Any, arrive: Callable[[], None]) -> None:
        """Let an answer arrive unless its sender is killed at that moment."""
        self.on_answer(sender)
        if self.fleet.pools[sender] is call.run.pool:
            self._arrive(sender, lambda: self._take_answer(call.run, arrive))

    def _take_answer(self, run: SentRun, arrive: Callable[[], None]) -> None:
        run.answered_s = min(run.answered_s, self.now)
        arrive()

    def _arrive(self, sender: str, arrive: Callable[[], None]) -> None:
        if sender in self.frozen:
            self._late[sender].append(arrive)
        else:
            arrive()

    # --- the client ----------------------------------------------------------------------

    def _read(self, job: str) -> None:
        gateway = self.fleet.nodes["gateway-2"].role
        gateway.read("", job, 0, 0.0).addCallback(self._on_page, job)

    def _on_page(self, result: Any, job: str) -> None:
        if result.is_error():
            return
        for entry in result.ok.results:
            record = self.items[entry.item]
            if not record.listed:
                record.listed.append((self.now, entry.done))
                if not entry.done:
                    self._check_given_up(entry.item, record, self.now - self._jobs[job][1])

    def _check_given_up(self, item: str, record: ItemRecord, age_s: float) -> None:
        certain = record.given(Answer.FAILED)
        if certain < MAX_ATTEMPTS and not record.given(Answer.IMPOSSIBLE) and age_s < KEPT_S:
            told = f"after {certain} whole answers of 500, {age_s:.1f} s after its acceptance"
            self.violations.append(f"{item} was given up {told}")


def _deliver(call: Any) -> None:
    """Let a runner's answer arrive at the sender of the run."""
    listener = call.listener
    match call.kind:
        case Answer.FAILED | Answer.IMPOSSIBLE:
            call.answer(int(call.kind), b"failed")
        case Answer.FAILED_UNENDED:
            listener.answer_begun(AnswerHead(500, ()))
            listener.answer_data(b"fai")
        case Answer.FAILED_BROKEN_OFF | Answer.IMPOSSIBLE_BROKEN_OFF:
            listener.answer_begun(AnswerHead(int(call.kind[:3]), ()))
            listener.answer_data(b"fai")
            listener.answer_failed(BROKEN_OFF)
        case Answer.LOST:
            listener.answer_failed(BROKEN_OFF)
        case Answer.NOT_RUN:
            call.answer(421, b"", (NOT_RUN_FIELD, b"1"))
        case Answer.UNREACHED:
            listener.request_unsent("connection refused")
