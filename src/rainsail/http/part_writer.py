"""Writes a large request without a joined copy of its parts."""

from collections import deque
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer


@implementer(IPullProducer)
class PartWriter:
    """Writes parts one after the other, so that the transport needs no joined copy of them."""

    def __init__(self, transport: Any, parts: list[bytes]) -> None:
        self._transport = transport
        self._parts = deque(parts)
        transport.registerProducer(self, False)

    @property
    def is_done(self) -> bool:
        """Tell whether all parts were passed to the transport."""
        return not self._parts

    def resumeProducing(self) -> None:
        """Write the next part: the transport has sent the one before it."""
        if self._parts:
            self._transport.write(self._parts.popleft())
        if not self._parts:
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Drop the other parts: the connection has ended."""
        self._parts.clear()
