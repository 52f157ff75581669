"""Messages between gateways, operator APIs and replicas.

Every request is served by the leader of its group; another replica answers ``Fault`` with code
NOT_LEADER and the leader's name in ``peer`` (empty when unknown). ``LeaderClient`` follows this
hint.
"""

from dataclasses import dataclass

from rainsail.resources.specs import Kind, Resource, WatchEvent
from rainsail.state.commands import Command, CommandOutcome, GroupId, ItemRef, JobView
from rainsail.state.interface import ResultRow
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_record("ProposeRequest")
@dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Commit and apply a command. After a TIMEOUT it is unknown whether it took effect."""

    group: GroupId
    command: Command


@wire_record("ProposeReply")
@dataclass(frozen=True, slots=True)
class ProposeReply:
    """The outcome of applying the command (possibly a typed fault), and its log index."""

    outcome: CommandOutcome
    index: int


@wire_record("ListRequest")
@dataclass(frozen=True, slots=True)
class ListRequest:
    """Read resources at the leader, under its read lease. Empty ``kinds`` selects all kinds.

    With ``name``, only resources of that name are returned. With a ``limit`` above 0, at most that
    many are returned, in order of kind and name, after the key (``after_kind``, ``after_name``)
    when it is set. With ``shared``, the reply is a ``SharedListReply``.
    """

    group: GroupId
    kinds: tuple[Kind, ...]
    name: str = ""
    limit: int = 0
    after_kind: str = ""
    after_name: str = ""
    shared: bool = False


@wire_record("ListReply")
@dataclass(frozen=True, slots=True)
class ListReply:
    """The requested resources, and the revision at which they were read.

    ``more`` means that the limit truncated the list: the next page starts after the last resource
    and is read at its own revision.
    """

    revision: int
    in_force_revision: int
    resources: tuple[Resource, ...]
    more: bool = False


@wire_record("ResourcePage")
@dataclass(frozen=True, slots=True)
class ResourcePage:
    """Resources encoded once for many readers; the list's revision is not part of the page."""

    resources: tuple[Resource, ...]


@wire_record("SharedListReply")
@dataclass(frozen=True, slots=True)
class SharedListReply:
    """A ``ListReply`` whose resources are an encoded ``ResourcePage``."""

    revision: int
    in_force_revision: int
    page: bytes
    more: bool


@wire_record("ConfigPoll")
@dataclass(frozen=True, slots=True)
class ConfigPoll:
    """Long poll of a gateway: acknowledges a revision, renews its lease, waits for new events.

    ``incarnation`` differs for every start of the gateway. The reply comes at once when there
    are events after ``applied_revision``, else as soon as there are some, at the latest after
    ``wait_s``.
    """

    group: GroupId
    gateway: str
    incarnation: str
    applied_revision: int
    wait_s: float


@wire_record("ConfigPollReply")
@dataclass(frozen=True, slots=True)
class ConfigPollReply:
    """Events after the poll's revision; ``compacted`` asks the gateway to list again.

    The configuration lease is valid for ``lease_s`` seconds from the moment at which the gateway
    SENT the poll, on the gateway's own monotonic clock.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    in_force_revision: int
    compacted: bool
    lease_s: float


@wire_record("EncodedReply")
@dataclass(frozen=True, slots=True)
class EncodedReply:
    """A reply encoded once for many receivers; ``LeaderClient`` returns the decoded reply."""

    body: bytes


@wire_record("ConfigRelease")
@dataclass(frozen=True, slots=True)
class ConfigRelease:
    """Sent by a gateway that has stopped serving, to release its configuration lease."""

    group: GroupId
    gateway: str
    incarnation: str


@wire_record("ConfigReleased")
@dataclass(frozen=True, slots=True)
class ConfigReleased:
    """Acknowledges a ``ConfigRelease``."""


@wire_record("RenewItemLeases")
@dataclass(frozen=True, slots=True)
class RenewItemLeases:
    """Renew all item leases of a holder; sent every ``batch.lease_renewal_period_s``."""

    group: GroupId
    holder: str
    running: tuple[ItemRef, ...]


@wire_record("RenewItemLeasesReply")
@dataclass(frozen=True, slots=True)
class RenewItemLeasesReply:
    """``stop`` lists the items that the holder must cancel: revoked, cancelled or finished."""

    stop: tuple[ItemRef, ...]
    lease_s: float
    backlog: dict[str, int]


@wire_record("JobsRequest")
@dataclass(frozen=True, slots=True)
class JobsRequest:
    """Read one job, or, with an empty id, all jobs of a tenant (empty: of all tenants)."""

    group: GroupId
    job_id: str
    tenant: str = ""


@wire_record("JobsReply")
@dataclass(frozen=True, slots=True)
class JobsReply:
    """The jobs found."""

    jobs: tuple[JobView, ...]


@wire_record("ResultsRequest")
@dataclass(frozen=True, slots=True)
class ResultsRequest:
    """Read a page of finished items of a job."""

    group: GroupId
    job_id: str
    first_index: int
    limit: int


@wire_record("ResultsReply")
@dataclass(frozen=True, slots=True)
class ResultsReply:
    """A page of results, and the first index of the next page (-1: no more)."""

    rows: tuple[ResultRow, ...]
    next_index: int


@wire_record("SessionRequest")
@dataclass(frozen=True, slots=True)
class SessionRequest:
    """Read a session's location and transcript."""

    group: GroupId
    session: str


@wire_type("TenantDemand")
@dataclass(frozen=True, slots=True)
class TenantDemand:
    """Tokens that a tenant used, and tokens refused to it, at one gateway since its last report."""

    tenant: str
    used_tokens: float
    refused_tokens: float


@wire_record("QuotaReport")
@dataclass(frozen=True, slots=True)
class QuotaReport:
    """A gateway's demand per tenant over ``period_s``; the reply grants it quota shares."""

    group: GroupId
    gateway: str
    period_s: float
    demands: tuple[TenantDemand, ...]


@wire_type("QuotaShare")
@dataclass(frozen=True, slots=True)
class QuotaShare:
    """The part of a tenant's token rate granted to one gateway for ``QuotaShares.valid_s``."""

    tenant: str
    tokens_per_second: float
    burst_tokens: float


@wire_record("QuotaShares")
@dataclass(frozen=True, slots=True)
class QuotaShares:
    """Shares granted to the reporting gateway, valid for ``valid_s`` after the report was sent."""

    shares: tuple[QuotaShare, ...]
    valid_s: float
