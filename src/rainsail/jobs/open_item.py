"""An unlisted item, as the ledger's leader tracks it between runs."""

from dataclasses import dataclass, field

from rainsail.http.pool import Call
from rainsail.jobs.after_run import RUNNER_AVOIDANCE_S
from rainsail.jobs.failure_counts import NO_FAILURES, UNNOTED, FailureCounts
from rainsail.jobs.item_progress import ItemProgress
from rainsail.jobs.item_run import ItemRun
from rainsail.jobs.item_text import MAX_ITEM_NOTE_BYTES, note_bytes
from rainsail.jobs.item_wait import LOGGED_CAUSES, ItemWait, WaitCause
from rainsail.jobs.job_state import NO_EVENT, RelayedJob, origin_note
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.job_commands import ItemNote


@dataclass(slots=True)
class OpenItem:
    """One item's progress, and its current run if any; times are of the node's clock."""

    job: str
    """The job's scoped id."""
    index: int
    """The item's index in its job."""
    progress: ItemProgress = field(default_factory=ItemProgress)
    ready_at_s: float = 0.0
    """The earliest time of the next run."""
    runner: str = ""
    """The runner of the current run, or of the last one."""
    run: ItemRun | None = None
    call: Call | None = None
    trial_until_s: float = 0.0
    """Until when the item may be sent although it was held before."""
    permit: tuple[Fingerprint, ...] = ()
    """The quarantine's entries of its last permit, until that is used up or given back."""
    trial_of: tuple[Fingerprint, ...] = ()
    """The quarantine's entries of which the current run, or the last one, is a trial."""
    wait: ItemWait | None = None
    """Why it waits; None if neither the quarantine nor ``is_sent_alone`` has kept it waiting."""
    started_s: float = 0.0
    """Start of the current run, or of the last one."""
    ran_s: float = 0.0
    """Total duration of the runs that are over."""
    events_seen: int = 0
    """The number of events at the last check for idleness."""
    last_event_s: float = 0.0
    """Time of the last check that found new events, or start of the run."""
    events_committed: int = 0
    """Events that are committed to the ledger, or proposed to it and not refused."""
    is_note_stale: bool = False
    """Whether the ledger has a text of the item that was discarded here."""
    events_at_start: int = 0
    ends: int = 0
    """During how many of its runs the connection has ended."""
    runs_without_event: int = 0
    """Consecutive broken runs without a new event."""
    failures: FailureCounts = NO_FAILURES
    """What is known of its failed runs, without the current run."""
    noted: FailureCounts | None = None
    """The counts last proposed to the ledger; None: none, and ``UNNOTED`` is assumed."""
    starting: int = 0
    """Number of the start that waits for its note while the item holds a slot; 0: none does."""
    is_held: bool = False
    """Whether it is not sent since its attempts may be used up, though not certainly."""
    is_sent_alone: bool = False
    """Whether it is sent only while no other such item awaits its answer."""
    failed_at_s: dict[str, float] = field(default_factory=dict)
    """Time of the last failure that each runner answered for this item, or of an end of its text
    there that another runner is to confirm."""
    fingerprints: dict[str, Fingerprint] = field(default_factory=dict)
    """The item's fingerprints, by service if its route is split."""
    part_fingerprints: dict[str, tuple[Fingerprint, ...]] = field(default_factory=dict)
    """The fingerprints of its prompt's parts, by service."""

    @property
    def events(self) -> int:
        """The number of events received."""
        return len(self.progress.texts)

    @property
    def begun(self) -> bool:
        """Tell whether part of the answer has been received, so that the next run is shorter."""
        return bool(self.progress.texts)

    @property
    def awaits_answer(self) -> bool:
        """Tell whether it holds a slot and its runner has not begun to answer."""
        return bool(self.starting) or (self.run is not None and not self.run.begun)

    def wait_cause(self, now: float) -> WaitCause:
        """Return why the item waits, as far as it was found by itself and not by its job."""
        if self.is_held:
            return WaitCause.POSSIBLE_FAILURES
        if self.wait is not None and self.wait.cause in LOGGED_CAUSES:
            return self.wait.cause
        return WaitCause.BACKOFF if self.ready_at_s > now else WaitCause.SLOT

    def running_s(self, now: float) -> float:
        """Return the total duration of the item's runs, including the current one."""
        return self.ran_s + (now - self.started_s if self.run is not None else 0.0)

    def begin_run(self, runner: str, now: float) -> None:
        """Reset the state of the current run."""
        self.wait = None
        self.runner = runner
        self.started_s = self.last_event_s = now
        self.events_seen = self.events_at_start = self.events

    def avoids(self, runner: str, now: float) -> bool:
        """Tell whether the item prefers other ready runners after a recent failure at this one."""
        failed_s = self.failed_at_s.get(runner)
        return failed_s is not None and now - failed_s < RUNNER_AVOIDANCE_S

    def idle_s(self, now: float) -> float:
        """Return the time since the last new event; must be called regularly to notice events."""
        if self.events != self.events_seen:
            self.events_seen = self.events
            self.last_event_s = now
        return now - self.last_event_s

    def count_runs_without_event(self) -> int:
        """Count a broken run; return the number of consecutive ones without a new event."""
        brought_events = self.events > self.events_at_start
        self.runs_without_event = 0 if brought_events else self.runs_without_event + 1
        return self.runs_without_event

    def forget_dropped_events(self) -> None:
        """Lower the count of committed events after a run was discarded from its start.

        The ledger may still have a progress note of the discarded events. No further notes of the
        item are committed then, as the ledger would append them to the discarded text; a new leader
        that resumes from that note checks the beginning again at the end of the answer.
        """
        if self.events < self.events_committed:
            self.events_committed = self.events
            self.is_note_stale = True

    def close_run(self, now: float) -> None:
        """Close the run's connection and ignore whatever still arrives for it."""
        self.ran_s = self.running_s(now)
        if self.run is not None:
            self.run.stop()
        if self.call is not None:
            self.call.cancel()
        self.run = None
        self.call = None
        self.starting = 0

    def inherit_failures(self, job: RelayedJob) -> None:
        """Go on from the counts that a previous leader committed."""
        self.failures = self.noted = job.failures.get(self.index, UNNOTED)


def resume_item(job: RelayedJob, index: int) -> OpenItem:
    """Return an open item that resumes after its committed progress."""
    item = OpenItem(job.job, index)
    note = job.notes.get(index)
    if note is not None:
        item.progress.last_event = note.last_event
        item.progress.texts = list(note.texts)
        item.progress.numbers = [note.last_event] * len(note.texts)
        item.progress.origin = job.origins.get(index)
        item.progress.from_previous_leader = True
        item.events_committed = len(note.texts)
    return item


def take_new_progress(item: OpenItem, max_bytes: int = MAX_ITEM_NOTE_BYTES) -> list[ItemNote]:
    """Return the notes of the progress since the last call and count it as committed.

    They take ``max_bytes`` of memory at most. The first one is preceded by the origin of the text.
    """
    progress = item.progress
    texts = _first_texts(progress.texts[item.events_committed :], max_bytes)
    if item.is_note_stale or not texts or progress.last_event is None:
        return []
    notes = []
    if not item.events_committed and progress.origin is not None:
        notes.append(origin_note(item.job, item.index, progress.origin))
    after = progress.numbers[item.events_committed - 1] if item.events_committed else NO_EVENT
    item.events_committed += len(texts)
    is_all = item.events_committed == len(progress.texts)
    last_event = progress.last_event if is_all else progress.numbers[item.events_committed - 1]
    notes.append(ItemNote(item.job, item.index, after, last_event, texts))
    return notes


def _first_texts(texts: list[str], max_bytes: int) -> tuple[str, ...]:
    """Return as many of the first texts as take ``max_bytes`` at most."""
    if note_bytes(texts) <= max_bytes:
        return tuple(texts)
    left = max_bytes
    for count, text in enumerate(texts):
        left -= note_bytes((text,))
        if left < 0:
            return tuple(texts[:count])
    return tuple(texts)
