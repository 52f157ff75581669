"""Steps on batch item leases and quota shares."""

from random import Random

from behave import given, then, when

from rainsail.control.messages import QuotaReport, RenewItemLeases, TenantDemand
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import (
    ANY_REVISION,
    ROOT_GROUP,
    AddItems,
    CancelJob,
    ItemBody,
    JobSpec,
    LeaseItems,
    OpenJob,
    PutResource,
    SealJob,
)
from rainsail.tenancy.lender import QuotaLender, ShareTerms, minimum_share

RATE = 1000.0
RENEWAL_PERIOD_S = 2.5
SHARE_S = 4.0
MARGIN = 0.01
RESERVE = 0.2
SLOWEST_CLOCK = 0.992
TENANT = TenantSpec(RATE, 2000.0)


def propose(context, command):
    """Commit a command through a client; return its outcome."""
    answer = context.fleet.finish(context.user.propose(command, 9.0))
    assert answer.is_ok(), answer
    return answer.ok


@given("a sealed job of {count:d} items in the control fleet")
def step_job(context, count):
    context.user = context.fleet.client("user")
    items = tuple(ItemBody(f"i{n}", "prompt", 5) for n in range(count))
    propose(context, OpenJob("job-1", JobSpec("k", "north", "assistant", count, "d", 1e9)))
    propose(context, AddItems("job-1", 0, items))
    propose(context, SealJob("job-1"))
    tenant = PutResource("t", ResourceKey(Kind.TENANT, "north"), TENANT, ANY_REVISION)
    propose(context, tenant)


@when("holders {first} and {second} lease {count:d} items each from the control fleet")
def step_lease(context, first, second, count):
    context.leased = {}
    for holder in (first, second):
        leased = propose(context, LeaseItems(holder, "1", "assistant", count, 10_000))
        context.leased[holder] = tuple(item.ref for item in leased.items)
        assert len(leased.items) == count


def renew(context, holder, refs):
    """Renew a holder's leases; return the reply."""
    request = RenewItemLeases(ROOT_GROUP, holder, refs)
    return context.fleet.finish(context.user.call(request, 9.0)).ok


@when("only {holder} renews its item leases for {seconds:g} seconds")
def step_renews(context, holder, seconds):
    for _ in range(int(seconds / RENEWAL_PERIOD_S)):
        assert renew(context, holder, context.leased[holder]).stop == ()
        context.fleet.clock.advance(RENEWAL_PERIOD_S)


@when("{holder} renews for {seconds:g} seconds without naming its items")
def step_renews_unknowing(context, holder, seconds):
    for _ in range(int(seconds / RENEWAL_PERIOD_S)):
        assert context.fleet.leader.state.held_by(holder)
        renew(context, holder, ())
        context.fleet.clock.advance(RENEWAL_PERIOD_S)


@then("the control fleet has revoked the items of {lost} but not those of {kept}")
def step_revoked(context, lost, kept):
    assert context.fleet.leader.state.holders() == [kept]


@then("the control fleet has revoked the items of h1 and h2")
def step_all_revoked(context):
    assert context.fleet.leader.state.holders() == []


@then("the control fleet has revoked no items")
def step_none_revoked(context):
    assert context.fleet.leader.state.holders() == ["h1", "h2"]


@then("the control fleet has given back the items of {holder}")
def step_given_back(context, holder):
    assert context.fleet.leader.state.held_by(holder) == []


@when("the control fleet's job is cancelled")
def step_cancel(context):
    propose(context, CancelJob("job-1", "cancel"))


@then("holder {holder} is ordered by the control fleet to stop all its items")
def step_stop(context, holder):
    assert renew(context, holder, context.leased[holder]).stop == context.leased[holder]


@given('the control fleet has the quota defect "lend-at-once"')
def step_quota_defect(context):
    original = QuotaLender.begin

    def begin(self, now_s):
        original(self, now_s)
        self._lends_from_s = now_s

    QuotaLender.begin = begin
    context.add_cleanup(setattr, QuotaLender, "begin", original)


class ShareHolder:
    """A gateway that counts its share's validity on its own clock from when it sent its report."""

    def __init__(self, rate):
        self.rate = rate
        self.held = (0.0, 0.0)

    def share(self, now_s, gateways):
        """Return the token rate that the gateway may use now."""
        rate, until_s = self.held
        lent = rate if now_s * self.rate < until_s else 0.0
        return lent + minimum_share(RATE, gateways, RESERVE)


def highest_sum(seed):
    """Return the highest sum of shares over one random run of reports and leader changes."""
    draw = Random(seed)
    names = [f"g{n}" for n in range(draw.randint(2, 6))]
    holders = {name: ShareHolder(draw.uniform(SLOWEST_CLOCK, 1.0)) for name in names}
    lender = QuotaLender(ShareTerms(SHARE_S, MARGIN, RESERVE))
    now_s = 0.0
    lender.begin(now_s)
    highest = 0.0
    for _ in range(200):
        now_s += draw.expovariate(2.0)
        if draw.random() < 0.02:
            lender = QuotaLender(ShareTerms(SHARE_S, MARGIN, RESERVE))
            lender.begin(now_s)
        name = draw.choice(names)
        sent_s = now_s * holders[name].rate
        now_s += draw.expovariate(10.0)
        demand = TenantDemand("north", draw.choice([0.0, 50.0, 900.0]), 0.0)
        report = QuotaReport(ROOT_GROUP, name, 1.0, (demand,))
        shares = lender.lend(report, {"north": TENANT}, now_s)
        if shares.shares and draw.random() < 0.7:
            holders[name].held = (shares.shares[0].tokens_per_second, sent_s + shares.valid_s)
        highest = max(highest, sum(h.share(now_s, len(names)) for h in holders.values()))
    return highest


@then(
    "over many control reports, lost replies and leader changes no sum of shares exceeds the rate"
)
def step_quota_sums(context):
    sums = [highest_sum(seed) for seed in range(60)]
    assert max(sums) <= RATE * (1 + 1e-9), max(sums)
    assert max(sums) > 0.7 * RATE, "the run granted too little for the check to mean anything"


@then("the check of control quota sums fails")
def step_quota_check_fails(context):
    assert max(highest_sum(seed) for seed in range(60)) > RATE * (1 + 1e-9)


def report_quota(context, gateway, tokens):
    """Report a demand over one second; return the shares."""
    report = QuotaReport(ROOT_GROUP, gateway, 1.0, (TenantDemand("north", tokens, 0.0),))
    return context.fleet.finish(context.user.call(report, 9.0)).ok


@when(
    "gateway {a} reports {tokens:g} tokens a second to the control fleet and gateway {b} {other:g}"
)
def step_report(context, a, tokens, b, other):
    for _ in range(12):
        shares = [report_quota(context, a, tokens), report_quota(context, b, other)]
        context.rates = [each.shares[0].tokens_per_second for each in shares]
        context.fleet.clock.advance(1.0)


@then("the control fleet grants a about 3 times the share of b, in sum the grantable rate")
def step_shares(context):
    a, b = context.rates
    assert 2.9 < a / b < 3.1, (a, b)
    assert abs(a + b - RATE * (1 - RESERVE)) < 1e-6


@then("the control fleet grants nothing for a whole share period, and then grants shares")
def step_lends_later(context):
    for _ in range(int(SHARE_S)):
        assert report_quota(context, "a", 100.0).shares == ()
        context.fleet.clock.advance(1.0)
    context.fleet.clock.advance(SHARE_S * MARGIN)
    assert report_quota(context, "a", 100.0).shares[0].tokens_per_second > 0
