"""The quota keeper as nodes reach it: it answers while this node leads the ledger."""

from collections.abc import Callable

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.tenancy.messages import QuotaAsk, QuotaGrants
from rainsail.tenancy.quota_allocator import QuotaAllocator
from rainsail.wire.messenger import Messenger


class QuotaService:
    """Serves a keeper over the messenger."""

    def __init__(
        self, messenger: Messenger, clock: Clock, keeper: QuotaAllocator, leads: Callable[[], bool]
    ) -> None:
        """``leads`` tells whether this node leads under its lease: then no other keeper grants."""
        self._clock = clock
        self._keeper = keeper
        self._leads = leads
        messenger.serve(QuotaAsk, self._grant)

    def leadership_changed(self, leads: bool) -> None:
        """Begin anew with each leadership."""
        if leads:
            self._keeper.begin()

    def _grant(self, source: str, ask: QuotaAsk) -> QuotaGrants | Fault:
        if not self._leads():
            return Fault(FaultCode.NOT_LEADER, "tenancy.grant", "another node leads")
        return self._keeper.grant(source, ask, self._clock.seconds())
