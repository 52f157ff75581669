"""What a process holds of one runner's answer that it can't pass on yet.

It counts against the same account as what clients hold. When there is no room, answers with large
or old pending parts give way before any client does: a sound runner completes what it begins.
"""

from collections.abc import Callable

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.eviction import PROTECTED_S, Rank, Standing
from rainsail.budget.memory import HeldKind, Holding

UNCOUNTED_BYTES = 4 * 1024
"""A pending part up to this size is not counted; nearly all answers stay below."""
STEP_BYTES = 4 * 1024
"""Held bytes are counted in steps, so that small pieces do not change the account each time."""
LARGE_BYTES = 64 * 1024
"""A pending event of this size may give way at once; a smaller one once it is old."""


class RunnerAnswer:
    """Implements ``rainsail.budget.eviction.Claimant``."""

    def __init__(self, budget: ClientBudget, gives_way: Callable[[], None], is_event: bool) -> None:
        """``gives_way`` ends the answer and drops what was held of it.

        ``is_event`` tells a pending event from a body, which is buffered up to a bound of its own.
        """
        self._budget = budget
        self._gives_way = gives_way
        self._is_event = is_event
        self._holding: Holding | None = None
        self._is_closed = False
        self._since_s = budget.seconds()
        self.is_paused = False
        """The answer is not read for now, as its client is too slow."""

    def hold(self, amount: int) -> bool:
        """Count ``amount`` bytes in place of those before; False if there is no room for them."""
        if self._is_closed:
            return False
        if amount <= UNCOUNTED_BYTES:
            self._release()
            return True
        counted = -(-amount // STEP_BYTES) * STEP_BYTES
        holding = self._holding
        if holding is None:
            holding = self._holding = self._budget.open_answer(self)
            self._since_s = self._budget.seconds()
        elif counted < holding.held_bytes:
            holding.set(HeldKind.RUNNER, counted)
            self._since_s = self._budget.seconds()
        fits = holding.grow_to(HeldKind.RUNNER, counted, large=counted > LARGE_BYTES)
        if self._is_closed:
            # It gave way to itself.
            holding.close()
            return False
        return fits

    def close(self) -> None:
        """Stop counting: the answer has ended."""
        self._is_closed = True
        self._release()

    def _release(self) -> None:
        holding, self._holding = self._holding, None
        if holding is not None:
            self._budget.close_answer(self, holding)

    # --- Claimant ------------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """The bytes that it would give back."""
        return 0 if self._holding is None else self._holding.held_bytes

    def standing(self, now: float) -> Standing | None:
        """Return its place among those that may give way; the largest goes first."""
        held_bytes = self.held_bytes
        is_old = now - self._since_s >= PROTECTED_S
        may_go = is_old or (self._is_event and held_bytes > LARGE_BYTES)
        if self.is_paused or not held_bytes or not may_go:
            return None
        return Standing(Rank.RUNNER, 1 / held_bytes, self._since_s)

    def give_way(self, at_once: bool) -> None:
        """End the answer."""
        self._gives_way()
