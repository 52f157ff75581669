"""The messages between the members of a group.

Every message names its group, the sender's term, and the identities of sender and target. A
replica whose identity is not the target's answers with ``Hello`` and does nothing else.
"""

from dataclasses import dataclass

from rainsail.state.command_basics import GroupId
from rainsail.storage.interface import LogEntry
from rainsail.storage.snapshot_checksum import SnapshotChecksum
from rainsail.wire.codec import wire_record


@wire_record("Hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """Says under which identity a replica runs that is in no group, or was mistaken for another."""

    group: GroupId
    term: int
    sender: str
    target: str
    replica: str


@wire_record("FoundingVoteRequest")
@dataclass(frozen=True, slots=True)
class FoundingVoteRequest:
    """Asks every replica of the bootstrap list for its vote; only an empty replica gives it."""

    group: GroupId
    term: int
    sender: str
    target: str
    replicas: tuple[str, ...]


@wire_record("FoundingVoteReply")
@dataclass(frozen=True, slots=True)
class FoundingVoteReply:
    """The vote, and the identity to be bound to the replica's name.

    ``group_exists`` says that the sender holds something of the group: it was founded before.
    """

    group: GroupId
    term: int
    sender: str
    target: str
    replica: str
    granted: bool
    group_exists: bool


@wire_record("PreVoteRequest")
@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether a campaign in ``proposed_term`` could be won; changes nothing anywhere."""

    group: GroupId
    term: int
    sender: str
    target: str
    proposed_term: int
    last_index: int
    last_term: int


@wire_record("PreVoteReply")
@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """The answer; ``term`` is the voter's own."""

    group: GroupId
    term: int
    sender: str
    target: str
    proposed_term: int
    granted: bool


@wire_record("VoteRequest")
@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for the vote of ``term``. ``transfer``: the leader itself asked for this campaign."""

    group: GroupId
    term: int
    sender: str
    target: str
    last_index: int
    last_term: int
    transfer: bool


@wire_record("VoteReply")
@dataclass(frozen=True, slots=True)
class VoteReply:
    """The vote, sent only after it is synced."""

    group: GroupId
    term: int
    sender: str
    target: str
    granted: bool


@wire_record("AppendRequest")
@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after ``previous_index``; a heartbeat when there are none.

    ``round`` numbers the leader's heartbeat rounds within its term; a reply to it proves that
    the follower still followed this leader when the round was sent.
    """

    group: GroupId
    term: int
    sender: str
    target: str
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...]


@wire_record("AppendReply")
@dataclass(frozen=True, slots=True)
class AppendReply:
    """``match_index``: synced and equal to the leader's log up to here.

    When not accepted, ``previous_index`` is the one refused and ``match_index`` a hint where
    the logs may still agree.
    """

    group: GroupId
    term: int
    sender: str
    target: str
    accepted: bool
    previous_index: int
    match_index: int
    round: int


@wire_record("SnapshotChunk")
@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A piece of the leader's snapshot; ``offset`` counts chunks.

    ``data`` is a chunk. ``whole`` is the sum of all chunks, told behind the last one by a leader
    that has read its snapshot to the end. With neither the leader has nothing to send now, and
    only shows that it is there.
    """

    group: GroupId
    term: int
    sender: str
    target: str
    last_index: int
    last_term: int
    membership: bytes
    offset: int
    data: bytes | None
    whole: SnapshotChecksum | None
    round: int


@wire_record("SnapshotReply")
@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """How many chunks of which snapshot the follower has; the leader goes on from there."""

    group: GroupId
    term: int
    sender: str
    target: str
    last_index: int
    next_offset: int
    round: int


@wire_record("TimeoutNow")
@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks the target to campaign at once: leadership is handed to it."""

    group: GroupId
    term: int
    sender: str
    target: str


@wire_record("MergedHeartbeats")
@dataclass(frozen=True, slots=True)
class MergedHeartbeats:
    """The heartbeats, and the answers to some, of all groups that two processes share."""

    requests: tuple[AppendRequest, ...]
    replies: tuple[AppendReply, ...]


GroupMessage = (
    Hello
    | FoundingVoteRequest
    | FoundingVoteReply
    | PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)

GROUP_MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    FoundingVoteRequest,
    FoundingVoteReply,
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
