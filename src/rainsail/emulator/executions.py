"""Records what an emulated engine ran, so that checkers can detect requests that ran twice."""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.engine.interface import EndReason, GenerateRequest


@dataclass(slots=True, eq=False)
class ExecutionRecord:
    """One attempt that the engine started to run.

    Times are in seconds of the engine's clock; ``ended_s`` and ``reason`` are None while it runs.
    """

    request_id: str
    attempt_id: str
    started_s: float
    session: str = ""
    fence: int = 0
    ended_s: float | None = None
    reason: EndReason | None = None


class ExecutionLog:
    """Every execution since the engine was created, in order of start; crashes do not clear it."""

    def __init__(self) -> None:
        self.records: list[ExecutionRecord] = []
        self.listeners: list[Callable[[ExecutionRecord], None]] = []
        self._running: dict[str, ExecutionRecord] = {}

    def start(self, request: GenerateRequest, now_s: float) -> None:
        """Record that an attempt started to run."""
        record = ExecutionRecord(
            request.request_id, request.attempt_id, now_s, request.session, request.fence
        )
        self.records.append(record)
        self._running[request.attempt_id] = record
        self._notify_listeners(record)

    def end(self, attempt_id: str, reason: EndReason, now_s: float) -> None:
        """Record how an attempt ended, if it ever ran."""
        record = self._running.pop(attempt_id, None)
        if record is not None:
            record.ended_s = now_s
            record.reason = reason
            self._notify_listeners(record)

    def mark_all_lost(self, now_s: float) -> None:
        """Record all running attempts as lost in a crash of the engine."""
        for attempt_id in list(self._running):
            self.end(attempt_id, EndReason.LOST, now_s)

    def _notify_listeners(self, record: ExecutionRecord) -> None:
        for listener in self.listeners:
            listener(record)
