"""The transport over loopback, with and without TLS, and the codec alone.

The far end runs in a process of its own, as between machines.
Envelopes a second one way and calls a second (one at a time and many at a time) by size of the
message, with the processor time per envelope at each end.
"""

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from rainsail.benchmarks.child import LOOPBACK, Child
from rainsail.benchmarks.report import BenchReport, Progress
from rainsail.benchmarks.results import ok
from rainsail.benchmarks.samples import MICROSECONDS, percentile
from rainsail.wire.address import PeerAddress
from rainsail.wire.codec import wire_record
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.keys import create_certificates
from rainsail.wire.messenger import Envelope, EnvelopeKind, Messenger
from rainsail.wire.settings import TlsSettings
from rainsail.wire.tcp import TcpTransport

SIZES_BYTES = (64, 1024, 16 * 1024, 256 * 1024, 4 * 1024 * 1024)
"""Not measured; chosen from about a heartbeat up, each sixteen times the one before."""
CONCURRENT_CALLS = 64
"""Not measured; chosen so that a round trip no longer bounds the rate of small calls."""
IN_FLIGHT_BYTES = 8 * 1024 * 1024
"""Bytes of calls under way at most; more would meet the bound of the outgoing buffer."""
CALL_TIMEOUT_S = 30.0
"""Not measured; chosen so that no call of a busy machine runs into it."""
BURST_BYTES = 256 * 1024
"""One-way bytes written before the reactor gets a turn."""
SMALL_MESSAGE_BYTES = 4096
SMALL_ROUNDS = 20_000
LARGE_ROUNDS = 2_000
"""Calls that the codec's mean is taken over, by the size of the message."""
MEBIBYTE = 2**20
SENDER = "sender"
RECEIVER = "receiver"


@wire_record("Sample")
@dataclass(frozen=True, slots=True)
class Sample:
    """A message of the bench."""

    number: int
    payload: bytes


@wire_record("CountRequest")
@dataclass(frozen=True, slots=True)
class CountRequest:
    """Ask how many samples came and what processor time the receiver has used."""

    reset: bool


@wire_record("CountReply")
@dataclass(frozen=True, slots=True)
class CountReply:
    """Samples received and processor seconds used since the last reset."""

    received: int
    processor_s: float


class SampleReceiver:
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


def tls_files(folder: Path | None, name: str) -> TlsSettings | None:
    """Return the TLS settings of a process, or None when no folder is given."""
    if folder is None:
        return None
    return TlsSettings(
        authority_file=folder / "authority.pem",
        certificate_file=folder / f"{name}.pem",
        private_key_file=folder / f"{name}.key",
    )


class SampleSender:
    """The near end of one run."""

    def __init__(self, port: int, keys: Path | None, seconds: float, reactor: Any) -> None:
        peers = {RECEIVER: PeerAddress(LOOPBACK, port)}
        self.transport = TcpTransport(SENDER, peers, reactor, tls_files(keys, SENDER))
        self._messenger = Messenger(self.transport, reactor)
        self._seconds = seconds

    def _call(self, message: Any) -> Deferred[Any]:
        return self._messenger.call(RECEIVER, message, CALL_TIMEOUT_S)

    @inlineCallbacks
    def run(self, progress: Progress) -> Generator[Deferred[Any], Any, list[dict[str, float]]]:
        """Measure every size."""
        rows = []
        for size in SIZES_BYTES:
            progress(f"messages of {size} bytes")
            row: dict[str, float] = {"payload_bytes": size}
            row.update((yield self._one_way(size)))
            row.update((yield self._calls(size, 1, "single_calls")))
            at_once = max(1, min(CONCURRENT_CALLS, IN_FLIGHT_BYTES // size))
            row["concurrent_calls"] = at_once
            row.update((yield self._calls(size, at_once, "concurrent_calls")))
            rows.append(row)
        return rows

    @inlineCallbacks
    def _one_way(self, size: int) -> Generator[Deferred[Any], Any, dict[str, float]]:
        """Send as fast as the link takes it; the clock stops when the last has arrived."""
        ok((yield self._call(CountRequest(True))))
        sample = Sample(1, bytes(size))
        per_burst = max(1, BURST_BYTES // size)
        sent = 0
        counted = CountReply(0, 0.0)
        started_s, processor_s = time.monotonic(), time.process_time()
        while time.monotonic() - started_s < self._seconds:
            for _ in range(per_burst):
                if self._messenger.send(RECEIVER, sample) is None:
                    sent += 1
            counted = ok((yield self._call(CountRequest(False))))
        took_s = time.monotonic() - started_s
        own_s = time.process_time() - processor_s
        if counted.received != sent:
            raise RuntimeError(f"sent {sent}, received {counted.received}")
        return {
            "one_way_per_s": round(sent / took_s),
            "one_way_mib_per_s": round(sent * size / took_s / MEBIBYTE, 1),
            "sender_us_per_envelope": round(own_s / sent * MICROSECONDS, 1),
            "receiver_us_per_envelope": round(counted.processor_s / sent * MICROSECONDS, 1),
        }

    @inlineCallbacks
    def _calls(
        self, size: int, at_once: int, name: str
    ) -> Generator[Deferred[Any], Any, dict[str, float]]:
        """Keep ``at_once`` calls under way."""
        sample = Sample(1, bytes(size))
        took_s: list[float] = []
        ends_s = time.monotonic() + self._seconds

        @inlineCallbacks
        def caller() -> Generator[Deferred[Any], Any, None]:
            while time.monotonic() < ends_s:
                started_s = time.monotonic()
                ok((yield self._call(sample)))
                took_s.append(time.monotonic() - started_s)

        yield DeferredList([caller() for _ in range(at_once)], fireOnOneErrback=True)
        return {
            f"{name}_per_s": round(len(took_s) / self._seconds),
            f"{name}_p50_us": round(percentile(took_s, 50) * MICROSECONDS),
        }


def cost_us(rounds: int, work: Callable[[Any], Any], argument: Any) -> float:
    """Return the mean processor time of one call in microseconds."""
    started_s = time.process_time()
    for _ in range(rounds):
        work(argument)
    return round((time.process_time() - started_s) / rounds * MICROSECONDS, 2)


def codec_costs() -> list[dict[str, float]]:
    """Return the processor time of encoding and decoding an envelope alone, by size."""
    rows = []
    for size in SIZES_BYTES:
        envelope = Envelope(EnvelopeKind.CALL, 1, Sample(1, bytes(size)))
        data = encode_envelope(envelope)
        rounds = SMALL_ROUNDS if size < SMALL_MESSAGE_BYTES else LARGE_ROUNDS
        row: dict[str, float] = {"payload_bytes": size}
        row["encode_us"] = cost_us(rounds, encode_envelope, envelope)
        row["decode_us"] = cost_us(rounds, decode_envelope, data)
        rows.append(row)
    return rows


@inlineCallbacks
def start_receiver(
    reactor: Any, keys: Path | None
) -> Generator[Deferred[Any], Any, tuple[TcpTransport, int]]:
    """Start the far end in this process; fires with its transport and port."""
    transport = TcpTransport(RECEIVER, {}, reactor, tls_files(keys, RECEIVER))
    SampleReceiver(Messenger(transport, reactor))
    listening = yield transport.listen_on(LOOPBACK, 0)
    return transport, ok(listening)


async def _measure(
    reactor: Any, keys: Path | None, progress: Progress, seconds: float
) -> list[dict[str, float]]:
    receiver = Child("receiver", f"--keys={keys or ''}")
    try:
        port = await receiver.call("start")
        sender = SampleSender(port, keys, seconds, reactor)
        rows: list[dict[str, float]] = await sender.run(progress)
        await sender.transport.stop()
        return rows
    finally:
        receiver.close()


async def run_wire_bench(
    reactor: Any, folder: Path, progress: Progress, seconds: float = 1.0
) -> BenchReport:
    """Measure plain TCP and TLS between two processes, ``seconds`` per size and kind."""
    create_certificates(folder, [SENDER, RECEIVER])
    progress("codec")
    figures: dict[str, Any] = {"processes": 2, "codec": codec_costs()}
    figures["plain"] = await _measure(reactor, None, progress, seconds)
    figures["tls"] = await _measure(reactor, folder, progress, seconds)
    return BenchReport("wire", figures)
