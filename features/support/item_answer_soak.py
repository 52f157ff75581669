"""Items of jobs at runners whose answers break, in virtual time, with real HTTP bytes.

The runners and their faults are those of the soak of relaying. An item that is listed as done must
have its whole text.
"""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

from expression import Ok
from features.support.relay_soak.answers import AnswerDrawer
from features.support.relay_soak.checks import AGREEING_RUNNERS, states_end
from features.support.relay_soak.content import event, last_event
from features.support.relay_soak.course_faults import CourseFaults, FaultKinds
from features.support.relay_soak.history import Framing, History, Kind, RunnerRun
from features.support.relay_soak.runner import SoakRunner
from features.support.relay_soak.wire import MemoryReactor
from features.support.relayed_fleet import HOST, RelayedFleet

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.fleet.base import NodeBase
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.jobs.messages import QueueLimit, ResultEntry
from rainsail.relay.header_protocol import HeaderNames, HeaderProtocol
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.state.job_commands import RelayedItem

SERVICE = "model"
PREFIX = f"/{Kind.RESUMABLE}/"
RUNNERS = 6
SLOTS = 8
JOBS = 6
ITEMS_OF_JOB = 20
JOB_EVERY_S = 3.0
MAX_ATTEMPTS = 3
LIMIT_S = 240.0
"""Virtual time until which all items must be listed."""
STEP_S = 0.1
HEARTBEAT_EVERY_S = 1.0
READ_EVERY_S = 1.0
STATUS_FAILED, STATUS_IMPOSSIBLE = 500, 422


class ItemAnswerFleet(RelayedFleet):
    """A fleet whose storage nodes have real connections to runners, in memory."""

    reactor: MemoryReactor

    def make_pool(self, base: NodeBase) -> Any:
        """Return a storage node's connections to runners."""
        if not hasattr(self, "reactor"):
            self.reactor = MemoryReactor(self.clock)
        return ConnectionPool(self.reactor, base.clock, PoolSettings())

    def make_protocol(self) -> Any:
        """Return the protocol of a storage node's requests to runners."""
        return HeaderProtocol(HeaderNames())

    def table_of(self, content: bytes) -> Any:
        """Return the table with the batch route."""
        route = Route(
            "jobs",
            HOST,
            PREFIX,
            RouteKind.BATCH,
            (ServiceShare(SERVICE, 1.0),),
            30.0,
            1.0,
            max_attempts=MAX_ATTEMPTS,
            completion_s=LIMIT_S,
        )
        services = (Service(SERVICE, 10, True),)
        return Ok(RoutingTable(int(content), (route,), services, ClientLimits()))


@dataclass
class ListedItems:
    """What a client has read: the entry of each item, by its name."""

    handed_in: list[str] = field(default_factory=list)
    entries: dict[str, ResultEntry] = field(default_factory=dict)


class ItemJudge:
    """Finds the guarantees that the listed items violate.

    ``unclear`` counts the texts whose true end can't be known.
    """

    def __init__(self, history: History, items: ListedItems) -> None:
        self._items = items
        self._runs: dict[str, list[RunnerRun]] = defaultdict(list)
        for run in history.runs:
            self._runs[run.request].append(run)
        self.unclear = 0

    def violations(self) -> list[str]:
        """Return every violation in words."""
        return [
            f"item {item}: {words}" for item in self._items.handed_in if (words := self._of(item))
        ]

    def _of(self, item: str) -> str:
        entry = self._items.entries.get(item)
        if entry is None:
            return "not listed"
        runs = self._runs[item]
        if not entry.done:
            failed = sum(run.status == STATUS_FAILED for run in runs)
            return "given up without enough failures" if failed < MAX_ATTEMPTS else ""
        if entry.text == text_of_item(item, last_event(item)):
            return ""
        last = _last_event_of(item, entry.text)
        if last is None:
            return f"done with another text: {entry.text[:80]!r}"
        stating = {run.runner for run in runs if states_end(run, last)}
        if len(stating) >= AGREEING_RUNNERS:
            self.unclear += 1
            return ""
        crashed = any(run.crashed_s is not None for run in runs)
        behind = ", behind a crash" if crashed and not stating else ""
        return f"done with its last events missing{behind}"


def _closes_alone(run: RunnerRun) -> bool:
    """Tell whether a run without framing ended in order between two events."""
    is_unframed = run.framing == Framing.CLOSE and bool(run.body)
    return is_unframed and any(states_end(run, last) for last in range(1, last_event(run.request)))


def text_of_item(item: str, last: int) -> str:
    """Return the text of an item up to event ``last``."""
    lines = b"".join(event(item, number) for number in range(1, last + 1)).decode().split("\n")
    return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data: "))


def _last_event_of(item: str, text: str) -> int | None:
    """Return the event behind which a text ends too early; None if it has another fault."""
    return next(
        (last for last in range(last_event(item)) if text_of_item(item, last) == text), None
    )


class ItemAnswerSoak:
    """One soak; ``violations`` lists what went wrong, ``counts`` what was covered."""

    def __init__(self, seed: int, faults: FaultKinds) -> None:
        self._seed = seed
        self.history = History()
        self.items = ListedItems()
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.fleet = ItemAnswerFleet(seed)
        self.fleet.leader("controller")
        self.fleet.leader("storage")
        taken = self.fleet.controller("controller-1").tables.replace(1, b"1")
        assert self.fleet.result_of(taken, "a table").is_ok()
        self._faults = CourseFaults(seed, faults)
        self._jobs: list[str] = []
        self._records: dict[str, RunnerRecord] = {}
        draw = random.Random(f"items of {seed}")
        self._drawer = AnswerDrawer(draw, False, self._faults)
        for number in range(1, RUNNERS + 1):
            self._start_runner(number, draw)
        self._next_heartbeat_s = self._next_read_s = self._next_job_s = 0.0

    @property
    def now(self) -> float:
        """Virtual time."""
        return self.fleet.clock.seconds()

    def run(self) -> None:
        """Hand all jobs in, and read until each item is listed or the limit has passed."""
        until_s = self.now + LIMIT_S
        while self.now < until_s and not self._is_finished():
            self._step()
        judge = ItemJudge(self.history, self.items)
        self.violations += judge.violations()
        self._count(judge)

    def _is_finished(self) -> bool:
        return len(self._jobs) == JOBS and len(self.items.entries) == JOBS * ITEMS_OF_JOB

    def _step(self) -> None:
        try:
            self.fleet.run_for(STEP_S)
        except Exception as error:
            self.violations.append(f"at {self.now:.3f} s was raised: {error!r}")
        if self.now >= self._next_heartbeat_s:
            self._next_heartbeat_s = self.now + HEARTBEAT_EVERY_S
            self._send_heartbeats()
        if len(self._jobs) < JOBS and self.now >= self._next_job_s:
            self._next_job_s = self.now + JOB_EVERY_S
            self._hand_in(f"{self._seed}-{len(self._jobs) + 1}")
        if self.now >= self._next_read_s:
            self._next_read_s = self.now + READ_EVERY_S
            for job in self._jobs:
                gateway = self.fleet.nodes["gateway-2"].role
                gateway.read("", job, 0, 0.0).addCallback(self._take_page)

    # --- runners -------------------------------------------------------------------------

    def _start_runner(self, number: int, draw: random.Random) -> None:
        name, host = f"runner-{number}", f"10.1.0.{number}"
        self._records[name] = RunnerRecord(
            name, SERVICE, f"{host}:80", "zone-1", SLOTS, RunnerState.READY, 0.0, 0
        )
        runner = SoakRunner(
            name,
            self.fleet.clock,
            self.history,
            draw,
            self._drawer,
            None,
            self._faults.down_s,
            self._came_back,
        )
        self.fleet.reactor.listen(host, runner.accept)
        self.history.runners += (name,)

    def _came_back(self, runner: SoakRunner) -> None:
        born = round(self.now * 1000)
        self._records[runner.name] = replace(self._records[runner.name], born=born, sequence=0)
        self._send_heartbeat(runner.name)

    def _send_heartbeats(self) -> None:
        """Send those of the runners that are up."""
        down = {crash.runner for crash in self.history.crashes if crash.back_s > self.now}
        for name in self._records:
            if name not in down:
                self._send_heartbeat(name)

    def _send_heartbeat(self, name: str) -> None:
        known = self._records[name]
        self._records[name] = record = replace(known, sequence=known.sequence + 1)
        self.fleet.controller("controller-1").reports.take(record)

    # --- the client ----------------------------------------------------------------------

    def _hand_in(self, job: str) -> None:
        self._jobs.append(job)
        names = [f"{job}-{number}" for number in range(1, ITEMS_OF_JOB + 1)]
        self.items.handed_in += names
        items = tuple(RelayedItem(name, PREFIX + name, (), b"body", 10) for name in names)
        self._submit(job, items)

    def _submit(self, job: str, items: tuple[RelayedItem, ...]) -> None:
        gateway = self.fleet.nodes["gateway-1"].role
        done = gateway.submit("", job, HOST, PREFIX, items, QueueLimit(PREFIX, 0))

        def answered(result: Any) -> None:
            if result.is_error():
                self.fleet.clock.callLater(READ_EVERY_S, self._submit, job, items)

        done.addCallback(answered)

    def _take_page(self, result: Any) -> None:
        if result.is_ok():
            for entry in result.ok.results:
                self.items.entries.setdefault(entry.item, entry)

    # --- coverage ------------------------------------------------------------------------

    def _count(self, judge: ItemJudge) -> None:
        entries = self.items.entries.values()
        self.counts.update(self._faults.counts)
        self.counts["unclear"] = judge.unclear
        self.counts["items"] = len(self.items.handed_in)
        self.counts["done"] = sum(entry.done for entry in entries)
        self.counts["given_up"] = sum(not entry.done for entry in entries)
        self.counts["runs"] = len(self.history.runs)
        self.counts["lone_close"] = sum(_closes_alone(run) for run in self.history.runs)
        self.counts["crash"] = len(self.history.crashes)
        self.counts["crashed_run"] = sum(run.crashed_s is not None for run in self.history.runs)
