"""Crowds of clients outside the limits beside signals, restarts and changes, drawn by a seed.

All processes have the memory of the smallest deployment. The crowds keep their connections open and
come again after each refusal, until the processes are gone.
"""

import random
import signal
from collections.abc import Callable

from features.support.crowd_clients import Crowd, Plan
from features.support.crowded_platform import CrowdedPlatform
from features.support.platform_stand_in import (
    CLIENT_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    wait_until,
)

GATEWAYS = ("gateway-1", "gateway-2")
PLACES = (
    *((gateway, CLIENT_PORT) for gateway in GATEWAYS * 3),
    ("controller-1", CONTROL_PORT),
    ("storage-2", METRICS_PORT),
)
"""Where crowds come to: mostly to the gateways' clients' ports."""
MIN_CLIENTS, MAX_CLIENTS = 5, 30
MAX_CROWDS = 4
REQUESTS_AFTER_EACH = 3
RETURNS = 5


class CrowdSoak:
    """One run; ``problems`` is what did not hold."""

    def __init__(self, seed: int, kinds: dict[str, Plan]) -> None:
        self._draw = random.Random(seed)
        self._kinds = kinds
        self._crowds: list[Crowd] = []
        self.problems: list[str] = []
        self.course: list[str] = []
        """What was done, for the report."""
        self.platform = CrowdedPlatform(3, 3, len(GATEWAYS))

    def run(self, actions: int) -> None:
        """Start the fleet, do so many drawn actions, then stop the gateways beside the crowds."""
        platform = self.platform
        wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 503, "controllers")
        for _ in range(2):
            platform.add_large_runner()
        platform.configure()
        for name in GATEWAYS:
            wait_until(lambda name=name: platform.is_ready(name), f"{name} ready")  # type: ignore[misc]
        for _ in range(actions):
            self._act()
            self._check()
        self._stop_gateways()

    def close(self) -> None:
        """End the crowds and all processes."""
        for crowd in self._crowds:
            crowd.close()
        self.platform.close()

    # --- actions -------------------------------------------------------------------------

    def _act(self) -> None:
        actions: list[Callable[[], None]] = [
            *[self._crowd_comes] * 4,
            self._crowd_leaves,
            self._kill_together,
            self._restart_gateway,
            self._reload,
            self._reconfigure,
        ]
        self._draw.choice(actions)()

    def _crowd_comes(self) -> None:
        if len(self._crowds) >= MAX_CROWDS:
            self._crowd_leaves()
        kind = self._draw.choice(sorted(self._kinds))
        count = self._draw.randint(MIN_CLIENTS, MAX_CLIENTS)
        plan = self._kinds[kind]
        plans = [Plan(plan.payload, plan.reads, RETURNS)] * count
        name, port = self._draw.choice(PLACES)
        self.course.append(f"{count} clients {kind} at {name}")
        ip = self.platform.nodes[name].ip
        self._crowds.append(Crowd(ip, plans, port))

    def _crowd_leaves(self) -> None:
        if self._crowds:
            self.course.append("a crowd leaves")
            self._crowds.pop(self._draw.randrange(len(self._crowds))).close()

    def _kill_together(self) -> None:
        """Kill a gateway, and maybe a controller and a storage node, and start them again."""
        names = [self._draw.choice(GATEWAYS)]
        for role in ("controller", "storage"):
            if self._draw.random() < 0.5:
                names.append(f"{role}-{self._draw.randint(1, 3)}")
        self.course.append(f"kill {', '.join(names)}")
        for name in names:
            self._note_peak(name)
            self.platform.kill(name)
        for name in names:
            self.platform.start(name)

    def _restart_gateway(self) -> None:
        """Stop a gateway as planned, beside the crowds, and start it again."""
        name = self._draw.choice(GATEWAYS)
        self.course.append(f"restart {name}")
        wait_until(lambda: self.platform.listens(name), f"{name} listening")
        self._note_peak(name)
        self.platform.terminate(name)
        self._expect_end(name)
        self.platform.start(name)

    def _reload(self) -> None:
        """Send SIGHUP to every process that has started."""
        self.course.append("reload")
        for name in self.platform.nodes:
            if self.platform.is_up(name):
                self.platform.signal(name, signal.SIGHUP)

    def _reconfigure(self) -> None:
        self.course.append("a new configuration")
        self.platform.configure()

    def _stop_gateways(self) -> None:
        for name in GATEWAYS:
            wait_until(lambda name=name: self.platform.listens(name), f"{name} listening")  # type: ignore[misc]
            self._note_peak(name)
            self.platform.terminate(name)
        for name in GATEWAYS:
            self._expect_end(name)

    def _expect_end(self, name: str) -> None:
        process = self.platform.nodes[name].process
        assert process is not None
        wait_until(lambda: process.poll() is not None, f"the end of {name}")
        if process.returncode != 0:
            self.problems.append(f"{name} ended with {process.returncode}")

    # --- checks --------------------------------------------------------------------------

    def _check(self) -> None:
        for name in GATEWAYS:
            for _ in range(REQUESTS_AFTER_EACH):
                self.platform.ordinary(name)
        for name, node in self.platform.nodes.items():
            if node.running:
                self._note_peak(name)
            else:
                self.problems.append(f"{name} has ended by itself")

    def _note_peak(self, name: str) -> None:
        peak = self.platform.peak_mb(name)
        limit = self.platform.memory_mb[name.partition("-")[0]]
        if peak > limit:
            self.problems.append(f"{name} had {peak:.1f} MB resident of {limit}")
