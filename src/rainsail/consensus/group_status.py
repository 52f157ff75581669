"""Status messages of a group: leader, progress, health and tolerated losses."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.state.command_basics import GroupId
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


class GroupHealth(StrEnum):
    """Whether a group tolerates as many losses as it is configured for."""

    HEALTHY = "Healthy"
    DEGRADED = "Degraded"
    REPAIRING = "Repairing"


@wire_type("MemberStatus")
@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of a group as the leader sees it."""

    replica: str
    identity: str
    voter: bool
    reachable: bool
    match_index: int


@wire_record("GroupStatusRequest")
@dataclass(frozen=True, slots=True)
class GroupStatusRequest:
    """Asks a replica for its view of a group; followers answer too."""

    group: GroupId


@wire_record("GroupStatusReply")
@dataclass(frozen=True, slots=True)
class GroupStatusReply:
    """A replica's view of its group.

    ``losses_borne`` is how many more voters may be lost while a quorum remains.
    """

    replica: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    revision: int
    health: GroupHealth
    losses_borne: int
    members: tuple[MemberStatus, ...]
