"""Which requests are kept away from runners, as the root group has decided. Pure.

A request that was held once and let go after a time stays known: its next offence counts at once.
"""

from collections.abc import Iterable
from dataclasses import replace

from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

MAX_REMEMBERED_REQUESTS = 64
"""So many requests are remembered, held ones before others, newer ones before older ones."""


class QuarantineState:
    """The requests that are or were held, by fingerprint, oldest decision first."""

    def __init__(self) -> None:
        self._revision = 0
        self._requests: dict[bytes, QuarantinedRequest] = {}

    def hold(self, fingerprint: bytes) -> None:
        """Keep a request away from runners; nothing happens when it is held already."""
        known = self._requests.get(fingerprint)
        if known is not None and known.held:
            return
        times = 1 if known is None else known.times + 1
        self._put(QuarantinedRequest(fingerprint, times, held=True))
        self._drop_beyond_limit()

    def release(self, fingerprint: bytes, times: int, forget: bool) -> None:
        """Let a request go that was held so many ``times``; a later hold is left as it is.

        ``forget``: it was shown to be harmless, or an operator says so.
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
        """Return the whole."""
        return Quarantine(self._revision, tuple(self._requests.values()))

    def restore(self, quarantine: Quarantine) -> None:
        """Replace the whole."""
        self._revision = quarantine.revision
        self._requests = by_fingerprint(quarantine.requests)


def by_fingerprint(requests: Iterable[QuarantinedRequest]) -> dict[bytes, QuarantinedRequest]:
    """Return requests by fingerprint, in their order."""
    return {request.fingerprint: request for request in requests}
