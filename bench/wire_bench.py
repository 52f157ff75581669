"""Measure the transport between two processes over loopback, with and without TLS.

Prints one JSON object: envelopes a second one way and calls a second (one at a time and up to 64
at a time) by size of the message, with the processor time per envelope at each end. The machine's
load is stated beside the figures; ratios hold better than absolute figures.

    python bench/wire_bench.py [--seconds S]
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred, inlineCallbacks

from rainsail.wire.address import PeerAddress
from rainsail.wire.codec import wire_record
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.keys import create_certificates
from rainsail.wire.messenger import Envelope, EnvelopeKind, Messenger
from rainsail.wire.settings import TlsSettings
from rainsail.wire.tcp import TcpTransport

SIZES_BYTES = (64, 1024, 16 * 1024, 256 * 1024, 4 * 1024 * 1024)
CONCURRENT_CALLS = 64
IN_FLIGHT_BYTES = 8 * 1024 * 1024
"""Bytes of calls under way at most; more would meet the bound of the outgoing buffer."""
CALL_TIMEOUT_S = 30.0
BURST_BYTES = 256 * 1024
"""One-way bytes written before the reactor gets a turn."""
MICROSECONDS = 1e6


@wire_record
@dataclass(frozen=True, slots=True)
class Sample:
    """A message of the bench."""

    number: int
    payload: bytes


@wire_record
@dataclass(frozen=True, slots=True)
class CountRequest:
    """Ask how many samples came and what processor time the receiver has used."""

    reset: bool


@wire_record
@dataclass(frozen=True, slots=True)
class CountReply:
    """Samples received and processor seconds used since the last reset."""

    received: int
    processor_s: float


class Receiver:
    """The far end: counts one-way samples and echoes calls."""

    def __init__(self, messenger: Messenger) -> None:
        self.received = 0
        self.since_s = time.process_time()
        messenger.serve(Sample, self.take)
        messenger.serve(CountRequest, self.count)

    def take(self, source: str, sample: Sample) -> Sample:
        """Count and echo."""
        self.received += 1
        return sample

    def count(self, source: str, request: CountRequest) -> CountReply:
        """Report, and start anew when asked."""
        reply = CountReply(self.received, time.process_time() - self.since_s)
        if request.reset:
            self.received = 0
            self.since_s = time.process_time()
        return reply


def tls_files(folder: str, name: str) -> TlsSettings | None:
    """Return the TLS settings of a process, or None when no folder is given."""
    if not folder:
        return None
    path = Path(folder)
    return TlsSettings(
        authority_file=path / "authority.pem",
        certificate_file=path / f"{name}.pem",
        private_key_file=path / f"{name}.key",
    )


def serve(folder: str) -> None:
    """Run the far end and print its port."""
    transport = TcpTransport("receiver", {}, reactor, tls_files(folder, "receiver"))
    Receiver(Messenger(transport, reactor))
    listening = transport.listen_on("127.0.0.1", 0)
    listening.addCallback(lambda port: print(port.ok, flush=True))
    reactor.run()


class Bench:
    """The near end of one run."""

    def __init__(self, port: int, folder: str, seconds: float) -> None:
        peers = {"receiver": PeerAddress("127.0.0.1", port)}
        transport = TcpTransport("sender", peers, reactor, tls_files(folder, "sender"))
        self.messenger = Messenger(transport, reactor)
        self.seconds = seconds

    def call(self, message: Any) -> Deferred[Any]:
        """Call the receiver."""
        return self.messenger.call("receiver", message, CALL_TIMEOUT_S)

    @inlineCallbacks
    def run(self) -> Generator[Any, Any, list[dict[str, Any]]]:
        """Measure every size."""
        rows = []
        for size in SIZES_BYTES:
            row = {"payload_bytes": size}
            row.update((yield self.one_way(size)))
            row.update((yield self.calls(size, 1, "single_calls")))
            at_once = max(1, min(CONCURRENT_CALLS, IN_FLIGHT_BYTES // size))
            row["concurrent_calls"] = at_once
            row.update((yield self.calls(size, at_once, "concurrent_calls")))
            rows.append(row)
        return rows

    @inlineCallbacks
    def one_way(self, size: int) -> Generator[Any, Any, dict[str, float]]:
        """Send as fast as the link takes it; the clock stops when the last has arrived."""
        yield self.call(CountRequest(True))
        sample = Sample(1, bytes(size))
        per_burst = max(1, BURST_BYTES // size)
        sent = 0
        started_s, processor_s = time.monotonic(), time.process_time()
        while time.monotonic() - started_s < self.seconds:
            for _ in range(per_burst):
                if self.messenger.send("receiver", sample) is None:
                    sent += 1
            counted = yield self.call(CountRequest(False))
        took_s = time.monotonic() - started_s
        own_s = time.process_time() - processor_s
        if counted.is_error() or counted.ok.received != sent:
            raise RuntimeError(f"sent {sent}, received {counted}")
        return {
            "one_way_per_s": round(sent / took_s),
            "one_way_mib_per_s": round(sent * size / took_s / 2**20, 1),
            "sender_us_per_envelope": round(own_s / sent * MICROSECONDS, 1),
            "receiver_us_per_envelope": round(counted.ok.processor_s / sent * MICROSECONDS, 1),
        }

    @inlineCallbacks
    def calls(self, size: int, at_once: int, name: str) -> Generator[Any, Any, dict[str, float]]:
        """Keep ``at_once`` calls under way."""
        sample = Sample(1, bytes(size))
        took: list[float] = []
        ends_s = time.monotonic() + self.seconds

        @inlineCallbacks
        def caller() -> Generator[Any, Any, None]:
            while time.monotonic() < ends_s:
                started_s = time.monotonic()
                result = yield self.call(sample)
                assert result.is_ok(), result
                took.append(time.monotonic() - started_s)

        yield DeferredList([caller() for _ in range(at_once)], fireOnOneErrback=True)
        return {
            f"{name}_per_s": round(len(took) / self.seconds),
            f"{name}_p50_us": round(statistics.median(took) * MICROSECONDS),
        }


def cost_us(rounds: int, work: Callable[[Any], Any], argument: Any) -> float:
    """Return the mean processor time of one call in microseconds."""
    started_s = time.process_time()
    for _ in range(rounds):
        work(argument)
    return round((time.process_time() - started_s) / rounds * MICROSECONDS, 2)


def codec_costs() -> list[dict[str, float]]:
    """Processor time of encoding and decoding an envelope alone."""
    rows = []
    for size in SIZES_BYTES:
        envelope = Envelope(EnvelopeKind.CALL, 1, Sample(1, bytes(size)))
        data = encode_envelope(envelope)
        rounds = 20000 if size < 4096 else 2000
        row: dict[str, float] = {"payload_bytes": size}
        row["encode_us"] = cost_us(rounds, encode_envelope, envelope)
        row["decode_us"] = cost_us(rounds, decode_envelope, data)
        rows.append(row)
    return rows


async def measure(folder: str, seconds: float) -> list[dict[str, Any]]:
    """Start the far end, run the bench and stop it."""
    command = [sys.executable, __file__, "--serve", "--keys", folder]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        port = int(child.stdout.readline())
        try:
            return await Bench(port, folder, seconds).run()
        finally:
            child.kill()


async def main(seconds: float) -> None:
    """Run everything and print the result."""
    with tempfile.TemporaryDirectory() as folder:
        create_certificates(Path(folder), ["sender", "receiver"])
        result = {
            "load_before": os.getloadavg()[0],
            "processors": os.cpu_count(),
            "codec": codec_costs(),
            "plain": await measure("", seconds),
            "tls": await measure(folder, seconds),
            "load_after": os.getloadavg()[0],
        }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--serve", action="store_true")
    parser.add_argument("--keys", default="")
    options = parser.parse_args()
    if options.serve:
        serve(options.keys)
    else:
        ended = ensureDeferred(main(options.seconds))
        ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
        ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
        reactor.run()
