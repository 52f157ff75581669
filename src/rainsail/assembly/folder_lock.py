"""Locks a data folder for one process: a second process would overwrite the first one's log."""

import fcntl
import os
from pathlib import Path

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode

LOCK_FILE = "lock"
STEP = "assembly.folder_lock"


class FolderLock:
    """An exclusive lock on a data folder; the kernel releases it when the process ends."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptor: int | None = None

    def acquire(self) -> Result[None, Fault]:
        """Lock the folder, creating it if missing; a fault when another process holds the lock."""
        path = self._folder / LOCK_FILE
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        except OSError as error:
            return Error(Fault(FaultCode.STORAGE, STEP, str(error)))
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            detail = f"{self._folder} is in use by another process"
            return Error(Fault(FaultCode.STORAGE, STEP, detail))
        self._descriptor = descriptor
        return Ok(None)

    def release(self) -> None:
        """Release the lock, if it is held."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
