"""Calls of gateways to the ledger's leader."""

from dataclasses import dataclass

from rainsail.state.job_commands import RelayedItem
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("QueueLimit")
@dataclass(frozen=True, slots=True)
class QueueLimit:
    """How many tokens of a tenant may wait on a route; 0 stands for any number."""

    prefix: str
    """The route's prefix: a job of the same host whose path begins so is of the same route."""
    tokens: int


@wire_record("SubmitRelayedJob")
@dataclass(frozen=True, slots=True)
class SubmitRelayedJob:
    """Asks the leader to keep a whole job; the same id again is accepted again.

    The gateway names the limit of the route by which it took the job, since a leader may have been
    started only now and know no table yet.
    """

    job: str
    tenant: str
    host: str
    path: str
    items: tuple[RelayedItem, ...]
    limit: QueueLimit


@wire_record("RelayedJobAccepted")
@dataclass(frozen=True, slots=True)
class RelayedJobAccepted:
    """A quorum has synced the whole job."""

    job: str


@wire_record("ReadResults")
@dataclass(frozen=True, slots=True)
class ReadResults:
    """Asks for the results from a position on, held up to ``wait_s`` until there is one."""

    job: str
    after: int
    wait_s: float


@wire_type("ResultEntry")
@dataclass(frozen=True, slots=True)
class ResultEntry:
    """One result: the item's id, whether it is done, and its text."""

    item: str
    done: bool
    text: str


@wire_record("ResultPage")
@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results at positions ``after`` and on, of ``total`` items."""

    job: str
    total: int
    after: int
    results: tuple[ResultEntry, ...]


@wire_record("ReadItemBody")
@dataclass(frozen=True, slots=True)
class ReadItemBody:
    """Asks for the body of an item that is not listed yet."""

    job: str
    item: str


@wire_record("ItemBodyFound")
@dataclass(frozen=True, slots=True)
class ItemBodyFound:
    """The body, byte by byte as it was handed in."""

    body: bytes


@wire_record("EndJobCall")
@dataclass(frozen=True, slots=True)
class EndJobCall:
    """Asks the leader to run nothing more of a job."""

    job: str


@wire_record("JobEnded")
@dataclass(frozen=True, slots=True)
class JobEnded:
    """The end is committed."""

    job: str
