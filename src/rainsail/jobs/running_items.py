"""The items that currently run, by runner."""

from collections.abc import Callable, Iterator
from itertools import chain

from rainsail.jobs.open_item import OpenItem


class RunningItems:
    """The items at each runner, runners and items in the order in which they were first added."""

    def __init__(self) -> None:
        self._by_runner: dict[str, list[OpenItem]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_runner.values()))

    def __iter__(self) -> Iterator[OpenItem]:
        return chain.from_iterable(self._by_runner.values())

    def runners(self) -> list[str]:
        """Return the runners at which items run or have run."""
        return list(self._by_runner)

    def at(self, runner: str) -> list[OpenItem]:
        """Return a copy of the items that run at a runner."""
        return list(self._by_runner.get(runner, ()))

    def count_at(self, runner: str) -> int:
        """Return how many items run at a runner."""
        return len(self._by_runner.get(runner, ()))

    def add(self, item: OpenItem) -> None:
        """Add an item whose run begins at ``item.runner``."""
        self._by_runner.setdefault(item.runner, []).append(item)

    def remove(self, item: OpenItem) -> None:
        """Remove an item whose run is over; does nothing if it is not there."""
        items = self._by_runner.get(item.runner, [])
        if item in items:
            items.remove(item)

    def stop_where(self, unwanted: Callable[[OpenItem], bool], now: float) -> None:
        """Close the runs of the items for which ``unwanted`` holds, and remove them."""
        for item in [item for item in self if unwanted(item)]:
            item.close_run(now)
            self.remove(item)

    def stop_all(self, now: float) -> None:
        """Close every run, and forget all runners."""
        for item in self:
            item.close_run(now)
        self._by_runner.clear()
