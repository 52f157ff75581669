"""Commands of the ledger of relayed jobs: jobs whose items are opaque requests."""

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
    """One item: the request that runs it. ``tokens`` bounds prompt and answer together."""

    item: str
    path: str
    headers: tuple[ItemHeader, ...]
    body: bytes
    tokens: int


@wire_type("AcceptJob")
@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Keep a whole job, accepted at a time of the ledger; the same id again changes nothing."""

    job: str
    tenant: str
    host: str
    path: str
    items: tuple[RelayedItem, ...]
    at_s: float


@wire_type("ItemOutcome")
@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """How an item ended: its whole text, or not ``done`` when it was given up."""

    index: int
    done: bool
    text: str


@wire_type("ListOutcomes")
@dataclass(frozen=True, slots=True)
class ListOutcomes:
    """Give ended items their positions in the job's results, in this order."""

    job: str
    outcomes: tuple[ItemOutcome, ...]


@wire_type("ItemNote")
@dataclass(frozen=True, slots=True)
class ItemNote:
    """How far an item's run has come since the last note of it.

    ``after_event`` is the last event of that note (-1: there was none); ``texts`` are the data of
    the events behind it, up to ``last_event``.
    """

    job: str
    index: int
    after_event: int
    last_event: int
    texts: tuple[str, ...]


@wire_type("NoteProgress")
@dataclass(frozen=True, slots=True)
class NoteProgress:
    """Keep how far items have come at a time of the ledger, so that another leader goes on."""

    notes: tuple[ItemNote, ...]
    at_s: float


@wire_type("EndRelayedJob")
@dataclass(frozen=True, slots=True)
class EndRelayedJob:
    """Run nothing more of a job; what is listed stays."""

    job: str


@wire_type("DropRelayedJob")
@dataclass(frozen=True, slots=True)
class DropRelayedJob:
    """Forget a job whose results need not be kept any longer."""

    job: str


@wire_type("ListedOutcome")
@dataclass(frozen=True, slots=True)
class ListedOutcome:
    """One position of a job's results."""

    index: int
    done: bool
    text: str


@wire_record("RelayedJobSnapshot")
@dataclass(frozen=True, slots=True)
class RelayedJobSnapshot:
    """One job as a part of a snapshot; bodies of listed items are empty."""

    job: str
    tenant: str
    host: str
    path: str
    items: tuple[RelayedItem, ...]
    listed: tuple[ListedOutcome, ...]
    ended: bool
    notes: tuple[ItemNote, ...]
    accepted_s: float
