"""Group membership: members, voters and quorum size."""

from dataclasses import dataclass, replace

from rainsail.wire.codec import decode, encode, wire_record
from rainsail.wire.names import wire_type


@wire_type("MemberSpec")
@dataclass(frozen=True, slots=True)
class MemberSpec:
    """One member: the replica's name, the identity of its data folder, whether it votes."""

    replica: str
    identity: str
    voter: bool = True


@wire_record("Membership")
@dataclass(frozen=True, slots=True)
class Membership:
    """All members of a group; stored as the payload of one log entry."""

    members: tuple[MemberSpec, ...]

    def find(self, identity: str) -> MemberSpec | None:
        """Return the member with an identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def named(self, replica: str) -> tuple[MemberSpec, ...]:
        """Return the members with a replica name (two while one replaces the other)."""
        return tuple(member for member in self.members if member.replica == replica)

    def voters(self) -> tuple[MemberSpec, ...]:
        """Return the voting members."""
        return tuple(member for member in self.members if member.voter)

    def is_voter(self, identity: str) -> bool:
        """Return whether an identity is a voting member."""
        member = self.find(identity)
        return member is not None and member.voter

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters()) // 2 + 1

    def with_learner(self, replica: str, identity: str) -> "Membership":
        """Return the membership with an added learner (a member that doesn't vote)."""
        return Membership((*self.members, MemberSpec(replica, identity, voter=False)))

    def promoted(self, identity: str) -> "Membership":
        """Return the membership with a learner made a voter."""
        changed = (
            replace(member, voter=True) if member.identity == identity else member
            for member in self.members
        )
        return Membership(tuple(changed))

    def without(self, identity: str) -> "Membership":
        """Return the membership without a member."""
        return Membership(tuple(m for m in self.members if m.identity != identity))

    def is_single_step_to(self, other: "Membership") -> bool:
        """Return whether at most one voter differs, so that any two quorums of both overlap."""
        before = {member.identity for member in self.voters()}
        after = {member.identity for member in other.voters()}
        return len(before ^ after) <= 1 and bool(after)


EMPTY_MEMBERSHIP = Membership(())
_TYPE_PREFIX = encode(EMPTY_MEMBERSHIP)[:4]


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as a log entry's payload."""
    return encode(membership)


def membership_of_payload(payload: bytes) -> Membership | None:
    """Return the membership in a payload, or None when the payload is another record."""
    if not payload.startswith(_TYPE_PREFIX):
        return None
    return decode(payload)
