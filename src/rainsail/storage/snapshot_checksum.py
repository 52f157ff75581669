"""Checksum that proves that a snapshot was read completely.

The end of a stream of chunks does not mean that the snapshot is complete, because a failed read
ends the stream too. The checksum of all chunks therefore follows the last chunk; a stream without
it is incomplete.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import crc32c

from rainsail.errors import RainsailError
from rainsail.storage.faults import storage_fault
from rainsail.wire.names import wire_type


@wire_type("SnapshotSum")
@dataclass(frozen=True, slots=True)
class SnapshotChecksum:
    """The number of chunks, their bytes, and the CRC-32C over all of them in order."""

    chunks: int = 0
    size_bytes: int = 0
    checksum: int = 0

    def with_chunk(self, chunk: bytes) -> "SnapshotChecksum":
        """Return the checksum extended by one chunk."""
        checksum = crc32c.crc32c(chunk, self.checksum)
        return SnapshotChecksum(self.chunks + 1, self.size_bytes + len(chunk), checksum)


SnapshotPiece = bytes | SnapshotChecksum
"""A chunk or, as the last piece of a complete snapshot, the checksum of all chunks."""


def verified_chunks(pieces: Iterable[SnapshotPiece]) -> Iterator[bytes]:
    """Yield the chunks; raises ``RainsailError`` unless their checksum follows them."""
    read = SnapshotChecksum()
    for piece in pieces:
        if isinstance(piece, SnapshotChecksum):
            verify_checksum(read, piece)
            return
        read = read.with_chunk(piece)
        yield piece
    raise incomplete_snapshot(f"the reading ended after {read.chunks} chunks")


def verify_checksum(found: SnapshotChecksum, expected: SnapshotChecksum) -> None:
    """Raise ``RainsailError`` if the checksums differ."""
    if found != expected:
        raise incomplete_snapshot(f"checksum mismatch: expected {expected}, found {found}")


def incomplete_snapshot(reason: str) -> RainsailError:
    """Return an error about an incomplete snapshot."""
    return RainsailError(storage_fault("snapshot", "snapshot", reason))
