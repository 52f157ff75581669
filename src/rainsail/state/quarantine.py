"""State of quarantined requests, which are not sent to runners. Kept by the root group; no I/O.

A request that was released after its time stays known: it is quarantined again at its next crash.
"""

from collections.abc import Iterable
from dataclasses import replace

from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

MAX_REMEMBERED_REQUESTS = 64
"""Limit on remembered requests. The oldest released one is evicted first, else the oldest."""


class QuarantineState:
    """Requests that are or were quarantined, by fingerprint, least recently changed first."""

    def __init__(self) -> None:
        self._revision = 0
        self._requests: dict[bytes, QuarantinedRequest] = {}

    def hold(self, fingerprint: bytes) -> None:
        """Quarantine a request; does nothing if it is quarantined already."""
        known = self._requests.get(fingerprint)
        if known is not None and known.held:
            return
        times = 1 if known is None else known.times + 1
        self._put(QuarantinedRequest(fingerprint, times, held=True))
        self._drop_beyond_limit()

    def release(self, fingerprint: bytes, times: int, forget: bool) -> None:
        """Release a request that was quarantined ``times`` times; ignored if that has changed.

        ``forget`` also deletes its record: it proved harmless, or an operator asked for it.
        """
        known = self._requests.get(fingerprint)
        if known is None or known.times != times:
            return
        if forget:
            self._revision += 1
            del self._requests[fingerprint]
        elif known.held:
            self._put(replace(known, held=False))

    def _put(self, request: QuarantinedRequest) -> None:
        self._revision += 1
        self._requests.pop(request.fingerprint, None)
        self._requests[request.fingerprint] = request

    def _drop_beyond_limit(self) -> None:
        while len(self._requests) > MAX_REMEMBERED_REQUESTS:
            released = (name for name, each in self._requests.items() if not each.held)
            oldest = next(released, None) or next(iter(self._requests))
            del self._requests[oldest]

    def snapshot(self) -> Quarantine:
        """Return the whole state."""
        return Quarantine(self._revision, tuple(self._requests.values()))

    def restore(self, quarantine: Quarantine) -> None:
        """Replace the whole state."""
        self._revision = quarantine.revision
        self._requests = by_fingerprint(quarantine.requests)


def by_fingerprint(requests: Iterable[QuarantinedRequest]) -> dict[bytes, QuarantinedRequest]:
    """Index requests by fingerprint, in the given order."""
    return {request.fingerprint: request for request in requests}
