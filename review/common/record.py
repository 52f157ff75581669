"""The record of a case: what was sent, answered and run, one line an event."""

import threading
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes ``record.txt``; times are seconds since the case began, by the steady clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def note(self, what: str, **fields: Any) -> None:
        """Write one event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {what} {text}".rstrip() + "\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
