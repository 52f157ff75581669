"""One daemon as a plain process: started, signalled and awaited by its process id."""

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
"""The process that loaded this module; a child that it forks finds it here as its parent."""


def die_with_parent() -> None:
    """Let the kernel end this process when the rig is gone, however it went.

    Runs in the child. A rig that was killed before the child had asked for this sends no signal
    any more; the child then has another parent, so it ends itself.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != _starter_process_id:
        os.kill(os.getpid(), signal.SIGKILL)


class Daemon:
    """A process of the rig. Signals go to the process that this object started, to no other."""

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
        """Whether the process is there (paused or not)."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """How the last process ended; None while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start ``rainsail run``; what it prints goes to its log file."""
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
        """End the process at once, as a crash of the machine would."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait(KILL_WAIT_S)
        self.paused = False

    def terminate(self) -> None:
        """Ask for a planned stop."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Let the process stand still without ending its connections."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self) -> None:
        """Let a paused process go on."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGCONT)
        self.paused = False

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        if self.running:
            raise RuntimeError(f"{self.name} still runs")
        shutil.rmtree(self.plan.data_folder, ignore_errors=True)

    @inlineCallbacks
    def ended(self, limit_s: float) -> Generator[Deferred[Any], Any, bool]:
        """Wait until the process has ended; False when it has not within the limit."""
        until_s = self._clock.seconds() + limit_s
        while self.running and self._clock.seconds() < until_s:
            yield sleep(self._clock, EXIT_POLL_PERIOD_S)
        return not self.running
