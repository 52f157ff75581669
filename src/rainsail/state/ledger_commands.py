"""Commands of the batch ledger: jobs, items, leases and results, and what they return."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.wire.names import wire_type

DEFAULT_TENANT_WEIGHT = 1.0
"""Weight of a tenant that is not declared."""


class JobPhase(StrEnum):
    """Where a job stands. Only SEALED and later count as accepted."""

    OPEN = "open"
    SEALED = "sealed"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class ItemPhase(StrEnum):
    """Where an item stands."""

    PENDING = "pending"
    LEASED = "leased"
    COMPLETED = "completed"
    SET_ASIDE = "set_aside"
    CANCELLED = "cancelled"


@wire_type("JobSpec")
@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a caller asks for with a job.

    ``job_key`` is chosen by the caller: the same key of one tenant with the same content digest
    is the same job, with other content a conflict. ``deadline_unix_s`` is wall-clock time.
    ``tenant_weight`` is the tenant's weight at submission; it stands in where the job's group
    doesn't keep the tenant's resource.
    """

    job_key: str
    tenant: str
    service: str
    item_count: int
    content_digest: str
    deadline_unix_s: float
    adapter: str = ""
    max_attempts: int = 5
    tenant_weight: float = DEFAULT_TENANT_WEIGHT


@wire_type("ItemBody")
@dataclass(frozen=True, slots=True)
class ItemBody:
    """One item: the caller's own id, the prompt and the bound on generated tokens."""

    custom_id: str
    prompt: str
    max_tokens: int


@wire_type("OpenJob")
@dataclass(frozen=True, slots=True)
class OpenJob:
    """Create a job that is not accepted yet."""

    job_id: str
    spec: JobSpec


@wire_type("AddItems")
@dataclass(frozen=True, slots=True)
class AddItems:
    """Add a range of items, ``first_index`` onwards; re-sent ranges are ignored."""

    job_id: str
    first_index: int
    items: tuple[ItemBody, ...]


@wire_type("SealJob")
@dataclass(frozen=True, slots=True)
class SealJob:
    """Accept the job: every item is there. From now on it completes exactly once."""

    job_id: str


@wire_type("CancelJob")
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; leases are revoked and later results are not committed."""

    job_id: str
    change_id: str


@wire_type("ForgetJob")
@dataclass(frozen=True, slots=True)
class ForgetJob:
    """Remove a finished job whose retention has passed."""

    job_id: str


@wire_type("JobView")
@dataclass(frozen=True, slots=True)
class JobView:
    """A job's phase and counts."""

    job_id: str
    spec: JobSpec
    phase: JobPhase
    pending: int
    leased: int
    completed: int
    set_aside: int
    cancelled: int


@wire_type("LeaseItems")
@dataclass(frozen=True, slots=True)
class LeaseItems:
    """Lease up to ``max_items`` and ``max_tokens`` of a service's items to ``holder``.

    ``holder`` is a gateway incarnation (``gateway-a1/7f3c``): a restarted gateway is another
    holder. ``request_id`` makes a re-sent command return the same lease.
    """

    holder: str
    request_id: str
    service: str
    max_items: int
    max_tokens: int


@wire_type("ItemRef")
@dataclass(frozen=True, slots=True)
class ItemRef:
    """Names one leased item; ``fence`` rises with every lease of that item."""

    job_id: str
    index: int
    fence: int


@wire_type("LeasedItem")
@dataclass(frozen=True, slots=True)
class LeasedItem:
    """An item handed out, with what a dispatcher needs to run it."""

    ref: ItemRef
    tenant: str
    adapter: str
    deadline_unix_s: float
    body: ItemBody
    generated_prefix: str = ""


@wire_type("ItemsLeased")
@dataclass(frozen=True, slots=True)
class ItemsLeased:
    """The items leased; may be fewer than asked for, or none. ``backlog`` is what is left."""

    items: tuple[LeasedItem, ...]
    backlog: int


@wire_type("ItemResult")
@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of one item."""

    ref: ItemRef
    text: str
    generated_tokens: int


@wire_type("CommitResults")
@dataclass(frozen=True, slots=True)
class CommitResults:
    """Commit results; each is taken only when its item is unfinished and its fence is current."""

    holder: str
    results: tuple[ItemResult, ...]


class CommitVerdict(StrEnum):
    """What became of one committed result."""

    COMMITTED = "committed"
    ALREADY_COMMITTED = "already_committed"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    UNKNOWN_ITEM = "unknown_item"


@wire_type("ResultsCommitted")
@dataclass(frozen=True, slots=True)
class ResultsCommitted:
    """One verdict per result, in order."""

    verdicts: tuple[CommitVerdict, ...]


@wire_type("ReturnedItem")
@dataclass(frozen=True, slots=True)
class ReturnedItem:
    """An item given back. ``failure`` is empty for a preemption, which costs no attempt."""

    ref: ItemRef
    generated_prefix: str
    failure: str = ""


@wire_type("ReturnItems")
@dataclass(frozen=True, slots=True)
class ReturnItems:
    """Give leased items back to the queue."""

    holder: str
    items: tuple[ReturnedItem, ...]


@wire_type("RevokeLeases")
@dataclass(frozen=True, slots=True)
class RevokeLeases:
    """Revoke every lease of a holder that has not renewed in time."""

    holder: str
