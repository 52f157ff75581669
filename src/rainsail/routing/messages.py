"""Messages between gateways and the ledger's leader about load, ejections and placements."""

from dataclasses import dataclass

from rainsail.routing.residency import AllowedRegions
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("RunnerUse")
@dataclass(frozen=True, slots=True)
class RunnerUse:
    """How many requests of a gateway are in flight at one runner."""

    runner: str
    running: int


@wire_type("RunnerOutcome")
@dataclass(frozen=True, slots=True)
class RunnerOutcome:
    """Successes and failures of requests at one runner since a gateway's last report."""

    runner: str
    answered: int
    failed: int


@wire_record("OnlineUse")
@dataclass(frozen=True, slots=True)
class OnlineUse:
    """A gateway's requests in flight by runner; one-way, sent whenever they have changed.

    ``seen`` is the highest placement number that the counts include.
    """

    uses: tuple[RunnerUse, ...]
    seen: int = 0
    outcomes: tuple[RunnerOutcome, ...] = ()


@wire_record("ServiceLoad")
@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The leader's report on a busy service; one-way, to a gateway that has just reported.

    ``online`` requests of all gateways are in flight on ``slots`` slots, ``own`` of them from this
    gateway. ``places`` asks the gateway to have the leader place its requests.
    """

    service: str
    online: int
    slots: int
    own: int
    places: bool


@wire_record("RunnerUnsound")
@dataclass(frozen=True, slots=True)
class RunnerUnsound:
    """The leader ejects a runner that failed too often, for ``out_s`` seconds; one-way."""

    runner: str
    out_s: float


@wire_record("PlaceRequest")
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A gateway asks the leader to place a request.

    ``avoid`` are runners to exclude. ``most_waiting`` is the number of waiting requests per slot
    above which the request is refused (below 0: no limit). With ``limited`` it may be served only
    in ``regions``.
    """

    service: str
    zone: str
    avoid: tuple[str, ...]
    most_waiting: float
    limited: bool = False
    regions: tuple[str, ...] = ()

    @property
    def allowed_regions(self) -> AllowedRegions:
        """Regions that may serve the request; None stands for all."""
        return frozenset(self.regions) if self.limited else None


@wire_record("Placement")
@dataclass(frozen=True, slots=True)
class Placement:
    """The runner that a request should go to (empty: none available), and the placement's number.

    Numbers increase with each placement. With ``refused`` more requests wait than the gateway
    accepts; the request is not counted at any runner.
    """

    runner: str
    number: int
    online: int
    slots: int
    refused: bool
