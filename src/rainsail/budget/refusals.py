"""Logs the clients that were refused or closed, with a bounded number of lines."""

from rainsail.logs import logger

MAX_LINES = 5
PERIOD_S = 1.0
"""At most ``MAX_LINES`` lines are written in each period; the next line tells how many were not."""


class RefusalLog:
    """The refusals of one process."""

    def __init__(self) -> None:
        self._period_began_s = float("-inf")
        self._lines = 0
        self._omitted = 0

    def add(self, reason: str, status: int, held_bytes: int, now: float) -> None:
        """Log a refusal; ``status`` is what the client was told, 0 for a closed connection."""
        if now - self._period_began_s >= PERIOD_S:
            self._period_began_s = now
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._omitted += 1
            return
        self._lines += 1
        log = logger.bind(reason=reason, status=status, held_bytes=held_bytes)
        log.bind(omitted=self._omitted).info("client_refused")
        self._omitted = 0
