"""Processes that a bench starts, asks over pipes and ends; each has one role.

``rainsail.benchmarks.child_process`` is the program that runs in them.
"""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from rainsail.errors import Fault, FaultCode, RainsailError

PROGRAM = "rainsail.benchmarks.child_process"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LOOPBACK = "127.0.0.1"
"""Where every server of a bench listens."""
END_TIMEOUT_S = 30.0
"""Not measured; chosen far above the second or so in which an idle child ends."""


class Child:
    """One process of a bench. It carries out one command at a time."""

    def __init__(self, role: str, *arguments: str) -> None:
        self._role = role
        command = [sys.executable, "-m", PROGRAM, role, *arguments]
        pipe = subprocess.PIPE
        self._process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True)

    def call(self, command: str, **arguments: Any) -> "Deferred[Any]":
        """Return the answer to a command; fails with ``RainsailError`` when the process ended."""
        return deferToThread(self._exchange, json.dumps({"command": command, **arguments}))

    def _exchange(self, line: str) -> Any:
        assert self._process.stdin is not None and self._process.stdout is not None
        print(line, file=self._process.stdin, flush=True)
        answer = self._process.stdout.readline()
        if not answer:
            detail = f"the process {self._role!r} ended before it answered"
            raise RainsailError(Fault(FaultCode.UNAVAILABLE, "bench", detail))
        return json.loads(answer)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        fields = Path(f"/proc/{self._process.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES

    def close(self) -> None:
        """Let the process end by the end of its input; kill it when it does not."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
