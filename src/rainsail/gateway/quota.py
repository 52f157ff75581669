"""Token buckets for the gateway's shares of the tenants' quotas, and demand reports."""

from dataclasses import dataclass
from random import Random
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.control.messages import QuotaReport, QuotaShares, TenantDemand
from rainsail.errors import Fault
from rainsail.gateway.settings import AdmissionSettings
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec, WatchEvent
from rainsail.routing.token_bucket import TokenBucket
from rainsail.runtime.clock import Clock
from rainsail.state.commands import ROOT_GROUP
from rainsail.tenancy.lender import minimum_share

MIN_WEIGHT = 1e-6
"""Minimum weight of a tenant in the fair queues."""


@dataclass(frozen=True, slots=True)
class LentShare:
    """A quota share lent until ``valid_until_s`` (gateway clock); ``rate`` is in tokens/s."""

    rate: float
    burst: float
    valid_until_s: float


class TenantQuotas:
    """One token bucket per tenant.

    A gateway may always use its minimum share of each quota, plus the share that control lends it
    for its reported demand. While control is unreachable, lent shares expire and only the minimum
    share remains. The minimum and lent shares of all gateways together never exceed the quota.
    """

    def __init__(
        self,
        gateway: str,
        config: ConfigReader,
        control: ControlClient,
        clock: Clock,
        random: Random,
        settings: AdmissionSettings,
    ) -> None:
        self._gateway = gateway
        self._config = config
        self._control = control
        self._clock = clock
        self._random = random
        self._settings = settings
        self._buckets: dict[str, TokenBucket] = {}
        self._lent: dict[str, LentShare] = {}
        self._used: dict[str, float] = {}
        self._shortfall: dict[str, float] = {}
        self._last_report_s = clock.seconds()
        self._last_reply_s = clock.seconds()
        self._gateways = 1
        self._timer: Any = None
        self._stopped = False
        self._on_shares: Any = None

    def start(self, on_shares: Any) -> None:
        """Begin to report demand; ``on_shares`` is called when control has lent shares."""
        self._on_shares = on_shares
        self._config.on_event(self._on_event)
        self._count_gateways()
        self._schedule(self._settings.quota_report_period_s)

    def _on_event(self, event: WatchEvent) -> None:
        if event.resource.key.kind == Kind.GATEWAY:
            self._count_gateways()

    def _count_gateways(self) -> None:
        self._gateways = len(self._config.list_resources(Kind.GATEWAY))

    def stop(self) -> None:
        """Stop reporting demand."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # --- the buckets --------------------------------------------------------------------------

    def weight(self, tenant: str) -> float:
        """Return a tenant's weight in the fair queues."""
        spec = self._spec(tenant)
        return max(spec.weight, MIN_WEIGHT) if spec else 1.0

    def wait_s(self, tenant: str, tokens: float, ahead: float = 0.0) -> float:
        """Return the seconds until a tenant's bucket covers ``ahead`` plus ``tokens`` tokens."""
        return self._bucket(tenant).wait_s(tokens, self._clock.seconds(), ahead)

    def expected_wait_s(self, tenant: str, tokens: float, ahead: float) -> float:
        """Return the expected wait in seconds.

        A tenant without a lent share gets one after the next demand report, so its wait is at most
        two periods of urgent reports, unless control has not replied recently.
        """
        wait_s = self.wait_s(tenant, tokens, ahead)
        now_s = self._clock.seconds()
        if wait_s <= 0.0 or self._lent_share(tenant, now_s) is not None:
            return wait_s
        if now_s - self._last_reply_s > 2.0 * self._settings.quota_report_period_s:
            return wait_s
        return min(wait_s, 2.0 * self._settings.urgent_report_s)

    def take(self, tenant: str, tokens: float) -> None:
        """Take ``tokens`` from a tenant's bucket."""
        self._bucket(tenant).take(tokens, self._clock.seconds())
        self._used[tenant] = self._used.get(tenant, 0.0) + tokens

    def give_back(self, tenant: str, tokens: float) -> None:
        """Refund tokens that were taken and not used."""
        if tokens <= 0.0:
            return
        self._bucket(tenant).give_back(tokens)
        self._used[tenant] = max(0.0, self._used.get(tenant, 0.0) - tokens)

    def record_shortfall(self, tenant: str, tokens: float) -> None:
        """Count tokens that could not be granted at once as demand; schedule an urgent report."""
        self._shortfall[tenant] = self._shortfall.get(tenant, 0.0) + tokens
        due_s = self._last_report_s + self._settings.urgent_report_s
        self._schedule(max(0.0, due_s - self._clock.seconds()))

    def _spec(self, tenant: str) -> TenantSpec | None:
        resource = self._config.get(ResourceKey(Kind.TENANT, tenant))
        if resource is None or not isinstance(resource.spec, TenantSpec):
            return None
        return resource.spec

    def _bucket(self, tenant: str) -> TokenBucket:
        now_s = self._clock.seconds()
        rate, burst = self._share(tenant, now_s)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(rate, burst, now_s)
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.set_rate(rate, burst, now_s)
        return bucket

    def _share(self, tenant: str, now_s: float) -> tuple[float, float]:
        spec = self._spec(tenant)
        if spec is None:
            return 0.0, 0.0
        gateways = self._gateways
        fraction = self._settings.quota_reserve_fraction
        rate = minimum_share(spec.tokens_per_second, gateways, fraction)
        burst = minimum_share(spec.burst_tokens, gateways, fraction)
        lent = self._lent_share(tenant, now_s)
        if lent is not None:
            return rate + lent.rate, burst + lent.burst
        return rate, burst

    def _lent_share(self, tenant: str, now_s: float) -> LentShare | None:
        lent = self._lent.get(tenant)
        return lent if lent is not None and now_s < lent.valid_until_s else None

    # --- reports to control -------------------------------------------------------------------

    def _schedule(self, delay_s: float) -> None:
        """Schedule a report after ``delay_s`` seconds; keep an earlier scheduled one."""
        if self._stopped or self._on_shares is None:
            return
        due_s = self._clock.seconds() + delay_s
        if self._timer is not None:
            if self._timer.getTime() <= due_s:
                return
            self._timer.cancel()
        self._timer = self._clock.callLater(delay_s, self._report)

    def _report(self) -> None:
        self._timer = None
        sent_s = self._clock.seconds()
        period_s = sent_s - self._last_report_s
        self._last_report_s = sent_s
        used, self._used = self._used, {}
        short, self._shortfall = self._shortfall, {}
        demands = tuple(
            TenantDemand(tenant, used.get(tenant, 0.0), short.get(tenant, 0.0))
            for tenant in sorted({**used, **short})
        )
        jitter = 0.9 + 0.2 * self._random.random()
        self._schedule(self._settings.quota_report_period_s * jitter)
        report = QuotaReport(ROOT_GROUP, self._gateway, period_s, demands)
        done: Deferred[Result[object, Fault]] = self._control.call(
            report, self._settings.quota_report_period_s
        )
        done.addCallback(self._store_shares, sent_s)

    def _store_shares(self, reply: Result[object, Fault], sent_s: float) -> None:
        """Store the lent shares. Without new shares, the present ones expire."""
        if reply.is_error() or not isinstance(reply.ok, QuotaShares):
            return
        self._last_reply_s = self._clock.seconds()
        until_s = sent_s + reply.ok.valid_s
        for share in reply.ok.shares:
            self._lent[share.tenant] = LentShare(
                share.tokens_per_second, share.burst_tokens, until_s
            )
        if reply.ok.shares and self._on_shares is not None:
            self._on_shares()
