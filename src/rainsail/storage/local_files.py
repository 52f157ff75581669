"""File system implementation on local files, with syncs in a worker thread."""

import os
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.threads import deferToThreadPool

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault

_OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
_FILE_MODE = 0o640


def _sync_in_thread(
    reactor: Any, descriptor: int, step: str, path: str
) -> "Deferred[Result[None, Fault]]":
    deferred = deferToThreadPool(reactor, reactor.getThreadPool(), os.fsync, descriptor)
    return deferred.addCallbacks(
        lambda _: Ok(None),
        lambda failure: Error(storage_fault(step, path, str(failure.value))),
    )


class LocalFile:
    """An open file in a ``LocalFileSystem``."""

    def __init__(self, reactor: Any, path: str, descriptor: int) -> None:
        self._reactor = reactor
        self._path = path
        self._descriptor = descriptor
        self._syncs_running = 0
        self._closing = False

    def append(self, data: bytes) -> None:
        """Append all of ``data``; raises ``OSError``."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Run ``fsync`` in a worker thread."""
        self._syncs_running += 1
        deferred = _sync_in_thread(self._reactor, self._descriptor, "sync", self._path)
        return deferred.addCallback(self._sync_done)

    def _sync_done(self, result: Result[None, Fault]) -> Result[None, Fault]:
        self._syncs_running -= 1
        if self._closing and not self._syncs_running:
            os.close(self._descriptor)
        return result

    def truncate(self, size: int) -> None:
        """Truncate to ``size`` bytes; raises ``OSError``."""
        os.ftruncate(self._descriptor, size)

    def size(self) -> int:
        """Return the size in bytes."""
        return os.fstat(self._descriptor).st_size

    def close(self) -> None:
        """Close the file after all running syncs have finished."""
        if self._closing:
            return
        self._closing = True
        if not self._syncs_running:
            os.close(self._descriptor)


class LocalFileSystem:
    """Files below one local folder. Paths that lead out of it raise ``ValueError``."""

    def __init__(self, folder: Path, reactor: Any) -> None:
        self._folder = folder.resolve()
        self._reactor = reactor

    def _resolve(self, path: str) -> Path:
        target = (self._folder / path).resolve()
        if target != self._folder and self._folder not in target.parents:
            raise ValueError(f"{path!r} leads out of the data folder")
        return target

    def open(self, path: str) -> LocalFile:
        """Open for appending; missing folders and the file are created."""
        target = self._resolve(path)
        self._make_folder(target.parent)
        return LocalFile(self._reactor, path, os.open(target, _OPEN_FLAGS, _FILE_MODE))

    def _make_folder(self, folder: Path) -> None:
        """Create a folder and sync its parent, so that the creation is durable."""
        if folder.is_dir():
            return
        self._make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        descriptor = os.open(folder.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: str) -> bytes:
        """Return the content; raises ``FileNotFoundError``.

        Clean pages are dropped from the page cache first: after a failed sync the cache may hold
        bytes that never reached the disk.
        """
        with self._resolve(path).open("rb") as file:
            os.posix_fadvise(file.fileno(), 0, 0, os.POSIX_FADV_DONTNEED)
            return file.read()

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes from ``offset`` on."""
        descriptor = os.open(self._resolve(path), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(descriptor, size, offset)
        finally:
            os.close(descriptor)

    def exists(self, path: str) -> bool:
        """Return whether a file exists."""
        return self._resolve(path).is_file()

    def list(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; empty if it does not exist."""
        target = self._resolve(folder)
        return sorted(os.listdir(target)) if target.is_dir() else []

    def rename(self, source: str, target: str) -> None:
        """Rename atomically, replacing ``target``."""
        os.replace(self._resolve(source), self._resolve(target))

    def remove(self, path: str) -> None:
        """Remove a file; raises ``FileNotFoundError``."""
        self._resolve(path).unlink()

    def sync_folder(self, folder: str) -> "Deferred[Result[None, Fault]]":
        """Run ``fsync`` on the folder in a worker thread."""
        try:
            target = self._resolve(folder)
            self._make_folder(target)
            descriptor = os.open(target, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            return succeed(Error(storage_fault("sync_folder", folder, str(error))))
        deferred = _sync_in_thread(self._reactor, descriptor, "sync_folder", folder)
        return deferred.addBoth(_close_after, descriptor)


def _close_after(result: Any, descriptor: int) -> Any:
    os.close(descriptor)
    return result
