"""Structured logs: a bounded ring buffer in memory, dumped on error or on request.

Components use ``from rainsail.logs import logger`` and bind context to it
(``logger.bind(process=..., peer=...)``). Every record goes to the ring of the process as one
JSON line; by default only warnings and above are printed to stderr. ``LogRing.dump`` writes the
ring to the data folder.
"""

import json
import signal
import sys
from collections import deque
from pathlib import Path
from typing import Any

from loguru import logger as logger

DEFAULT_RING_RECORDS = 4096
MAX_DUMPS_KEPT = 16


class LogRing:
    """Ring buffer of the most recent log records of one process, each a JSON line."""

    def __init__(self, folder: Path | None = None, records: int = DEFAULT_RING_RECORDS) -> None:
        self._folder = folder
        self._lines: deque[str] = deque(maxlen=records)
        self._dumps = 0

    def write(self, message: Any) -> None:
        """Add one loguru message (used as a sink)."""
        self.add(_json_line(message.record))

    def add(self, line: str) -> None:
        """Add one record, given as a JSON line."""
        self._lines.append(line)

    def lines(self) -> list[str]:
        """Return the buffered records, oldest first."""
        return list(self._lines)

    def dump(self, reason: str) -> Path | None:
        """Write the ring to ``logs/`` in the data folder and return the file's path.

        Returns None without a data folder or when writing fails. At most ``MAX_DUMPS_KEPT`` files
        are kept; the oldest is overwritten.
        """
        if self._folder is None:
            return None
        path = self._folder / "logs" / f"ring-{self._dumps % MAX_DUMPS_KEPT:02d}.jsonl"
        self._dumps += 1
        head = json.dumps({"dump": self._dumps, "reason": reason, "records": len(self._lines)})
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text("\n".join([head, *self._lines]) + "\n")
        except OSError as error:
            print(f"rainsail: cannot write {path}: {error}", file=sys.stderr)
            return None
        return path


def configure_logs(
    folder: Path | None, records: int = DEFAULT_RING_RECORDS, print_level: str = "WARNING"
) -> LogRing:
    """Send every record to a new ring, and those from ``print_level`` up to stderr as well.

    A record of level ERROR or above also dumps the ring.
    """
    ring = LogRing(folder, records)
    logger.remove()
    logger.add(ring.write, level="DEBUG", format="{message}")
    logger.add(sys.stderr, level=print_level, format=_PRINTED, backtrace=False, diagnose=False)
    logger.add(lambda message: _dump_on_error(ring, message), level="ERROR", format="{message}")
    return ring


def dump_on_signal(ring: LogRing, reactor: Any) -> None:
    """Dump the ring whenever the process gets SIGUSR1."""
    signal.signal(
        signal.SIGUSR1,
        lambda number, frame: reactor.callFromThread(ring.dump, "SIGUSR1"),
    )


_PRINTED = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"


def _dump_on_error(ring: LogRing, message: Any) -> None:
    ring.dump(f"error: {message.record['message']}")


def _json_line(record: dict[str, Any]) -> str:
    line: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="microseconds"),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
    }
    line.update({key: _json_value(value) for key, value in record["extra"].items()})
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, ensure_ascii=False)


def _json_value(value: Any) -> Any:
    return value if isinstance(value, bool | int | float | str) or value is None else str(value)


logger.remove()
logger.add(sys.stderr, level="WARNING", format=_PRINTED, backtrace=False, diagnose=False)
