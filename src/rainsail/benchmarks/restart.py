"""Restart of a replica that is many changes behind, on the real clock and real data folders.

Three replicas share this process and its core with each other, so the time holds the leader's
work too.
"""

import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.benchmarks.loopback_replicas import LoopbackGroup, LoopbackReplica, ok
from rainsail.benchmarks.plots import Curve, Plot
from rainsail.benchmarks.report import BenchReport, Progress, Target
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import PutResource

REPLICAS = 3
CHANGES_BEHIND = 50_000
RESOURCES = 1_000
"""Different resources that the changes go to."""
CHANGES_AT_ONCE = 500
CHANGES_BEFORE_STOP = 200
LIMIT_S = 2.0
POLL_S = 0.002
CATCH_UP_TIMEOUT_S = 60.0


def tenant_change(number: int) -> PutResource:
    """Return the change of a number: another rate for one of the tenants."""
    key = ResourceKey(Kind.TENANT, f"tenant-{number % RESOURCES}")
    return PutResource(f"change-{number}", key, TenantSpec(1000.0 + number, 5000.0))


@inlineCallbacks
def commit_changes(group: Any, first: int, count: int) -> Generator[Deferred[Any], Any, None]:
    """Commit changes at the leader's group, many at once."""
    for start in range(first, first + count, CHANGES_AT_ONCE):
        end = min(first + count, start + CHANGES_AT_ONCE)
        batch = [group.propose(tenant_change(number)) for number in range(start, end)]
        results = yield DeferredList(batch, fireOnOneErrback=True)
        for _, result in results:
            ok(result)


@inlineCallbacks
def run_restart_bench(
    reactor: Any, folder: Path, progress: Progress, changes: int = CHANGES_BEHIND
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Stop a follower, commit changes, start it again and wait until it follows."""
    replicas = LoopbackGroup(REPLICAS, folder, reactor)
    yield replicas.start()
    leader = replicas.leader()
    assert leader is not None and leader.node is not None and leader.node.group is not None
    group = leader.node.group
    yield commit_changes(group, 0, CHANGES_BEFORE_STOP)
    follower = next(each for each in replicas.replicas.values() if each is not leader)
    yield follower.stop()
    progress(f"{changes} changes while {follower.name} is down")
    began_s = time.perf_counter()
    yield commit_changes(group, CHANGES_BEFORE_STOP, changes)
    committing_s = time.perf_counter() - began_s
    progress("restart")
    track = yield follow_again(reactor, replicas, follower, group.status().applied_index)
    assert follower.node is not None and follower.node.group is not None
    snapshot_index = follower.node.group.core.state.snapshot_index
    target_index = group.status().applied_index
    yield replicas.stop()
    return _report(changes, committing_s, track, snapshot_index, target_index)


@inlineCallbacks
def follow_again(
    reactor: Any, replicas: LoopbackGroup, follower: LoopbackReplica, target_index: int
) -> Generator[Deferred[Any], Any, list[tuple[float, int]]]:
    """Start a replica; return (seconds, applied index) until it has applied ``target_index``."""
    began_s = time.perf_counter()
    yield replicas.restart(follower.name)
    track: list[tuple[float, int]] = []
    while not track or track[-1][1] < target_index:
        assert follower.node is not None and follower.node.group is not None
        applied = follower.node.group.status().applied_index
        track.append((time.perf_counter() - began_s, applied))
        if track[-1][0] > CATCH_UP_TIMEOUT_S:
            raise TimeoutError(f"{follower.name} does not follow: {track[-1]}")
        yield deferLater(reactor, POLL_S, lambda: None)
    return track


def _report(
    changes: int,
    committing_s: float,
    track: list[tuple[float, int]],
    snapshot_index: int,
    target_index: int,
) -> BenchReport:
    took_s = track[-1][0]
    figures = {
        "clock": "real",
        "replicas_in_this_process": REPLICAS,
        "changes_behind": changes,
        "changes_committed_per_s": round(changes / committing_s),
        "until_log_open_s": round(track[0][0], 3),
        "until_following_s": round(took_s, 3),
        "entries_in_snapshot": snapshot_index,
        "entries_in_tail": target_index - snapshot_index,
    }
    targets = (Target("restart until following in s", LIMIT_S, round(took_s, 3)),)
    times_s = tuple(each for each, _ in track)
    applied = tuple(float(index) for _, index in track)
    curve = Curve("applied index", times_s, applied)
    plot = Plot("catch_up", "s since the restart", "applied index", (curve,))
    return BenchReport("restart", figures, targets, (plot,))
