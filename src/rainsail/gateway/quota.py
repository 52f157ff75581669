"""The gateway's lent shares of the tenants' quotas, and the demand it reports for them."""

from random import Random

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.control.messages import QuotaReport, QuotaShare, QuotaShares, TenantDemand
from rainsail.errors import Fault
from rainsail.gateway.ownership import live_gateways
from rainsail.gateway.settings import AdmissionSettings
from rainsail.gateway.token_bucket import TokenBucket
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.runtime.clock import Clock
from rainsail.state.commands import ROOT_GROUP


class TenantQuotas:
    """One token bucket per tenant, filled by the share that control lends this gateway.

    Without a valid share the gateway uses ``fallback_share_fraction`` of an equal part of the
    quota: the sum over all gateways stays below the quota also when control is away.
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
        self._shares: dict[str, QuotaShare] = {}
        self._valid_until_s = 0.0
        self._used: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self._last_report_s = clock.seconds()
        self._stopped = False

    def start(self) -> None:
        """Begin to report demand."""
        self._schedule()

    def stop(self) -> None:
        """Report no more."""
        self._stopped = True

    # --- the buckets --------------------------------------------------------------------------

    def weight(self, tenant: str) -> float:
        """Return a tenant's weight in the fair queues."""
        spec = self._spec(tenant)
        return max(spec.weight, 1e-6) if spec else 1.0

    def wait_s(self, tenant: str, tokens: float) -> float:
        """Return the seconds until a tenant's bucket covers ``tokens``."""
        return self._bucket(tenant).wait_s(tokens, self._clock.seconds())

    def take(self, tenant: str, tokens: float) -> None:
        """Charge a tenant."""
        self._bucket(tenant).take(tokens, self._clock.seconds())
        self._used[tenant] = self._used.get(tenant, 0.0) + tokens

    def give_back(self, tenant: str, tokens: float) -> None:
        """Return tokens charged and not used."""
        if tokens <= 0.0:
            return
        self._bucket(tenant).give_back(tokens)
        self._used[tenant] = self._used.get(tenant, 0.0) - tokens

    def refused(self, tenant: str, tokens: float) -> None:
        """Count tokens of a refused request as demand."""
        self._refused[tenant] = self._refused.get(tenant, 0.0) + tokens

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
            bucket.set_share(rate, burst, now_s)
        return bucket

    def _share(self, tenant: str, now_s: float) -> tuple[float, float]:
        spec = self._spec(tenant)
        if spec is None:
            return 0.0, 0.0
        share = self._shares.get(tenant)
        if share is not None and now_s < self._valid_until_s:
            return share.tokens_per_second, share.burst_tokens
        fraction = self.fallback_fraction()
        return spec.tokens_per_second * fraction, spec.burst_tokens * fraction

    def fallback_fraction(self) -> float:
        """Return the part of a quota that is used without a valid share."""
        gateways = live_gateways(self._config.list_resources(Kind.GATEWAY), zone="")
        return self._settings.fallback_share_fraction / max(1, len(gateways))

    # --- reports to control -------------------------------------------------------------------

    def _schedule(self) -> None:
        if self._stopped:
            return
        delay_s = self._settings.quota_report_period_s * (0.9 + 0.2 * self._random.random())
        self._clock.callLater(delay_s, self._report)

    def _report(self) -> None:
        if self._stopped:
            return
        sent_s = self._clock.seconds()
        period_s = sent_s - self._last_report_s
        self._last_report_s = sent_s
        used, self._used = self._used, {}
        refused, self._refused = self._refused, {}
        demands = tuple(
            TenantDemand(tenant, used.get(tenant, 0.0), refused.get(tenant, 0.0))
            for tenant in sorted({**used, **refused})
        )
        report = QuotaReport(ROOT_GROUP, self._gateway, period_s, demands)
        done: Deferred[Result[object, Fault]] = self._control.call(
            report, self._settings.quota_report_period_s
        )
        done.addCallback(self._take_shares, sent_s)
        done.addBoth(lambda _: self._schedule())

    def _take_shares(self, reply: Result[object, Fault], sent_s: float) -> None:
        if reply.is_error() or not isinstance(reply.ok, QuotaShares):
            return
        self._shares = {share.tenant: share for share in reply.ok.shares}
        self._valid_until_s = sent_s + reply.ok.valid_s
