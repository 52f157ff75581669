"""Temporary local folders and worker threads, without a running reactor."""

import queue
import tempfile
import threading
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.threadpool import ThreadPool

WAIT_TIMEOUT_S = 30


class ThreadReactor:
    """The parts of a reactor that worker threads need; the caller's thread runs the callbacks."""

    def __init__(self) -> None:
        self._calls: queue.Queue[Any] = queue.Queue()
        self._pool = ThreadPool(minthreads=1, maxthreads=2)
        self._pool.start()

    def getThreadPool(self) -> ThreadPool:
        """Return the worker threads."""
        return self._pool

    def callFromThread(self, call: Any, *arguments: Any, **keywords: Any) -> None:
        """Queue a call for the caller's thread."""
        self._calls.put(lambda: call(*arguments, **keywords))

    def wait(self, deferred: "Deferred[Any]") -> Any:
        """Run queued calls until a Deferred fires and return its value."""
        fired: list[Any] = []
        deferred.addCallback(fired.append)
        while not fired:
            self._calls.get(timeout=WAIT_TIMEOUT_S)()
        return fired[0]

    def stop(self) -> None:
        """Stop the worker threads."""
        self._pool.stop()


class RealFolder:
    """A temporary folder with a thread reactor."""

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.path = Path(self._temporary.name) / "data"
        self.path.mkdir()
        self.reactor = ThreadReactor()
        self.caller = threading.get_ident()

    def contents(self) -> dict[str, bytes]:
        """Return every file's bytes by path."""
        files = sorted(path for path in self.path.rglob("*") if path.is_file())
        return {str(path.relative_to(self.path)): path.read_bytes() for path in files}

    def close(self) -> None:
        """Stop the worker threads and remove the folder."""
        self.reactor.stop()
        self._temporary.cleanup()
