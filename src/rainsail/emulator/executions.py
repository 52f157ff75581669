"""What an emulated engine began to run, for checkers: at most once, refused as not run."""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.engine.interface import EndReason, GenerateRequest


@dataclass(slots=True, eq=False)
class ExecutionRecord:
    """One attempt that the engine began to run.

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
    """Every execution since the engine was made, crashes included, in order of start."""

    def __init__(self) -> None:
        self.records: list[ExecutionRecord] = []
        self.listeners: list[Callable[[ExecutionRecord], None]] = []
        self._running: dict[str, ExecutionRecord] = {}

    def start(self, request: GenerateRequest, now_s: float) -> None:
        """Note that an attempt began to run."""
        record = ExecutionRecord(
            request.request_id, request.attempt_id, now_s, request.session, request.fence
        )
        self.records.append(record)
        self._running[request.attempt_id] = record
        self._notify_listeners(record)

    def end(self, attempt_id: str, reason: EndReason, now_s: float) -> None:
        """Note how an attempt ended, if it ever ran."""
        record = self._running.pop(attempt_id, None)
        if record is not None:
            record.ended_s = now_s
            record.reason = reason
            self._notify_listeners(record)

    def mark_all_lost(self, now_s: float) -> None:
        """Note that the engine died under what ran."""
        for attempt_id in list(self._running):
            self.end(attempt_id, EndReason.LOST, now_s)

    def _notify_listeners(self, record: ExecutionRecord) -> None:
        for listener in self.listeners:
            listener(record)
