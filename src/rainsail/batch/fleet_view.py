"""Interface of the fleet view that the dispatcher uses; see ``gateway.fleet.RunnerFleet``."""

from collections.abc import Callable, Sequence
from typing import Protocol

from rainsail.batch.interface import BatchRunnerView
from rainsail.resources.specs import RunnerSpec


class OwnedRunner(Protocol):
    """One runner as the gateway sees it; see ``gateway.runner_state.ObservedRunner``."""

    @property
    def name(self) -> str:
        """The runner's resource name."""
        ...

    @property
    def owned(self) -> bool:
        """Whether this gateway owns it now."""
        ...

    @property
    def spec(self) -> RunnerSpec:
        """The runner's spec as declared by the operator."""
        ...


class BatchFleet(Protocol):
    """The part of the fleet view that batch work reads and updates."""

    def owned_runners(self) -> Sequence[OwnedRunner]:
        """Return the runners that this gateway owns now, in name order."""
        ...

    def runner(self, name: str) -> OwnedRunner | None:
        """Return one runner, owned or not."""
        ...

    def view(self, runner: str) -> BatchRunnerView:
        """Return the current view of a runner."""
        ...

    def usable(self, runner: str) -> bool:
        """Tell whether a runner takes new work: ready, reachable, not draining, not ejected."""
        ...

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a runner's name whenever its view has changed."""
        ...

    def attempt_started(self, runner: str, attempt_id: str, batch: bool) -> None:
        """Count an attempt that is sent to a runner."""
        ...

    def attempt_ended(self, runner: str, attempt_id: str) -> None:
        """Count the end of an attempt."""
        ...
