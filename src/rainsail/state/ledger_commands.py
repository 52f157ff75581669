"""Commands of the batch ledger for jobs, items, leases and results, and their outcomes."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.wire.names import wire_type

DEFAULT_TENANT_WEIGHT = 1.0
"""Weight of a tenant that has no declared resource."""


class JobPhase(StrEnum):
    """Phase of a job. A job counts as accepted from SEALED on."""

    OPEN = "open"
    SEALED = "sealed"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class ItemPhase(StrEnum):
    """Phase of an item. SET_ASIDE items used up their attempts (dead-lettered)."""

    PENDING = "pending"
    LEASED = "leased"
    COMPLETED = "completed"
    SET_ASIDE = "set_aside"
    CANCELLED = "cancelled"


@wire_type("JobSpec")
@dataclass(frozen=True, slots=True)
class JobSpec:
    """The specification of a job as submitted by a caller.

    ``job_key`` is the idempotency key chosen by the caller: a repeated key of one tenant names the
    same job if the content digest is the same, and is a conflict otherwise. ``deadline_unix_s`` is
    wall-clock time. ``tenant_weight`` is the tenant's weight at submission; it is used where the
    job's group does not store the tenant's resource.
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
    """One item: the caller's id, the prompt and the limit on generated tokens."""

    custom_id: str
    prompt: str
    max_tokens: int


@wire_type("OpenJob")
@dataclass(frozen=True, slots=True)
class OpenJob:
    """Create a job; it is not accepted until ``SealJob``."""

    job_id: str
    spec: JobSpec


@wire_type("AddItems")
@dataclass(frozen=True, slots=True)
class AddItems:
    """Add a range of items starting at ``first_index``; a re-sent range changes nothing."""

    job_id: str
    first_index: int
    items: tuple[ItemBody, ...]


@wire_type("SealJob")
@dataclass(frozen=True, slots=True)
class SealJob:
    """Accept the job once all items are added. From then on it completes exactly once."""

    job_id: str


@wire_type("CancelJob")
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job: its leases are revoked and later results are rejected."""

    job_id: str
    change_id: str


@wire_type("ForgetJob")
@dataclass(frozen=True, slots=True)
class ForgetJob:
    """Delete a finished job after its retention period."""

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
    """Lease up to ``max_items`` items of a service, up to ``max_tokens`` in sum, to ``holder``.

    ``holder`` is a gateway incarnation (``gateway-a1/7f3c``): a restarted gateway is another
    holder. ``request_id`` makes the command idempotent: a re-sent one returns the same lease.
    """

    holder: str
    request_id: str
    service: str
    max_items: int
    max_tokens: int


@wire_type("ItemRef")
@dataclass(frozen=True, slots=True)
class ItemRef:
    """Reference to a leased item; the fencing token ``fence`` rises with each lease of the item."""

    job_id: str
    index: int
    fence: int


@wire_type("LeasedItem")
@dataclass(frozen=True, slots=True)
class LeasedItem:
    """A leased item with everything a dispatcher needs to run it.

    ``generated_prefix`` is the text that earlier attempts generated.
    """

    ref: ItemRef
    tenant: str
    adapter: str
    deadline_unix_s: float
    body: ItemBody
    generated_prefix: str = ""


@wire_type("ItemsLeased")
@dataclass(frozen=True, slots=True)
class ItemsLeased:
    """The leased items, possibly fewer than requested. ``backlog`` counts the pending ones left."""

    items: tuple[LeasedItem, ...]
    backlog: int


@wire_type("ItemResult")
@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of a leased item."""

    ref: ItemRef
    text: str
    generated_tokens: int


@wire_type("CommitResults")
@dataclass(frozen=True, slots=True)
class CommitResults:
    """Commit results; each needs an unfinished item and the item's current fence."""

    holder: str
    results: tuple[ItemResult, ...]


class CommitVerdict(StrEnum):
    """Outcome of one result in ``CommitResults``."""

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
    """A returned item. ``failure`` is empty for a preemption, which does not use up an attempt."""

    ref: ItemRef
    generated_prefix: str
    failure: str = ""


@wire_type("ReturnItems")
@dataclass(frozen=True, slots=True)
class ReturnItems:
    """Return leased items to the queue."""

    holder: str
    items: tuple[ReturnedItem, ...]


@wire_type("RevokeLeases")
@dataclass(frozen=True, slots=True)
class RevokeLeases:
    """Revoke all leases of a holder that failed to renew in time."""

    holder: str
