"""An item that is not listed yet, as the ledger's leader keeps it from run to run."""

from dataclasses import dataclass, field

from rainsail.http.pool import Call
from rainsail.jobs.after_run import RUNNER_AVOIDANCE_S
from rainsail.jobs.item_run import ItemProgress, ItemRun
from rainsail.jobs.job_state import NO_EVENT, RelayedJob
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.job_commands import ItemNote


@dataclass(slots=True)
class OpenItem:
    """One item's progress, and its run if it has one now; times are of the node's clock."""

    job: str
    """The job's id within the whole ledger."""
    index: int
    """The item's place among the items of its job."""
    progress: ItemProgress = field(default_factory=ItemProgress)
    ready_at_s: float = 0.0
    """The item takes no run before this time."""
    runner: str = ""
    """Where the item runs or ran last."""
    run: ItemRun | None = None
    call: Call | None = None
    started_s: float = 0.0
    """When the present run, or the last one, began."""
    ran_s: float = 0.0
    """The duration of all runs that are over."""
    events_seen: int = 0
    """The events there were when the run was last looked at."""
    last_event_s: float = 0.0
    """When a new event was last seen, or the run began."""
    events_committed: int = 0
    """How many events the ledger keeps, or has been asked to keep and has not refused."""
    events_at_start: int = 0
    runs_without_event: int = 0
    """How many runs in a row broke without a new event."""
    failed_at_s: dict[str, float] = field(default_factory=dict)
    """When each runner last answered the item with a failure."""
    fingerprints: dict[str, Fingerprint] = field(default_factory=dict)
    """What the item has in common with its repetitions, by service where its route is split."""

    @property
    def events(self) -> int:
        """The events that have come."""
        return len(self.progress.texts)

    @property
    def begun(self) -> bool:
        """Tell whether some of the answer has come, so that another run has less to do."""
        return bool(self.progress.texts)

    def running_s(self, now: float) -> float:
        """Return how long the item has run in all, its present run included."""
        return self.ran_s + (now - self.started_s if self.run is not None else 0.0)

    def begin_run(self, runner: str, now: float) -> None:
        """Set what a run begins with."""
        self.runner = runner
        self.started_s = self.last_event_s = now
        self.events_seen = self.events_at_start = self.events

    def avoids(self, runner: str, now: float) -> bool:
        """Tell whether the item goes to another ready runner if there is one."""
        failed_s = self.failed_at_s.get(runner)
        return failed_s is not None and now - failed_s < RUNNER_AVOIDANCE_S

    def idle_s(self, now: float) -> float:
        """Return how long the run has brought no event; to be asked regularly."""
        if self.events != self.events_seen:
            self.events_seen = self.events
            self.last_event_s = now
        return now - self.last_event_s

    def count_runs_without_event(self) -> int:
        """Count a run that broke; return how many in a row have broken without a new event."""
        brought_events = self.events > self.events_at_start
        self.runs_without_event = 0 if brought_events else self.runs_without_event + 1
        return self.runs_without_event

    def forget_dropped_events(self) -> None:
        """Count only events that are still there: a run may have been dropped from its start.

        The ledger may keep a note of the dropped events. It takes no other note of the item then,
        and a new leader that goes on from there judges the beginning again at the end.
        """
        self.events_committed = min(self.events_committed, self.events)

    def close_run(self, now: float) -> None:
        """Close the run's connection; nothing of this run is taken any more."""
        self.ran_s = self.running_s(now)
        if self.run is not None:
            self.run.stop()
        if self.call is not None:
            self.call.cancel()
        self.run = None
        self.call = None


def resume_item(job: RelayedJob, index: int) -> OpenItem:
    """Return an open item that goes on where the progress that the ledger keeps ends."""
    item = OpenItem(job.job, index)
    note = job.notes.get(index)
    if note is not None:
        item.progress.last_event = note.last_event
        item.progress.texts = list(note.texts)
        item.progress.numbers = [note.last_event] * len(note.texts)
        item.progress.from_previous_leader = True
        item.events_committed = len(note.texts)
    return item


def take_new_progress(item: OpenItem) -> ItemNote | None:
    """Return what has come since the last call and count it as kept; None when nothing has."""
    progress = item.progress
    texts = tuple(progress.texts[item.events_committed :])
    if not texts or progress.last_event is None:
        return None
    after = progress.numbers[item.events_committed - 1] if item.events_committed else NO_EVENT
    item.events_committed = len(progress.texts)
    return ItemNote(item.job, item.index, after, progress.last_event, texts)
