"""The wire bench with its far end in another process, as between machines.

Prints one JSON object. ``rainsail bench wire`` runs the same with both ends in one process.

    python bench/wire_bench.py [--seconds S] [--output FOLDER]
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from rainsail.benchmarks.report import BenchReport, no_progress, write_report
from rainsail.benchmarks.wire import (
    RECEIVER,
    SENDER,
    SampleSender,
    codec_costs,
    start_receiver,
)
from rainsail.wire.keys import create_certificates


def serve(folder: str) -> None:
    """Run the far end and print its port."""
    started = start_receiver(reactor, Path(folder) if folder else None)
    started.addCallback(lambda receiver: print(receiver[1], flush=True))
    reactor.run()


async def measure(folder: str, seconds: float) -> list[dict[str, Any]]:
    """Start the far end, run the bench and stop it."""
    command = [sys.executable, __file__, "--serve", f"--keys={folder}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        port = int(child.stdout.readline())
        try:
            keys = Path(folder) if folder else None
            return await SampleSender(port, keys, seconds, reactor).run(no_progress)
        finally:
            child.kill()


async def main(arguments: argparse.Namespace) -> None:
    """Run everything and print the result."""
    figures: dict[str, Any] = {"processes": 2, "load_average_before": os.getloadavg()[0]}
    figures["codec"] = codec_costs()
    with tempfile.TemporaryDirectory() as folder:
        create_certificates(Path(folder), [SENDER, RECEIVER])
        figures["plain"] = await measure("", arguments.seconds)
        figures["tls"] = await measure(folder, arguments.seconds)
    figures["load_average_after"] = os.getloadavg()[0]
    report = BenchReport("wire", figures)
    if arguments.output:
        write_report(report, Path(arguments.output))
    print(json.dumps(report.to_json()), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Measure the transport between two processes.")
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--output", default="")
    parser.add_argument("--serve", action="store_true")
    parser.add_argument("--keys", default="")
    options = parser.parse_args()
    if options.serve:
        serve(options.keys)
    else:
        ended = ensureDeferred(main(options))
        ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
        ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
        reactor.run()
