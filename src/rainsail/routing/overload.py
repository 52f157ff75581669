"""Load shedding: refuses a request immediately if it would wait too long for a slot.

The ledger's leader reports how many requests all gateways have in flight at a service. Once there
are more than slots, each further request waits, and an unbounded first-in-first-out queue would
make all requests late. So the queue is bounded: a request whose wait would take too much of its
latency target is refused with a ``Retry-After`` time, and the accepted ones meet their target.

A request that was refused before has less of its deadline left than others of its route. It is not
refused again.

Does no I/O; the caller passes the time and the random source.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from statistics import median

from rainsail.routing.messages import ServiceLoad

LOAD_REPORT_TTL_S = 0.4
"""A load report of the leader is valid for this long.

Several report periods: while a service is busy the leader answers each report of the gateway.
"""
EPISODE_OVER_AFTER_S = 0.5
"""An overload has ended when nothing would have been refused for this long.

Long enough that a gap between two bursts does not end it.
"""
EPISODES_KEPT = 5
"""The expected duration of an overload is the median of this many earlier ones.

An odd number, for a unique median; small, to follow changes within a day.
"""
SLOT_TIME_WEIGHT = 0.05
"""Weight of the newest response in the moving average of slot times: about 20 responses count."""
FIRST_ATTEMPT_SHARE = 0.97
"""A request with less than this share of its route's usual deadline was refused before.

With 0.9, clients that retried quickly were refused twice: on the benchmark shifted/ scale-1 the
score was 0.729 with 0.9, and 0.806 with this value together with other changes.
"""
DEADLINE_DECAY = 0.999
"""Decay of a route's usual deadline with each request, so that it follows a shorter deadline.

A hundred requests with a shorter deadline lower it by about a tenth.
"""


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Parameters of load shedding; times are seconds."""

    wait_share: float = 0.25
    """Share of its latency target that a request may wait if the leader places it.

    Trials on the benchmark shifted/ scale-1: score 0.806 with 0.25 together with other changes,
    0.729 with 0.5.
    """
    alone_wait_share: float = 1.0
    """The same for a request that the gateway places itself: its estimate of the wait is rough.

    Trials on the same benchmark: score 0.431 and 0.401 with 0.5, and 0.672 without load shedding.
    """
    first_slot_time_s: float = 0.5
    """Assumed time that a response holds a slot, before the first response."""
    first_episode_s: float = 1.0
    """Assumed duration of an overload, before the first one has ended."""
    least_retry_after_s: float = 0.25
    """Lower bound of the ``Retry-After`` time: a short response has ended by then."""
    retry_after_share: float = 0.33
    """Upper bound of the ``Retry-After`` time, as a share of the deadline that is left.

    It leaves time for the response.
    """
    spread: float = 0.5
    """Retries are spread over this share of an overload's expected duration.

    Without the spread, clients would retry together and cause the next burst.
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
    """A gateway's view of each service's load, and its decision to admit or refuse a request."""

    def __init__(self, random: Random, settings: OverloadSettings) -> None:
        self._random = random
        self._settings = settings
        self._services: dict[str, _Service] = {}
        self._deadlines_s: dict[str, float] = {}

    def update_load(self, load: ServiceLoad, now: float) -> None:
        """Record the leader's report of a service's load."""
        known = self._of(load.service)
        known.online, known.slots, known.own = load.online, load.slots, load.own
        known.reported_s = now

    def answered(self, service: str, slot_time_s: float) -> None:
        """Add a response that held a slot for ``slot_time_s`` to the moving average."""
        known = self._of(service)
        if not known.slot_time_s:
            known.slot_time_s = slot_time_s
        known.slot_time_s += SLOT_TIME_WEIGHT * (slot_time_s - known.slot_time_s)

    def is_resent(self, route: str, deadline_s: float | None) -> bool:
        """Return whether a request was refused before; updates the route's usual deadline."""
        if deadline_s is None:
            return False
        usual_s = self._deadlines_s.get(route, 0.0) * DEADLINE_DECAY
        self._deadlines_s[route] = max(usual_s, deadline_s)
        return deadline_s < FIRST_ATTEMPT_SHARE * self._deadlines_s[route]

    def wait_s(self, service: str, own: int, now: float) -> float:
        """Return the seconds that one more request would wait for a slot.

        ``own`` requests of this gateway are in flight. Returns 0 without a recent report of the
        leader, as the queue is then unknown.
        """
        known = self._of(service)
        if now - known.reported_s > LOAD_REPORT_TTL_S or not known.slots:
            return 0.0
        waiting = known.online - known.own + own + 1 - known.slots
        return max(0.0, waiting * self._slot_time_s(known) / known.slots)

    def retry_after_s(
        self, service: str, own: int, target_s: float, left_s: float, now: float
    ) -> float | None:
        """Decide on a request that the gateway places itself.

        Return None to admit it, else the ``Retry-After`` time in seconds.
        """
        known = self._of(service)
        wait_s = self.wait_s(service, own, now)
        if wait_s <= self._settings.alone_wait_share * target_s:
            self._note_episode(known, now)
            return None
        return self.refuse(service, left_s, now)

    def most_waiting(self, service: str, target_s: float) -> float:
        """Return how many requests may wait for each slot if one more shall meet its target."""
        return self._settings.wait_share * target_s / self._slot_time_s(self._of(service))

    def _slot_time_s(self, known: _Service) -> float:
        return known.slot_time_s or self._settings.first_slot_time_s

    def refuse(self, service: str, left_s: float, now: float) -> float:
        """Count a refusal; return the ``Retry-After`` time in seconds."""
        known = self._of(service)
        self._note_episode(known, now)
        if known.began_s is None:
            known.began_s = now
        known.last_over_s = now
        return self._jittered_retry_s(known, left_s, now)

    def _note_episode(self, known: _Service, now: float) -> None:
        """If the current overload has ended, record its duration."""
        if known.began_s is None or now - known.last_over_s < EPISODE_OVER_AFTER_S:
            return
        known.episodes_s.append(known.last_over_s - known.began_s)
        known.began_s = None

    def _jittered_retry_s(self, known: _Service, left_s: float, now: float) -> float:
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
