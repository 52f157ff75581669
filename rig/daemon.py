"""A daemon as a child process that is started, signalled and awaited by its process id."""

import ctypes
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.runtime.clock import Clock, sleep
from rig.layout import ProcessPlan

PROGRAM = "from rainsail.cli.main import main; main()"
EXIT_POLL_PERIOD_S = 0.05
KILL_WAIT_S = 30.0
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None)
_starter_process_id = os.getpid()
"""Id of the process that loaded this module, which is the parent of the children it forks."""


def die_with_parent() -> None:
    """Have the kernel kill this process when the rig ends for any reason.

    Runs in the child. If the rig was killed before this request, the kernel sends no signal. The
    child then has another parent and kills itself.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != _starter_process_id:
        os.kill(os.getpid(), signal.SIGKILL)


class Daemon:
    """A process of the rig; it signals only the process that it started."""

    def __init__(self, plan: ProcessPlan, clock: Clock, log_folder: Path) -> None:
        self.plan = plan
        self.paused = False
        self.starts = 0
        self._clock = clock
        self._log = log_folder / f"{plan.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """The process's name."""
        return self.plan.name

    @property
    def running(self) -> bool:
        """Whether the process exists (paused or not)."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last process; None while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start ``rainsail run``; its output goes to its log file."""
        command = [sys.executable, "-c", PROGRAM, "run", str(self.plan.settings_file)]
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith("RAINSAIL_")
        }
        self._log.parent.mkdir(parents=True, exist_ok=True)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                preexec_fn=die_with_parent,
            )
        self.paused = False
        self.starts += 1

    def kill(self) -> None:
        """Kill the process, as a machine crash would."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait(KILL_WAIT_S)
        self.paused = False

    def terminate(self) -> None:
        """Request a planned stop."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pause the process without closing its connections."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self) -> None:
        """Resume a paused process."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGCONT)
        self.paused = False

    def wipe(self) -> None:
        """Delete the data folder, as a lost disk; the process must have ended."""
        if self.running:
            raise RuntimeError(f"{self.name} still runs")
        shutil.rmtree(self.plan.data_folder, ignore_errors=True)

    @inlineCallbacks
    def ended(self, limit_s: float) -> Generator[Deferred[Any], Any, bool]:
        """Wait for the process to end; False when it has not ended within the limit."""
        until_s = self._clock.seconds() + limit_s
        while self.running and self._clock.seconds() < until_s:
            yield sleep(self._clock, EXIT_POLL_PERIOD_S)
        return not self.running
