"""Steps for the lent shares of one tenant's rate."""

import random
from unittest import mock

from behave import given, then, when

from rainsail.control.messages import QuotaReport, TenantDemand
from rainsail.resources.specs import TenantSpec
from rainsail.tenancy.lender import QuotaLender, ShareTerms
from rainsail.tenancy.lent_shares import GatewayShare, Grant, TenantShares

SHARE_S = 4.0
LENDABLE = 800.0
TENANT = "north"
CLOSE = 1e-6


class CheckedShares:
    """A tenant's lent shares, checked against a model that recomputes its sums at every step."""

    def __init__(self) -> None:
        self.lent = TenantShares()
        self.shares: dict[str, GatewayShare] = {}
        self.now_s = 0.0
        self.errors: list[float] = []
        self.max_lent = 0.0

    def report(self, gateway: str, demand: float) -> None:
        """Report a gateway's demand and grant it its fair part of the free rate."""
        self.lent.drop_expired(self.now_s)
        for name in list(self.shares):
            self.shares[name].drop_expired(self.now_s)
            if not self.shares[name].grants:
                del self.shares[name]
        self.lent.note_demand(gateway, demand)
        share = self.shares.setdefault(gateway, GatewayShare([], 0.0))
        share.demand = demand
        others = [each for name, each in self.shares.items() if name != gateway]
        hold = sum(each.outstanding() for each in others)
        wanted = sum(each.demand for each in others)
        self.errors.append(abs(self.lent.others_hold(gateway) - hold))
        self.errors.append(abs(self.lent.others_demand(gateway) - wanted))
        fair = LENDABLE * demand / (demand + wanted) if demand + wanted else 0.0
        free = LENDABLE - self.lent.others_hold(gateway)
        grant = Grant(max(0.0, min(fair, free)), self.now_s + SHARE_S)
        self.lent.add(gateway, grant)
        share.add(grant)
        lent = sum(each.outstanding() for each in self.shares.values())
        self.max_lent = max(self.max_lent, lent)


@given(
    "the lent shares of {gateways:d} gateways under {reports:d} random reports with lost replies"
)
def make_shares(context, gateways, reports):
    draw = random.Random(7)
    context.checked = CheckedShares()
    for _ in range(reports):
        context.checked.now_s += draw.expovariate(20.0)
        demand = draw.choice((0.0, 1.0, 10.0, 1000.0)) * draw.random()
        context.checked.report(f"gateway-{draw.randrange(gateways)}", demand)


@then("at every step the sums of the lent shares equalled recomputed sums")
def sums_agree(context):
    assert len(context.checked.errors) == 6000
    assert max(context.checked.errors) < CLOSE, max(context.checked.errors)


@then("the lent shares never exceeded the lendable rate")
def never_beyond(context):
    assert 0.9 * LENDABLE < context.checked.max_lent <= LENDABLE + CLOSE


@when("all grants of the lent shares have expired")
def run_out(context):
    context.checked.lent.drop_expired(context.checked.now_s + SHARE_S)


@then("the lent shares are empty and their sums are 0")
def shares_empty(context):
    lent = context.checked.lent
    assert lent.demand_of("gateway-1") is None
    lent.note_demand("gateway-1", 0.0)
    assert lent.others_hold("gateway-1") < CLOSE
    assert lent.others_demand("gateway-1") < CLOSE


def _reads_per_lend(gateways: int) -> float:
    lender = QuotaLender(ShareTerms(SHARE_S, 0.01, 0.2))
    lender.begin(-100.0)
    limits = {TENANT: TenantSpec(1000.0, 1000.0)}
    demands = (TenantDemand(TENANT, 5.0, 0.0),)
    reads = 0
    plain = GatewayShare.outstanding

    def counted(share):
        nonlocal reads
        reads += 1
        return plain(share)

    with mock.patch.object(GatewayShare, "outstanding", counted):
        for second in range(8):
            for number in range(gateways):
                report = QuotaReport(0, f"gateway-{number}", 1.0, demands)
                lender.lend(report, limits, second + number / gateways)
    return reads / (8 * gateways)


@when("20 and 400 gateways report demand of one tenant to the quota lender for 8 seconds")
def report_demand(context):
    context.reads = (_reads_per_lend(20), _reads_per_lend(400))


@then("a lend reads no more shares among 400 gateways than among 20")
def reads_alike(context):
    few, many = context.reads
    assert 0 < many <= few + 1.0, context.reads
