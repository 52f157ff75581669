"""The body of a request while it arrives: bounded by itself and by what all clients hold."""

import io
from dataclasses import dataclass

from rainsail.budget.client_budget import NO_ROOM
from rainsail.budget.memory import HeldKind, Holding
from rainsail.budget.progress import ProgressMeter

STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
TOO_LARGE = "body over the limit"
UNCOUNTED_BYTES = 4 * 1024
"""A body up to this size is covered by what its connection counts for."""
SMALL_BYTES = 64 * 1024
"""Room for bodies up to this size is left by larger ones."""
RETRY_AFTER_S = 0.5
"""Told to a client whose body has no room now: longer than most requests hold their bodies."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not read on, and what its client is told."""

    status: int
    reason: str
    retry_after_s: float | None = None


BODY_TOO_LARGE = Refusal(STATUS_TOO_LARGE, TOO_LARGE)
BODY_WITHOUT_ROOM = Refusal(STATUS_UNAVAILABLE, NO_ROOM, RETRY_AFTER_S)


class RequestBody:
    """Collects the pieces of a body in one buffer.

    The buffer grows in place and becomes the body without a copy.
    """

    __slots__ = ("_buffer", "_first", "_holding", "_length", "_max_bytes", "meter", "size")

    def __init__(
        self, holding: Holding, max_bytes: int, length: int | None, meter: ProgressMeter
    ) -> None:
        """``length`` is the announced one in bytes, None for a chunked body."""
        self._holding = holding
        self._max_bytes = max_bytes
        self._length = length
        self._first = b""
        self._buffer: io.BytesIO | None = None
        self.meter = meter
        self.size = 0

    def admit(self) -> Refusal | None:
        """Return why the body is refused by its announced length, None if it may come."""
        length = self._length
        if length is None or length <= UNCOUNTED_BYTES:
            return BODY_TOO_LARGE if length and length > self._max_bytes else None
        if length > self._max_bytes:
            return BODY_TOO_LARGE
        return self._hold(length)

    def add(self, data: bytes | bytearray, now: float) -> Refusal | None:
        """Add a piece; return why the body is not read on, None if it is."""
        self.size += len(data)
        self.meter.add(len(data), now)
        if self.size > self._max_bytes:
            return BODY_TOO_LARGE
        if self._length is None and self.size > UNCOUNTED_BYTES:
            refusal = self._hold(self.size)
            if refusal is not None:
                return refusal
        if self._buffer is not None:
            self._buffer.write(data)
        elif self._first:
            self._buffer = io.BytesIO()
            self._buffer.write(self._first)
            self._buffer.write(data)
            self._first = b""
        else:
            self._first = bytes(data)
        return None

    def _hold(self, size: int) -> Refusal | None:
        fits = self._holding.grow_to(HeldKind.BODY, size, large=size > SMALL_BYTES)
        return None if fits else BODY_WITHOUT_ROOM

    def finish(self) -> bytes:
        """Return the complete body, from now on held for its request."""
        if self._holding.of(HeldKind.BODY):
            self._holding.move(HeldKind.BODY, HeldKind.REQUEST)
        if self._buffer is None:
            return self._first
        body, self._buffer = self._buffer.getvalue(), None
        return body
