"""Intake of one very large job: does it hold up the leader's heartbeats?

The replicas and the client share this process and its core, which is harder on the heartbeats
than processes of their own. The gap is what a follower sees between two appends of its leader,
on the real clock.
"""

import resource
import time
from collections.abc import Callable, Generator
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.batch.intake import JobIntake
from rainsail.batch.settings import BatchSettings
from rainsail.benchmarks.ledger_commands import DEADLINE_UNIX_S, SERVICE, item_body
from rainsail.benchmarks.loopback_replicas import LoopbackGroup, ok
from rainsail.benchmarks.plots import Plot, cumulative
from rainsail.benchmarks.report import BenchReport, Progress, Target
from rainsail.benchmarks.samples import latency_of
from rainsail.consensus.messages import AppendRequest
from rainsail.consensus.settings import ConsensusSettings
from rainsail.errors import Fault
from rainsail.runtime.clock import MonotonicClock
from rainsail.wire.messenger import Envelope, ProcessName, Transport

REPLICAS = 3
ITEMS = 530_000
KIBIBYTES_PER_MEBIBYTE = 1024


class AppendMeter:
    """A transport that notes when appends of a leader arrive."""

    def __init__(self, inner: Transport) -> None:
        self.name = inner.name
        self.gaps_s: list[float] = []
        self._inner = inner
        self._last_s: float | None = None

    def send(self, destination: ProcessName, envelope: Envelope) -> Fault | None:
        """Send as the transport within does."""
        return self._inner.send(destination, envelope)

    def listen(self, deliver: Callable[[ProcessName, Envelope], None]) -> None:
        """Note appends on their way up."""

        def arrive(source: ProcessName, envelope: Envelope) -> None:
            if isinstance(envelope.message, AppendRequest):
                self._note(time.perf_counter())
            deliver(source, envelope)

        self._inner.listen(arrive)

    def _note(self, now_s: float) -> None:
        if self._last_s is not None:
            self.gaps_s.append(now_s - self._last_s)
        self._last_s = now_s


@inlineCallbacks
def run_intake_bench(
    reactor: Any, folder: Path, progress: Progress, items: int = ITEMS
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Submit one job and watch the followers' appends."""
    bodies = tuple(item_body(index) for index in range(items))
    meters: list[AppendMeter] = []

    def metered(transport: Transport) -> Transport:
        meters.append(AppendMeter(transport))
        return meters[-1]

    group = LoopbackGroup(REPLICAS, folder, reactor, wrap=metered)
    yield group.start()
    leader = group.leader()
    assert leader is not None and leader.node is not None and leader.node.group is not None
    term = leader.node.group.term()
    progress(f"{items} items in one job")
    settings = BatchSettings.model_validate({})
    client = group.client("client")
    clock = MonotonicClock(reactor)
    intake = JobIntake(client, clock, Random(1), settings, lambda: 0.0)
    began_s = time.perf_counter()
    accepted = yield intake.submit("north", "large", SERVICE, bodies, DEADLINE_UNIX_S)
    took_s = time.perf_counter() - began_s
    ok(accepted)
    elections = leader.node.group.term() - term
    yield group.stop()
    return _report(items, took_s, elections, [gap for each in meters for gap in each.gaps_s])


def _highest_memory_mib() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIBIBYTES_PER_MEBIBYTE


def _report(items: int, took_s: float, elections: int, gaps_s: list[float]) -> BenchReport:
    timeout_s = ConsensusSettings.model_validate({}).election_timeout_s
    longest_s = round(max(gaps_s), 3)
    figures = {
        "clock": "real",
        "replicas_in_this_process": REPLICAS,
        "items": items,
        "accepted_after_s": round(took_s, 2),
        "items_per_s": round(items / took_s),
        "append_gap": asdict(latency_of(gaps_s)),
        "longest_append_gap_s": longest_s,
        "election_timeout_s": timeout_s,
        "elections": elections,
        "highest_process_memory_mib": _highest_memory_mib(),
    }
    targets = (
        Target("longest gap between appends in s", timeout_s, longest_s),
        Target("elections during the intake", 0, elections),
    )
    plot = Plot(
        "append_gaps",
        "s between appends at a follower",
        "share",
        (cumulative("gaps", gaps_s),),
        logarithmic_x=True,
    )
    return BenchReport("intake", figures, targets, (plot,))
