"""The timeline of each batch item: waiting, running, preempted and interrupted."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rainsail.account.log_lines import LogLine

MOVED_WITHIN_S = 0.5
"""A preemption is a mere move if the item runs elsewhere within this time: the fleet had free
slots."""


@dataclass(slots=True)
class Run:
    """One run at a runner; times are seconds since the first midnight of the logs."""

    runner: str
    begin_s: float
    end_s: float
    preempted: bool
    """It ended because online work needed the slot."""
    broken: bool
    """It ended without the complete response and was not preempted."""

    @property
    def length_s(self) -> float:
        """Duration in seconds."""
        return self.end_s - self.begin_s


@dataclass(slots=True)
class ItemTimes:
    """The timeline of one item, from the acceptance of its job to its end."""

    item: str
    job: str
    accepted_s: float
    runs: list[Run] = field(default_factory=list)
    ended_s: float | None = None
    done: bool = False
    repeated_events: int = 0

    @property
    def running_s(self) -> float:
        """Total time on slots."""
        return sum(run.length_s for run in self.runs)

    @property
    def waiting_s(self) -> float:
        """Time from acceptance to the first run."""
        return self.runs[0].begin_s - self.accepted_s if self.runs else 0.0

    @property
    def preemptions(self) -> int:
        """Number of preempted runs."""
        return sum(run.preempted for run in self.runs)

    def pauses_s(self, after_preemptions: bool) -> list[float]:
        """Return the times from a run to the next, after preempted or after broken runs."""
        pairs = zip(self.runs, self.runs[1:], strict=False)
        return [
            after.begin_s - before.end_s
            for before, after in pairs
            if before.preempted == after_preemptions
        ]

    @property
    def moved_immediately(self) -> int:
        """Number of preemptions after which the item ran elsewhere within ``MOVED_WITHIN_S``."""
        return sum(pause_s <= MOVED_WITHIN_S for pause_s in self.pauses_s(after_preemptions=True))

    def in_time(self, within_s: float) -> bool:
        """Return whether the item was done within ``within_s`` of its acceptance."""
        return self.done and self.ended_s is not None and self.ended_s <= self.accepted_s + within_s


def item_times(lines: Iterable[LogLine]) -> list[ItemTimes]:
    """Return the items that ran or ended, in the order of their first such event."""
    return _ItemReader().read(lines)


class _ItemReader:
    def __init__(self) -> None:
        self._accepted_s: dict[str, float] = {}
        self._items: dict[str, ItemTimes] = {}
        self._open: dict[str, LogLine] = {}
        self._last_event: dict[str, float] = {}
        self._node_seen_s: dict[str, float] = {}

    def read(self, lines: Iterable[LogLine]) -> list[ItemTimes]:
        for line in lines:
            match line.event:
                case "job_proposed":
                    self._accepted_s.setdefault(line.text("job"), line.at_s)
                case "item_sent":
                    self._begin_run(line)
                case "item_gave_way":
                    self._end_run(line, preempted=True, broken=False)
                case "item_run_ended":
                    self._end_run(line, preempted=False, broken=True)
                case "item_ended":
                    self._end_run(line, preempted=False, broken=False)
                    times = self._of(line)
                    times.ended_s = line.at_s
                    times.done = bool(line.fields.get("done"))
                case "ledger_leadership" if line.fields.get("leads"):
                    self._end_open_runs()
            self._node_seen_s[line.text("node")] = line.at_s
        return list(self._items.values())

    def _of(self, line: LogLine) -> ItemTimes:
        item, job = line.text("item"), line.text("job")
        accepted_s = self._accepted_s.get(job, line.at_s)
        return self._items.setdefault(item, ItemTimes(item, job, accepted_s))

    def _begin_run(self, line: LogLine) -> None:
        times = self._of(line)
        if line.text("item") in self._open:
            self._end_run(line, preempted=False, broken=True)
        self._open[times.item] = line
        known = self._last_event.get(times.item)
        after = line.number("after_event")
        if known is not None:
            times.repeated_events += max(0, round(known - (after or 0.0)))

    def _end_open_runs(self) -> None:
        """End the open runs of the previous leader at the time of its last log line."""
        for item, begun in self._open.items():
            seen_s = self._node_seen_s.get(begun.text("node"), begun.at_s)
            end_s = max(begun.at_s, seen_s)
            run = Run(begun.text("runner"), begun.at_s, end_s, preempted=False, broken=True)
            self._items[item].runs.append(run)
        self._open.clear()

    def _end_run(self, line: LogLine, preempted: bool, broken: bool) -> None:
        times = self._of(line)
        last_event = line.number("last_event")
        if last_event is not None:
            self._last_event[times.item] = last_event
        begun = self._open.pop(times.item, None)
        if begun is not None:
            run = Run(begun.text("runner"), begun.at_s, line.at_s, preempted, broken)
            times.runs.append(run)
