"""The part of the machine list that the controllers read. The list lags behind the truth."""

from enum import StrEnum
from typing import Protocol


class MachineState(StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineView(Protocol):
    """The latest known machine list, by the name of the runner or process on the machine."""

    def machine_state(self, name: str) -> MachineState | None:
        """Return a machine's state, or None when the list does not name it."""
        ...
