"""Messages between gateways and the ledger's leader."""

from dataclasses import dataclass

from rainsail.state.job_commands import RelayedItem
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("QueueLimit")
@dataclass(frozen=True, slots=True)
class QueueLimit:
    """The maximum of a tenant's waiting tokens on a route; 0: unlimited."""

    prefix: str
    """The route's path prefix: jobs of the same host with this prefix share the route."""
    tokens: int


@wire_record("SubmitRelayedJob")
@dataclass(frozen=True, slots=True)
class SubmitRelayedJob:
    """Submits a complete job to the leader. Idempotent: a known id is accepted again.

    The gateway passes the limit of the job's route, because a leader that has just started may not
    have a routing table yet.
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
    """Reply to ``SubmitRelayedJob``: a quorum has synced the complete job."""

    job: str


@wire_record("ReadResults")
@dataclass(frozen=True, slots=True)
class ReadResults:
    """Requests the results from position ``after`` on, waiting up to ``wait_s`` for the first."""

    job: str
    after: int
    wait_s: float


@wire_type("ResultEntry")
@dataclass(frozen=True, slots=True)
class ResultEntry:
    """One result: the item's id, whether it is done or was given up, and its text."""

    item: str
    done: bool
    text: str


@wire_record("ResultPage")
@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from position ``after`` on, of a job of ``total`` items."""

    job: str
    total: int
    after: int
    results: tuple[ResultEntry, ...]


@wire_record("ReadItemBody")
@dataclass(frozen=True, slots=True)
class ReadItemBody:
    """Requests the body of an unlisted item."""

    job: str
    item: str


@wire_record("ItemBodyFound")
@dataclass(frozen=True, slots=True)
class ItemBodyFound:
    """The body, byte for byte as it was submitted."""

    body: bytes


@wire_record("EndJobCall")
@dataclass(frozen=True, slots=True)
class EndJobCall:
    """Ends a job: none of its items is run any more."""

    job: str


@wire_record("JobEnded")
@dataclass(frozen=True, slots=True)
class JobEnded:
    """Reply to ``EndJobCall``: the end is committed."""

    job: str
