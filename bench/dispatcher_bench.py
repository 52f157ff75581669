"""Processor time of one gateway's dispatcher per batch item and per decision, as slopes.

A real dispatcher, lease pool, committer and fleet view run on the virtual clock before engines
that do nothing but answer. The ledger's own time is taken off; that of the answering engines and
of the clock's queue is not, so the figures are upper bounds. Run from the repository root:

    .venv/bin/python bench/dispatcher_bench.py

The last line of standard output is JSON. "item" is one item from its lease to its commit with
every chunk in between; "decision" is one look at one runner on which nothing changed.
"""

import gc
import json
import time
from collections.abc import Callable
from random import Random
from typing import Any

import numpy as np
from expression import Ok
from twisted.internet.defer import succeed

from rainsail.batch.dispatcher import Dispatcher
from rainsail.batch.policies import make_policy
from rainsail.batch.settings import BatchSettings
from rainsail.engine.interface import AttemptEnd, Chunk, EndReason, LoadReport
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ResourceKey,
    RunnerSpec,
    ServiceSpec,
    Spec,
    TenantSpec,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import AddItems, ItemBody, JobSpec, OpenJob, PutResource, SealJob
from rainsail.state.machine import ReplicatedState

SLOTS = 32
CHUNKS = 10
CHUNK_S = 0.5
REPORT_PERIOD_S = 0.5
RUN_S = 20.0
RANGE_ITEMS = 1000


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
            listener.on_end(AttemptEnd(attempt_id, EndReason.STOP, CHUNKS, 20, 320, ""))
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


class Bench:
    """One gateway that owns some runners, and the ledger's state."""

    def __init__(self, runners: int, items: int, others: int = 0) -> None:
        self.clock = VirtualClock()
        self.state = ReplicatedState()
        self.control = LocalControl({0: self.state}, self.clock)
        self._put(Kind.SERVICE, "reports", ServiceSpec("v1", runners))
        self._put(Kind.TENANT, "broker", TenantSpec(1e9, 1e9))
        self._put(Kind.GATEWAY, "gateway", GatewaySpec("r", "z", "gateway/1"))
        for index in range(runners):
            spec = RunnerSpec(f"engine-{index}", "r", "z", "reports", batch_slots=SLOTS)
            self._put(Kind.RUNNER, f"runner-{index:03d}", spec)
        self._put(Kind.GATEWAY, "neighbour", GatewaySpec("r", "other", "neighbour/1"))
        for index in range(others):
            spec = RunnerSpec(f"other-{index}", "r", "other", "other", batch_slots=SLOTS)
            self._put(Kind.RUNNER, f"other-{index:05d}", spec)
        engines: Any = AnsweringEngines(self.clock)
        config = LocalConfig(self.state)
        settings = BatchSettings()
        self.fleet = RunnerFleet(
            "gateway", "z", config, engines, self.clock, Random(1), GatewaySettings()
        )
        self.dispatcher = Dispatcher(
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
        self._ledger_s = 0.0
        self._apply = self.control.apply
        self.control.apply = self._timed_apply
        self.fleet.start()

    def _timed_apply(self, command: Any, group: int = 0) -> Any:
        started_s = time.process_time()
        outcome = self._apply(command, group)
        self._ledger_s += time.process_time() - started_s
        return outcome

    def _put(self, kind: Kind, name: str, spec: Spec) -> None:
        self.control.apply(PutResource(f"{kind}/{name}", ResourceKey(kind, name), spec))

    def _add_job(self, items: int) -> None:
        if not items:
            return
        job = JobSpec("night", "broker", "reports", items, "digest", 1e12)
        job_id = self.control.apply(OpenJob("night-1", job)).job_id
        for first in range(0, items, RANGE_ITEMS):
            bodies = tuple(
                ItemBody(f"item-{index}", f"report {index}", 320)
                for index in range(first, min(items, first + RANGE_ITEMS))
            )
            self.control.apply(AddItems(job_id, first, bodies))
        self.control.apply(SealJob(job_id))

    def run(self) -> tuple[float, int]:
        """Return the processor seconds of a run and the items that it finished."""
        self.dispatcher.start()
        self.clock.advance(2.0)
        finished = self.dispatcher.counts.finished
        ledger_s = self._ledger_s
        gc.collect()
        started_s = time.process_time()
        self.clock.advance(RUN_S)
        spent_s = time.process_time() - started_s - (self._ledger_s - ledger_s)
        return spent_s, self.dispatcher.counts.finished - finished


def least(make: Callable[[], tuple[float, int]], repeats: int = 3) -> tuple[float, int]:
    """Return the run that the machine disturbed least."""
    return min(make() for _ in range(repeats))


def main() -> None:
    """Measure runners and backlog, and print the slopes."""
    rows = []
    for runners in (4, 8, 16, 32, 64):
        idle_s, _ = least(lambda runners=runners: Bench(runners, 0).run())
        busy_s, items = least(lambda runners=runners: Bench(runners, runners * 400).run())
        decisions = runners * RUN_S * (1.0 / BatchSettings().tick_s + 1.0 / REPORT_PERIOD_S)
        rows.append((runners, idle_s, busy_s, items, idle_s / decisions))
        print(
            f"{runners:3d} runners: idle {idle_s / RUN_S:.4f} of a core, "
            f"{1e6 * idle_s / decisions:.1f} us a decision; busy {busy_s / RUN_S:.4f}, "
            f"{items / RUN_S:.1f} items/s, {1e6 * (busy_s - idle_s) / items:.0f} us an item"
        )
    for backlog in (10_000, 100_000, 400_000):
        busy_s, items = least(lambda backlog=backlog: Bench(32, backlog).run(), 2)
        print(f"backlog {backlog}: {1e6 * (busy_s - rows[3][1]) / items:.0f} us an item")
    for others in (0, 3_000, 12_000):
        ticks_s, _ = least(lambda others=others: Bench(32, 0, others).run(), 2)
        print(f"32 runners among {others} others: idle {ticks_s / RUN_S:.4f} of a core")
    counts = np.array([row[0] for row in rows], dtype=float)
    idle_slope, _ = np.polyfit(counts, [row[1] for row in rows], 1)
    item_slope, _ = np.polyfit([row[3] for row in rows], [row[2] - row[1] for row in rows], 1)
    summary = {
        "idle_core_share_per_runner": round(idle_slope / RUN_S, 7),
        "us_per_item": round(1e6 * item_slope, 1),
        "us_per_decision_at_32": round(1e6 * rows[3][4], 1),
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
