"""Counts what one role costs: processor time, messages and bytes by message type.

Processor time is this machine's and this thread's. Messages and bytes are those of encoded
envelopes with the frame's length prefix, so they are exact and repeat with the seed; TCP/IP and
TLS overhead is not in them.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rainsail.errors import Fault
from rainsail.runtime.clock import Clock, Timer
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.framing import LENGTH_PREFIX_BYTES
from rainsail.wire.messenger import Envelope, EnvelopeKind, Transport


@dataclass(slots=True)
class Traffic:
    """Messages and bytes of one message type, both ways."""

    messages: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Meter:
    """Totals of one role since it was made; nested calls count once."""

    processor_s: float = 0.0
    traffic: dict[str, Traffic] = field(default_factory=dict)
    _running: bool = False

    def run(self, call: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Run a call and add its processor time."""
        if self._running:
            return call(*args, **kw)
        self._running = True
        start_s = time.thread_time()
        try:
            return call(*args, **kw)
        finally:
            self.processor_s += time.thread_time() - start_s
            self._running = False

    def count(self, name: str, size: int) -> None:
        """Count one message."""
        traffic = self.traffic.get(name)
        if traffic is None:
            traffic = self.traffic[name] = Traffic()
        traffic.messages += 1
        traffic.bytes += size

    def totals(self) -> "Totals":
        """Return the totals so far."""
        return Totals(
            self.processor_s,
            {name: Traffic(each.messages, each.bytes) for name, each in self.traffic.items()},
        )


@dataclass(frozen=True, slots=True)
class Totals:
    """Totals at one moment, or the difference of two."""

    processor_s: float
    traffic: dict[str, Traffic]

    def since(self, earlier: "Totals") -> "Totals":
        """Return what was added after ``earlier``."""
        none = Traffic()
        traffic = {
            name: Traffic(
                each.messages - earlier.traffic.get(name, none).messages,
                each.bytes - earlier.traffic.get(name, none).bytes,
            )
            for name, each in sorted(self.traffic.items())
        }
        used = {name: each for name, each in traffic.items() if each.messages}
        return Totals(self.processor_s - earlier.processor_s, used)

    @property
    def messages(self) -> int:
        """Messages of every type."""
        return sum(each.messages for each in self.traffic.values())

    @property
    def bytes(self) -> int:
        """Bytes of every type."""
        return sum(each.bytes for each in self.traffic.values())


class MeteredClock:
    """A clock whose timers' processor time goes to a meter."""

    def __init__(self, clock: Clock, meter: Meter) -> None:
        self._clock = clock
        self._meter = meter

    def seconds(self) -> float:
        """Return the clock's time."""
        return self._clock.seconds()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> Timer:
        """Schedule a metered call."""
        return self._clock.callLater(delay, self._meter.run, callable, *args, **kw)


class MeteredTransport:
    """Encodes and decodes every envelope as on TCP and counts it by its type.

    A reply counts under the type of its own record (``ProposeReply``, ``ConfigPollReply``, ...).
    """

    def __init__(self, inner: Transport, meter: Meter) -> None:
        self.name = inner.name
        self._inner: Any = inner
        self._meter = meter

    def send(self, destination: str, envelope: Envelope) -> Fault | None:
        """Encode, count and send."""
        data = self._meter.run(encode_envelope, envelope)
        self._count(envelope, data)
        refused: Fault | None = self._inner.send(destination, data)
        return refused

    def listen(self, deliver: Callable[[str, Envelope], None]) -> None:
        """Decode, count and deliver what arrives."""

        def take(source: str, data: bytes) -> None:
            envelope = decode_envelope(data)
            self._count(envelope, data)
            deliver(source, envelope)

        self._inner.listen(lambda source, data: self._meter.run(take, source, data))

    def _count(self, envelope: Envelope, data: bytes) -> None:
        self._meter.count(message_name(envelope), len(data) + LENGTH_PREFIX_BYTES)


def message_name(envelope: Envelope) -> str:
    """Return the name under which an envelope is counted."""
    name = type(envelope.message).__name__
    if envelope.kind == EnvelopeKind.REPLY and name == "EncodedReply":
        return "ConfigPollReply"
    return name
