"""Recent lease requests by holder, which make lease requests idempotent."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.state.commands import ItemRef
from rainsail.state.settings import StateSettings
from rainsail.wire.codec import wire_record


@wire_record("LedgerCounters")
@dataclass(frozen=True, slots=True)
class LedgerCounters:
    """The ledger's counters, in a snapshot."""

    last_fence: int
    next_sequence: int


@wire_record("AnsweredLease")
@dataclass(frozen=True, slots=True)
class AnsweredLease:
    """A lease request of a holder and the items that it was granted."""

    holder: str
    request_id: str
    refs: tuple[ItemRef, ...]


class LeaseRequests:
    """A bounded window of requests: the latest ones of each of the latest holders."""

    def __init__(self, settings: StateSettings) -> None:
        self._per_holder = settings.lease_requests_per_holder_count
        self._holders = settings.lease_holder_window_count
        self._answered: OrderedDict[str, OrderedDict[str, AnsweredLease]] = OrderedDict()

    def first_answer(self, holder: str, request_id: str) -> tuple[ItemRef, ...] | None:
        """Return the items leased to this request, or None when it is new."""
        requests = self._answered.get(holder)
        answered = None if requests is None else requests.get(request_id)
        return None if answered is None else answered.refs

    def remember(self, answered: AnsweredLease) -> None:
        """Store the answer to a request and evict the oldest ones beyond the window."""
        requests = self._answered.setdefault(answered.holder, OrderedDict())
        self._answered.move_to_end(answered.holder)
        requests[answered.request_id] = answered
        if len(requests) > self._per_holder:
            requests.popitem(last=False)
        if len(self._answered) > self._holders:
            self._answered.popitem(last=False)

    def records(self) -> Iterator[AnsweredLease]:
        """Yield all requests for a snapshot, least recently used holder first."""
        for requests in self._answered.values():
            yield from requests.values()

    def restore(self, answered: AnsweredLease) -> None:
        """Restore one record of a snapshot."""
        self.remember(answered)
