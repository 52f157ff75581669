"""Steps on admission control: quotas, floods, fairness, queue limits."""

from behave import given, then, when
from features.support.gateway import COARSE_TOKENS_PER_CHUNK, GatewayFleet

from rainsail.benchmarks import gateway_fairness
from rainsail.emulator.settings import EngineSettings
from rainsail.engine.prefix import count_tokens
from rainsail.errors import Outcome
from rainsail.resources.specs import Kind, RequestClass, TenantSpec

WIDE = 1e9
TRAFFIC_S = 10
SLOTS = 8


def coarse_fleet(runners, gateways):
    """Return a fleet whose engines join tokens into larger chunks."""
    settings = EngineSettings.language_model(
        max_running=2 * SLOTS, tokens_per_chunk=COARSE_TOKENS_PER_CHUNK
    )
    return GatewayFleet(runners, gateways, SLOTS, engine_settings=settings)


@given("a busy gateway fleet of {runners:d} runner and {gateways:d} gateway")
@given("a busy gateway fleet of {runners:d} runners and {gateways:d} gateway")
@given("a busy gateway fleet of {runners:d} runners and {gateways:d} gateways")
def make_busy_fleet(context, runners, gateways):
    context.fleet = coarse_fleet(runners, gateways)


@given('gateway tenant "{tenant}" has a quota of {rate:d} tokens per second')
def set_quota(context, tenant, rate):
    context.fleet.put(Kind.TENANT, tenant, TenantSpec(rate, rate))
    context.quota = (tenant, rate)
    context.fleet.run(1.0)


@given('gateway tenants "{heavy}" of weight {more:d} and "{light}" of weight {less:d}')
def set_weights(context, heavy, more, light, less):
    context.fleet.put(Kind.TENANT, heavy, TenantSpec(WIDE, WIDE, more))
    context.fleet.put(Kind.TENANT, light, TenantSpec(WIDE, WIDE, less))
    context.fleet.run(2.0)


@given("control has been unreachable from the gateways for {seconds:d} seconds")
def control_unreachable(context, seconds):
    context.fleet.control.unreachable = True
    context.fleet.run(seconds)


def send_steadily(fleet, rates, seconds, gateways=(0,)):
    """Send each tenant's requests at its rate, evenly spaced, to each of the gateways."""
    due = []
    for tenant, rate in rates.items():
        for index in range(int(rate * seconds)):
            due.append((index / rate, tenant, index))
    start_s = fleet.clock.seconds()
    for moment_s, tenant, index in sorted(due):
        wait_s = start_s + moment_s - fleet.clock.seconds()
        if wait_s > 0:
            fleet.run(wait_s)
        for gateway in gateways:
            fleet.ask(f"{tenant}-{gateway}-{index}", gateway, tenant=tenant)


def percentile_99(fleet, tenant):
    """Return the 99th percentile of a tenant's times to the complete answer, in seconds."""
    own = [each for each in fleet.callers if each.request.tenant == tenant]
    assert all(each.answers for each in own), [each.faults for each in own if each.faults][:3]
    times = sorted(each.took_s for each in own)
    return times[int(len(times) * 0.99)]


@when('"{calm}" sends {rate:d} and "{other}" {other_rate:d} requests per second to the gateway')
def calm_traffic(context, calm, rate, other, other_rate):
    context.calm = (calm, rate, other)
    send_steadily(context.fleet, {calm: rate, other: other_rate}, TRAFFIC_S)
    context.fleet.run(5)
    context.percentile_before = percentile_99(context.fleet, calm)


@when('the same gateway traffic runs with "{other}" sending {flood:d} requests per second')
def flood_traffic(context, other, flood):
    calm, rate, _ = context.calm
    tenant, quota = context.quota
    context.fleet = coarse_fleet(3, 1)
    set_quota(context, tenant, quota)
    send_steadily(context.fleet, {calm: rate, other: flood}, TRAFFIC_S)
    context.fleet.run(5)


@then('the 99th percentile of "{tenant}" rose by at most {percent:d} percent')
def moved_by(context, tenant, percent):
    after = percentile_99(context.fleet, tenant)
    ratio = after / context.percentile_before
    assert ratio <= 1.0 + percent / 100.0, f"{context.percentile_before:.3f} to {after:.3f} s"


@when("{count:d} batch requests are sent to the gateway")
def send_batch(context, count):
    for index in range(count):
        context.fleet.ask(f"batch-{index}", class_=RequestClass.BATCH, tokens=200)


@when('"{tenant}" sends {rate:d} requests per second to each gateway for {seconds:d} seconds')
def send_to_each(context, tenant, rate, seconds):
    gateways = range(len(context.fleet.gateways))
    send_steadily(context.fleet, {tenant: rate}, seconds, gateways)
    context.fleet.run(3)


@when('"{tenant}" sends {rate:d} requests per second to gateway 0 for {seconds:d} seconds')
def send_to_first(context, tenant, rate, seconds):
    send_steadily(context.fleet, {tenant: rate}, seconds)
    context.fleet.run(3)


@when(
    '"{one}" and "{other}" each send {rate:d} gateway requests per second for {seconds:d} seconds'
)
def send_both(context, one, other, rate, seconds):
    send_steadily(context.fleet, {one: rate, other: rate}, seconds)
    context.fleet.run(3)


@then("the last {count:d} gateway callers had their first part within {seconds:g} seconds")
def first_parts(context, count, seconds):
    for caller in context.fleet.callers[-count:]:
        assert caller.first_part_s is not None, caller.faults
        assert caller.first_part_s - caller.sent_s <= seconds, caller.first_part_s - caller.sent_s


def _refused(fleet):
    return [each for each in fleet.callers if each.faults]


@then("some gateway callers were refused")
def some_refused(context):
    assert 0 < len(_refused(context.fleet)) < len(context.fleet.callers)


@then("every refused gateway caller was answered at once, with a retry-after time")
def refused_at_once(context):
    refused = _refused(context.fleet)
    assert refused
    for caller in refused:
        assert caller.faults[0].outcome == Outcome.NOT_RUN, caller.faults
        assert caller.faults[0].retry_after_s, caller.faults
    late = [caller.took_s for caller in refused if caller.took_s > 0.0]
    assert len(late) * 20 <= len(refused), f"{len(late)} of {len(refused)} waited: {late[:5]}"


@then("no refused gateway request was run")
def refused_not_run(context):
    for caller in _refused(context.fleet):
        runs = context.fleet.runs_of(caller.request.request_id)
        assert runs == 0, f"{caller.request.request_id} was run {runs} times"


@then("every other gateway caller has its complete answer")
def others_complete(context):
    for caller in context.fleet.callers:
        assert caller.faults or caller.is_complete(), caller.request.request_id


@then("every gateway caller was granted or refused within {seconds:g} seconds")
def bounded_wait(context, seconds):
    for caller in context.fleet.callers:
        if caller.faults:
            assert caller.took_s <= seconds + 0.001, caller.took_s
        else:
            assert caller.first_part_s is not None
            assert caller.first_part_s - caller.sent_s <= seconds + 0.5


@then('the last gateway caller got the outcome "{outcome}" at once')
def last_outcome(context, outcome):
    caller = context.fleet.callers[-1]
    assert [fault.outcome.value for fault in caller.faults] == [outcome], caller.faults
    assert caller.took_s == 0.0, caller.took_s


@then('"{tenant}" was granted between {low:d} and {high:d} tokens by both gateways together')
def granted_tokens(context, tenant, low, high):
    granted = 0
    for caller in context.fleet.callers:
        if caller.request.tenant == tenant and caller.answers:
            granted += count_tokens(caller.request.prompt) + caller.request.max_tokens
    assert low <= granted <= high, granted


@then('"{one}" was served between {low:g} and {high:g} times as often as "{other}"')
def served_ratio(context, one, low, high, other):
    served = {one: 0, other: 0}
    for caller in context.fleet.callers:
        if caller.answers:
            served[caller.request.tenant] += 1
    ratio = served[one] / served[other]
    assert low <= ratio <= high, served


@when('the gateway bench measures the flood "{name}" from one seed')
def measure_flood(context, name):
    flood = next(each for each in gateway_fairness.FLOODS if each.name == name)
    context.flood = gateway_fairness.measure_flood(flood, seeds=1)


@then(
    "the tail latency of the calm tenant rose by at most {percent:d} percent "
    "and none of its requests was refused"
)
def tail_unaffected(context, percent):
    assert context.flood.p99_ratio <= 1.0 + percent / 100.0, context.flood
    assert context.flood.calm_refused == 0, context.flood


@then("the bench found no refused request that had run")
def refused_did_not_run(context):
    assert context.flood.flood_refused > 0, context.flood
    assert context.flood.refused_though_run == 0, context.flood
