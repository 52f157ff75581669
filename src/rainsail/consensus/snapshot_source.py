"""Reads the stored snapshot chunk by chunk for followers that are behind the log."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault, RainsailError
from rainsail.storage.interface import GroupStorage
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece, incomplete_snapshot


@dataclass(slots=True)
class _Reading:
    """One follower's place in the snapshot."""

    snapshot_index: int
    pieces: Iterator[SnapshotPiece]
    offset: int
    piece: SnapshotPiece


@dataclass(frozen=True, slots=True)
class PieceRead:
    """A chunk, or behind the last one the sum of all; the sum's ``offset`` counts the chunks."""

    offset: int
    piece: SnapshotPiece


class SnapshotSource:
    """Keeps one open reading per follower, so that chunks in sequence cost one read each."""

    def __init__(self, storage: GroupStorage) -> None:
        self._storage = storage
        self._readings: dict[str, _Reading] = {}

    def piece(self, snapshot_index: int, identity: str, offset: int) -> Result[PieceRead, Fault]:
        """Return the piece at an offset of the current snapshot, or its sum when it is shorter.

        A reading that fails is forgotten: the next call begins a new one.
        """
        try:
            return Ok(self._read(snapshot_index, identity, offset))
        except RainsailError as error:
            self.forget(identity)
            return Error(error.fault)

    def forget(self, identity: str) -> None:
        """Close a follower's reading."""
        self._readings.pop(identity, None)

    def _read(self, snapshot_index: int, identity: str, offset: int) -> PieceRead:
        reading = self._readings.get(identity)
        if reading is None or reading.snapshot_index != snapshot_index or offset < reading.offset:
            reading = self._open(snapshot_index)
            self._readings[identity] = reading
        while reading.offset < offset and not isinstance(reading.piece, SnapshotChecksum):
            reading.piece = _next_piece(reading.pieces)
            reading.offset += 1
        return PieceRead(reading.offset, reading.piece)

    def _open(self, snapshot_index: int) -> _Reading:
        pieces = self._storage.read_snapshot()
        return _Reading(snapshot_index, pieces, 0, _next_piece(pieces))


def _next_piece(pieces: Iterator[SnapshotPiece]) -> SnapshotPiece:
    """Return the next piece; a reading that ends before the sum has failed."""
    piece = next(pieces, None)
    if piece is None:
        raise incomplete_snapshot("the reading ended before the snapshot did")
    return piece
