"""Refuses requests at once that would wait too long for a slot. Pure: time and random handed in.

The ledger's leader reports what all gateways have under way at a service. Once that is more than
its slots, each further request waits for one, and a queue in order of arrival makes them all late.
So the queue is bounded: a request whose wait would take too much of its target is refused before it
runs, with the time to come back, and those that are accepted stay in time.

A request that was refused before, and so has less of its deadline left than others of its route, is
never refused again.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from statistics import median

from rainsail.routing.messages import ServiceLoad

LOAD_TRUSTED_S = 0.4
"""A report of the leader counts for this long.

Not measured; chosen as several of its reports, which follow this gateway's while a service is busy.
"""
EPISODE_OVER_AFTER_S = 0.5
"""An overload is over when nothing would have been refused for this long.

Not measured; chosen so that a gap between two bursts does not end it.
"""
EPISODES_KEPT = 5
"""An overload is expected to last as long as the median of so many before it.

Not measured; chosen odd and small, to follow changes within a day.
"""
SLOT_TIME_WEIGHT = 0.05
"""Weight of the newest answer in the mean time that an answer holds a slot.

Not measured; chosen to average over some twenty answers.
"""
FIRST_ATTEMPT_SHARE = 0.97
"""A request with less than this share of its route's usual deadline was refused before.

Chosen above 0.9, with which clients that came back soon were refused twice (measured together with
other changes: shifted/ scale-1, worth 0.729 with 0.9 and 0.806 on the whole).
"""
DEADLINE_DECAY = 0.999
"""What is left of a route's usual deadline with each request, so that a shorter one is learnt.

Not measured; chosen so that some hundred requests with a shorter deadline do not lower it by more
than a tenth.
"""


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Times are seconds. A value without another reason was not measured by itself."""

    wait_share: float = 0.25
    """Share of its target that a request may wait where the leader places it.

    0.25 together with other changes: worth 0.806, 0.729 with 0.5 (shifted/ scale-1, trials).
    """
    alone_wait_share: float = 1.0
    """The same for a request that no leader places: what the gateway knows of the wait is vague.

    With 0.5 worth fell to 0.431 and 0.401, from 0.672 without any refusal (the same day, trials).
    """
    first_slot_time_s: float = 0.5
    """How long an answer is assumed to hold a slot before one was seen."""
    first_episode_s: float = 1.0
    """How long an overload is assumed to last before one was seen."""
    least_retry_after_s: float = 0.25
    """No client is told to come back sooner; chosen so that a short answer has ended by then."""
    retry_after_share: float = 0.33
    """Share of the time left that a client waits at most; chosen to leave time for the answer."""
    spread: float = 0.5
    """Clients come back spread over this share of an overload's usual length.

    Chosen so that they do not make the next burst together.
    """


@dataclass(slots=True)
class _Service:
    online: int = 0
    slots: int = 0
    own: int = 0
    reported_s: float = float("-inf")
    slot_time_s: float = 0.0
    began_s: float | None = None
    last_over_s: float = float("-inf")
    episodes_s: deque[float] = field(default_factory=lambda: deque(maxlen=EPISODES_KEPT))


class OverloadGuard:
    """A gateway's view of each service's load, and its decision on one request."""

    def __init__(self, random: Random, settings: OverloadSettings) -> None:
        self._random = random
        self._settings = settings
        self._services: dict[str, _Service] = {}
        self._deadlines_s: dict[str, float] = {}

    def update_load(self, load: ServiceLoad, now: float) -> None:
        """Take the leader's report of a service's load."""
        known = self._of(load.service)
        known.online, known.slots, known.own = load.online, load.slots, load.own
        known.reported_s = now

    def answered(self, service: str, slot_time_s: float) -> None:
        """Learn from an answer that has held a slot for ``slot_time_s``."""
        known = self._of(service)
        if not known.slot_time_s:
            known.slot_time_s = slot_time_s
        known.slot_time_s += SLOT_TIME_WEIGHT * (slot_time_s - known.slot_time_s)

    def is_resent(self, route: str, deadline_s: float | None) -> bool:
        """Tell whether a request was refused before; learns what a route's deadlines are."""
        if deadline_s is None:
            return False
        usual_s = self._deadlines_s.get(route, 0.0) * DEADLINE_DECAY
        self._deadlines_s[route] = max(usual_s, deadline_s)
        return deadline_s < FIRST_ATTEMPT_SHARE * self._deadlines_s[route]

    def wait_s(self, service: str, own: int, now: float) -> float:
        """Return how long one more request would wait, with ``own`` of this gateway under way.

        0 without a recent report of the leader: the gateway then knows of no queue.
        """
        known = self._of(service)
        if now - known.reported_s > LOAD_TRUSTED_S or not known.slots:
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
        return self.refuse(service, left_s, now)

    def most_waiting(self, service: str, target_s: float) -> float:
        """Return how many may wait for each slot so that one more is still in time."""
        return self._settings.wait_share * target_s / self._slot_time_s(self._of(service))

    def _slot_time_s(self, known: _Service) -> float:
        return known.slot_time_s or self._settings.first_slot_time_s

    def refuse(self, service: str, left_s: float, now: float) -> float:
        """Note that a request is refused; return when its client should come back."""
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
