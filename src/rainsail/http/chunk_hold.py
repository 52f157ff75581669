"""Holds the data of a chunk until the chunk has come whole.

A size that was damaged in transit to a larger one takes the framing behind its chunk, and the next
chunks, for data. That shows where the chunk ends: no line end follows there. Who uses data at once,
as the events of a stream, should not get it before.

Not noticed in time: a chunk of more than ``MAX_HELD_BYTES``, or one that ends with a read of more.
Not noticed at all: one whose false end is the end of a later chunk.
"""

from rainsail.budget.runner_answer import UNCOUNTED_BYTES

MAX_HELD_BYTES = UNCOUNTED_BYTES
"""A larger chunk is passed on as it comes: what a connection holds beyond this must be counted."""


LINE_END_BYTES = 2
"""The size of the line end behind the data of a chunk."""


class ChunkHold:
    """The data of one body that has been parsed and not passed on."""

    def __init__(self, is_holding: bool) -> None:
        """Without ``is_holding`` data is passed on as it comes."""
        self.is_holding = is_holding
        self._passable: list[bytes] = []
        self._chunk: list[bytes] = []
        """Data of the chunk that was begun last; it may have ended."""
        self._chunk_bytes = 0
        self._has_ended = False
        self._missing_bytes = 0
        """What has not been received yet of the line end behind the chunk that has ended."""

    def received(self, count: int) -> None:
        """Count bytes that are about to be parsed."""
        self._missing_bytes -= count

    def add(self, data: bytes, is_end: bool, unparsed_bytes: int) -> None:
        """Add parsed data; with ``is_end`` its chunk has ended with it.

        ``unparsed_bytes`` have been received behind it.
        """
        if not self.is_holding:
            self._passable.append(data)
            return
        if self._has_ended:
            # The parser has gone on to the next chunk, so the line end behind the last was there.
            self._release()
        self._chunk.append(data)
        self._chunk_bytes += len(data)
        self._has_ended = is_end
        self._missing_bytes = LINE_END_BYTES - unparsed_bytes

    def take(self) -> list[bytes]:
        """Take the data that may be passed on: nothing has been found wrong with it."""
        is_whole = self._has_ended and self._missing_bytes <= 0
        if is_whole or self._chunk_bytes > MAX_HELD_BYTES:
            self._release()
        return self.take_checked()

    def take_checked(self) -> list[bytes]:
        """Take the data of chunks whose ends have been parsed: what follows is not valid."""
        passable, self._passable = self._passable, []
        return passable

    def _release(self) -> None:
        self._passable += self._chunk
        self._chunk = []
        self._chunk_bytes = 0
        self._has_ended = False
