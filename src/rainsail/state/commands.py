"""Commands that go through the replicated log, and what applying each returns.

A command's effect depends on the state and the command alone: no clock, no randomness.
Every reply is an outcome record below or a ``Fault`` (a conflict names ``current_revision``).
"""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.errors import Fault, Outcome
from rainsail.resources.specs import Condition, Resource, ResourceKey, Spec, Status
from rainsail.wire.codec import wire_record

GroupId = int
ROOT_GROUP: GroupId = 0

ANY_REVISION = -1
"""``expected_revision`` of a change that does not care about the current revision."""
MUST_NOT_EXIST = 0
"""``expected_revision`` of a change that creates."""


@wire_record
@dataclass(frozen=True, slots=True)
class NoOperation:
    """Appended by a new leader to commit entries of earlier terms."""


# --- resources ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PutResource:
    """Create or replace a spec. ``change_id`` makes a re-sent change get its first answer."""

    change_id: str
    key: ResourceKey
    spec: Spec
    expected_revision: int = ANY_REVISION


@dataclass(frozen=True, slots=True)
class DeleteResource:
    """Delete a resource."""

    change_id: str
    key: ResourceKey
    expected_revision: int = ANY_REVISION


@dataclass(frozen=True, slots=True)
class PutStatus:
    """Replace status and conditions; refused with a conflict when the revision moved on."""

    key: ResourceKey
    status: Status | None
    conditions: tuple[Condition, ...]
    expected_revision: int = ANY_REVISION


@dataclass(frozen=True, slots=True)
class MarkInForce:
    """Record that every gateway under a configuration lease has applied ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class ResourceChanged:
    """The resource after the change (for a deletion: as it last was) and the store revision."""

    resource: Resource
    revision: int


@dataclass(frozen=True, slots=True)
class Done:
    """The command took effect (or had taken effect before) and has nothing to report."""


# --- batch ledger ------------------------------------------------------------------------


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


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a caller asks for with a job.

    ``job_key`` is chosen by the caller: the same key of one tenant with the same content digest
    is the same job, with other content a conflict. ``deadline_unix_s`` is wall-clock time.
    """

    job_key: str
    tenant: str
    service: str
    item_count: int
    content_digest: str
    deadline_unix_s: float
    adapter: str = ""
    max_attempts: int = 5


@dataclass(frozen=True, slots=True)
class ItemBody:
    """One item: the caller's own id, the prompt and the bound on generated tokens."""

    custom_id: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class OpenJob:
    """Create a job that is not accepted yet."""

    job_id: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class AddItems:
    """Add a range of items, ``first_index`` onwards; re-sent ranges are ignored."""

    job_id: str
    first_index: int
    items: tuple[ItemBody, ...]


@dataclass(frozen=True, slots=True)
class SealJob:
    """Accept the job: every item is there. From now on it completes exactly once."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; leases are revoked and later results are not committed."""

    job_id: str
    change_id: str


@dataclass(frozen=True, slots=True)
class ForgetJob:
    """Remove a finished job whose retention has passed."""

    job_id: str


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


@dataclass(frozen=True, slots=True)
class ItemRef:
    """Names one leased item; ``fence`` rises with every lease of that item."""

    job_id: str
    index: int
    fence: int


@dataclass(frozen=True, slots=True)
class LeasedItem:
    """An item handed out, with what a dispatcher needs to run it."""

    ref: ItemRef
    tenant: str
    adapter: str
    deadline_unix_s: float
    body: ItemBody
    generated_prefix: str = ""


@dataclass(frozen=True, slots=True)
class ItemsLeased:
    """The items leased; may be fewer than asked for, or none. ``backlog`` is what is left."""

    items: tuple[LeasedItem, ...]
    backlog: int


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of one item."""

    ref: ItemRef
    text: str
    generated_tokens: int


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


@dataclass(frozen=True, slots=True)
class ResultsCommitted:
    """One verdict per result, in order."""

    verdicts: tuple[CommitVerdict, ...]


@dataclass(frozen=True, slots=True)
class ReturnedItem:
    """An item given back. ``failure`` is empty for a preemption, which costs no attempt."""

    ref: ItemRef
    generated_prefix: str
    failure: str = ""


@dataclass(frozen=True, slots=True)
class ReturnItems:
    """Give leased items back to the queue."""

    holder: str
    items: tuple[ReturnedItem, ...]


@dataclass(frozen=True, slots=True)
class RevokeLeases:
    """Revoke every lease of a holder that has not renewed in time."""

    holder: str


# --- request claims ----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim a non-repeatable request before it is sent to an engine."""

    tenant: str
    request_id: str
    content_digest: str
    gateway: str


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Record how a claimed request ended. NOT_RUN releases the claim."""

    tenant: str
    request_id: str
    gateway: str
    outcome: Outcome
    response: str = ""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """``granted`` to the asking gateway, or what is known of the first claim.

    When not granted, ``outcome`` is COMPLETED with the recorded response, or UNKNOWN while the
    first claim is unfinished. Another content digest is a CONFLICT fault.
    """

    granted: bool
    gateway: str
    outcome: Outcome
    response: str = ""


# --- sessions ----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AttachSession:
    """Pin a session to a runner under a new fence; the expected fence makes races lose."""

    session: str
    gateway: str
    runner: str
    expected_fence: int


@dataclass(frozen=True, slots=True)
class Turn:
    """One exchange of a session."""

    prompt: str
    answer: str


@dataclass(frozen=True, slots=True)
class AppendTurn:
    """Append a finished exchange; refused as FENCED when the session has moved.

    ``turn_index`` is the number of turns before this one; a re-sent turn is ignored.
    """

    session: str
    fence: int
    turn_index: int
    turn: Turn


@wire_record
@dataclass(frozen=True, slots=True)
class SessionView:
    """A session's place and transcript."""

    session: str
    gateway: str
    runner: str
    fence: int
    turns: tuple[Turn, ...]


Command = (
    NoOperation
    | PutResource
    | DeleteResource
    | PutStatus
    | MarkInForce
    | OpenJob
    | AddItems
    | SealJob
    | CancelJob
    | ForgetJob
    | LeaseItems
    | CommitResults
    | ReturnItems
    | RevokeLeases
    | ClaimRequest
    | FinishRequest
    | AttachSession
    | AppendTurn
)

CommandOutcome = (
    Done
    | ResourceChanged
    | JobView
    | ItemsLeased
    | ResultsCommitted
    | ClaimResult
    | SessionView
    | Fault
)


@wire_record
@dataclass(frozen=True, slots=True)
class CommandRecord:
    """A command as a log entry's payload."""

    command: Command
