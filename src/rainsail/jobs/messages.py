"""Calls of gateways to the ledger's leader."""

from dataclasses import dataclass

from rainsail.state.job_commands import RelayedItem
from rainsail.wire.codec import wire_record


@dataclass(frozen=True, slots=True)
class QueueLimit:
    """How many tokens of a tenant may wait on a route; 0 stands for any number."""

    prefix: str
    """The route's prefix: a job of the same host whose path begins so is of the same route."""
    tokens: int


@wire_record
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


@wire_record
@dataclass(frozen=True, slots=True)
class RelayedJobAccepted:
    """A quorum has synced the whole job."""

    job: str


@wire_record
@dataclass(frozen=True, slots=True)
class ReadResults:
    """Asks for the results from a position on, held up to ``wait_s`` until there is one."""

    job: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ResultEntry:
    """One result: the item's id, whether it is done, and its text."""

    item: str
    done: bool
    text: str


@wire_record
@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results at positions ``after`` and on, of ``total`` items."""

    job: str
    total: int
    after: int
    results: tuple[ResultEntry, ...]


@wire_record
@dataclass(frozen=True, slots=True)
class ReadItemBody:
    """Asks for the body of an item that is not listed yet."""

    job: str
    item: str


@wire_record
@dataclass(frozen=True, slots=True)
class ItemBodyFound:
    """The body, byte by byte as it was handed in."""

    body: bytes


@wire_record
@dataclass(frozen=True, slots=True)
class EndJobCall:
    """Asks the leader to run nothing more of a job."""

    job: str


@wire_record
@dataclass(frozen=True, slots=True)
class JobEnded:
    """The end is committed."""

    job: str


@dataclass(frozen=True, slots=True)
class RunnerUse:
    """How many requests a gateway has under way at one runner."""

    runner: str
    running: int


@dataclass(frozen=True, slots=True)
class RunnerOutcome:
    """What came of requests at one runner since a gateway's last report."""

    runner: str
    answered: int
    failed: int


@wire_record
@dataclass(frozen=True, slots=True)
class OnlineUse:
    """A gateway's requests under way by runner, sent one way whenever they have changed.

    ``seen`` is the highest number of a placement that the gateway knew of when it counted.
    """

    uses: tuple[RunnerUse, ...]
    seen: int = 0
    outcomes: tuple[RunnerOutcome, ...] = ()


@wire_record
@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The leader's word on a busy service, one way, to a gateway that has just reported.

    ``online`` requests of all gateways are under way on ``slots`` slots, ``own`` of them the
    gateway's; ``places`` tells that the leader wants to be asked where requests go.
    """

    service: str
    online: int
    slots: int
    own: int
    places: bool


@wire_record
@dataclass(frozen=True, slots=True)
class RunnerUnsound:
    """The leader's word that a runner failed too often, one way: it is left out for a time."""

    runner: str
    out_s: float


@wire_record
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A gateway asks where a request should go.

    ``avoid`` are runners that it must not or should not go to; ``most_waiting`` is how many may
    wait for each slot before the request is better refused (below 0: any number).
    """

    service: str
    zone: str
    avoid: tuple[str, ...]
    most_waiting: float


@wire_record
@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request should go, empty when no runner is left; placements count up.

    ``refused``: more wait than the gateway accepts, and the request counts nowhere.
    """

    runner: str
    number: int
    online: int
    slots: int
    refused: bool
