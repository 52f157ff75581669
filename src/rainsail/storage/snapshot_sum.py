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
class SnapshotSum:
    """The number of chunks, their bytes, and the CRC-32C over all of them in order."""

    chunks: int = 0
    size_bytes: int = 0
    checksum: int = 0

    def with_chunk(self, chunk: bytes) -> "SnapshotSum":
        """Return the sum of one chunk more."""
        checksum = crc32c.crc32c(chunk, self.checksum)
        return SnapshotSum(self.chunks + 1, self.size_bytes + len(chunk), checksum)


SnapshotPiece = bytes | SnapshotSum
"""A chunk or, as the last piece of a snapshot that was read to its end, the sum of all chunks."""


def whole_chunks(pieces: Iterable[SnapshotPiece]) -> Iterator[bytes]:
    """Yield the chunks; raises ``RainsailError`` when they don't end with their own sum."""
    read = SnapshotSum()
    for piece in pieces:
        if isinstance(piece, SnapshotSum):
            check_sum(read, piece)
            return
        read = read.with_chunk(piece)
        yield piece
    raise not_whole(f"the reading ended after {read.chunks} chunks")


def check_sum(found: SnapshotSum, expected: SnapshotSum) -> None:
    """Raise ``RainsailError`` when the chunks found are not the expected ones."""
    if found != expected:
        raise not_whole(f"{found} found in place of {expected}")


def not_whole(reason: str) -> RainsailError:
    """Return an error about a snapshot that was not read to its end."""
    return RainsailError(storage_fault("snapshot", "snapshot", reason))
