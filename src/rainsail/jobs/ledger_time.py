"""The ledger's own time, which goes on across changes of its leader and losses of all power.

The leader writes it into the jobs that it accepts and into the progress of items; every replica
carries it on by its own clock in between. So a leader knows how old a job is, though it may have
been started only now. The time of day would not do: it may jump on any machine. The time during
which no replica was up is not counted.
"""


class LedgerTime:
    """Seconds since the first job was accepted, about the same on every replica."""

    def __init__(self) -> None:
        self._ledger_s = 0.0
        self._set_at_s: float | None = None

    def advance(self, ledger_s: float, now: float) -> None:
        """Take a time that the ledger holds, never going back; ``now`` is the node's clock."""
        if self._set_at_s is None or ledger_s > self.at(now):
            self._ledger_s = ledger_s
            self._set_at_s = now

    def at(self, now: float) -> float:
        """Return the ledger's time at a time of the node's clock."""
        if self._set_at_s is None:
            self._set_at_s = now
        return self._ledger_s + now - self._set_at_s
