"""An item that is not listed yet, as the leader of the ledger keeps it from run to run."""

from dataclasses import dataclass, field

from rainsail.http.pool import Call
from rainsail.jobs.item_run import ItemProgress, ItemRun
from rainsail.jobs.job_state import NO_EVENT, RelayedJob
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.job_commands import ItemNote

FRUITLESS_RUNS_AT_ONCE = 3
"""An item rests before its next run once this many in a row have brought nothing."""
FRUITLESS_PAUSE_S = 0.5
"""The first rest; it doubles with each further run that brings nothing."""
LONGEST_PAUSE_S = 8.0


@dataclass(slots=True)
class Work:
    """One item's progress and its run, if it has one now.

    ``ran_s`` sums up the runs that have ended; ``noted`` is how many events stand in notes that
    were not refused; ``fruitless_runs`` how many in a row have broken without a new event.
    """

    job: str
    index: int
    progress: ItemProgress = field(default_factory=ItemProgress)
    ready_at_s: float = 0.0
    runner: str = ""
    run: ItemRun | None = None
    call: Call | None = None
    started_s: float = 0.0
    ran_s: float = 0.0
    events_seen: int = 0
    seen_at_s: float = 0.0
    noted: int = 0
    events_at_start: int = 0
    fruitless_runs: int = 0
    fingerprint: Fingerprint = b""
    """Empty until it is first needed."""

    @property
    def events(self) -> int:
        """The events that have come."""
        return len(self.progress.texts)

    @property
    def begun(self) -> bool:
        """Tell whether some of the answer has come, so that another run has less to do."""
        return bool(self.progress.texts)

    def running_s(self, now: float) -> float:
        """Return how long the item has run in all, its present run with it."""
        return self.ran_s + (now - self.started_s if self.run is not None else 0.0)

    def begin_run(self, runner: str, now: float) -> None:
        """Note that a run begins at a runner."""
        self.runner = runner
        self.started_s = self.seen_at_s = now
        self.events_seen = self.events_at_start = self.events

    def pause_after_break_s(self) -> float:
        """Return how long an item rests after a run that broke.

        An item whose answer no run can read would otherwise take slots without end, and rest each
        runner in turn for all other items.
        """
        if self.events > self.events_at_start:
            self.fruitless_runs = 0
            return 0.0
        self.fruitless_runs += 1
        doublings = self.fruitless_runs - FRUITLESS_RUNS_AT_ONCE
        return 0.0 if doublings < 0 else min(FRUITLESS_PAUSE_S * 2**doublings, LONGEST_PAUSE_S)

    def cut(self, now: float) -> None:
        """Close the connection under the run; nothing more is heard of it."""
        self.ran_s = self.running_s(now)
        if self.run is not None:
            self.run.stop()
        if self.call is not None:
            self.call.cancel()
        self.run = None
        self.call = None


def taken_up(job: RelayedJob, index: int) -> Work:
    """Return an item's work, going on where the last note of it ended."""
    work = Work(job.job, index)
    note = job.notes.get(index)
    if note is not None:
        work.progress.last_event = note.last_event
        work.progress.texts = list(note.texts)
        work.progress.numbers = [note.last_event] * len(note.texts)
        work.noted = len(note.texts)
    return work


def note_of(work: Work) -> list[ItemNote]:
    """Return the note of what has come since the last one; nothing when nothing has."""
    progress = work.progress
    texts = tuple(progress.texts[work.noted :])
    if not texts or progress.last_event is None:
        return []
    after = progress.numbers[work.noted - 1] if work.noted else NO_EVENT
    work.noted = len(progress.texts)
    return [ItemNote(work.job, work.index, after, progress.last_event, texts)]
