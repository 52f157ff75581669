"""Opening the connection to one peer: lazily, with jittered backoff, with a bounded queue."""

from dataclasses import dataclass
from random import Random

from rainsail.errors import Fault, FaultCode
from rainsail.wire.settings import WireSettings

STEP = "wire.dialler"
PATIENT_EVERY = 5


@dataclass(frozen=True, slots=True)
class QueuedEnvelope:
    """An encoded envelope that waits for the connection; ``call_id`` is 0 for no call."""

    data: bytes
    call_id: int


class DialState:
    """When a peer may be dialled next, and what waits for the connection being opened."""

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
        """How long the next attempt may take."""
        patient = self._failures % PATIENT_EVERY == PATIENT_EVERY - 1
        settings = self._settings
        return settings.patient_connect_timeout_s if patient else settings.connect_timeout_s

    def refusal(self, now_s: float) -> Fault | None:
        """Return a fault while the peer may not be dialled yet."""
        wait_s = self._not_before_s - now_s
        if self.dialling or self._failures == 0 or wait_s <= 0:
            return None
        detail = f"{self._failures} attempts to connect have failed"
        return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=wait_s)

    def enqueue(self, queued: QueuedEnvelope) -> Fault | None:
        """Let an envelope wait; a fault when the queue is full."""
        total = self._queue_bytes + len(queued.data)
        if total > self._settings.connect_queue_bytes:
            detail = f"{self._queue_bytes} bytes wait for the connection already"
            return Fault(FaultCode.OVERLOADED, STEP, detail)
        self._queue.append(queued)
        self._queue_bytes = total
        return None

    def opened(self) -> list[QueuedEnvelope]:
        """Note success; return what waited."""
        self._failures = 0
        return self._end()

    def failed(self, now_s: float) -> list[QueuedEnvelope]:
        """Note a failure and set the next moment to dial; return what waited."""
        self._failures += 1
        ceiling_s = self._settings.backoff_initial_s * 2 ** min(self._failures - 1, 30)
        ceiling_s = min(ceiling_s, self._settings.backoff_max_s)
        self._not_before_s = now_s + self._random.uniform(ceiling_s / 2, ceiling_s)
        return self._end()

    def _end(self) -> list[QueuedEnvelope]:
        self.dialling = False
        queue, self._queue = self._queue, []
        self._queue_bytes = 0
        return queue
