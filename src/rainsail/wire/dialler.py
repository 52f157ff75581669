"""Dialling of one peer: on demand, with jittered backoff and a bounded queue of envelopes."""

from dataclasses import dataclass
from random import Random

from rainsail.errors import Fault, FaultCode
from rainsail.wire.settings import WireSettings

STEP = "wire.dialler"
LONG_TIMEOUT_PERIOD = 5
"""Every fifth attempt uses the longer connect timeout, for distant peers."""


@dataclass(frozen=True, slots=True)
class QueuedEnvelope:
    """An encoded envelope queued for a connection; ``call_id`` is 0 unless it is a call."""

    data: bytes
    call_id: int


class DialState:
    """The backoff of one peer, and the envelopes queued while its connection is opened."""

    def __init__(self, random: Random, settings: WireSettings) -> None:
        self.dialling = False
        self._random = random
        self._settings = settings
        self._failures = 0
        self._not_before_s = 0.0
        self._queue: list[QueuedEnvelope] = []
        self._queue_bytes = 0

    @property
    def timeout_s(self) -> float:
        """The connect timeout of the next attempt."""
        patient = self._failures % LONG_TIMEOUT_PERIOD == LONG_TIMEOUT_PERIOD - 1
        settings = self._settings
        return settings.patient_connect_timeout_s if patient else settings.connect_timeout_s

    def refusal(self, now_s: float) -> Fault | None:
        """Return a fault while the backoff forbids the next attempt."""
        wait_s = self._not_before_s - now_s
        if self.dialling or self._failures == 0 or wait_s <= 0:
            return None
        detail = f"{self._failures} attempts to connect have failed"
        return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=wait_s)

    def enqueue(self, queued: QueuedEnvelope) -> Fault | None:
        """Queue an envelope; a fault when the queue is full."""
        total = self._queue_bytes + len(queued.data)
        if total > self._settings.connect_queue_bytes:
            detail = f"{self._queue_bytes} bytes wait for the connection already"
            return Fault(FaultCode.OVERLOADED, STEP, detail)
        self._queue.append(queued)
        self._queue_bytes = total
        return None

    def opened(self) -> list[QueuedEnvelope]:
        """Record a success and return the queued envelopes."""
        self._failures = 0
        return self._take_queue()

    def failed(self, now_s: float) -> list[QueuedEnvelope]:
        """Record a failure, start the backoff and return the queued envelopes."""
        self._failures += 1
        ceiling_s = self._settings.backoff_initial_s * 2 ** min(self._failures - 1, 30)
        ceiling_s = min(ceiling_s, self._settings.backoff_max_s)
        self._not_before_s = now_s + self._random.uniform(ceiling_s / 2, ceiling_s)
        return self._take_queue()

    def _take_queue(self) -> list[QueuedEnvelope]:
        self.dialling = False
        queue, self._queue = self._queue, []
        self._queue_bytes = 0
        return queue
