"""Reading of the stored snapshot, chunk by chunk, for followers that are behind the log."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault, RainsailError
from rainsail.storage.interface import GroupStorage
from rainsail.storage.snapshot_sum import SnapshotPiece, SnapshotSum, not_whole


@dataclass(slots=True)
class _Reading:
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
        self._readings: dict[str, _Reading] = {}

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
        self._readings.pop(identity, None)

    def _read(self, snapshot_index: int, identity: str, offset: int) -> PieceRead:
        reading = self._readings.get(identity)
        if reading is None or reading.snapshot_index != snapshot_index or offset < reading.offset:
            reading = self._open(snapshot_index)
            self._readings[identity] = reading
        while reading.offset < offset and not isinstance(reading.piece, SnapshotSum):
            reading.piece = _next_piece(reading.pieces)
            reading.offset += 1
        return PieceRead(reading.offset, reading.piece)

    def _open(self, snapshot_index: int) -> _Reading:
        pieces = self._storage.read_snapshot()
        return _Reading(snapshot_index, pieces, 0, _next_piece(pieces))


def _next_piece(pieces: Iterator[SnapshotPiece]) -> SnapshotPiece:
    """Return the next piece; a reader that ends before the checksum has failed."""
    piece = next(pieces, None)
    if piece is None:
        raise not_whole("the snapshot reader ended before the checksum")
    return piece
