"""Structured logs on standard output: one JSON object a line, bounded, never blocking.

Each event name has a budget of lines a second; what goes over it is counted, and the count is
printed with the next line of that name. A reader that stalls costs lines, not requests.
"""

import json
import os
import sys
from typing import Any

from loguru import logger

DEFAULT_LINES_PER_S = 50
_STDOUT = 1


class EventLog:
    """A loguru sink that writes to standard output."""

    def __init__(self, node: str, role: str, lines_per_s: int = DEFAULT_LINES_PER_S) -> None:
        self._common = {"node": node, "role": role}
        self._lines_per_s = lines_per_s
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self.lines_lost = 0

    def write(self, message: Any) -> None:
        """Take one loguru message."""
        record = message.record
        event = record["message"]
        if not self._may_write(event, int(record["elapsed"].total_seconds())):
            return
        line: dict[str, Any] = {
            "at": record["time"].strftime("%H:%M:%S.%f")[:-3],
            "level": record["level"].name,
            "event": event,
            **self._common,
        }
        for key, value in record["extra"].items():
            line[key] = value if isinstance(value, int | float | str | None) else str(value)
        left_out = self._left_out.pop(event, 0)
        if left_out:
            line["left_out"] = left_out
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        self._put(json.dumps(line, ensure_ascii=False) + "\n")

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

    def _put(self, text: str) -> None:
        try:
            os.write(_STDOUT, text.encode())
        except OSError:
            self.lines_lost += 1


def configure_event_log(node: str, role: str) -> EventLog:
    """Send every record from INFO up to standard output, as JSON lines."""
    log = EventLog(node, role)
    logger.remove()
    logger.add(log.write, level="INFO", format="{message}", backtrace=False, diagnose=False)
    try:
        os.set_blocking(sys.stdout.fileno(), False)
    except (OSError, ValueError):
        log.lines_lost = 0
    return log
