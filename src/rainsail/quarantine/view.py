"""Which requests are held, as one node has heard of it, and which are suspects. Pure."""

from collections.abc import Iterable

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine

MOST_WATCHED = 4096
"""So many suspects are remembered, the newest ones: 0.5 MB, by ``tracemalloc``."""
WATCHED_FOR_S = 600.0
"""Most suspects never come again. While there is one, each answered request costs a digest of its
body: 4 us, and 5 us more for each kB."""


class QuarantineView:
    """The newest report of the controllers, in whatever order it comes."""

    def __init__(self) -> None:
        self.current = NO_QUARANTINE
        self._held: frozenset[Fingerprint] = frozenset()
        self._known: frozenset[Fingerprint] = frozenset()
        self._watched: dict[Fingerprint, float] = {}
        """Since when each suspect is watched, the oldest first."""

    def take(self, quarantine: Quarantine) -> bool:
        """Take a list of held requests; False when it is no newer than the one known."""
        if quarantine.revision <= self.current.revision:
            return False
        self.current = quarantine
        self._held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        self._known = frozenset(each.fingerprint for each in quarantine.requests)
        return True

    def watch(self, fingerprints: Iterable[Fingerprint], now: float) -> None:
        """Note requests of which an answer, should one come, is news."""
        for fingerprint in fingerprints:
            self._watched.pop(fingerprint, None)
            self._watched[fingerprint] = now
        for oldest in list(self._watched)[: max(0, len(self._watched) - MOST_WATCHED)]:
            del self._watched[oldest]

    def unwatch(self, fingerprint: Fingerprint) -> None:
        """Note that a request was answered."""
        self._watched.pop(fingerprint, None)

    @property
    def held(self) -> frozenset[Fingerprint]:
        """The requests that no runner may get."""
        return self._held

    @property
    def offenders(self) -> frozenset[Fingerprint]:
        """The requests that are held, or were."""
        return self._known

    def wants_answers(self, now: float) -> bool:
        """Tell whether an answer to some request would be news."""
        while self._watched:
            oldest = next(iter(self._watched))
            if now - self._watched[oldest] <= WATCHED_FOR_S:
                return True
            del self._watched[oldest]
        return bool(self._known)

    def wants_answer(self, fingerprint: Fingerprint) -> bool:
        """Tell whether an answer to a request would be news."""
        return fingerprint in self._known or fingerprint in self._watched
