"""The record of a case: what was sent, answered and run, in the order in which it was seen."""

import contextlib
import time
from pathlib import Path


class Record:
    """Lines with the seconds since the case began; written to ``record.txt`` at its end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    @property
    def now_s(self) -> float:
        """The seconds since the case began."""
        return time.monotonic() - self._began_s

    def note(self, line: str) -> float:
        """Add a line; return its time."""
        now_s = self.now_s
        self._lines.append(f"{now_s:8.3f} s  {line}")
        return now_s

    def conclude(self, line: str) -> None:
        """Add a line, and show it."""
        self.note(line)
        with contextlib.suppress(BrokenPipeError):
            print(line, flush=True)

    def write(self) -> None:
        """Write the record to its file."""
        self._path.write_text("\n".join(self._lines) + "\n")
