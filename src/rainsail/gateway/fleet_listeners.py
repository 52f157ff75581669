"""Who is called when a gateway's view of a runner changes."""

from collections.abc import Callable

RunnerListener = Callable[[str], None]
"""Called with a runner's name."""


class FleetListeners:
    """Passes changes and engine restarts on, in the order in which listeners were added."""

    def __init__(self) -> None:
        self._on_change: list[RunnerListener] = []
        self._on_restart: list[RunnerListener] = []

    def add_on_change(self, listener: RunnerListener) -> None:
        """Call ``listener`` at each change of a runner's view."""
        self._on_change.append(listener)

    def add_on_restart(self, listener: RunnerListener) -> None:
        """Call ``listener`` when a runner's engine has restarted."""
        self._on_restart.append(listener)

    def notify_changed(self, runner: str) -> None:
        """Report a change of a runner's view."""
        for listener in list(self._on_change):
            listener(runner)

    def notify_restarted(self, runner: str) -> None:
        """Report that a runner's engine has restarted."""
        for listener in list(self._on_restart):
            listener(runner)
