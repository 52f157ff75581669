"""Serves the quota allocator to other nodes while this node leads the ledger."""

from collections.abc import Callable

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.tenancy.messages import QuotaAsk, QuotaGrants
from rainsail.tenancy.quota_allocator import QuotaAllocator
from rainsail.wire.messenger import Messenger


class QuotaService:
    """Serves a quota allocator over the messenger."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        allocator: QuotaAllocator,
        leads: Callable[[], bool],
    ) -> None:
        """``leads`` returns whether this node holds the leader lease: no other node then grants."""
        self._clock = clock
        self._allocator = allocator
        self._leads = leads
        messenger.serve(QuotaAsk, self._grant)

    def leadership_changed(self, leads: bool) -> None:
        """Reset the allocator at the start of each leadership."""
        if leads:
            self._allocator.begin()

    def _grant(self, source: str, ask: QuotaAsk) -> QuotaGrants | Fault:
        if not self._leads():
            return Fault(FaultCode.NOT_LEADER, "tenancy.grant", "another node leads")
        return self._allocator.grant(source, ask, self._clock.seconds())
