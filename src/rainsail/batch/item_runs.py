"""The leased items that run on engines, by runner."""

from collections.abc import Callable, Iterator

from rainsail.batch.fleet_view import BatchFleet
from rainsail.batch.held_item import HeldItem
from rainsail.batch.item_runner import LeasedItemRun, LeasedRunEnd
from rainsail.engine.interface import EngineClient, Priority
from rainsail.resources.specs import RunnerSpec
from rainsail.runtime.clock import Clock
from rainsail.state.commands import GroupId, ItemRef

RunEnded = Callable[[LeasedItemRun, LeasedRunEnd, str, float], None]
"""Called when a run ends without ``stop``: the run, its end, a detail, and the retry delay (s)."""


class LeasedItemRuns:
    """Starts, stops and counts runs; each has a unique attempt id."""

    def __init__(
        self, holder: str, fleet: BatchFleet, engine: EngineClient, clock: Clock, on_end: RunEnded
    ) -> None:
        self._holder = holder
        self._fleet = fleet
        self._engine = engine
        self._clock = clock
        self._on_end = on_end
        self._runs: dict[str, dict[str, LeasedItemRun]] = {}
        self._attempts = 0

    def __len__(self) -> int:
        return sum(len(runs) for runs in self._runs.values())

    def runners(self) -> list[str]:
        """Return the runners on which items run."""
        return [runner for runner, runs in self._runs.items() if runs]

    def count(self, runner: str) -> int:
        """Return how many items run on a runner."""
        return len(self._runs.get(runner, ()))

    def of_runner(self, runner: str) -> list[LeasedItemRun]:
        """Return the runs on a runner, oldest first."""
        return list(self._runs.get(runner, {}).values())

    def all(self) -> Iterator[LeasedItemRun]:
        """Yield every run, by runner; runs may be stopped during the iteration."""
        for runner in list(self._runs):
            yield from self.of_runner(runner)

    def of_group(self, group: GroupId) -> Iterator[LeasedItemRun]:
        """Yield the runs of a group's items; runs may be stopped during the iteration."""
        return (run for run in self.all() if run.held.group == group)

    def refs(self, group: GroupId) -> Iterator[ItemRef]:
        """Yield the references of a group's running items."""
        return (run.held.ref for run in self.of_group(group))

    def start(self, runner: str, spec: RunnerSpec, held: HeldItem, priority: Priority) -> None:
        """Send an item to a runner's engine."""
        self._attempts += 1
        attempt_id = f"{self._holder}/b{self._attempts}"
        run = LeasedItemRun(
            held, runner, spec.address, attempt_id, self._engine, self._clock, self._run_ended
        )
        self._runs.setdefault(runner, {})[attempt_id] = run
        self._fleet.attempt_started(runner, attempt_id, True)
        run.start(priority)

    def stop(self, run: LeasedItemRun) -> HeldItem:
        """Cancel a run at its engine; return its item with the text generated so far."""
        run.stop()
        self._forget(run)
        return self.held_item(run)

    def held_item(self, run: LeasedItemRun) -> HeldItem:
        """Return a run's item as waiting again, with the text generated so far."""
        return run.held.waiting(run.text, self._clock.seconds(), run.runner)

    def _run_ended(
        self, run: LeasedItemRun, end: LeasedRunEnd, detail: str, retry_after_s: float
    ) -> None:
        self._forget(run)
        self._on_end(run, end, detail, retry_after_s)

    def _forget(self, run: LeasedItemRun) -> None:
        self._runs[run.runner].pop(run.attempt_id, None)
        self._fleet.attempt_ended(run.runner, run.attempt_id)
