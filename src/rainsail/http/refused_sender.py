"""A client that was refused while it still sends: what it sends is read and dropped for a while.

Closing a connection over unread bytes resets it, and the reset can overtake the refusal.
"""

from collections.abc import Callable

from rainsail.runtime.clock import Clock, Timer

MAX_DROPPED_BYTES = 16 * 1024 * 1024
"""Room for what a client had sent of a body at the limit, and some more."""
MAX_DROP_S = 2.0


class RefusedSender:
    """Counts what is dropped; calls ``close`` when the client had enough time or bytes."""

    def __init__(self, clock: Clock, close: Callable[[], None]) -> None:
        self.since_s = clock.seconds()
        self._dropped_bytes = 0
        self._close = close
        self._timer: Timer = clock.callLater(MAX_DROP_S, close)

    def drop(self, count: int) -> None:
        """Count dropped bytes."""
        self._dropped_bytes += count
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.stop()
            self._close()

    def stop(self) -> None:
        """Stop waiting: the connection has ended."""
        if self._timer.active():
            self._timer.cancel()
