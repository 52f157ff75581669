"""The part of the machine list that the controllers read. The list lags behind the truth."""

from enum import StrEnum
from typing import Protocol


class WatchedMachineState(StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineView(Protocol):
    """The latest known machine list, by the name of the runner or process on the machine."""

    def machine_state(self, name: str) -> WatchedMachineState | None:
        """Return a machine's state, or None when the list does not name it."""
        ...
