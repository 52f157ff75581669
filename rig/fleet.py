"""All daemons of a site: their setup, state and end."""

import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from rainsail.emulator.execution_file import RecordedExecution, read_execution_file
from rainsail.runtime.clock import Clock, sleep
from rig.daemon import PROGRAM, Daemon
from rig.http import AnswerLost, RigHttpClient
from rig.layout import OPERATOR_PORT, STATUS_PORT, ProcessKind, SiteLayout

POLL_PERIOD_S = 0.1
POLL_TIMEOUT_S = 5.0
COMMAND_TIMEOUT_S = 60.0
STOP_LIMIT_S = 150.0
"""A gateway's grace period for requests in progress (120 s) plus a margin."""
EXECUTION_FILE = "executions.jsonl"


class NotReached(Exception):
    """A required condition did not become true within its time limit."""


@dataclass(frozen=True, slots=True)
class GroupState:
    """The leader's view of the replica group; ``losses_borne`` counts further tolerated losses."""

    leader: str
    health: str
    losses_borne: int
    identities: tuple[str, ...]


class RigFleet:
    """The processes of one rig; it signals only processes that it started."""

    def __init__(
        self, layout: SiteLayout, clock: Clock, http: RigHttpClient, limit_s: float
    ) -> None:
        self.layout = layout
        self.clock = clock
        self._http = http
        self._limit_s = limit_s
        self.log_folder = logs = layout.folder / "logs"
        self.daemons = {plan.name: Daemon(plan, clock, logs) for plan in layout.processes}

    # --- groups of processes --------------------------------------------------------------

    def replicas(self) -> list[Daemon]:
        """Return the replicas."""
        return self._of_kind(ProcessKind.REPLICA)

    def gateways(self) -> list[Daemon]:
        """Return the gateways."""
        return self._of_kind(ProcessKind.GATEWAY)

    def engines(self) -> list[Daemon]:
        """Return the processes that run engines; the last platform process has the machine list."""
        return self._of_kind(ProcessKind.PLATFORM)[:-1]

    def _of_kind(self, kind: ProcessKind) -> list[Daemon]:
        return [daemon for daemon in self.daemons.values() if daemon.plan.kind == kind]

    # --- lifecycle -----------------------------------------------------------------------------

    def prepare(self) -> None:
        """Write settings files and create certificates with ``rainsail keys create``."""
        self.layout.write_settings()
        for kind in (ProcessKind.REPLICA, ProcessKind.GATEWAY):
            names = ",".join(daemon.name for daemon in self._of_kind(kind))
            command = ["keys", "create", str(self.layout.keys_folder), names, "--role", kind.value]
            run_rainsail(command)

    def end(self) -> None:
        """Kill every process, including paused ones."""
        for daemon in self.daemons.values():
            daemon.kill()

    # --- conditions -----------------------------------------------------------------------

    async def until(self, what: str, condition: Callable[[], Awaitable[Any]]) -> Any:
        """Wait for a condition; return what it returned, or raise ``NotReached``."""
        until_s = self.clock.seconds() + self._limit_s
        while True:
            found = await condition()
            if found:
                return found
            if self.clock.seconds() > until_s:
                raise NotReached(f"{what}: not reached within {self._limit_s:g} s")
            await sleep(self.clock, POLL_PERIOD_S)

    async def until_ready(self, daemons: list[Daemon]) -> None:
        """Wait until each process reports that it is ready."""
        for daemon in daemons:
            await self.until(f"{daemon.name} is ready", partial(self.is_ready, daemon))

    async def is_ready(self, daemon: Daemon) -> bool:
        """Return whether a process is ready; raise ``NotReached`` when it has ended."""
        if not daemon.running:
            raise NotReached(f"{daemon.name} ended with code {daemon.exit_code}")
        reply = await self._get(f"{daemon.plan.url(STATUS_PORT)}/readyz", "")
        return reply is not None

    async def group_state(self) -> GroupState | None:
        """Return the leader's view of the group; None when no replica reports itself leader."""
        for daemon in self.replicas():
            if not daemon.running or daemon.paused:
                continue
            url = f"{daemon.plan.url(OPERATOR_PORT)}/v1/status"
            body = await self._get(url, self.layout.operator_key)
            if body and body["leader"] == daemon.name:
                return _group_state(body)
        return None

    async def until_group(self, health: str, losses_borne: int) -> GroupState:
        """Wait until the leader reports this health and number of tolerated losses."""

        async def matching_state() -> GroupState | None:
            state = await self.group_state()
            if state is None or (state.health, state.losses_borne) != (health, losses_borne):
                return None
            return state

        found: GroupState = await self.until(
            f"status {health}, tolerates {losses_borne} losses", matching_state
        )
        return found

    async def _get(self, url: str, key: str) -> Any:
        try:
            reply = await self._http.exchange("GET", url, key, POLL_TIMEOUT_S)
        except AnswerLost:
            return None
        if reply.status != 200:
            return None
        return reply.json() or True

    async def put_machine(self, runner: str, state: str) -> None:
        """Set a machine's state (live or leaving) in the platform's machine list."""
        url = f"{self.layout.machine_list_url}/machines/{runner}/{state}"
        await self._http.exchange("PUT", url, "", POLL_TIMEOUT_S)

    # --- evidence -------------------------------------------------------------------------

    def executions(self) -> list[RecordedExecution]:
        """Return the executions of all engines, from files that survive their processes."""
        found: list[RecordedExecution] = []
        for daemon in self.engines():
            path = daemon.plan.data_folder / EXECUTION_FILE
            if path.exists():
                found += read_execution_file(path)
        return found


def _group_state(body: Any) -> GroupState:
    identities = tuple(member["identity"] for member in body["members"])
    return GroupState(body["leader"], body["health"], body["losses_borne"], identities)


def run_rainsail(arguments: list[str], folder: Path | None = None) -> str:
    """Run a command and return its output; raises when it fails."""
    environment = {
        key: value for key, value in os.environ.items() if not key.startswith("RAINSAIL_")
    }
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM, *arguments],
        env=environment,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=True,
    )
    return done.stdout
