"""One node's view of the quarantine: the held requests and the suspects. Does no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine

MAX_WATCHED = 4096
"""Maximum number of suspects, the newest ones: 0.5 MB, by ``tracemalloc``."""
WATCH_TTL_S = 600.0
"""Suspects are dropped after this time, as most are never sent again. While there are any, each
response costs a digest of its request's body: 4 us, and 5 us more for each kB."""


@dataclass(frozen=True, slots=True)
class Release:
    """The release of a request that had been held ``times`` times.

    ``known_s`` is when the node learned of it.
    """

    times: int
    known_s: float


class QuarantineView:
    """The newest list from the controllers, in whatever order lists arrive, and the suspects."""

    def __init__(self) -> None:
        self.current = NO_QUARANTINE
        self._held: frozenset[Fingerprint] = frozenset()
        self._ever_held: frozenset[Fingerprint] = frozenset()
        self._unproven: frozenset[Fingerprint] = frozenset()
        self._releases: dict[Fingerprint, Release] = {}
        """Those of the unproven requests."""
        self._watched: dict[Fingerprint, float] = {}
        """The time from which each suspect is watched, oldest first."""

    def take(self, quarantine: Quarantine, now: float = 0.0) -> bool:
        """Replace the list of held requests; return False if it is not newer than the current."""
        if quarantine.revision <= self.current.revision:
            return False
        self.current = quarantine
        self._held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        self._ever_held = frozenset(each.fingerprint for each in quarantine.requests)
        self._unproven = self._ever_held - self._held
        known = self._releases
        self._releases = {}
        for each in quarantine.requests:
            if each.held:
                continue
            release = known.get(each.fingerprint)
            if release is None or release.times != each.times:
                release = Release(each.times, now)
            self._releases[each.fingerprint] = release
        return True

    def release_of(self, fingerprint: Fingerprint) -> Release | None:
        """Return the release of an unproven request, None for any other."""
        return self._releases.get(fingerprint)

    def watch(self, fingerprints: Iterable[Fingerprint], now: float) -> None:
        """Add suspects: a response to one of them has to be reported."""
        for fingerprint in fingerprints:
            self._watched.pop(fingerprint, None)
            self._watched[fingerprint] = now
        for oldest in list(self._watched)[: max(0, len(self._watched) - MAX_WATCHED)]:
            del self._watched[oldest]

    def unwatch(self, fingerprint: Fingerprint) -> None:
        """Remove a suspect, which has been answered."""
        self._watched.pop(fingerprint, None)

    @property
    def held(self) -> frozenset[Fingerprint]:
        """The requests that must not reach a runner."""
        return self._held

    @property
    def unproven(self) -> frozenset[Fingerprint]:
        """The released requests that no answer has cleared: one at a time may run, as a trial."""
        return self._unproven

    @property
    def ever_held(self) -> frozenset[Fingerprint]:
        """The requests that are held now or were held earlier."""
        return self._ever_held

    def wants_answers(self, now: float) -> bool:
        """Return whether responses to some requests have to be reported."""
        while self._watched:
            oldest = next(iter(self._watched))
            if now - self._watched[oldest] <= WATCH_TTL_S:
                return True
            del self._watched[oldest]
        return bool(self._ever_held)

    def wants_answer(self, fingerprint: Fingerprint) -> bool:
        """Return whether a response to this request has to be reported."""
        return fingerprint in self._ever_held or fingerprint in self._watched
