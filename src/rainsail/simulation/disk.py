"""A simulated data folder on the virtual clock.

What was appended, created, renamed or removed is volatile until the matching sync completes. A
crash undoes the rest, except for a random share that had reached the disk by itself. Faults are
switched on by the run: failing syncs, lying syncs, a full disk, flipped bits, a wiped disk.
"""

import errno
import os
import random as random_module
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault
from rainsail.runtime.clock import Clock
from rainsail.simulation.disk_content import FileContent, SimulatedDiskSettings
from rainsail.storage.faults import storage_fault

Names = dict[str, FileContent]


@dataclass(frozen=True, slots=True, eq=False)
class _FolderChange:
    """A creation, rename or removal in a folder that is not synced yet."""

    folder: str
    apply: Callable[[Names], object]


FolderChanges = list[_FolderChange]


class SimulatedFile:
    """An open file of a ``SimulatedDisk``; dead after a crash."""

    def __init__(self, disk: "SimulatedDisk", path: str, content: FileContent) -> None:
        self._disk = disk
        self._path = path
        self._content = content
        self._process = disk.process
        self._closed = False

    def _check(self) -> None:
        if self._closed or self._process != self._disk.process:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF), self._path)

    def append(self, data: bytes) -> None:
        """Add bytes; raises ``OSError`` (ENOSPC) after writing what still fits."""
        self._check()
        room = self._disk.room()
        fits = data if room is None or len(data) <= room else data[:room]
        self._content.data += fits
        if len(fits) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), self._path)

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Make what is appended now durable after the sync latency."""
        self._check()
        size = len(self._content.data)
        return self._disk.start_sync("sync", self._path, lambda: self._content.settle(size), self)

    def lose_sync(self) -> None:
        """Drop what a failed sync should have made durable."""
        if self._content.lost_from is None:
            self._content.lost_from = self._content.durable_size

    def truncate(self, size: int) -> None:
        """Cut to ``size`` bytes."""
        self._check()
        self._content.truncate(size)

    def size(self) -> int:
        """Return the size in bytes."""
        return len(self._content.data)

    def close(self) -> None:
        """Close without syncing."""
        self._closed = True


class SimulatedDisk:
    """Implements ``FileSystem`` in memory.

    ``sync_fails``, ``sync_lies`` and ``sync_latency_s`` may be set at any time; ``syncs`` counts
    the syncs that were started.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        settings: SimulatedDiskSettings | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._settings = settings or SimulatedDiskSettings()
        self._names: Names = {}
        self._durable_names: Names = {}
        self._changes: list[_FolderChange] = []
        self.process = 0
        self.capacity_bytes = self._settings.capacity_bytes
        self.sync_latency_s = self._settings.sync_latency_s
        self.sync_fails = False
        self.sync_lies = False
        self.syncs = 0

    # --- FileSystem ----------------------------------------------------------------------

    def open(self, path: str) -> SimulatedFile:
        """Open for appending, creating the file when missing."""
        path = _clean(path)
        content = self._names.get(path)
        if content is None:
            content = FileContent()
            created = content
            self._change(path, lambda names: names.__setitem__(path, created))
        return SimulatedFile(self, path, content)

    def read(self, path: str) -> bytes:
        """Return the content; raises ``FileNotFoundError``."""
        return bytes(self._content(path).data)

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes from ``offset`` on."""
        return bytes(self._content(path).data[offset : offset + size])

    def exists(self, path: str) -> bool:
        """Tell whether a file exists."""
        return _clean(path) in self._names

    def list(self, folder: str) -> list[str]:
        """Return the sorted names of files and folders in a folder."""
        prefix = f"{_clean(folder)}/" if _clean(folder) else ""
        inside = (path[len(prefix) :] for path in self._names if path.startswith(prefix))
        return sorted(dict.fromkeys(rest.split("/")[0] for rest in inside))

    def rename(self, source: str, target: str) -> None:
        """Rename, replacing ``target``; raises ``FileNotFoundError``."""
        source, target = _clean(source), _clean(target)
        self._content(source)
        self._change(target, lambda names: _rename(names, source, target))

    def remove(self, path: str) -> None:
        """Remove a file; raises ``FileNotFoundError``."""
        path = _clean(path)
        self._content(path)
        self._change(path, lambda names: names.pop(path, None))

    def sync_folder(self, folder: str) -> "Deferred[Result[None, Fault]]":
        """Make the folder's changes so far durable after the sync latency."""
        folder = _clean(folder)
        covered = [change for change in self._changes if change.folder == folder]
        return self.start_sync("sync_folder", folder, lambda: self._settle(covered))

    # --- inside --------------------------------------------------------------------------

    def _content(self, path: str) -> FileContent:
        content = self._names.get(_clean(path))
        if content is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        return content

    def _change(self, path: str, apply: Callable[[Names], object]) -> None:
        apply(self._names)
        self._changes.append(_FolderChange(path.rpartition("/")[0], apply))

    def _settle(self, covered: FolderChanges) -> None:
        for change in covered:
            if change in self._changes:
                change.apply(self._durable_names)
        self._changes = [change for change in self._changes if change not in covered]

    def room(self) -> int | None:
        """Return the bytes that still fit; None without a bound."""
        if self.capacity_bytes is None:
            return None
        return max(0, self.capacity_bytes - self.used_bytes())

    def used_bytes(self) -> int:
        """Return the bytes of all files."""
        return sum(len(content.data) for content in self._names.values())

    def start_sync(
        self, step: str, path: str, settle: Callable[[], None], file: SimulatedFile | None = None
    ) -> "Deferred[Result[None, Fault]]":
        """Run a sync on the clock; never completes when the process dies before it does."""
        self.syncs += 1
        process = self.process
        deferred: Deferred[Result[None, Fault]] = Deferred()

        def complete() -> None:
            if process != self.process:
                return
            if self.sync_fails:
                if file is not None:
                    file.lose_sync()
                deferred.callback(Error(storage_fault(step, path, os.strerror(errno.EIO))))
                return
            if not self.sync_lies:
                settle()
            deferred.callback(Ok(None))

        self._clock.callLater(self.sync_latency_s, complete)
        return deferred

    # --- faults --------------------------------------------------------------------------

    def crash(self) -> None:
        """Cut the machine's power: only what is on the disk remains."""
        self.process += 1
        kept = 0
        if self._changes and self._random.random() < self._settings.partial_write_share:
            kept = self._random.randint(0, len(self._changes))
        for change in self._changes[:kept]:
            change.apply(self._durable_names)
        self._changes = []
        self._names = dict(self._durable_names)
        for content in self._names.values():
            content.lose_unsynced(self._random, self._settings)

    def kill(self) -> None:
        """End the process only: unsynced bytes stay in the machine's page cache."""
        self.process += 1
        for content in self._names.values():
            content.drop_lost()

    def wipe(self) -> None:
        """Lose the disk: everything is gone and the process is dead."""
        self.process += 1
        self._names = {}
        self._durable_names = {}
        self._changes = []

    def flip_bit(self, path: str, offset: int, bit: int = 0) -> None:
        """Turn over one bit of a file; raises ``IndexError`` beyond its end."""
        self._content(path).data[offset] ^= 1 << bit

    def replace(self, path: str, data: bytes) -> None:
        """Put a durable file in place (a data folder made elsewhere)."""
        content = FileContent(bytearray(data), len(data))
        self._names[_clean(path)] = content
        self._durable_names[_clean(path)] = content


def _clean(path: str) -> str:
    if ".." in path.split("/") or path.startswith("/"):
        raise ValueError(f"{path!r} leads out of the data folder")
    return path.strip("/")


def _rename(names: Names, source: str, target: str) -> None:
    content = names.pop(source, None)
    if content is not None:
        names[target] = content
