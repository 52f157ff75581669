"""Refuses requests at once that would wait too long for a slot. Pure: time and chance handed in.

The ledger's leader tells what all gateways have under way at a service. Once that is more than its
slots, each further request waits for one, and first come, first served makes them all late. So the
queue is bounded: a request whose wait would take too much of its target is refused while it has
not run, with the time to come back, and those that are taken stay in time.

A request that comes back has less of its deadline left than others of its route. It is taken.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from statistics import median

LOAD_TRUSTED_S = 0.4
"""The leader's word counts for this long; it comes every 50 ms while a service is busy."""
EPISODE_OVER_AFTER_S = 0.5
"""An overload is over when nothing would have been refused for this long."""
EPISODES_KEPT = 5
SLOT_TIME_WEIGHT = 0.05
"""Weight of the newest answer in the mean time that an answer takes of a slot."""
FIRST_ATTEMPT_SHARE = 0.97
"""A request with less than this share of its route's usual deadline has been refused before."""
DEADLINE_FORGETTING = 0.999


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """``wait_share`` is how much of its target a request may wait; times are seconds."""

    wait_share: float = 0.25
    alone_wait_share: float = 1.0
    """The same for a request that no leader places: what the gateway knows of the wait is vague."""
    first_slot_time_s: float = 0.5
    """How long an answer is taken to hold a slot before one was seen."""
    first_episode_s: float = 1.0
    """How long an overload is taken to last before one was seen."""
    least_retry_after_s: float = 0.25
    retry_after_share: float = 0.33
    """Share of the time left that a client waits at most before it comes back."""
    spread: float = 0.5
    """Clients come back spread over this share of the time until the overload is over."""


@dataclass(slots=True)
class _Service:
    online: int = 0
    slots: int = 0
    own: int = 0
    told_s: float = float("-inf")
    slot_time_s: float = 0.0
    began_s: float | None = None
    last_over_s: float = float("-inf")
    episodes_s: deque[float] = field(default_factory=lambda: deque(maxlen=EPISODES_KEPT))


class OverloadGuard:
    """What a gateway knows of each service's load, and the decision on one request."""

    def __init__(self, random: Random, settings: OverloadSettings) -> None:
        self._random = random
        self._settings = settings
        self._services: dict[str, _Service] = {}
        self._deadlines_s: dict[str, float] = {}

    def told(self, service: str, online: int, slots: int, own: int, now: float) -> None:
        """Take the leader's word: requests under way, slots, and the own ones among the former."""
        known = self._of(service)
        known.online, known.slots, known.own, known.told_s = online, slots, own, now

    def answered(self, service: str, slot_time_s: float) -> None:
        """An answer has taken a slot for so long."""
        known = self._of(service)
        if not known.slot_time_s:
            known.slot_time_s = slot_time_s
        known.slot_time_s += SLOT_TIME_WEIGHT * (slot_time_s - known.slot_time_s)

    def comes_back(self, route: str, deadline_s: float | None) -> bool:
        """Tell whether a request was refused before; learns what a route's deadlines are."""
        if deadline_s is None:
            return False
        usual_s = self._deadlines_s.get(route, 0.0) * DEADLINE_FORGETTING
        self._deadlines_s[route] = max(usual_s, deadline_s)
        return deadline_s < FIRST_ATTEMPT_SHARE * self._deadlines_s[route]

    def wait_s(self, service: str, own: int, now: float) -> float:
        """Return how long one more request would wait, with ``own`` of this gateway under way."""
        known = self._of(service)
        if now - known.told_s > LOAD_TRUSTED_S or not known.slots:
            return 0.0
        waiting = known.online - known.own + own + 1 - known.slots
        return max(0.0, waiting * self._slot_time_s(known) / known.slots)

    def retry_after_s(
        self, service: str, own: int, target_s: float, left_s: float, now: float
    ) -> float | None:
        """Decide on a request that no leader places.

        Return None for one that may be in time, else when its client should come back.
        """
        known = self._of(service)
        wait_s = self.wait_s(service, own, now)
        if wait_s <= self._settings.alone_wait_share * target_s:
            self._note_episode(known, now)
            return None
        return self.refused(service, left_s, now)

    def most_waiting(self, service: str, target_s: float) -> float:
        """Return how many may wait for each slot so that one more is still in time."""
        return self._settings.wait_share * target_s / self._slot_time_s(self._of(service))

    def _slot_time_s(self, known: _Service) -> float:
        return known.slot_time_s or self._settings.first_slot_time_s

    def refused(self, service: str, left_s: float, now: float) -> float:
        """Note that the leader found no place in time; return when the client should come back."""
        known = self._of(service)
        self._note_episode(known, now)
        if known.began_s is None:
            known.began_s = now
        known.last_over_s = now
        return self._spread_return_s(known, left_s, now)

    def _note_episode(self, known: _Service, now: float) -> None:
        """End an overload that is over, and keep how long it was."""
        if known.began_s is None or now - known.last_over_s < EPISODE_OVER_AFTER_S:
            return
        known.episodes_s.append(known.last_over_s - known.began_s)
        known.began_s = None

    def _spread_return_s(self, known: _Service, left_s: float, now: float) -> float:
        settings = self._settings
        expected_s = median(known.episodes_s) if known.episodes_s else settings.first_episode_s
        since_s = 0.0 if known.began_s is None else now - known.began_s
        remaining_s = max(settings.least_retry_after_s, expected_s - since_s)
        spread_s = settings.spread * expected_s * self._random.random()
        return min(remaining_s + spread_s, settings.retry_after_share * left_s)

    def _of(self, service: str) -> _Service:
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service()
        return known
