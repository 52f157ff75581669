"""Limits the idle time after which a connection is still reused, while servers drop them early.

A server may drop an idle connection earlier than announced, without closing it. The next request on
it is reset, and lost if it may not be repeated. After the first such reset the limit applies to the
connections to all servers for a while, since servers of one kind behave alike. A crash, which looks
the same, costs only a few additional connections.
"""

SAFE_IDLE_S = 0.25
"""While the limit applies, only connections that were idle for less than this are reused."""
LIMIT_PERIOD_S = 20.0
"""How long the limit applies after the last such reset."""
QUICK_RESET_S = 0.1
"""A reset later than this after the request has other causes."""


class IdleLimit:
    """Learns from resets of requests on connections that had been idle."""

    def __init__(self) -> None:
        self._until_s = float("-inf")

    def allows(self, idle_for_s: float, now: float) -> bool:
        """Tell whether a connection that was idle for ``idle_for_s`` may be reused."""
        return now >= self._until_s or idle_for_s < SAFE_IDLE_S

    def reset(self, idle_for_s: float, after_s: float, now: float) -> None:
        """Record that an unanswered request was reset, ``after_s`` after it was sent."""
        if idle_for_s >= SAFE_IDLE_S and after_s <= QUICK_RESET_S:
            self._until_s = now + LIMIT_PERIOD_S
