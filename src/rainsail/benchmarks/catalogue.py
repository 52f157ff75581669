"""The benches by name, and runs of several under one reactor.

Each bench is ``run(reactor, folder, progress, **parameters)``; ``folder`` is an empty folder on
the disk to be measured. The brief parameters bound a run of all benches to under three minutes.
"""

import os
import pkgutil
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.benchmarks.report import BenchReport, Progress

RunBench = Callable[..., Awaitable[BenchReport]]


@dataclass(frozen=True, slots=True)
class BenchEntry:
    """Where a bench is (``module:function``) and the parameters of its bounded run."""

    target: str
    brief_parameters: dict[str, Any] = field(default_factory=dict)

    def load(self) -> RunBench:
        """Import the bench."""
        loaded: RunBench = pkgutil.resolve_name(self.target)
        return loaded


BENCHES: dict[str, BenchEntry] = {
    "storage": BenchEntry("rainsail.benchmarks.storage:run_storage_bench", {"seconds": 1.0}),
    "ledger": BenchEntry(
        "rainsail.benchmarks.ledger:run_ledger_bench",
        {"sizes": (10_000, 100_000), "jobs": (1_000,)},
    ),
    "failover": BenchEntry("rainsail.benchmarks.failover:run_failover_bench", {"seeds": 50}),
    "gateway": BenchEntry(
        "rainsail.benchmarks.gateway:run_gateway_bench",
        {"runs": 1, "seconds": 0.5, "heap_items": 2_000, "memory": False, "fairness": False},
    ),
    "dispatcher": BenchEntry(
        "rainsail.benchmarks.dispatcher:run_dispatcher_bench",
        {"runners": (8, 32), "backlogs": (), "others": (), "repeats": 1},
    ),
    "wire": BenchEntry("rainsail.benchmarks.wire:run_wire_bench", {"seconds": 0.2}),
}


@dataclass(slots=True)
class BenchSession:
    """Benches to run one after the other, and what they returned."""

    names: tuple[str, ...]
    progress: Progress
    folder: str = ""
    """A folder on the disk to be measured; the system's temporary folder when empty."""
    parameters: dict[str, Any] = field(default_factory=dict)
    """Given to every bench of the session."""
    brief: bool = False
    reports: list[BenchReport] = field(default_factory=list)

    async def run(self, reactor: Any) -> None:
        """Run every bench, each in a temporary folder of its own."""
        for name in self.names:
            self.progress(name)
            self.reports.append(await self._run_one(reactor, name))

    async def _run_one(self, reactor: Any, name: str) -> BenchReport:
        entry = BENCHES[name]
        parameters = dict(entry.brief_parameters) if self.brief else {}
        parameters.update(self.parameters)
        load_before = os.getloadavg()[0]

        def progress(step: str) -> None:
            self.progress(f"{name}: {step}")

        with tempfile.TemporaryDirectory(prefix=f"bench-{name}-", dir=self.folder or None) as made:
            report = await entry.load()(reactor, Path(made), progress, **parameters)
        load = {"load_average_before": load_before, "load_average_after": os.getloadavg()[0]}
        return replace(report, figures={**report.figures, **load})


def run_session(session: BenchSession) -> None:
    """Run a session under the reactor; raises what a bench raised. Once per process.

    Raises ``KeyboardInterrupt`` when the reactor was stopped from outside.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    failures: list[Any] = []

    def start() -> None:
        ended = Deferred.fromCoroutine(session.run(loop))
        ended.addErrback(failures.append)
        ended.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start)
    loop.run()
    for failure in failures:
        failure.raiseException()
    if len(session.reports) < len(session.names):
        raise KeyboardInterrupt
