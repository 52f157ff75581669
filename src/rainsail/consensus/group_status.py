"""What a replica says of its group: who leads, how far it is, whether it bears a loss."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.state.command_basics import GroupId
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


class GroupHealth(StrEnum):
    """Whether a group tolerates the losses that it is meant for."""

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
    """Ask a replica for its view of a group; every replica answers, leader or not."""

    group: GroupId


@wire_record("GroupStatusReply")
@dataclass(frozen=True, slots=True)
class GroupStatusReply:
    """The group's state; ``losses_borne`` is how many further losses keep a quorum."""

    replica: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    revision: int
    health: GroupHealth
    losses_borne: int
    members: tuple[MemberStatus, ...]
