"""Reading of the stored snapshot, part by part, for followers that are behind the log.

A chunk holds whatever the state machine puts into it, such as a job with all of its results. The
parts of it are bounded, as a message is.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault, RainsailError
from rainsail.storage.interface import GroupStorage
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece, incomplete_snapshot


@dataclass(frozen=True, slots=True)
class PieceRead:
    """A part of a chunk or, after the last one, the checksum of all chunks.

    ``offset`` is the number of parts before it.
    """

    offset: int
    piece: SnapshotPiece | None
    """None if it can't be read."""
    ends_chunk: bool = True


@dataclass(slots=True)
class _SnapshotReader:
    """One follower's read position in the snapshot; ``part_bytes`` 0 means whole chunks."""

    snapshot_index: int
    part_bytes: int
    parts: Iterator[PieceRead]
    part: PieceRead


class SnapshotSource:
    """Keeps one open reader per follower, so that consecutive parts cost one read at most."""

    def __init__(self, storage: GroupStorage) -> None:
        self._storage = storage
        self._readers: dict[str, _SnapshotReader] = {}

    def piece(
        self, snapshot_index: int, identity: str, offset: int, part_bytes: int = 0
    ) -> Result[PieceRead, Fault]:
        """Return the part at an offset of the current snapshot, or its checksum past the end.

        ``part_bytes`` is the largest size of a part, 0 for whole chunks. A reader that fails is
        closed; the next call opens a new one.
        """
        try:
            return Ok(self._read(snapshot_index, identity, offset, part_bytes))
        except RainsailError as error:
            self.forget(identity)
            return Error(error.fault)

    def forget(self, identity: str) -> None:
        """Close a follower's reader."""
        self._readers.pop(identity, None)

    def _read(self, snapshot_index: int, identity: str, offset: int, part_bytes: int) -> PieceRead:
        reader = self._readers.get(identity)
        if (
            reader is None
            or (reader.snapshot_index, reader.part_bytes) != (snapshot_index, part_bytes)
            or offset < reader.part.offset
        ):
            parts = _parts(self._storage.read_snapshot(), part_bytes)
            reader = _SnapshotReader(snapshot_index, part_bytes, parts, _next_part(parts))
            self._readers[identity] = reader
        while reader.part.offset < offset and not isinstance(reader.part.piece, SnapshotChecksum):
            reader.part = _next_part(reader.parts)
        return reader.part


def _parts(pieces: Iterator[SnapshotPiece], part_bytes: int) -> Iterator[PieceRead]:
    """Yield the parts of all chunks, then the checksum."""
    offset = 0
    for piece in pieces:
        if isinstance(piece, SnapshotChecksum) or not part_bytes or len(piece) <= part_bytes:
            yield PieceRead(offset, piece)
            offset += 1
            continue
        for start in range(0, len(piece), part_bytes):
            ends_chunk = start + part_bytes >= len(piece)
            yield PieceRead(offset, piece[start : start + part_bytes], ends_chunk)
            offset += 1


def _next_part(parts: Iterator[PieceRead]) -> PieceRead:
    """Return the next part; a reader that ends before the checksum has failed."""
    part = next(parts, None)
    if part is None:
        raise incomplete_snapshot("the snapshot reader ended before the checksum")
    return part
