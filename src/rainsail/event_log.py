"""Structured logs on standard output: one JSON object per line, rate-limited and non-blocking.

Each event name has a limit of lines per second. Lines over the limit are counted, and the next
line of that name carries the count as ``left_out``. When the reader of standard output stalls,
lines are dropped rather than requests delayed. A ring buffer in memory keeps the most recent
records, including those that were not printed. It is dumped into the data folder when an error is
logged, as it is before a fatal end, and on SIGUSR1.
"""

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from rainsail.logs import LogRing

DEFAULT_LINES_PER_S = 50
RING_RECORDS = 512
_STDOUT = 1


class EventLog:
    """A loguru sink that writes rate-limited JSON lines."""

    def __init__(
        self,
        node: str,
        role: str,
        lines_per_s: int = DEFAULT_LINES_PER_S,
        put: Callable[[bytes], object] | None = None,
        ring: LogRing | None = None,
    ) -> None:
        """``put`` writes one line or raises ``OSError``; None writes to standard output."""
        self._common = {"node": node, "role": role}
        self._lines_per_s = lines_per_s
        self._put = _write_to_stdout if put is None else put
        self._ring = ring
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self.lines_lost = 0

    def write(self, message: Any) -> None:
        """Write one loguru message, and add it to the ring buffer."""
        record = message.record
        event = record["message"]
        line = self._line(record)
        if self._ring is not None:
            self._ring.add(json.dumps(line, ensure_ascii=False))
        if not self._may_write(event, int(record["elapsed"].total_seconds())):
            return
        left_out = self._left_out.pop(event, 0)
        if left_out:
            line["left_out"] = left_out
        try:
            self._put((json.dumps(line, ensure_ascii=False) + "\n").encode())
        except OSError:
            self.lines_lost += 1

    def _line(self, record: Any) -> dict[str, Any]:
        line: dict[str, Any] = {
            "at": record["time"].strftime("%H:%M:%S.%f")[:-3],
            "level": record["level"].name,
            "event": record["message"],
            **self._common,
        }
        for key, value in record["extra"].items():
            line[key] = value if isinstance(value, int | float | str | None) else str(value)
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        return line

    def _may_write(self, event: str, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > self._lines_per_s:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return False
        return True


def _write_to_stdout(line: bytes) -> None:
    os.write(_STDOUT, line)


def configure_event_log(node: str, role: str, folder: Path | None = None) -> LogRing:
    """Send every record from INFO up to standard output and to a ring buffer; return the ring.

    The ring is dumped into ``folder`` at each record of level ERROR or above. Errors that Twisted
    reports as unhandled are logged as well.
    """
    ring = LogRing(folder, RING_RECORDS)
    log = EventLog(node, role, ring=ring)
    logger.remove()
    logger.add(log.write, level="INFO", format="{message}", backtrace=False, diagnose=False)
    logger.add(_dump_on_error(ring), level="ERROR", format="{message}", diagnose=False)
    try:
        os.set_blocking(sys.stdout.fileno(), False)
    except (OSError, ValueError):
        log.lines_lost = 0
    _log_unhandled_errors()
    return ring


def _dump_on_error(ring: LogRing) -> Callable[[Any], None]:
    def dump(message: Any) -> None:
        ring.dump(f"error: {message.record['message']}")

    return dump


def _log_unhandled_errors() -> None:
    """Log exceptions raised in timers and failures of Deferreds that have no errback."""
    from twisted.logger import globalLogBeginner

    observer: Any = _log_failure
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)


def _log_failure(event: Any) -> None:
    failure = event.get("log_failure")
    if failure is None:
        return
    error = f"{failure.type.__name__}: {failure.getErrorMessage()}"
    log = logger.bind(error=error, traceback=failure.getTraceback(detail="brief"))
    log.error("unhandled_error")
