"""Listeners for changes in a gateway's view of a runner."""

from collections.abc import Callable

RunnerListener = Callable[[str], None]
"""Called with a runner's name."""


class FleetListeners:
    """Notifies listeners of changes and engine restarts, in the order they were added."""

    def __init__(self) -> None:
        self._on_change: list[RunnerListener] = []
        self._on_restart: list[RunnerListener] = []

    def add_on_change(self, listener: RunnerListener) -> None:
        """Call ``listener`` at each change of a runner."""
        self._on_change.append(listener)

    def add_on_restart(self, listener: RunnerListener) -> None:
        """Call ``listener`` when a runner's engine has restarted."""
        self._on_restart.append(listener)

    def notify_changed(self, runner: str) -> None:
        """Notify listeners of a change of a runner."""
        for listener in list(self._on_change):
            listener(runner)

    def notify_restarted(self, runner: str) -> None:
        """Notify listeners that a runner's engine has restarted."""
        for listener in list(self._on_restart):
            listener(runner)
