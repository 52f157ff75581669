"""The way between users and gateways: a constant delay, and answers that may get lost."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from rainsail.assembly.gateway import NativeGatewayNode
from rainsail.simulation.clock import VirtualClock

LOST_ANSWER_PROBABILITY = 0.3


@dataclass(slots=True)
class LostAnswers:
    """Switch of the fault that loses final answers between gateways and users."""

    active: bool = False


class UserLink:
    """Carries calls to gateways and answers back, ``one_way_s`` each way."""

    def __init__(
        self,
        clock: VirtualClock,
        draw: random.Random,
        one_way_s: float,
        lost_answers: LostAnswers,
        find_gateway: Callable[[str], NativeGatewayNode | None],
    ) -> None:
        self.clock = clock
        self.draw = draw
        self._one_way_s = one_way_s
        self._lost_answers = lost_answers
        self._find_gateway = find_gateway

    def gateway(self, name: str) -> NativeGatewayNode | None:
        """Return the running gateway of that name, or None when nothing accepts connections."""
        return self._find_gateway(name)

    def deliver(self, call: Callable[[], None]) -> None:
        """Run ``call`` at the other end, in order."""
        self.clock.callLater(self._one_way_s, call)

    def loses_answer(self) -> bool:
        """Draw whether the final answer that is about to be sent gets lost."""
        return self._lost_answers.active and self.draw.random() < LOST_ANSWER_PROBABILITY
