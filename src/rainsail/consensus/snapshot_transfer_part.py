"""The message with a part of a snapshot, for members that know it (``wire.extensions``).

It is apart from ``messages``, whose schemas members of all versions share. Members of earlier
versions get whole chunks instead (``SnapshotChunk``).
"""

from dataclasses import dataclass

from rainsail.state.command_basics import GroupId
from rainsail.storage.snapshot_checksum import SnapshotChecksum
from rainsail.wire.codec import wire_record


@wire_record("SnapshotTransferPart")
@dataclass(frozen=True, slots=True)
class SnapshotTransferPart:
    """A part of a chunk of the leader's snapshot, small enough for one message.

    As ``SnapshotChunk``, but ``offset`` counts parts: a chunk is sent as one part or several, of
    which the last one ``ends_chunk``.
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
    ends_chunk: bool
    whole: SnapshotChecksum | None
    round: int
