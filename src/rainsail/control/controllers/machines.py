"""The controllers' view of the platform's machine list, which may be out of date."""

from enum import StrEnum
from typing import Protocol


class WatchedMachineState(StrEnum):
    """A machine's state as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineView(Protocol):
    """The latest known machine list, keyed by the runner or process on each machine."""

    def machine_state(self, name: str) -> WatchedMachineState | None:
        """Return a machine's state, or None when the list does not contain it."""
        ...
