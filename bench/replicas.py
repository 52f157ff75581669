"""The consensus bench against five real processes over TCP, each with its own data folder.

Starts five ``rainsail run`` processes on loopback, drives them through the product's own client
and ends them. Prints one JSON object; ``--folder`` must lie on the disk to be measured.

    python bench/replicas.py [--folder FOLDER] [--seconds S] [--output FOLDER]
"""

import argparse
import json
import os
import sys
import tempfile
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from rainsail.benchmarks.consensus import REPLICAS, measure_commits
from rainsail.benchmarks.loopback_replicas import connect_client
from rainsail.benchmarks.report import BenchReport, no_progress, write_report
from replica_processes import ReplicaProcesses, first_commit


async def measure(folder: Path, seconds: float) -> BenchReport:
    """Start the replicas, wait for a first commit, measure, stop them."""
    processes = ReplicaProcesses(REPLICAS, folder)
    processes.start()
    try:
        client, transport = connect_client("client", processes.addresses(), reactor)
        await first_commit(client)
        report = await measure_commits("replicas", client, folder, no_progress, seconds)
        await transport.stop()
        return report
    finally:
        processes.stop()


async def main(arguments: argparse.Namespace) -> None:
    """Measure in a temporary folder and print the report."""
    load_before = os.getloadavg()[0]
    with tempfile.TemporaryDirectory(prefix="replicas-", dir=arguments.folder) as folder:
        report = await measure(Path(folder), arguments.seconds)
    if arguments.output:
        write_report(report, Path(arguments.output))
    figures = {**report.to_json(), "load_before": load_before, "load_after": os.getloadavg()[0]}
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Measure five replica processes on loopback.")
    parser.add_argument("--folder", default=".")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--output", default="")
    ended = ensureDeferred(main(parser.parse_args()))
    ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
    ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
