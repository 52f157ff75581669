"""The reactor in a thread of its own, for steps that talk over real sockets."""

import threading
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _global_reactor
from twisted.internet.threads import blockingCallFromThread

WAIT_LIMIT_S = 20.0

reactor: Any = _global_reactor
_started = threading.Event()


APART = "these features drive the reactor each in their own way: use tools/run_features.py"
"""Why features/wire can't share a process with those whose reactor runs in a thread."""


def in_reactor(call: Callable[..., Any], *arguments: Any) -> Any:
    """Run a call in the reactor's thread and return its result; starts the reactor."""
    if not _started.is_set():
        assert not reactor.running, APART
        _started.set()
        threading.Thread(target=reactor.run, args=(False,), daemon=True).start()
    return blockingCallFromThread(reactor, call, *arguments)


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; an assertion fails when it never does."""
    limit_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < limit_s, f"never came true: {what}"
        time.sleep(0.002)
