"""Fail-over on the virtual clock: from the loss of the leader until a new change commits.

The time is a client's: it asks the old leader first and finds the new one by itself.
"""

import random
from collections.abc import Callable, Generator
from dataclasses import asdict
from enum import StrEnum
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.benchmarks.report import BenchReport, Progress, Target
from rainsail.benchmarks.results import ok
from rainsail.benchmarks.samples import latency_of, percentile
from rainsail.benchmarks.virtual_replicas import VirtualReplicas
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import PutResource

REPLICAS = 5
SEEDS = 200
LIMIT_S = 3.0
"""The limit that docs/design/replicated_state.md states."""
PHASE_S = 0.5
"""The loss comes at a random moment of this span, to meet every phase of the heartbeats."""
CLIENT_TIMEOUT_S = 30.0
"""Not measured; chosen at ten times the limit, so that a change that never commits stands out."""
CHANGES_AFTER = 2
"""Changes made one after the other; a leader whose disk stalls still takes the first."""
STALLED_SYNC_S = 600.0
"""Longer than any run: such a sync never ends."""


class LeaderLoss(StrEnum):
    """How the leader is lost."""

    KILLED = "killed"
    CUT_OFF = "cut_off"
    FAILING_DISK = "failing_disk"
    """Every sync fails."""
    STALLED_DISK = "stalled_disk"
    """No sync ends, and none fails."""


def _kill(replicas: VirtualReplicas, leader: str) -> None:
    replicas.replicas[leader].kill()


def _cut_off(replicas: VirtualReplicas, leader: str) -> None:
    replicas.network.isolate(leader)


def _fail_disk(replicas: VirtualReplicas, leader: str) -> None:
    replicas.replicas[leader].disk.sync_fails = True


def _stall_disk(replicas: VirtualReplicas, leader: str) -> None:
    replicas.replicas[leader].disk.sync_latency_s = STALLED_SYNC_S


LOSSES: dict[LeaderLoss, Callable[[VirtualReplicas, str], None]] = {
    LeaderLoss.KILLED: _kill,
    LeaderLoss.CUT_OFF: _cut_off,
    LeaderLoss.FAILING_DISK: _fail_disk,
    LeaderLoss.STALLED_DISK: _stall_disk,
}


def change(change_id: str) -> PutResource:
    """Return a small change of the configuration; safe to send again."""
    return PutResource(change_id, ResourceKey(Kind.TENANT, "north"), TenantSpec(1000.0, 1000.0))


def failover_s(loss: LeaderLoss, seed: int) -> float:
    """Return virtual seconds from a leader's loss until a client's new changes are committed.

    The client's whole timeout counts for a change that never commits.
    """
    replicas = VirtualReplicas(REPLICAS, seed)
    client = replicas.client("client")
    before = client.propose(change("before"), CLIENT_TIMEOUT_S)
    ok(replicas.finish(before, "a change before the loss"))
    replicas.clock.advance(random.Random(f"{loss}/{seed}").uniform(0, PHASE_S))
    leader = replicas.leader()
    LOSSES[loss](replicas, leader)
    lost_s = replicas.clock.seconds()
    for number in range(CHANGES_AFTER):
        after = client.propose(change(f"after-{number}"), CLIENT_TIMEOUT_S)
        replicas.finish(after, f"a change after the leader was lost ({loss}, seed {seed})")
    return replicas.clock.seconds() - lost_s


@inlineCallbacks
def run_failover_bench(
    reactor: Any, folder: Path, progress: Progress, seeds: int = SEEDS
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Lose the leader in each way at seeds 0 up to ``seeds``."""
    times_s: dict[LeaderLoss, list[float]] = {loss: [] for loss in LOSSES}
    for loss, samples in times_s.items():
        progress(f"{loss}, {seeds} seeds")
        for seed in range(seeds):
            samples.append(failover_s(loss, seed))
            yield deferLater(reactor, 0, lambda: None)
    figures = {
        "clock": "virtual",
        "replicas": REPLICAS,
        "seeds": seeds,
        "until_new_change": {loss: asdict(latency_of(each)) for loss, each in times_s.items()},
    }
    targets = tuple(
        Target(f"fail-over p99 in s, leader {loss}", LIMIT_S, round(percentile(each, 99), 3))
        for loss, each in times_s.items()
    )
    return BenchReport("failover", figures, targets)
