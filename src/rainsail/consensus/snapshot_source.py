"""Reading of the stored snapshot, chunk by chunk, for followers that are behind the log."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault, RainsailError
from rainsail.storage.interface import GroupStorage
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece, incomplete_snapshot


@dataclass(slots=True)
class _SnapshotReader:
    """One follower's read position in the snapshot."""

    snapshot_index: int
    pieces: Iterator[SnapshotPiece]
    offset: int
    piece: SnapshotPiece


@dataclass(frozen=True, slots=True)
class PieceRead:
    """A chunk or, after the last one, the checksum of all; its offset is the chunk count."""

    offset: int
    piece: SnapshotPiece


class SnapshotSource:
    """Keeps one open reader per follower, so that consecutive chunks cost one read each."""

    def __init__(self, storage: GroupStorage) -> None:
        self._storage = storage
        self._readers: dict[str, _SnapshotReader] = {}

    def piece(self, snapshot_index: int, identity: str, offset: int) -> Result[PieceRead, Fault]:
        """Return the piece at an offset of the current snapshot, or its checksum past the end.

        A reader that fails is closed; the next call opens a new one.
        """
        try:
            return Ok(self._read(snapshot_index, identity, offset))
        except RainsailError as error:
            self.forget(identity)
            return Error(error.fault)

    def forget(self, identity: str) -> None:
        """Close a follower's reader."""
        self._readers.pop(identity, None)

    def _read(self, snapshot_index: int, identity: str, offset: int) -> PieceRead:
        reader = self._readers.get(identity)
        if reader is None or reader.snapshot_index != snapshot_index or offset < reader.offset:
            reader = self._open(snapshot_index)
            self._readers[identity] = reader
        while reader.offset < offset and not isinstance(reader.piece, SnapshotChecksum):
            reader.piece = _next_piece(reader.pieces)
            reader.offset += 1
        return PieceRead(reader.offset, reader.piece)

    def _open(self, snapshot_index: int) -> _SnapshotReader:
        pieces = self._storage.read_snapshot()
        return _SnapshotReader(snapshot_index, pieces, 0, _next_piece(pieces))


def _next_piece(pieces: Iterator[SnapshotPiece]) -> SnapshotPiece:
    """Return the next piece; a reader that ends before the checksum has failed."""
    piece = next(pieces, None)
    if piece is None:
        raise incomplete_snapshot("the snapshot reader ended before the checksum")
    return piece
