"""The ledger's own time, which goes on across changes of its leader and losses of all power.

The leader writes it into the jobs that it accepts and the notes of how far items have come; every
replica carries it on by its own clock in between. So a leader knows how old a job is, though it may
have been started only now. The time of day would not do: it may jump on any machine. What is not
counted is the time during which no replica was up.
"""


class LedgerTime:
    """Seconds since the first job was accepted, about the same on every replica."""

    def __init__(self) -> None:
        self._ledger_s = 0.0
        self._heard_s: float | None = None

    def heard(self, ledger_s: float, now: float) -> None:
        """Take a time that the ledger holds; ``now`` is this process's clock."""
        if self._heard_s is None or ledger_s > self.at(now):
            self._ledger_s, self._heard_s = ledger_s, now

    def at(self, now: float) -> float:
        """Return the ledger's time at a time of this process's clock."""
        if self._heard_s is None:
            self._heard_s = now
        return self._ledger_s + now - self._heard_s
