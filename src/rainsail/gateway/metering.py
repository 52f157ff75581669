"""Request metrics of a gateway: counts and latencies."""

from prometheus_client import Counter, Histogram

from rainsail.errors import Fault, Outcome
from rainsail.gateway.interface import (
    Answer,
    CallerRequest,
    Gateway,
    RequestHandle,
    ResponseSink,
)
from rainsail.metrics import Metrics
from rainsail.runtime.clock import Clock

NO_FAULT = "none"
_LABELS = ("gateway", "class")


class RequestMeter:
    """Records the request metrics of one gateway."""

    def __init__(self, gateway: str, metrics: Metrics) -> None:
        self._gateway = gateway
        self._ends: Counter = metrics.counter(
            "requests", "Requests by their end", ("gateway", "class", "outcome", "fault")
        )
        self._first_part: Histogram = metrics.histogram(
            "first_part_seconds", "Seconds to the first part of an answer", _LABELS
        )
        self._answer: Histogram = metrics.histogram(
            "answer_seconds", "Seconds to the end of a whole answer", _LABELS
        )

    def count_end(self, class_: str, outcome: Outcome, fault: str) -> None:
        """Count the end of a request."""
        self._ends.labels(self._gateway, class_, outcome.value, fault).inc()

    def observe_first_part(self, class_: str, seconds: float) -> None:
        """Observe the seconds to the first part of an answer."""
        self._first_part.labels(self._gateway, class_).observe(seconds)

    def observe_answer(self, class_: str, seconds: float) -> None:
        """Observe the seconds to the end of a complete answer."""
        self._answer.labels(self._gateway, class_).observe(seconds)


class MeteredGateway:
    """A ``Gateway`` that wraps another one and records metrics once ``meter`` is set."""

    def __init__(self, core: Gateway, clock: Clock) -> None:
        self._core = core
        self._clock = clock
        self.meter: RequestMeter | None = None

    def submit(self, request: CallerRequest, sink: ResponseSink) -> RequestHandle:
        """Start a request at the wrapped gateway."""
        if self.meter is None:
            return self._core.submit(request, sink)
        class_ = "default" if request.class_ is None else request.class_.value
        return self._core.submit(request, _MeteredSink(sink, class_, self.meter, self._clock))


class _MeteredSink:
    """A ``ResponseSink`` that records metrics and passes everything on."""

    def __init__(self, sink: ResponseSink, class_: str, meter: RequestMeter, clock: Clock) -> None:
        self._sink = sink
        self._class = class_
        self._meter = meter
        self._clock = clock
        self._begun_s = clock.seconds()
        self._awaiting_first_part = True

    def on_part(self, text: str, tokens: int) -> None:
        """Pass a part on."""
        if self._awaiting_first_part:
            self._observe_first_part()
        self._sink.on_part(text, tokens)

    def _observe_first_part(self) -> None:
        self._awaiting_first_part = False
        self._meter.observe_first_part(self._class, self._clock.seconds() - self._begun_s)

    def on_answer(self, answer: Answer) -> None:
        """Pass the answer on."""
        if self._awaiting_first_part:
            self._observe_first_part()
        self._meter.observe_answer(self._class, self._clock.seconds() - self._begun_s)
        self._meter.count_end(self._class, answer.outcome, NO_FAULT)
        self._sink.on_answer(answer)

    def on_fault(self, fault: Fault) -> None:
        """Pass the fault on."""
        self._meter.count_end(self._class, fault.outcome, fault.code.value)
        self._sink.on_fault(fault)
