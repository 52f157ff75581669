"""Steps on a gateway's view of its runners: draining, false reports, ejection, caches, owners."""

from dataclasses import replace
from random import Random

from behave import given, then, when
from features.support.gateway import SERVICE, GatewayFleet

from rainsail.control.controllers.conditions import DRAINING
from rainsail.engine.interface import CacheEvent, CacheEventKind
from rainsail.gateway.cache_view import CacheView
from rainsail.resources.specs import Condition, Kind, ResourceKey
from rainsail.state.commands import PutStatus

COMMON_BEGINNING_CHARACTERS = 2400


@given("a gateway fleet of {runners:d} runners in {zones:d} zones and {gateways:d} gateways")
def make_zoned_fleet(context, runners, zones, gateways):
    context.fleet = GatewayFleet(runners, gateways, zones=zones)


def _change_spec(fleet, runner, **changes):
    resource = fleet.state.get(ResourceKey(Kind.RUNNER, runner))
    fleet.put(Kind.RUNNER, runner, replace(resource.spec, **changes))


@when('"{runner}" of the gateway fleet leaves by its resource')
def leave_by_resource(context, runner):
    context.left_s = context.fleet.clock.seconds()
    _change_spec(context.fleet, runner, drain=True)


@when('"{runner}" of the gateway fleet leaves by its engine')
def leave_by_engine(context, runner):
    context.left_s = context.fleet.clock.seconds()
    context.fleet.engines[runner].draining = True
    context.fleet.engines[runner]._refusal = lambda request, sequence: ""


@when('"{runner}" of the gateway fleet leaves by the machine list')
def leave_by_list(context, runner):
    fleet = context.fleet
    context.left_s = fleet.clock.seconds()
    resource = fleet.state.get(ResourceKey(Kind.RUNNER, runner))
    mark = Condition(DRAINING, True, "its machine is leaving", resource.generation)
    fleet.control.apply(PutStatus(resource.key, resource.status, (mark,)))
    fleet.publish()


@when('"{runner}" of the gateway fleet leaves by silence')
def leave_by_silence(context, runner):
    context.left_s = context.fleet.clock.seconds()
    engine = context.fleet.engines[runner]
    engine._publisher.close()
    engine.subscribe = lambda on_load, on_cache: lambda: None


@when('"{runner}" of the gateway fleet is no longer drained by its resource')
def wanted_again(context, runner):
    _change_spec(context.fleet, runner, drain=False)


@when('the draining mark of "{runner}" of the gateway fleet is removed')
def take_mark_back(context, runner):
    fleet = context.fleet
    resource = fleet.state.get(ResourceKey(Kind.RUNNER, runner))
    mark = Condition(DRAINING, False, "takes work again", resource.generation)
    fleet.control.apply(PutStatus(resource.key, resource.status, (mark,)))
    fleet.publish()


@then(
    '"{runner}" of the gateway fleet started no request later than {seconds:g} seconds '
    "after it had left"
)
def began_nothing(context, runner, seconds):
    limit_s = context.left_s + seconds
    late = [
        record.started_s
        for record in context.fleet.engines[runner].executions
        if record.started_s > limit_s
    ]
    assert not late, f"{len(late)} runs began after {limit_s}: {late[:3]}"


@given('"{runner}" of the gateway fleet reports no load')
def report_nothing(context, runner):
    _report_running(context.fleet.engines[runner], 0)


@given('"{runner}" of the gateway fleet reports {count:d} running requests')
def report_many(context, runner, count):
    _report_running(context.fleet.engines[runner], count)


def _report_running(engine, count):
    measure = engine._publisher._measure
    engine._publisher._measure = lambda: replace(measure(), running=count, waiting=0, running_low=0)


@then('"{runner}" of the gateway fleet ran between {low:d} and {high:d} percent of the requests')
def share_of_runs(context, runner, low, high):
    runs = len(context.fleet.engines[runner].executions)
    share = 100.0 * runs / len(context.fleet.callers)
    assert low <= share <= high, f"{share:.0f} percent"


@given("every stream from {count:d} runners of the gateway fleet breaks at its start")
def break_at_start(context, count):
    network = context.fleet.network
    broken = sorted(context.fleet.engines)[:count]

    def break_stream(gateway, runner, chunk):
        if runner in broken:
            network.clock.callLater(0.0, network.break_streams, gateway, runner)
            return ()
        return (0.0,)

    network.faults.chunk = break_stream


@then("between {low:d} and {high:d} runners of the gateway fleet are ejected")
def count_ejected(context, low, high):
    now_s = context.fleet.clock.seconds()
    states = context.fleet.gateways[0].fleet.runners_of(SERVICE)
    out = [state.name for state in states if state.ejection.is_ejected(now_s)]
    assert low <= len(out) <= high, out
    assert context.fleet.gateways[0].fleet.runners_out() == len(out)


@when("{count:d} gateway callers with {kinds:d} long common prefixes ask, {gap_ms:d} ms apart")
def ask_common(context, count, kinds, gap_ms):
    random = Random(5)
    for index in range(count):
        kind = random.randrange(kinds)
        beginning = f"voyage {kind} " * (COMMON_BEGINNING_CHARACTERS // 9)
        context.fleet.ask(f"common-{index}", prompt=f"{beginning} question {index}", tokens=20)
        context.fleet.run(gap_ms / 1000.0)


@then("at least {percent:d} percent of the later gateway requests ran where cached")
def ran_where_cached(context, percent):
    callers = context.fleet.callers
    later = callers[len(callers) // 2 :]
    core = context.fleet.gateways[0].core
    hits = 0
    for caller in later:
        decision = core.explain(caller.request.request_id)[0]
        chosen = next(each for each in decision.candidates if each.runner == decision.runner)
        hits += chosen.matched_tokens > 0
    assert hits * 100 >= percent * len(later), f"{hits} of {len(later)}"


def _zones(fleet):
    zones = {}
    for runner, engine in fleet.engines.items():
        zone = fleet.state.get(ResourceKey(Kind.RUNNER, runner)).spec.zone
        zones[zone] = zones.get(zone, 0) + len(engine.executions)
    return zones


@then('all requests of the gateway fleet ran in zone "{zone}"')
def all_in_zone(context, zone):
    ran = {name: count for name, count in _zones(context.fleet).items() if count}
    assert list(ran) == [zone], ran


@then('some requests of the gateway fleet ran in zone "{zone}"')
def some_in_zone(context, zone):
    assert _zones(context.fleet)[zone] > 0, _zones(context.fleet)


def _owners(fleet):
    owners = {name: [] for name in fleet.engines}
    for gateway in fleet.gateways:
        for state in gateway.fleet.owned_runners():
            owners[state.name].append(gateway.name)
    return owners


@then("each runner of the gateway fleet has exactly 1 owner")
def one_owner(context):
    owners = _owners(context.fleet)
    assert all(len(names) == 1 for names in owners.values()), owners
    context.owners_before = getattr(context, "owners_now", owners)
    context.owners_now = owners


@then("each runner of the gateway fleet is owned in its own zone")
def owned_in_zone(context):
    for runner, names in _owners(context.fleet).items():
        zone = context.fleet.state.get(ResourceKey(Kind.RUNNER, runner)).spec.zone
        owner_zone = context.fleet.state.get(ResourceKey(Kind.GATEWAY, names[0])).spec.zone
        assert owner_zone == zone, (runner, names)


@when("gateway {index:d} of the gateway fleet is drained by its resource")
def drain_gateway(context, index):
    name = f"gateway-{index}"
    resource = context.fleet.state.get(ResourceKey(Kind.GATEWAY, name))
    context.fleet.put(Kind.GATEWAY, name, replace(resource.spec, drain=True))


@then("the runners that gateways 0 and 1 owned are still theirs")
def still_owned(context):
    for runner, names in context.owners_before.items():
        if names != ["gateway-2"]:
            assert context.owners_now[runner] == names, (runner, names)
        else:
            assert context.owners_now[runner] != names, (runner, names)


@then(
    "the decision of gateway caller {index:d} names {count:d} candidates and the runner that ran it"
)
def explain(context, index, count):
    request_id = context.fleet.callers[index].request.request_id
    decisions = context.fleet.gateways[0].core.explain(request_id)
    assert len(decisions) == 1
    assert len(decisions[0].candidates) == count, decisions
    assert decisions[0].runner == context.fleet.runner_of(request_id)
    assert any(each.runner == decisions[0].runner for each in decisions[0].candidates)


@given("a gateway cache view with blocks 1 to 8 listed")
def make_view(context):
    context.view = CacheView(100)
    _list_blocks(context.view, 0)
    assert not context.view.stale


def _list_blocks(view, sequence):
    view.apply(CacheEvent("r", "1", sequence, CacheEventKind.CLEARED, ()))
    view.apply(CacheEvent("r", "1", sequence + 1, CacheEventKind.STORED, tuple(range(1, 9))))


@when("the gateway cache view takes event {later:d} after event {earlier:d}")
def take_events(context, later, earlier):
    for sequence in (earlier, later):
        context.view.apply(CacheEvent("r", "1", sequence, CacheEventKind.EVICTED, (8,)))


@then("the gateway cache view is stale")
def is_stale(context):
    assert context.view.stale
    assert context.view.matched_blocks(tuple(range(1, 9))) == 7


@when("the gateway cache view takes a full listing")
def take_listing(context):
    _list_blocks(context.view, 6)


@then("the gateway cache view is complete")
def is_complete(context):
    assert not context.view.stale
    assert context.view.matched_blocks(tuple(range(1, 10))) == 8


@when("gateway {index:d} of the gateway fleet is paused for {seconds:g} seconds, its reports lost")
def pause_gateway(context, index, seconds):
    clock = context.fleet.gateways[index].clock
    publishers = [engine._publisher for engine in context.fleet.engines.values()]
    clock.freeze()
    for publisher in publishers:
        publisher._deliver_report = lambda report, subscribers: None
    context.fleet.run(seconds)
    for publisher in publishers:
        del publisher._deliver_report
    clock.thaw()
