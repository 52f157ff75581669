"""A real data folder whose syncs take longer, to see how often a commit waits for the disk."""

from pathlib import Path
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from rainsail.errors import Fault
from rainsail.storage.interface import File
from rainsail.storage.local_files import LocalFileSystem


class SlowedFile:
    """An open file; its syncs end ``delay_s`` after the disk's own."""

    def __init__(self, inner: File, reactor: Any, delay_s: float) -> None:
        self._inner = inner
        self._reactor = reactor
        self._delay_s = delay_s

    def append(self, data: bytes) -> None:
        """Write at the end; raises ``OSError``."""
        self._inner.append(data)

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Sync, then wait."""
        return self._inner.sync().addCallback(self._wait)

    def _wait(self, result: Result[None, Fault]) -> "Deferred[Result[None, Fault]]":
        return deferLater(self._reactor, self._delay_s, lambda: result)

    def truncate(self, size: int) -> None:
        """Cut to ``size`` bytes; raises ``OSError``."""
        self._inner.truncate(size)

    def size(self) -> int:
        """Return the size in bytes."""
        return self._inner.size()

    def close(self) -> None:
        """Close without syncing."""
        self._inner.close()


class SlowedFileSystem(LocalFileSystem):
    """Files below one folder, each with slowed syncs."""

    def __init__(self, folder: Path, reactor: Any, delay_s: float) -> None:
        super().__init__(folder, reactor)
        self._slowed_by_s = delay_s
        self._slowed_reactor = reactor

    def open(self, path: str) -> Any:
        """Open for appending."""
        return SlowedFile(super().open(path), self._slowed_reactor, self._slowed_by_s)
