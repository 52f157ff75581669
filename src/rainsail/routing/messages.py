"""Messages between gateways and the ledger's leader on load, ejections and placements."""

from dataclasses import dataclass

from rainsail.routing.residency import AllowedRegions
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("RunnerUse")
@dataclass(frozen=True, slots=True)
class RunnerUse:
    """How many requests a gateway has under way at one runner."""

    runner: str
    running: int


@wire_type("RunnerOutcome")
@dataclass(frozen=True, slots=True)
class RunnerOutcome:
    """What came of requests at one runner since a gateway's last report."""

    runner: str
    answered: int
    failed: int


@wire_record("OnlineUse")
@dataclass(frozen=True, slots=True)
class OnlineUse:
    """A gateway's requests under way by runner, sent one way whenever they have changed.

    ``seen`` is the highest number of a placement that the gateway knew of when it counted.
    """

    uses: tuple[RunnerUse, ...]
    seen: int = 0
    outcomes: tuple[RunnerOutcome, ...] = ()


@wire_record("ServiceLoad")
@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The leader's report on a busy service, one way, to a gateway that has just reported.

    ``online`` requests of all gateways are under way on ``slots`` slots, ``own`` of them the
    gateway's; ``places`` tells that the leader wants to be asked where requests go.
    """

    service: str
    online: int
    slots: int
    own: int
    places: bool


@wire_record("RunnerUnsound")
@dataclass(frozen=True, slots=True)
class RunnerUnsound:
    """The leader ejects a runner that failed too often, one way; ``out_s`` is for how long."""

    runner: str
    out_s: float


@wire_record("PlaceRequest")
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A gateway asks the leader to place a request.

    ``avoid`` are runners that it must not or should not go to; ``most_waiting`` is how many may
    wait for each slot before the request is better refused (below 0: any number). With ``limited``
    it may be served in the regions ``regions`` alone.
    """

    service: str
    zone: str
    avoid: tuple[str, ...]
    most_waiting: float
    limited: bool = False
    regions: tuple[str, ...] = ()

    @property
    def allowed_regions(self) -> AllowedRegions:
        """Where the request may be served; None stands for everywhere."""
        return frozenset(self.regions) if self.limited else None


@wire_record("Placement")
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
