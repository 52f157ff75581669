"""The process soak with faults that overlap: one series for each role, all at once.

Within a role the next fault strikes once the role bears another loss, which is what the pages ask
of an operator; roles don't wait for each other. Sizes, faults and the pauses between them are drawn
from the seed.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from features.support.platform_stand_in import StandInPlatform, wait_until
from features.support.process_soak import FROZEN_S, ProcessSoak, SoakResult

ROLES = ("controller", "storage", "gateway")
ORDER_PERIOD_S = 0.5
SMALL, MIDDLE, LARGE = "small", "middle", "large"
SIZE_SHARES = {SMALL: 6, MIDDLE: 3, LARGE: 1}


@dataclass(frozen=True)
class SoakSize:
    """How many processes, runners and clients a soak has."""

    controllers: int
    storage: int
    gateways: int
    runners: int
    clients: int


SIZES = {
    SMALL: (SoakSize(3, 3, 2, 4, 6), SoakSize(3, 3, 3, 4, 12), SoakSize(3, 3, 4, 6, 8)),
    MIDDLE: (SoakSize(3, 3, 8, 8, 24), SoakSize(5, 5, 6, 12, 16)),
    LARGE: (SoakSize(5, 9, 26, 24, 32),),
}


def draw_size(seed: int) -> SoakSize:
    """Draw the sizes of a seed's soak."""
    draw = random.Random(f"size-{seed}")
    kind = draw.choices(list(SIZE_SHARES), list(SIZE_SHARES.values()))[0]
    return draw.choice(SIZES[kind])


class OverlappingSoak(ProcessSoak):
    """One soak; ``roles`` are those whose nodes are struck."""

    def __init__(
        self,
        platform: StandInPlatform,
        seed: int,
        size: SoakSize,
        roles: tuple[str, ...] = ROLES,
        planned_only: bool = False,
    ) -> None:
        """With ``planned_only`` nodes are asked to end, and nothing else befalls them."""
        super().__init__(platform, seed, size.clients, size.runners)
        self._seed = seed
        self._roles = roles
        self._planned_only = planned_only
        self._order_period_s = ORDER_PERIOD_S

    def _strike(self, faults: int) -> None:
        """Strike ``faults`` times at each role, at all roles at once."""
        failed: list[AssertionError] = []

        def play(role: str) -> None:
            try:
                self._play_series(role, faults)
            except AssertionError as error:
                failed.append(error)

        series = [threading.Thread(target=play, args=(role,)) for role in self._roles]
        for each in series:
            each.start()
        for each in series:
            each.join()
        if failed:
            raise failed[0]

    def _play_series(self, role: str, faults: int) -> None:
        draw = random.Random(f"{role}-{self._seed}")
        strikes: list[Callable[[random.Random, str], str]] = [self._restart_role]
        if not self._planned_only:
            strikes += [self._kill, self._freeze, self._stop_drawn, self._stop_drawn]
            if role != "gateway":
                strikes.append(self._wipe)
        for _ in range(faults):
            self._faults.append(draw.choice(strikes)(draw, role))

    def _restart_role(self, draw: random.Random, role: str) -> str:
        for name in self._names(role):
            self._settle_role(role)
            self._stop(name)
        return f"restart each {role}"

    def _stop_drawn(self, draw: random.Random, role: str) -> str:
        name = self._next_node(draw, role)
        self._stop(name)
        return f"stop {name}"

    def _kill(self, draw: random.Random, role: str) -> str:
        name = self._next_node(draw, role)
        self._away([name], draw=draw)
        return f"kill {name}"

    def _wipe(self, draw: random.Random, role: str) -> str:
        name = self._next_node(draw, role)
        self._away([name], wiped=True, draw=draw)
        return f"wipe {name}"

    def _freeze(self, draw: random.Random, role: str) -> str:
        name = self._next_node(draw, role)
        self._freeze_for(name, draw.uniform(*FROZEN_S))
        return f"freeze {name}"

    def _next_node(self, draw: random.Random, role: str) -> str:
        self._settle_role(role)
        return draw.choice(self._names(role))

    def _settle_role(self, role: str) -> None:
        """Wait until a role bears the loss of one more node."""
        if role == "gateway":
            wait_until(self._all_ready, "every gateway ready")
        else:
            wait_until(lambda: self._borne(role), f"a {role} group that bears a loss")


def play(seed: int, faults: int, platform: StandInPlatform, size: SoakSize) -> SoakResult:
    """Play one seed on a platform of its size."""
    wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 503, "controllers")
    return OverlappingSoak(platform, seed, size).run(faults)
