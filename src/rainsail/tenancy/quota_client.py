"""The gateway side of quotas: asks the allocator to admit each request of a limited tenant.

Requests that arrive while a call is outstanding are batched into the next call. While no allocator
answers, the gateway decides by its own share, and later reports to the allocator what it admitted.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from rainsail.errors import Fault
from rainsail.node_metrics import NodeMetrics
from rainsail.runtime.clock import Clock
from rainsail.tenancy.local_share import LocalShares
from rainsail.tenancy.messages import QuotaAsk, QuotaGrant, QuotaGrants, QuotaNeed
from rainsail.tenancy.quota_decision import ADMITTED, QuotaDecision
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import Identity, RateLimit
from rainsail.wire.messenger import Messenger

REPLY_TIMEOUT_S = 0.12
"""Longer than a busy allocator takes, and short compared with any time-to-first-byte target."""
REFUND_REPORT_S = 0.1
"""Refunds that no request takes to the allocator until then are reported by themselves.

A refused client waits longer than that before it returns, perhaps at another gateway.
"""
ASK_RETRY_AFTER_S = 0.2
"""Pause after a call without a reply; meanwhile the gateway decides by its own share."""
MAX_RETRY_AFTER_S = 1.0
BY_SHARE = "gateway"
"""Metric label of the decisions that this gateway makes by its own share."""
MAX_CLOSED_S = 0.05
"""A tenant over its quota is refused without a call to the allocator for at most this long."""

Decided = Callable[[QuotaDecision], None]
"""Called with the decision on a request."""


@dataclass(slots=True)
class _Waiting:
    limit: RateLimit
    decisions: deque[Decided] = field(default_factory=deque)


class QuotaClient:
    """Decides on requests, each exactly once, at the latest when the allocator's reply is late."""

    def __init__(
        self, messenger: Messenger, clock: Clock, terms: QuotaTerms, metrics: NodeMetrics
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._metrics = metrics
        self._local = LocalShares(terms)
        self._allocator = ""
        self._ask_after_s = float("-inf")
        self._asking = False
        self._planned = False
        self._report_planned = False
        self._waiting: dict[str, _Waiting] = {}
        self._spent: dict[str, int] = {}
        self._limits: dict[str, RateLimit] = {}
        self._closed_until_s: dict[str, float] = {}
        self.table_version = 0

    def set_allocator(self, address: str) -> None:
        """Set the address of the node that runs the allocator; empty when none is known."""
        self._allocator = address
        self._ask_after_s = float("-inf")

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways."""
        self._local.gateways = count

    def admit(self, identity: Identity, decided: Decided) -> None:
        """Decide on a request, now or as soon as the allocator has replied."""
        if not identity.limit.limits:
            decided(ADMITTED)
            return
        tenant, now = identity.tenant, self._clock.seconds()
        closed_s = self._closed_until_s.get(tenant, 0.0) - now
        if closed_s > 0:
            self._decide(decided, tenant, closed_s, "closed")
            return
        if not self._allocator or now < self._ask_after_s:
            self._decide_locally(tenant, identity.limit, decided)
            return
        waiting = self._waiting.setdefault(tenant, _Waiting(identity.limit))
        waiting.limit = identity.limit
        waiting.decisions.append(decided)
        self._plan_ask()

    def _decide(self, decided: Decided, tenant: str, wait_s: float, source: str) -> None:
        outcome = "admitted" if wait_s <= 0 else "refused"
        self._metrics.count("quota_decisions", outcome=outcome, by=source)
        decided(QuotaDecision(min(wait_s, MAX_RETRY_AFTER_S), by_share=source == BY_SHARE))

    def give_back(self, identity: Identity, decision: QuotaDecision) -> None:
        """Refund a request that was admitted but will never run, to the bucket that paid for it."""
        if not identity.limit.limits:
            return
        self._spend(identity.tenant, identity.limit, -1)
        if decision.by_share:
            self._local.give_back(identity.tenant)
        if not self._report_planned:
            self._report_planned = True
            self._clock.callLater(REFUND_REPORT_S, self._report_refunds)

    def _report_refunds(self) -> None:
        """Report what has been refunded since the last call, for requests at other gateways.

        If the call fails, the next one reports it.
        """
        self._report_planned = False
        has_refunds = any(amount < 0 for amount in self._spent.values())
        if has_refunds and self._allocator and self._clock.seconds() >= self._ask_after_s:
            self._plan_ask()

    def _spend(self, tenant: str, limit: RateLimit, amount: int) -> None:
        """Add to the amount that the next call reports to the allocator."""
        self._spent[tenant] = self._spent.get(tenant, 0) + amount
        self._limits[tenant] = limit

    def _decide_locally(self, tenant: str, limit: RateLimit, decided: Decided) -> None:
        wait_s = self._local.admit(tenant, limit, self._clock.seconds())
        if wait_s <= 0:
            self._spend(tenant, limit, 1)
        self._decide(decided, tenant, wait_s, BY_SHARE)

    # --- calls to the allocator ----------------------------------------------------------

    def _plan_ask(self) -> None:
        if not self._planned and not self._asking:
            self._planned = True
            self._clock.callLater(0.0, self._ask)

    def _ask(self) -> None:
        self._planned = False
        if self._asking or not (self._waiting or self._spent):
            return
        asked, self._waiting = self._waiting, {}
        spent, self._spent = self._spent, {}
        needs = [
            self._need(tenant, waiting.limit, len(waiting.decisions), spent.pop(tenant, 0))
            for tenant, waiting in asked.items()
        ]
        needs += [self._need(tenant, self._limits[tenant], 0, spent[tenant]) for tenant in spent]
        self._asking = True
        ask = QuotaAsk(self.table_version, tuple(needs))
        reply = self._messenger.call(self._allocator, ask, REPLY_TIMEOUT_S)
        reply.addCallback(self._take_reply, asked, ask)

    @staticmethod
    def _need(tenant: str, limit: RateLimit, wanted: int, spent: int) -> QuotaNeed:
        return QuotaNeed(tenant, limit.rate_per_s, limit.burst, wanted, spent)

    def _take_reply(
        self, result: Result[QuotaGrants, Fault], asked: dict[str, _Waiting], ask: QuotaAsk
    ) -> None:
        self._asking = False
        if result.is_error():
            self._ask_failed(asked, ask)
        else:
            for grant in result.ok.grants:
                self._take_grant(grant, asked.get(grant.tenant))
        if self._waiting:
            self._plan_ask()

    def _take_grant(self, grant: QuotaGrant, waiting: _Waiting | None) -> None:
        self._local.update_share(grant.tenant, grant.share)
        if waiting is None:
            return
        granted = grant.granted
        if granted < len(waiting.decisions):
            closed_s = min(MAX_CLOSED_S, grant.retry_after_s)
            self._closed_until_s[grant.tenant] = self._clock.seconds() + closed_s
        for place, decided in enumerate(waiting.decisions):
            wait_s = 0.0
            if place >= granted:
                wait_s = grant.retry_after_s + (place - granted) / waiting.limit.rate_per_s
            self._decide(decided, grant.tenant, wait_s, "keeper")

    def _ask_failed(self, asked: dict[str, _Waiting], ask: QuotaAsk) -> None:
        """Decide by the own share on all requests of the failed call, and on later ones."""
        self._metrics.count("quota_asks_unanswered")
        self._ask_after_s = self._clock.seconds() + ASK_RETRY_AFTER_S
        for need in ask.needs:
            if need.spent:
                limit = RateLimit(need.rate_per_s, need.burst)
                self._spend(need.tenant, limit, need.spent)
        later, self._waiting = self._waiting, {}
        for group in (asked, later):
            for tenant, waiting in group.items():
                for decided in waiting.decisions:
                    self._decide_locally(tenant, waiting.limit, decided)
