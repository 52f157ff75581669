"""Whether more than one tenant has been active lately, in constant memory."""


class TenantActivity:
    """The tenant seen last, and when any other one was seen last before it."""

    __slots__ = ("_latest", "_latest_s", "_other", "_other_s")

    def __init__(self) -> None:
        self._latest = ""
        self._latest_s = float("-inf")
        self._other = ""
        self._other_s = float("-inf")

    def seen(self, tenant: str, now_s: float) -> None:
        """Note that a tenant sent a request."""
        if tenant != self._latest:
            self._other, self._other_s = self._latest, self._latest_s
            self._latest = tenant
        self._latest_s = now_s

    def other_than(self, tenant: str, since_s: float) -> str:
        """Return the tenant other than this one that was seen last; empty: none since ``since_s``.

        With three or more tenants it may be any of the last two; callers need one of them.
        """
        if self._latest != tenant:
            return self._latest if self._latest_s >= since_s else ""
        return self._other if self._other_s >= since_s else ""
