"""Coverage counters of a model check."""

from dataclasses import dataclass


@dataclass(slots=True)
class Coverage:
    """How often each event of interest occurred, to show that the schedules exercise it."""

    steps: int = 0
    deliveries: int = 0
    elections: int = 0
    commits: int = 0
    crashes: int = 0
    disk_losses: int = 0
    membership_changes: int = 0
    reads_answered: int = 0
    lease_checks: int = 0
    snapshots_installed: int = 0
    readings_failed: int = 0
    early_ends: int = 0
    transfers: int = 0
    transfers_won: int = 0
    foundings: int = 0
    promotions: int = 0
    repairs_finished: int = 0
    crashes_in_change: int = 0
    installs_in_change: int = 0
    two_disks_away: int = 0

    def add(self, other: "Coverage") -> None:
        """Add another schedule's counts."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))
