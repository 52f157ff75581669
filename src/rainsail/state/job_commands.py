"""Commands of the ledger of relayed jobs, whose items are opaque requests."""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("ItemHeader")
@dataclass(frozen=True, slots=True)
class ItemHeader:
    """One header field of an item's request."""

    name: str
    value: str


@wire_type("RelayedItem")
@dataclass(frozen=True, slots=True)
class RelayedItem:
    """One item: its id and its request. ``tokens`` limits the sum of prompt and answer."""

    item: str
    path: str
    headers: tuple[ItemHeader, ...]
    body: bytes
    tokens: int


@wire_type("AcceptJob")
@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Accept a whole job at ledger time ``at_s``; a known job id changes nothing."""

    job: str
    tenant: str
    host: str
    path: str
    items: tuple[RelayedItem, ...]
    at_s: float


@wire_type("ItemOutcome")
@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """Outcome of an item: its whole text, or not ``done`` when the item failed for good."""

    index: int
    done: bool
    text: str


@wire_type("ListOutcomes")
@dataclass(frozen=True, slots=True)
class ListOutcomes:
    """Append the outcomes of finished items to the job's results, in this order."""

    job: str
    outcomes: tuple[ItemOutcome, ...]


ORIGIN_NOTE = -2
"""``after_event`` and ``last_event`` of a note that tells who writes an item's text."""


@wire_type("ItemNote")
@dataclass(frozen=True, slots=True)
class ItemNote:
    """Progress of a running item since the previous note.

    ``after_event`` is the last event of the previous note (-1: none); ``texts`` holds the data of
    the events after it, up to ``last_event``.

    A note with ``ORIGIN_NOTE`` in both numbers goes ahead of an item's first one and has the
    service and the software version of the text's runner in ``texts``. Nodes of earlier versions
    ignore it, as it follows no event, and in a snapshot the note behind it takes its place there.

    A note with the bitwise complement of an item's index counts its failed runs instead: complete
    answers of 500 in ``after_event``, those that broke off in ``last_event``, and in ``texts``
    answers of 422 that broke off, and runs whose answers are unknown (``jobs.failure_counts``).
    Nodes of earlier versions ignore it, as no item has such an index.
    """

    job: str
    index: int
    after_event: int
    last_event: int
    texts: tuple[str, ...]


@wire_type("NoteProgress")
@dataclass(frozen=True, slots=True)
class NoteProgress:
    """Store the progress of items at ledger time ``at_s``, so that a new leader can resume them."""

    notes: tuple[ItemNote, ...]
    at_s: float


@wire_type("EndRelayedJob")
@dataclass(frozen=True, slots=True)
class EndRelayedJob:
    """Stop running a job's items; outcomes that were appended stay."""

    job: str


@wire_type("DropRelayedJob")
@dataclass(frozen=True, slots=True)
class DropRelayedJob:
    """Delete a job after the retention period of its results."""

    job: str


@wire_type("ListedOutcome")
@dataclass(frozen=True, slots=True)
class ListedOutcome:
    """One outcome in a job's results."""

    index: int
    done: bool
    text: str


@wire_record("RelayedJobSnapshot")
@dataclass(frozen=True, slots=True)
class RelayedJobSnapshot:
    """One job in a snapshot; the bodies of finished items are empty."""

    job: str
    tenant: str
    host: str
    path: str
    items: tuple[RelayedItem, ...]
    listed: tuple[ListedOutcome, ...]
    ended: bool
    notes: tuple[ItemNote, ...]
    accepted_s: float
