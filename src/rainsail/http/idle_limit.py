"""How long a connection may rest before a request goes out on a fresh one instead.

Servers may forget resting connections sooner than they say, without a word: what is sent next is
reset, and what may not be repeated is lost with it. After the first such reset, connections to all
servers are taken to be forgotten early for a while: servers of one kind behave alike, and a crash
that looks the same costs a few connections more.
"""

SAFE_IDLE_S = 0.25
"""A connection that has rested less than this is used even then."""
LIMIT_PERIOD_S = 20.0
QUICK_RESET_S = 0.1
"""A reset that comes later than this after the request has other causes."""


class IdleLimit:
    """Learns from resets of requests on connections that had rested."""

    def __init__(self) -> None:
        self._until_s = float("-inf")

    def allows(self, idle_for_s: float, now: float) -> bool:
        """Tell whether a request may go out on a connection that has rested for a time."""
        return now >= self._until_s or idle_for_s < SAFE_IDLE_S

    def reset(self, idle_for_s: float, after_s: float, now: float) -> None:
        """Note that a request was reset unanswered, ``after_s`` after it was sent."""
        if idle_for_s >= SAFE_IDLE_S and after_s <= QUICK_RESET_S:
            self._until_s = now + LIMIT_PERIOD_S
