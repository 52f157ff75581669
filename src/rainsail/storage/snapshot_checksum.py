"""What a whole snapshot amounts to.

The end of a reading is not the end of what is read: a reading that failed has ended too. So a
reading gives, behind the last chunk, the sum of all of them, and what has no such sum is not whole.
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
        """Return the sum of one chunk more."""
        checksum = crc32c.crc32c(chunk, self.checksum)
        return SnapshotChecksum(self.chunks + 1, self.size_bytes + len(chunk), checksum)


SnapshotPiece = bytes | SnapshotChecksum
"""A chunk or, as the last piece of a snapshot that was read to its end, the sum of all chunks."""


def verified_chunks(pieces: Iterable[SnapshotPiece]) -> Iterator[bytes]:
    """Yield the chunks; raises ``RainsailError`` when they don't end with their own sum."""
    read = SnapshotChecksum()
    for piece in pieces:
        if isinstance(piece, SnapshotChecksum):
            verify_checksum(read, piece)
            return
        read = read.with_chunk(piece)
        yield piece
    raise incomplete_snapshot(f"the reading ended after {read.chunks} chunks")


def verify_checksum(found: SnapshotChecksum, expected: SnapshotChecksum) -> None:
    """Raise ``RainsailError`` when the chunks found are not the expected ones."""
    if found != expected:
        raise incomplete_snapshot(f"{found} found in place of {expected}")


def incomplete_snapshot(reason: str) -> RainsailError:
    """Return an error about a snapshot that was not read to its end."""
    return RainsailError(storage_fault("snapshot", "snapshot", reason))
