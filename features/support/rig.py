"""Helpers of the rig features: single daemons, and a whole run as a command."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from features.support.command_line import PROGRAM, ROOT
from features.support.process_account import process_account
from rig.daemon import die_with_parent

LIMIT_S = 60.0
RUN_LIMIT_S = 240.0
POLL_PERIOD_S = 0.05
SETTINGS = """
[process]
name = "solo"
fleet = "solo"
zone = "a"
roles = ["replica"]
data_folder = "{folder}"

[addresses]
operator_api = "{operator_api}:7301"
status = "{status}:7309"

[[replicas]]
name = "solo"
zone = "a"
address = "{internal}:7300"
"""


@dataclass(frozen=True)
class RigRun:
    """How a run of the rig ended."""

    code: int
    result: dict[str, Any]
    stderr: str


def run_rig(*arguments: str) -> RigRun:
    """Run the rig as a command; its daemons end with it in any case."""
    command = [sys.executable, "-m", "rig", *arguments, "--time_limit_s", str(RUN_LIMIT_S)]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_LIMIT_S + LIMIT_S
    )
    lines = done.stdout.strip().splitlines()
    return RigRun(done.returncode, json.loads(lines[-1]) if lines else {}, done.stderr)


def start_rig(*arguments: str) -> subprocess.Popen:
    """Start the rig as a command and don't wait for it."""
    command = [sys.executable, "-m", "rig", *arguments]
    quiet = subprocess.DEVNULL
    return subprocess.Popen(
        command, cwd=ROOT, stdout=quiet, stderr=quiet, preexec_fn=die_with_parent
    )


def processes_naming(text: str) -> list[int]:
    """Return the ids of the processes whose command holds a text."""
    found = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        with contextlib.suppress(OSError):
            if text.encode() in (entry / "cmdline").read_bytes():
                found.append(int(entry.name))
    return found


def own_host(number: int) -> str:
    """Return an IP address under 127.0.0.0/8 that only this process uses."""
    process = os.getpid() & 0xFFFF
    return f"127.{192 + process // 256 % 63}.{process % 256}.{number}"


class SoloDaemon:
    """The only replica of its fleet, as a child process."""

    def __init__(self, folder: Path, host: str, data_folder: Path, **shared: str) -> None:
        """``shared`` gives the host of addresses that differ from this daemon's own."""
        self.host = host
        self.data_folder = data_folder
        self._settings = folder / f"{host}-{data_folder.name}.toml"
        hosts = {"operator_api": host, "status": host, "internal": host, **shared}
        self._settings.write_text(SETTINGS.format(folder=data_folder, **hosts))
        self._errors = folder / f"{self._settings.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self._errors.open("ab") as log:
            command = [*PROGRAM, "run", str(self._settings)]
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, preexec_fn=die_with_parent
            )

    def ready(self) -> bool:
        """Return whether the daemon is ready."""
        assert self.process is not None
        if self.process.poll() is not None:
            raise AssertionError(f"ended: {self.errors()}")
        try:
            with urllib.request.urlopen(f"http://{self.host}:7309/readyz", timeout=5) as reply:
                return reply.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def ended(self) -> int:
        """Wait until the process has ended; return its exit code."""
        assert self.process is not None
        return self.process.wait(LIMIT_S)

    def send(self, number: signal.Signals) -> None:
        """Signal the process that was started here."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process at once if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(LIMIT_S)

    def account(self) -> str:
        """Describe what the process has done so far."""
        assert self.process is not None
        return process_account(self.process.pid, self.errors())

    def errors(self) -> str:
        """Return what the process printed."""
        return self._errors.read_text()


def wait_until(condition: Any, what: str, account: Callable[[], str] = str) -> Any:
    """Wait for a condition, with a generous limit that asserts nothing about speed.

    ``account`` describes the progress, for the error after a time-out.
    """
    until_s = time.monotonic() + LIMIT_S
    while time.monotonic() < until_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_PERIOD_S)
    raise AssertionError(f"not reached: {what} {account()}")


def scratch_folder(context: Any) -> Path:
    """Return a folder that is removed when the scenario ends."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def solo_daemon(context: Any, host_number: int, data_folder: str, **shared: str) -> SoloDaemon:
    """Create a daemon that is killed when the scenario ends."""
    folder = context.rig_folder
    daemon = SoloDaemon(folder, own_host(host_number), folder / data_folder, **shared)
    context.add_cleanup(daemon.end)
    return daemon
