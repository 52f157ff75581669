"""``rainsail bench dispatcher``: processor time of a gateway's dispatcher per item and decision.

A real dispatcher, lease pool, committer and fleet view run on the virtual clock before engines
that do nothing but answer. The ledger's own time is taken off; that of the answering engines and
of the clock's queue is not, so the figures are upper bounds. An *item* is one item from its lease
to its commit with every chunk in between; a *decision* is one look at one runner on which nothing
changed.
"""

import gc
import time
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from expression import Ok
from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from rainsail.batch.dispatcher import BatchDispatcher
from rainsail.batch.policies import make_policy
from rainsail.batch.settings import BatchSettings
from rainsail.benchmarks.report import BenchReport, Progress
from rainsail.benchmarks.samples import MICROSECONDS, slope
from rainsail.engine.interface import Chunk, EndReason, EngineAttemptEnd, LoadReport
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    RunnerSpec,
    ServiceSpec,
    TenantSpec,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import (
    AddItems,
    Command,
    CommandOutcome,
    GroupId,
    ItemBody,
    JobSpec,
    JobView,
    OpenJob,
    SealJob,
)
from rainsail.state.machine import ReplicatedState

SLOTS = 32
"""Batch slots of a runner."""
CHUNKS = 10
CHUNK_S = 0.5
"""An item is answered in ``CHUNKS`` chunks, one each ``CHUNK_S``: five seconds and a half."""
REPORT_PERIOD_S = 0.5
"""Seconds between an engine's load reports."""
SETTLE_S = 2.0
"""Virtual seconds before the measurement. Not measured; chosen so that attempts run by then."""
RUN_S = 20.0
"""Virtual seconds that are measured: three or four rounds of items in each slot."""
RANGE_ITEMS = 1000
"""Items that one command adds to the ledger."""
ITEMS_PER_RUNNER = 400
"""More than a runner finishes in a run."""
RUNNERS = (4, 8, 16, 32, 64)
COMPARED_RUNNERS = 32
"""Runners of the runs with more waiting items or more runners of another zone: what a node owns at
the size that CONTRIBUTING.md states."""
BACKLOGS = (10_000, 100_000, 400_000)
OTHERS = (0, 3_000, 12_000)
"""Runners of another zone; 12,000 are those of the whole stated size."""
REPEATS = 3
DECISIONS_PER_RUNNER = RUN_S * (1.0 / BatchSettings().tick_s + 1.0 / REPORT_PERIOD_S)


class AnsweringEngines:
    """An engine client whose attempts each send a few chunks and finish."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._ended: dict[str, bool] = {}

    def generate(self, address: str, request: Any, listener: Any) -> None:
        """Start an attempt."""
        self._clock.callLater(CHUNK_S, self._send, request.attempt_id, listener, 0)

    def _send(self, attempt_id: str, listener: Any, sequence: int) -> None:
        if self._ended.pop(attempt_id, False):
            return
        if sequence == CHUNKS:
            listener.on_end(EngineAttemptEnd(attempt_id, EndReason.STOP, CHUNKS, 20, 320, ""))
            return
        listener.on_chunk(Chunk(attempt_id, sequence, sequence * 32, "x" * 128, 32))
        self._clock.callLater(CHUNK_S, self._send, attempt_id, listener, sequence + 1)

    def cancel(self, address: str, attempt_id: str) -> Any:
        """Cancel an attempt."""
        self._ended[attempt_id] = True
        return succeed(Ok(True))

    def subscribe(self, address: str, on_load: Any, on_cache: Any, on_lost: Any) -> Any:
        """Report the same load again and again."""
        if address.startswith("engine"):
            self._report(address, on_load, 1)
        return lambda: None

    def _report(self, address: str, on_load: Any, sequence: int) -> None:
        report = LoadReport(
            address, "1", sequence, 0.5, SLOTS, SLOTS, 0, 1, 60_000, 0.0, "v1", "", (), 0, False
        )
        on_load(report)
        self._clock.callLater(REPORT_PERIOD_S, self._report, address, on_load, sequence + 1)


@dataclass(frozen=True, slots=True)
class RunCost:
    """Processor seconds of a run without the ledger's own, and the items that it finished."""

    processor_s: float
    items: int

    @property
    def core_share(self) -> float:
        """Share of a core that the run took."""
        return self.processor_s / RUN_S

    def us_per_item(self, idle: "RunCost") -> float:
        """Return what an item adds to an idle run, in microseconds."""
        return MICROSECONDS * (self.processor_s - idle.processor_s) / self.items


class TimedControl(LocalControl):
    """Keeps the processor seconds that the ledger itself takes."""

    def __init__(self, states: dict[GroupId, ReplicatedState], clock: VirtualClock) -> None:
        super().__init__(states, clock)
        self.ledger_s = 0.0

    def apply(self, command: Command, group: GroupId = 0) -> CommandOutcome:
        """Apply a command and add its processor time."""
        started_s = time.process_time()
        outcome = super().apply(command, group)
        self.ledger_s += time.process_time() - started_s
        return outcome


class DispatcherRun:
    """One gateway that owns some runners, and the ledger's state."""

    def __init__(self, runners: int, items: int, others: int = 0) -> None:
        self.clock = VirtualClock()
        self.state = ReplicatedState()
        self.control = TimedControl({0: self.state}, self.clock)
        self.control.put(Kind.SERVICE, "reports", ServiceSpec("v1", runners))
        self.control.put(Kind.TENANT, "broker", TenantSpec(1e9, 1e9))
        self.control.put(Kind.GATEWAY, "gateway", GatewaySpec("r", "z", "gateway/1"))
        for index in range(runners):
            spec = RunnerSpec(f"engine-{index}", "r", "z", "reports", batch_slots=SLOTS)
            self.control.put(Kind.RUNNER, f"runner-{index:03d}", spec)
        self.control.put(Kind.GATEWAY, "neighbour", GatewaySpec("r", "other", "neighbour/1"))
        for index in range(others):
            spec = RunnerSpec(f"other-{index}", "r", "other", "other", batch_slots=SLOTS)
            self.control.put(Kind.RUNNER, f"other-{index:05d}", spec)
        engines: Any = AnsweringEngines(self.clock)
        config = LocalConfig(self.state)
        settings = BatchSettings()
        self.fleet = RunnerFleet(
            "gateway", "z", config, engines, self.clock, Random(1), GatewaySettings()
        )
        self.dispatcher = BatchDispatcher(
            "gateway/1",
            self.fleet,
            config,
            self.control,
            engines,
            self.clock,
            Random(2),
            settings,
            make_policy(settings),
        )
        self._add_job(items)
        self.fleet.start()

    def _add_job(self, items: int) -> None:
        if not items:
            return
        job = JobSpec("night", "broker", "reports", items, "digest", 1e12)
        opened = self.control.apply(OpenJob("night-1", job))
        assert isinstance(opened, JobView)
        for first in range(0, items, RANGE_ITEMS):
            bodies = tuple(
                ItemBody(f"item-{index}", f"report {index}", 320)
                for index in range(first, min(items, first + RANGE_ITEMS))
            )
            self.control.apply(AddItems(opened.job_id, first, bodies))
        self.control.apply(SealJob(opened.job_id))

    def run(self) -> RunCost:
        """Run and measure."""
        self.dispatcher.start()
        self.clock.advance(SETTLE_S)
        finished = self.dispatcher.counts.finished
        ledger_s = self.control.ledger_s
        gc.collect()
        started_s = time.process_time()
        self.clock.advance(RUN_S)
        spent_s = time.process_time() - started_s - (self.control.ledger_s - ledger_s)
        return RunCost(spent_s, self.dispatcher.counts.finished - finished)


def least_disturbed(repeats: int, runners: int, items: int, others: int = 0) -> RunCost:
    """Return the cost of the run that the machine disturbed least."""
    costs = (DispatcherRun(runners, items, others).run() for _ in range(repeats))
    return min(costs, key=lambda cost: cost.processor_s)


@dataclass(frozen=True, slots=True)
class RunnersRow:
    """The costs with a number of owned runners."""

    runners: int
    idle: RunCost
    busy: RunCost

    @property
    def us_per_decision(self) -> float:
        """Microseconds of a look at one runner."""
        return MICROSECONDS * self.idle.processor_s / (self.runners * DECISIONS_PER_RUNNER)

    def figures(self) -> dict[str, float]:
        """Return the row as JSON values."""
        return {
            "runners": self.runners,
            "idle_core_share": self.idle.core_share,
            "us_per_decision": self.us_per_decision,
            "busy_core_share": self.busy.core_share,
            "items_per_s": self.busy.items / RUN_S,
            "us_per_item": self.busy.us_per_item(self.idle),
        }


@inlineCallbacks
def run_dispatcher_bench(
    reactor: Any,
    folder: Path,
    progress: Progress,
    runners: tuple[int, ...] = RUNNERS,
    backlogs: tuple[int, ...] = BACKLOGS,
    others: tuple[int, ...] = OTHERS,
    repeats: int = REPEATS,
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Measure runners, waiting items and runners of another zone; each the least of ``repeats``.

    ``runners`` must hold ``COMPARED_RUNNERS``.
    """
    rows = []
    for count in runners:
        progress(f"{count} runners")
        idle = least_disturbed(repeats, count, 0)
        busy = least_disturbed(repeats, count, count * ITEMS_PER_RUNNER)
        rows.append(RunnersRow(count, idle, busy))
        yield deferLater(reactor, 0, lambda: None)
    compared = next(row for row in rows if row.runners == COMPARED_RUNNERS)
    by_backlog = {}
    for backlog in backlogs:
        progress(f"{backlog} items waiting")
        cost = least_disturbed(repeats, COMPARED_RUNNERS, backlog)
        by_backlog[str(backlog)] = cost.us_per_item(compared.idle)
        yield deferLater(reactor, 0, lambda: None)
    by_others = {}
    for other in others:
        progress(f"{other} runners of another zone")
        cost = least_disturbed(repeats, COMPARED_RUNNERS, 0, other)
        by_others[str(other)] = cost.core_share
        yield deferLater(reactor, 0, lambda: None)
    return _report(rows, compared, by_backlog, by_others)


def _report(
    rows: list[RunnersRow],
    compared: RunnersRow,
    by_backlog: dict[str, float],
    by_others: dict[str, float],
) -> BenchReport:
    idle_shares = [(row.runners, row.idle.core_share) for row in rows]
    item_times_s = [(row.busy.items, row.busy.processor_s - row.idle.processor_s) for row in rows]
    figures = {
        "runners": [row.figures() for row in rows],
        "us_per_item_by_waiting_items": by_backlog,
        "idle_core_share_by_other_runners": by_others,
        "idle_core_share_per_runner": round(slope(idle_shares), 7),
        "us_per_item": round(MICROSECONDS * slope(item_times_s), 1),
        "us_per_decision_at_32": round(compared.us_per_decision, 1),
    }
    return BenchReport("dispatcher", figures)
