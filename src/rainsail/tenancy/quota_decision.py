"""The decision on a request of a tenant with a limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a request is admitted, and whose bucket paid for it.

    ``wait_s`` is 0 when it is admitted, otherwise the seconds until it may be retried.
    ``by_share``: the gateway decided by its own share, as no allocator answered.
    """

    wait_s: float = 0.0
    by_share: bool = False

    @property
    def is_admitted(self) -> bool:
        """Whether the request may run."""
        return self.wait_s <= 0.0


ADMITTED = QuotaDecision()
