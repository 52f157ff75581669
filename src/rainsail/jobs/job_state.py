"""The replicated state of the ledger group: jobs, their items and the listed results."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.errors import Fault, FaultCode
from rainsail.jobs.failure_counts import (
    FailureCounts,
    counts_in,
    failure_note,
    is_failure_note,
    item_of,
)
from rainsail.jobs.item_text import note_bytes
from rainsail.jobs.job_ids import client_id
from rainsail.state.command_basics import Done, NoOperation
from rainsail.state.fleet_commands import FleetCommand, FleetCommandOutcome
from rainsail.state.job_commands import (
    ORIGIN_NOTE,
    AcceptJob,
    DropRelayedJob,
    EndRelayedJob,
    ItemNote,
    ItemOutcome,
    ListedOutcome,
    ListOutcomes,
    NoteProgress,
    RelayedItem,
    RelayedJobSnapshot,
)
from rainsail.wire.codec import decode, encode

EVENT_SEPARATOR = "\n"
"""Separates the data of two events in an item's text."""
ORIGIN_FIELDS = 2
"""Texts of a note with an origin: service and version."""
NO_EVENT = -1
"""Last event number of an item that has received no event."""


@dataclass(slots=True)
class RelayedJob:
    """One job: ``listed`` has the results by position, ``unlisted`` the indexes of open items."""

    job: str
    tenant: str
    """The name of the tenant that submitted it, empty for none."""
    host: str
    path: str
    items: list[RelayedItem]
    listed: list[ListedOutcome] = field(default_factory=list)
    unlisted: set[int] = field(default_factory=set)
    ended: bool = False
    accepted_s: float = 0.0
    """Ledger time of the acceptance."""
    open_tokens: int = 0
    """The tokens of all unlisted items, 0 once the job has ended."""
    notes: dict[int, ItemNote] = field(default_factory=dict)
    """The committed progress of unlisted items, from their first event on."""
    note_bytes: dict[int, int] = field(default_factory=dict)
    """What the committed progress of each item takes in memory."""
    origins: dict[int, StreamOrigin] = field(default_factory=dict)
    """Who wrote the committed progress; an item without an entry has a text of unknown origin."""
    failures: dict[int, FailureCounts] = field(default_factory=dict)
    """The committed counts of failed runs of unlisted items."""

    @property
    def client_id(self) -> str:
        """The id under which the client submitted the job."""
        return client_id(self.tenant, self.job)

    @property
    def is_open(self) -> bool:
        """Tell whether the job has items left to run."""
        return bool(self.unlisted) and not self.ended

    @property
    def body_bytes(self) -> int:
        """The bytes of all request bodies that are kept; finished items have none."""
        return sum(len(item.body) for item in self.items)

    def body(self, item: str) -> bytes | None:
        """Return the request body of an unlisted item, None for any other."""
        for index, each in enumerate(self.items):
            if each.item == item:
                return each.body if index in self.unlisted and not self.ended else None
        return None


class StateObserver:
    """Callbacks for the commands that any replica applies; by default they do nothing."""

    def accepted(self, job: RelayedJob) -> None:
        """Handle a job that was accepted or restored from a snapshot."""

    def progressed(self, ledger_s: float, notes: tuple[ItemNote, ...]) -> None:
        """Handle committed progress of items; ``ledger_s`` is the ledger time of the commit."""

    def finished(self, events: int) -> None:
        """Handle a completed item; ``events`` is its number of events."""


class JobState:
    """Implements ``rainsail.state.interface.StateMachine``."""

    def __init__(self) -> None:
        self.jobs: dict[str, RelayedJob] = {}
        self.body_bytes = 0
        """The bytes of the request bodies of all items without a result."""
        self.observer = StateObserver()
        """Called for applied commands; not part of the replicated state."""

    def apply(self, index: int, command: FleetCommand) -> FleetCommandOutcome:
        """Apply the committed command at log position ``index``."""
        match command:
            case AcceptJob():
                self._accept(command)
            case ListOutcomes():
                self._list(command)
            case NoteProgress():
                self._take_notes(command)
            case EndRelayedJob():
                return self._end(command)
            case DropRelayedJob():
                dropped = self.jobs.pop(command.job, None)
                self.body_bytes -= 0 if dropped is None else dropped.body_bytes
            case NoOperation():
                pass
            case _:
                detail = f"{type(command).__name__} is no command of the ledger"
                return Fault(FaultCode.INVALID, "jobs.apply", detail)
        return Done()

    def _accept(self, command: AcceptJob) -> None:
        if command.job in self.jobs:
            return
        items = list(command.items)
        job = RelayedJob(command.job, command.tenant, command.host, command.path, items)
        job.unlisted = set(range(len(items)))
        job.accepted_s = command.at_s
        job.open_tokens = sum(item.tokens for item in items)
        self.jobs[command.job] = job
        self.body_bytes += job.body_bytes
        self.observer.accepted(job)

    def _list(self, command: ListOutcomes) -> None:
        job = self.jobs.get(command.job)
        if job is None or job.ended:
            return
        for outcome in command.outcomes:
            self._list_one(job, outcome)

    def _list_one(self, job: RelayedJob, outcome: ItemOutcome) -> None:
        if outcome.index not in job.unlisted:
            return
        job.unlisted.discard(outcome.index)
        job.open_tokens -= job.items[outcome.index].tokens
        job.notes.pop(outcome.index, None)
        job.note_bytes.pop(outcome.index, None)
        job.origins.pop(outcome.index, None)
        job.failures.pop(outcome.index, None)
        job.listed.append(ListedOutcome(outcome.index, outcome.done, outcome.text))
        self.body_bytes -= len(job.items[outcome.index].body)
        job.items[outcome.index] = replace(job.items[outcome.index], body=b"")
        if outcome.done:
            self.observer.finished(outcome.text.count(EVENT_SEPARATOR) + 1)

    def _take_notes(self, command: NoteProgress) -> None:
        texts = []
        for note in command.notes:
            if is_failure_note(note):
                self._note_failures(note)
            elif is_origin_note(note):
                self._note_origin(note)
            else:
                self._note(note)
                texts.append(note)
        if texts or not command.notes:
            self.observer.progressed(command.at_s, tuple(texts))

    def _note_failures(self, note: ItemNote) -> None:
        """Replace the counts of an item's failed runs."""
        job = self.jobs.get(note.job)
        if job is not None and not job.ended and item_of(note) in job.unlisted:
            job.failures[item_of(note)] = counts_in(note)

    def _note_origin(self, note: ItemNote) -> None:
        """Record who writes an item's text; ignored once a part of the text is committed."""
        job = self.jobs.get(note.job)
        if job is None or job.ended or note.index not in job.unlisted:
            return
        if note.index not in job.notes:
            job.origins[note.index] = _origin_in(note)

    def _note(self, note: ItemNote) -> None:
        """Append a progress note that continues the item's last one; ignore any other."""
        job = self.jobs.get(note.job)
        if job is None or job.ended or note.index not in job.unlisted:
            return
        known = job.notes.get(note.index)
        if note.after_event != (NO_EVENT if known is None else known.last_event):
            return
        texts = note.texts if known is None else known.texts + note.texts
        job.note_bytes[note.index] = job.note_bytes.get(note.index, 0) + note_bytes(note.texts)
        job.notes[note.index] = replace(note, after_event=NO_EVENT, texts=texts)

    def _end(self, command: EndRelayedJob) -> FleetCommandOutcome:
        job = self.jobs.get(command.job)
        if job is None:
            return Fault(FaultCode.NOT_FOUND, "jobs.end", f"no job {command.job}")
        job.ended = True
        job.open_tokens = 0
        job.notes.clear()
        job.note_bytes.clear()
        job.origins.clear()
        job.failures.clear()
        self.body_bytes -= job.body_bytes
        job.items = [replace(item, body=b"") for item in job.items]
        return Done()

    def count_note_bytes(self) -> int:
        """Return what the committed progress of all items takes in memory."""
        return sum(sum(job.note_bytes.values()) for job in self.jobs.values() if job.note_bytes)

    def waiting_tokens(self, tenant: str, host: str, prefix: str) -> int:
        """Return the tokens of the unlisted items of a tenant's jobs on a route."""
        return sum(
            job.open_tokens
            for job in self.jobs.values()
            if job.open_tokens
            and (job.tenant, job.host) == (tenant, host)
            and job.path.startswith(prefix)
        )

    def snapshot(self) -> Iterator[bytes]:
        """Return one chunk for each job, encoded at the time of the call."""
        chunks = [encode(_snapshot_of(job)) for job in self.jobs.values()]
        return iter(chunks)

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state with a snapshot."""
        jobs = [_job_of(decode(chunk)) for chunk in chunks if chunk]
        self.jobs = {job.job: job for job in jobs}
        self.body_bytes = sum(job.body_bytes for job in jobs)
        for job in jobs:
            self.observer.accepted(job)


def origin_note(job: str, index: int, origin: StreamOrigin) -> ItemNote:
    """Return the note that tells who writes an item's text."""
    return ItemNote(job, index, ORIGIN_NOTE, ORIGIN_NOTE, (origin.service, origin.version))


def is_origin_note(note: ItemNote) -> bool:
    """Tell whether a note has the origin of a text, not a part of it."""
    return note.after_event == ORIGIN_NOTE and len(note.texts) == ORIGIN_FIELDS


def _origin_in(note: ItemNote) -> StreamOrigin:
    service, version = note.texts
    return StreamOrigin(service, version)


def _snapshot_of(job: RelayedJob) -> RelayedJobSnapshot:
    return RelayedJobSnapshot(
        job.job,
        job.tenant,
        job.host,
        job.path,
        tuple(job.items),
        tuple(job.listed),
        job.ended,
        tuple(_notes_of(job)),
        job.accepted_s,
    )


def _notes_of(job: RelayedJob) -> Iterator[ItemNote]:
    """Yield the notes of a snapshot: counts of failures, then each text behind its origin."""
    for index, counts in job.failures.items():
        yield failure_note(job.job, index, counts)
    for index, note in job.notes.items():
        origin = job.origins.get(index)
        if origin is not None:
            yield origin_note(job.job, index, origin)
        yield note


def _job_of(snapshot: RelayedJobSnapshot) -> RelayedJob:
    counts = [note for note in snapshot.notes if is_failure_note(note)]
    notes = [note for note in snapshot.notes if not is_failure_note(note)]
    job = RelayedJob(
        snapshot.job,
        snapshot.tenant,
        snapshot.host,
        snapshot.path,
        list(snapshot.items),
        list(snapshot.listed),
        ended=snapshot.ended,
        accepted_s=snapshot.accepted_s,
        notes={note.index: note for note in notes if not is_origin_note(note)},
        origins={note.index: _origin_in(note) for note in notes if is_origin_note(note)},
    )
    job.note_bytes = {index: note_bytes(note.texts) for index, note in job.notes.items()}
    listed = {each.index for each in job.listed}
    job.unlisted = {index for index in range(len(job.items)) if index not in listed}
    job.failures = {
        item_of(note): counts_in(note) for note in counts if item_of(note) not in listed
    }
    if not job.ended:
        job.open_tokens = sum(job.items[index].tokens for index in job.unlisted)
    return job
