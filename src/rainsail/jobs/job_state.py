"""The replicated state of the ledger group: jobs, their items and what is listed of them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from rainsail.errors import Fault, FaultCode
from rainsail.jobs.job_ids import client_id
from rainsail.state.command_basics import Done, NoOperation
from rainsail.state.fleet_commands import FleetCommand, FleetCommandOutcome
from rainsail.state.job_commands import (
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
"""Stands between the data of two events in an item's text."""
NO_EVENT = -1
"""Stands for the last event of an item of which none has come."""


@dataclass(slots=True)
class RelayedJob:
    """One job. ``listed`` holds the results by position; ``unlisted`` the items still open."""

    job: str
    tenant: str
    """The name of the tenant that handed it in, empty for none."""
    host: str
    path: str
    items: list[RelayedItem]
    listed: list[ListedOutcome] = field(default_factory=list)
    unlisted: set[int] = field(default_factory=set)
    ended: bool = False
    accepted_s: float = 0.0
    """The ledger's time of the acceptance."""
    open_tokens: int = 0
    """The tokens of all unlisted items, 0 once the job has ended."""
    notes: dict[int, ItemNote] = field(default_factory=dict)
    """How far the runs of unlisted items have come, from their first event on."""

    @property
    def client_id(self) -> str:
        """What the job's client calls it."""
        return client_id(self.tenant, self.job)

    @property
    def is_open(self) -> bool:
        """Tell whether items are still to be run."""
        return bool(self.unlisted) and not self.ended

    def body(self, item: str) -> bytes | None:
        """Return the body of an item that is not listed yet."""
        for index, each in enumerate(self.items):
            if each.item == item:
                return each.body if index in self.unlisted and not self.ended else None
        return None


class StateObserver:
    """Is called for what a replica applies, whether it leads or not; does nothing by default."""

    def accepted(self, job: RelayedJob) -> None:
        """A job was accepted, or read from a snapshot."""

    def progressed(self, ledger_s: float, notes: tuple[ItemNote, ...]) -> None:
        """The progress of items was committed, at a time of the ledger."""

    def finished(self, events: int) -> None:
        """An item ended whole, after so many events."""


class JobState:
    """Implements ``rainsail.state.interface.StateMachine``."""

    def __init__(self) -> None:
        self.jobs: dict[str, RelayedJob] = {}
        self.observer = StateObserver()
        """Is called for what is applied; not part of the state."""

    def apply(self, index: int, command: FleetCommand) -> FleetCommandOutcome:
        """Apply the committed command at log ``index``."""
        match command:
            case AcceptJob():
                self._accept(command)
            case ListOutcomes():
                self._list(command)
            case NoteProgress():
                for note in command.notes:
                    self._note(note)
                self.observer.progressed(command.at_s, command.notes)
            case EndRelayedJob():
                return self._end(command)
            case DropRelayedJob():
                self.jobs.pop(command.job, None)
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
        job.listed.append(ListedOutcome(outcome.index, outcome.done, outcome.text))
        job.items[outcome.index] = replace(job.items[outcome.index], body=b"")
        if outcome.done:
            self.observer.finished(outcome.text.count(EVENT_SEPARATOR) + 1)

    def _note(self, note: ItemNote) -> None:
        """Add a note that goes on where the last one of its item ended; drop any other."""
        job = self.jobs.get(note.job)
        if job is None or job.ended or note.index not in job.unlisted:
            return
        known = job.notes.get(note.index)
        if note.after_event != (NO_EVENT if known is None else known.last_event):
            return
        texts = note.texts if known is None else known.texts + note.texts
        job.notes[note.index] = replace(note, after_event=NO_EVENT, texts=texts)

    def _end(self, command: EndRelayedJob) -> FleetCommandOutcome:
        job = self.jobs.get(command.job)
        if job is None:
            return Fault(FaultCode.NOT_FOUND, "jobs.end", f"no job {command.job}")
        job.ended = True
        job.open_tokens = 0
        job.notes.clear()
        job.items = [replace(item, body=b"") for item in job.items]
        return Done()

    def waiting_tokens(self, tenant: str, host: str, prefix: str) -> int:
        """Return a tenant's tokens that wait on a route: those of its jobs' unlisted items."""
        return sum(
            job.open_tokens
            for job in self.jobs.values()
            if job.open_tokens
            and (job.tenant, job.host) == (tenant, host)
            and job.path.startswith(prefix)
        )

    def snapshot(self) -> Iterator[bytes]:
        """Return one chunk for each job, as they are at the call."""
        chunks = [encode(_snapshot_of(job)) for job in self.jobs.values()]
        return iter(chunks)

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state by a snapshot."""
        jobs = [_job_of(decode(chunk)) for chunk in chunks if chunk]
        self.jobs = {job.job: job for job in jobs}
        for job in jobs:
            self.observer.accepted(job)


def _snapshot_of(job: RelayedJob) -> RelayedJobSnapshot:
    return RelayedJobSnapshot(
        job.job,
        job.tenant,
        job.host,
        job.path,
        tuple(job.items),
        tuple(job.listed),
        job.ended,
        tuple(job.notes.values()),
        job.accepted_s,
    )


def _job_of(snapshot: RelayedJobSnapshot) -> RelayedJob:
    job = RelayedJob(
        snapshot.job,
        snapshot.tenant,
        snapshot.host,
        snapshot.path,
        list(snapshot.items),
        list(snapshot.listed),
        ended=snapshot.ended,
        accepted_s=snapshot.accepted_s,
        notes={note.index: note for note in snapshot.notes},
    )
    listed = {each.index for each in job.listed}
    job.unlisted = {index for index in range(len(job.items)) if index not in listed}
    if not job.ended:
        job.open_tokens = sum(job.items[index].tokens for index in job.unlisted)
    return job
