"""The account of what clients, and answers of runners, hold together: memory and connections."""

from collections.abc import Callable
from itertools import chain

from rainsail.budget.eviction import Claimant, choose
from rainsail.budget.memory import HeldKind, Holding, MemoryAccount
from rainsail.budget.refusals import RefusalLog
from rainsail.budget.sizing import BudgetLimits

CONNECTION_BYTES = 8 * 1024
"""What a connection without a request takes: its objects here, not the buffers of the kernel."""
EVICTION_SHARE = 1 / 16
"""Share of a limit that is freed at once, so that the search for it is rarely repeated."""
SEARCH_PERIOD_S = 0.05
"""After a search that freed nothing the next one comes this much later."""

NO_ROOM = "no room"
NO_CONNECTION = "too many connections"


class ClientBudget:
    """The account of one process; all of its listeners share it."""

    def __init__(self, seconds: Callable[[], float], limits: BudgetLimits = BudgetLimits()) -> None:
        """``seconds`` reads the clock of the process."""
        self.seconds = seconds
        self.limits = limits
        self.memory = MemoryAccount(limits.held_bytes)
        self.memory.reclaim = self._reclaim
        self.refusals = RefusalLog()
        self.refusal_listeners: list[Callable[[str], None]] = []
        """Called with the reason of each refusal."""
        self._claimants: dict[Claimant, None] = {}
        self._answers: dict[Claimant, None] = {}
        """The answers of runners of which a part is counted."""
        self._next_search_s = float("-inf")

    def set_limits(self, limits: BudgetLimits) -> None:
        """Change the limits; what is held already stays."""
        self.limits = limits
        self.memory.limit_bytes = limits.held_bytes

    @property
    def connections(self) -> int:
        """The number of clients' connections."""
        return len(self._claimants)

    # --- connections ---------------------------------------------------------------------

    def admit_connection(self) -> bool:
        """Tell whether one more connection may be served, after others gave way to it."""
        if self.connections >= self.limits.connections:
            count = max(1, int(self.limits.connections * EVICTION_SHARE))
            self._evict(0, count, at_once=True)
        has_place = self.connections < self.limits.connections
        if has_place and self.memory.fits(CONNECTION_BYTES, large=False):
            return True
        self.refused(NO_CONNECTION, 0)
        return False

    def open(self, claimant: Claimant) -> Holding:
        """Begin to count a connection."""
        self._claimants[claimant] = None
        holding = Holding(self.memory)
        holding.set(HeldKind.CONNECTION, CONNECTION_BYTES)
        return holding

    def close(self, claimant: Claimant, holding: Holding) -> None:
        """Stop counting a connection."""
        self._claimants.pop(claimant, None)
        holding.close()

    # --- answers of runners --------------------------------------------------------------

    def open_answer(self, claimant: Claimant) -> Holding:
        """Begin to count what is held of a runner's answer; it is no connection of a client."""
        self._answers[claimant] = None
        return Holding(self.memory)

    def close_answer(self, claimant: Claimant, holding: Holding) -> None:
        """Stop counting a runner's answer."""
        self._answers.pop(claimant, None)
        holding.close()

    # --- refusals ------------------------------------------------------------------------

    def refused(self, reason: str, status: int, held_bytes: int = 0) -> None:
        """Count a refusal; ``status`` is what the client was told, 0 for a closed connection."""
        self.refusals.add(reason, status, held_bytes, self.seconds())
        for listener in self.refusal_listeners:
            listener(reason)

    # --- making room ---------------------------------------------------------------------

    def _reclaim(self, missing_bytes: int) -> None:
        some = int(self.memory.limit_bytes * EVICTION_SHARE)
        if not self._evict(max(missing_bytes, some), 0, at_once=False) and missing_bytes < some:
            self._next_search_s = float("-inf")
            self._evict(missing_bytes, 0, at_once=False)

    def _evict(self, needed_bytes: int, least_count: int, at_once: bool) -> bool:
        """Have clients give way, answers of runners before them; return whether any did."""
        now = self.seconds()
        if now < self._next_search_s:
            return False
        among = self._claimants if least_count else chain(self._answers, self._claimants)
        chosen = choose(among, needed_bytes, least_count, now)
        for claimant in chosen:
            claimant.give_way(at_once)
        if not chosen:
            self._next_search_s = now + SEARCH_PERIOD_S
        return bool(chosen)
