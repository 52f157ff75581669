"""Tracks in constant memory whether more than one tenant was active recently."""


class TenantActivity:
    """The most recent tenant, and the most recent other one before it, with their times."""

    __slots__ = ("_latest", "_latest_s", "_other", "_other_s")

    def __init__(self) -> None:
        self._latest = ""
        self._latest_s = float("-inf")
        self._other = ""
        self._other_s = float("-inf")

    def seen(self, tenant: str, now_s: float) -> None:
        """Record a request of a tenant."""
        if tenant != self._latest:
            self._other, self._other_s = self._latest, self._latest_s
            self._latest = tenant
        self._latest_s = now_s

    def other_than(self, tenant: str, since_s: float) -> str:
        """Return another tenant that was active since ``since_s``, empty if there is none.

        With three or more tenants it may be either of the last two; callers need only one.
        """
        if self._latest != tenant:
            return self._latest if self._latest_s >= since_s else ""
        return self._other if self._other_s >= since_s else ""
