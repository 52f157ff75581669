"""Ledger time: a replicated clock that continues across leader changes and full power losses.

The leader writes it into accepted jobs and committed progress, which the others follow; in between,
every replica advances it by its own monotonic clock. A leader that has just started thus knows the
age of each job. Wall-clock time is unsuitable because it may jump on any machine. Time during which
no replica runs does not count.
"""


class LedgerTime:
    """Seconds since the first job was accepted, approximately equal on all replicas."""

    def __init__(self) -> None:
        self._ledger_s = 0.0
        self._set_at_s: float | None = None

    def advance(self, ledger_s: float, now: float) -> None:
        """Advance to a committed ledger time, never backwards; ``now`` is the node's clock."""
        if self._set_at_s is None or ledger_s > self.at(now):
            self._ledger_s = ledger_s
            self._set_at_s = now

    def set(self, ledger_s: float, now: float) -> None:
        """Follow a committed ledger time, also backwards; ``now`` is the node's clock.

        A leader that has started anew may be behind this replica by the time for which nothing was
        committed. A job that it accepts would seem that much older here.
        """
        self._ledger_s = ledger_s
        self._set_at_s = now

    def at(self, now: float) -> float:
        """Convert a time of the node's clock to ledger time."""
        if self._set_at_s is None:
            self._set_at_s = now
        return self._ledger_s + now - self._set_at_s
