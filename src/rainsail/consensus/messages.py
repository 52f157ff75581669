"""The messages between the members of a group.

Every message carries its group, the sender's term, and the identities of sender and target. A
replica whose identity is not the target's replies with ``Hello`` and does nothing else.
"""

from dataclasses import dataclass

from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.state.command_basics import GroupId
from rainsail.storage.interface import LogEntry
from rainsail.storage.snapshot_checksum import SnapshotChecksum
from rainsail.wire.codec import wire_record


@wire_record("Hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """Announces a replica's identity when it is no member, or was addressed by another identity."""

    group: GroupId
    term: int
    sender: str
    target: str
    replica: str


@wire_record("FoundingVoteRequest")
@dataclass(frozen=True, slots=True)
class FoundingVoteRequest:
    """Requests a founding vote from a bootstrap replica; only an empty replica grants it."""

    group: GroupId
    term: int
    sender: str
    target: str
    replicas: tuple[str, ...]


@wire_record("FoundingVoteReply")
@dataclass(frozen=True, slots=True)
class FoundingVoteReply:
    """The founding vote; ``sender`` is the identity to bind to the replica's name.

    ``group_exists`` means that the sender holds data of the group, so it was founded before.
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
    """Asks whether a campaign in ``proposed_term`` could be won; changes no state."""

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
    """The reply to a pre-vote request; ``term`` is the voter's own term."""

    group: GroupId
    term: int
    sender: str
    target: str
    proposed_term: int
    granted: bool


@wire_record("VoteRequest")
@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests the vote of ``term``. ``transfer``: the leader itself started this campaign."""

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

    ``round`` numbers the leader's heartbeat rounds within its term. A reply with it proves that
    the follower followed this leader after the round was sent.
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
    """The reply to an append.

    If accepted, the follower has synced the leader's log up to ``match_index``. If refused,
    ``previous_index`` is that of the request, and ``match_index`` is a hint for the last index at
    which the logs may agree.
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

    ``data`` is a chunk. ``whole`` is the checksum of all chunks, sent after the last chunk by a
    leader that has read its snapshot to the end. A message with neither is only a heartbeat: the
    leader could not read the chunk.
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
    """How many chunks of which snapshot the follower has; the leader continues from there.

    Parts are counted instead if the follower gets the snapshot in parts.
    """

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
    """Asks the target to campaign at once, to transfer leadership to it."""

    group: GroupId
    term: int
    sender: str
    target: str


@wire_record("MergedHeartbeats")
@dataclass(frozen=True, slots=True)
class MergedHeartbeats:
    """Heartbeats and append replies, from one process to another, of all groups they share."""

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
    | SnapshotTransferPart
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
    SnapshotTransferPart,
    SnapshotReply,
    TimeoutNow,
)
