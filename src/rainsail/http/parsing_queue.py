"""Shares the reactor's turns among the connections that have more to parse than fits into one.

A client may cut its body into very small chunks, and a runner its answer, so that one read holds
thousands of them. All connections together parse at most ``EVENTS_PER_TURN`` of such events in a
turn.
"""

from collections import deque
from typing import Protocol

from rainsail.runtime.clock import Clock

EVENTS_AT_ONCE = 32
"""Events of one connection that are parsed before another one's."""
EVENTS_PER_TURN = 256


class ParsingConnection(Protocol):
    """A connection with received data that is not parsed yet."""

    def parse_some(self, max_events: int) -> bool:
        """Parse up to ``max_events``; return whether there is more to parse now."""
        ...


class ParsingQueue:
    """Takes the connections by turns."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[ParsingConnection] = deque()
        self._is_planned = False

    def add(self, connection: ParsingConnection) -> None:
        """Parse the rest of what a connection has received, in later turns."""
        self._waiting.append(connection)
        if not self._is_planned:
            self._is_planned = True
            self._clock.callLater(0, self._run)

    def _run(self) -> None:
        self._is_planned = False
        for _ in range(EVENTS_PER_TURN // EVENTS_AT_ONCE):
            if not self._waiting:
                return
            connection = self._waiting.popleft()
            if connection.parse_some(EVENTS_AT_ONCE):
                self._waiting.append(connection)
        if self._waiting:
            self._is_planned = True
            self._clock.callLater(0, self._run)
