"""The restart bench with real processes: one of five is killed, misses changes, starts again.

Prints one JSON object: seconds from the start of the process, and from its first answer, until it
has applied everything that was committed while it was down. Times are of the real clock.

    python bench/restart.py [--folder FOLDER] [--changes N]
"""

import argparse
import itertools
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.internet.task import deferLater

from rainsail.benchmarks.loopback_replicas import connect_client, ok
from rainsail.benchmarks.proposal_load import PROPOSAL_TIMEOUT_S
from rainsail.benchmarks.restart import CHANGES_BEHIND, LIMIT_S, tenant_change
from rainsail.control.messages import GroupStatusReply, GroupStatusRequest
from rainsail.runtime.clock import MonotonicClock
from rainsail.state.commands import ROOT_GROUP
from rainsail.wire.messenger import Messenger
from rainsail.wire.tcp import TcpTransport
from replica_processes import ReplicaProcesses, first_commit

REPLICAS = 5
CONCURRENT_CHANGES = 1_024
POLL_S = 0.005
STATUS_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 60.0


async def commit_changes(client: Any, count: int) -> None:
    """Commit changes, many at once."""
    numbers = itertools.count()

    async def commit_until_end() -> None:
        while (number := next(numbers)) < count:
            ok(await client.propose(tenant_change(number), PROPOSAL_TIMEOUT_S))

    loops = [Deferred.fromCoroutine(commit_until_end()) for _ in range(CONCURRENT_CHANGES)]
    await DeferredList(loops, fireOnOneErrback=True)


class StatusReader:
    """Asks single replicas for their status."""

    def __init__(self, name: str, processes: ReplicaProcesses) -> None:
        self.transport = TcpTransport(name, processes.addresses(), reactor, None, fleet="bench")
        self._messenger = Messenger(self.transport, MonotonicClock(reactor))

    async def read(self, replica: str) -> GroupStatusReply | None:
        """Return a replica's status, or None when it doesn't answer."""
        request = GroupStatusRequest(ROOT_GROUP)
        answer = await self._messenger.call(replica, request, STATUS_TIMEOUT_S)
        return answer.ok if answer.is_ok() else None


async def measure(folder: Path, changes: int) -> dict[str, Any]:
    """Kill a follower, commit the changes, start it again, wait until it follows."""
    processes = ReplicaProcesses(REPLICAS, folder)
    processes.start()
    try:
        client, transport = connect_client("client", processes.addresses(), reactor)
        await first_commit(client)
        reader = StatusReader("reader", processes)
        status = await reader.read("r1")
        assert status is not None
        follower = next(name for name in processes.names if name != status.leader)
        processes.kill(follower)
        await commit_changes(client, changes)
        leader = await reader.read(status.leader)
        assert leader is not None
        figures = await follow_again(processes, follower, leader.applied_index)
        for each in (transport, reader.transport):
            await each.stop()
        return figures
    finally:
        processes.stop()


async def follow_again(
    processes: ReplicaProcesses, follower: str, target_index: int
) -> dict[str, Any]:
    """Start the replica and time it."""
    began_s = time.perf_counter()
    processes.start((follower,))
    first_answer_s, first_index = 0.0, 0
    attempt = 0
    while True:
        attempt += 1
        reader = StatusReader(f"reader-{attempt}", processes)
        while (status := await reader.read(follower)) is not None:
            now_s = time.perf_counter() - began_s
            if not first_answer_s:
                first_answer_s, first_index = now_s, status.applied_index
            if status.applied_index >= target_index:
                await reader.transport.stop()
                return {
                    "target_index": target_index,
                    "process_start_until_first_answer_s": round(first_answer_s, 3),
                    "applied_index_at_first_answer": first_index,
                    "first_answer_until_following_s": round(now_s - first_answer_s, 3),
                    "process_start_until_following_s": round(now_s, 3),
                }
            await deferLater(reactor, POLL_S, lambda: None)
        await reader.transport.stop()
        if time.perf_counter() - began_s > CATCH_UP_TIMEOUT_S:
            raise SystemExit(f"{follower} does not follow")
        await deferLater(reactor, POLL_S, lambda: None)


async def main(arguments: argparse.Namespace) -> None:
    """Measure in a temporary folder and print the figures."""
    load = {"load_average_before": os.getloadavg()[0]}
    with tempfile.TemporaryDirectory(prefix="restart-", dir=arguments.folder) as folder:
        figures = await measure(Path(folder), arguments.changes)
    report = {"bench": "restart_processes", "clock": "real", "replicas": REPLICAS}
    report |= {"changes_behind": arguments.changes, "limit_s": LIMIT_S, **figures, **load}
    print(json.dumps(report), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Restart one of five replica processes.")
    parser.add_argument("--folder", default=".")
    parser.add_argument("--changes", type=int, default=CHANGES_BEHIND)
    ended = ensureDeferred(main(parser.parse_args()))
    ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
    ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
