"""The recorded history of a run: what callers, operators and engines saw, in time order.

Checkers read a history and nothing else. A simulated run and a run of real daemons record the
same events, so the same checkers judge both. Times are seconds of one observer's monotonic
clock. On disk a history is an Avro container file of ``HistoryRecord``.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainsail.errors import Outcome
from rainsail.experiment.container import Progress, read_container, write_container
from rainsail.resources.specs import RequestClass
from rainsail.wire.codec import CodecError, encode_body, wire_record
from rainsail.wire.names import wire_type

STEP = "history.read"
CONNECTION_LOST = "connection lost"
"""Fault of an answer whose connection ended at the process that served it."""
ANSWER_LOST = "answer lost"
"""Fault of an answer that was sent whole and lost on its way."""


@wire_type("RequestSent")
@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sends a request. ``expected_text`` is the whole right answer."""

    time_s: float
    request_id: str
    send_id: str
    gateway: str
    tenant: str
    class_: RequestClass
    expected_text: str


@wire_type("RequestAnswered")
@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """A caller has its final answer to one send, or has given up waiting (``lost``).

    ``text`` is what the caller put together from the parts it received.
    """

    time_s: float
    request_id: str
    send_id: str
    outcome: Outcome
    text: str
    first_part_s: float
    fault: str
    lost: bool


@wire_type("EngineStarted")
@dataclass(frozen=True, slots=True)
class EngineStarted:
    """An engine takes new work (an attempt of a request or of an item)."""

    time_s: float
    runner: str
    request_id: str
    attempt_id: str
    batch: bool


@wire_type("EngineFinished")
@dataclass(frozen=True, slots=True)
class EngineFinished:
    """An engine ran an attempt to its end."""

    time_s: float
    runner: str
    request_id: str
    attempt_id: str


@wire_type("OnlineQueued")
@dataclass(frozen=True, slots=True)
class OnlineQueued:
    """An online request waited in an engine while a batch attempt ran beside it."""

    time_s: float
    runner: str
    request_id: str
    waited_s: float


@wire_type("JobAccepted")
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A client's job submission was answered with an accepted (sealed) job."""

    time_s: float
    job_key: str
    job_id: str
    content_digest: str
    item_count: int


@wire_type("JobCancelAccepted")
@dataclass(frozen=True, slots=True)
class JobCancelAccepted:
    """An operator's cancel was answered as done."""

    time_s: float
    job_id: str


@wire_type("ResultRead")
@dataclass(frozen=True, slots=True)
class ResultRead:
    """A client read one finished item. ``phase`` is an ``ItemPhase`` value."""

    time_s: float
    job_id: str
    index: int
    phase: str
    text: str
    expected_text: str


@wire_type("JobRead")
@dataclass(frozen=True, slots=True)
class JobRead:
    """A client read a job's phase and counts."""

    time_s: float
    job_id: str
    phase: str
    completed: int
    set_aside: int


@wire_type("ChangeSent")
@dataclass(frozen=True, slots=True)
class ChangeSent:
    """An operator sends a change with an expected revision; ``value`` marks its content."""

    time_s: float
    operator: str
    change_id: str
    resource: str
    expected_revision: int
    value: str


@wire_type("ChangeAnswered")
@dataclass(frozen=True, slots=True)
class ChangeAnswered:
    """The answer to a change: accepted at ``revision``, or refused with a code."""

    time_s: float
    operator: str
    change_id: str
    resource: str
    accepted: bool
    revision: int
    code: str


@wire_type("ResourceRead")
@dataclass(frozen=True, slots=True)
class ResourceRead:
    """A read confirmed by the leader, begun at ``begun_s``."""

    time_s: float
    begun_s: float
    reader: str
    resource: str
    revision: int
    value: str


@wire_type("GatewayApplied")
@dataclass(frozen=True, slots=True)
class GatewayApplied:
    """A gateway incarnation applied a configuration revision."""

    time_s: float
    gateway: str
    incarnation: str
    revision: int


@wire_type("GatewayAdmitted")
@dataclass(frozen=True, slots=True)
class GatewayAdmitted:
    """A gateway let new work in while holding a configuration revision."""

    time_s: float
    gateway: str
    incarnation: str
    revision: int


@wire_type("InForceReported")
@dataclass(frozen=True, slots=True)
class InForceReported:
    """An operator saw that every revision up to ``revision`` is in force."""

    time_s: float
    revision: int


@wire_type("DrainDeclared")
@dataclass(frozen=True, slots=True)
class DrainDeclared:
    """A runner's drain was accepted (or its machine was listed as leaving)."""

    time_s: float
    runner: str
    declared: bool


@wire_type("PlannedStop")
@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A process was asked to stop as planned; ``finished`` when it has."""

    time_s: float
    process: str
    finished: bool


@wire_type("FaultInjected")
@dataclass(frozen=True, slots=True)
class FaultInjected:
    """The run brought about a failure."""

    time_s: float
    kind: str
    target: str


@wire_type("FaultEnded")
@dataclass(frozen=True, slots=True)
class FaultEnded:
    """A failure that the run brought about is over."""

    time_s: float
    kind: str
    target: str


@wire_type("FaultsEnded")
@dataclass(frozen=True, slots=True)
class FaultsEnded:
    """From here on no failure is under way; everything accepted must complete."""

    time_s: float


@wire_type("RunEnded")
@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run is over; ``complete`` is False when it was cut short."""

    time_s: float
    complete: bool


Event = (
    RequestSent
    | AnswerReceived
    | EngineStarted
    | EngineFinished
    | OnlineQueued
    | JobAccepted
    | JobCancelAccepted
    | ResultRead
    | JobRead
    | ChangeSent
    | ChangeAnswered
    | ResourceRead
    | GatewayApplied
    | GatewayAdmitted
    | InForceReported
    | DrainDeclared
    | PlannedStop
    | FaultInjected
    | FaultEnded
    | FaultsEnded
    | RunEnded
)


@wire_record("HistoryRecord")
@dataclass(frozen=True, slots=True)
class HistoryRecord:
    """One event in a history file."""

    event: Event


class History:
    """Events in the order in which they were recorded, with a running hash."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._hash = hashlib.sha256()

    def record(self, event: Event) -> None:
        """Append an event and add it to the hash."""
        self.events.append(event)
        self._hash.update(encode_body(HistoryRecord(event)))

    def sha256(self) -> str:
        """Return the hex SHA-256 over all events so far."""
        return self._hash.hexdigest()

    def of_type(self, event_type: type) -> list[Any]:
        """Return the events of one type in order."""
        return [event for event in self.events if type(event) is event_type]


def history_in_order(events: Iterable[Event]) -> History:
    """Return a history of events in the order of their times; equal times keep their order."""
    history = History()
    for event in sorted(events, key=lambda each: each.time_s):
        history.record(event)
    return history


def write_history(path: Path, history: History) -> None:
    """Write a history as an Avro container file."""
    write_container(path, HistoryRecord, (HistoryRecord(event) for event in history.events))


def read_history(path: Path, progress: Progress = lambda count: None) -> History:
    """Read a history file; raises ``CodecError``, naming file and offset, when it is not one.

    ``progress`` hears how many bytes more have been read.
    """
    records = read_container(path, HistoryRecord, STEP, progress=progress)
    if records.is_error():
        raise CodecError(f"not a history: {records.error.detail}")
    history = History()
    for record in records.ok:
        history.record(record.event)
    return history
