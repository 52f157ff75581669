"""The spans of time in which a node may have missed that a runner started again. Pure.

Controllers pass on the reports of runners. While none of them runs, a runner may start again under
its id at another software version, and a node without a connection to it learns nothing of that. A
controller that has answered two heartbeats in one life of its process has covered the time between
them, as its answer has all changes since the one before. What no controller has covered is a gap.
"""

from dataclasses import dataclass

OPEN_AFTER_S = 2.2
"""Without any answer for this long reports may be missed: two heartbeat periods and a reply."""
UNHEARD_S = 3.0
"""After a gap each runner that lives has reported within this time: two of its heartbeats."""
MAX_GAPS = 32
"""Gaps that are remembered, the latest ones."""
NEVER_S = float("-inf")


@dataclass(slots=True)
class _Controller:
    """The last answer of one controller; ``failed``: it has not answered the call after it.

    ``life_began_s`` is the time of the first answer in the same life of its process.
    """

    epoch: int
    answered_s: float
    life_began_s: float
    failed: bool = False


class ReportCoverage:
    """Records the answers of controllers; all times are those of the node's clock."""

    def __init__(self) -> None:
        self._controllers: dict[str, _Controller] = {}
        self._covered_s = NEVER_S
        """The end of the latest covered span; before the first one nothing counts as missed."""
        self._gaps: list[tuple[float, float]] = []

    def answered(self, controller: str, epoch: int, now: float) -> None:
        """Record an answer; ``epoch`` identifies the life of the controller's process."""
        known = self._controllers.get(controller)
        is_same_life = known is not None and known.epoch == epoch
        life_began_s = known.life_began_s if known is not None and is_same_life else now
        self._controllers[controller] = _Controller(epoch, now, life_began_s)
        if known is None or not is_same_life:
            if self._covered_s == NEVER_S:
                self._covered_s = now
            return
        self._cover(known.answered_s, now)

    def _cover(self, began_s: float, ended_s: float) -> None:
        """Take a covered span; spans of several controllers arrive in the order of their ends."""
        left: list[tuple[float, float]] = []
        for gap_began_s, gap_ended_s in self._gaps:
            pieces = (
                (gap_began_s, min(gap_ended_s, began_s)),
                (max(gap_began_s, ended_s), gap_ended_s),
            )
            left += [(from_s, to_s) for from_s, to_s in pieces if from_s < to_s]
        if began_s > self._covered_s:
            left.append((self._covered_s, began_s))
        self._gaps = left[-MAX_GAPS:]
        self._covered_s = max(self._covered_s, ended_s)

    def failed(self, controller: str) -> None:
        """Record that a controller has not answered."""
        known = self._controllers.get(controller)
        if known is not None:
            known.failed = True

    def _is_open(self, now: float) -> bool:
        """Tell whether reports may be missed now."""
        if self._covered_s == NEVER_S:
            return False
        # A controller whose life began later will cover nothing of the time right after that.
        none_covers = all(
            each.failed or each.life_began_s > self._covered_s
            for each in self._controllers.values()
        )
        return none_covers or now - self._covered_s > OPEN_AFTER_S

    def missed_since(self, now: float) -> float | None:
        """Return since when reports may have been missed that have not been made up for yet.

        None if there is no gap now, and the last one is over for long enough.
        """
        if self._is_open(now):
            return self._covered_s
        if self._gaps and now - self._gaps[-1][1] <= UNHEARD_S:
            return self._gaps[-1][0]
        return None

    def is_missed(self, moment_s: float, now: float) -> bool:
        """Tell whether reports of about a moment may have been missed."""
        if self._is_open(now) and moment_s >= self._covered_s:
            return True
        return any(began_s <= moment_s <= ended_s + UNHEARD_S for began_s, ended_s in self._gaps)
