"""Steps on placement and roll-out."""

from behave import given, then, when
from features.support.controllers import Engine, Fleet

from rainsail.errors import Fault
from rainsail.resources.specs import Kind, ServiceSpec
from rainsail.state.commands import PutStatus

SERVICE = "reports"


@given("a placement with {count:d} runners of service reports wanting version {version}")
def step_placement(context, count, version):
    context.fleet = Fleet()
    context.fleet.declare_runners(SERVICE, count)
    context.fleet.declare_service(SERVICE, version, count)


@given(
    "a placement with {count:d} runners of service reports"
    " of which {wanted:d} are wanted at version {version}"
)
def step_placement_of_some(context, count, wanted, version):
    context.fleet = Fleet()
    context.fleet.declare_runners(SERVICE, count)
    context.fleet.declare_service(SERVICE, version, wanted)


@given("a placement whose {count:d} runners answer with {version}")
def step_running_placement(context, count, version):
    step_placement(context, count, version)
    context.fleet.clock.advance(100.0)
    assert context.fleet.versions(SERVICE) == [version] * count
    context.fleet.fewest_answering.clear()
    context.fleet.most_loads = 0
    context.wanted = count


@given("the placement's weight store takes {seconds:d} seconds for a load")
def step_starve(context, seconds):
    context.fleet.load_s = float(seconds)


@given("version {version} never becomes ready for the placement")
def step_bad_version(context, version):
    context.fleet.bad_versions = (version,)


@given("{count:d} broken runners are declared to the placement")
def step_broken(context, count):
    fleet = context.fleet
    for number in range(count):
        name = f"{SERVICE}-broken-{number}"
        fleet.engines[name] = BrokenEngine()
        fleet.declare_runner(SERVICE, name)
    context.wanted += count
    fleet.declare_service(SERVICE, "v1", context.wanted)


class BrokenEngine(Engine):
    """An engine that takes orders and never becomes ready."""

    def __setattr__(self, name, value):
        object.__setattr__(self, name, "" if name == "version" else value)


@given("another writer gets ahead of the placement's next {count:d} commands")
def step_races(context, count):
    fleet = context.fleet
    context.refused = []
    left = [count]

    def before_apply(command):
        is_order = isinstance(command, PutStatus) and command.key.kind is Kind.RUNNER
        if not is_order or not left[0]:
            return
        left[0] -= 1
        runner = fleet.resource(Kind.RUNNER, command.key.name)
        spec = runner.spec
        fleet.declare_runner(spec.service, command.key.name, drain=spec.drain)
        context.refused.append(command.expected_revision)

    fleet.group.before_apply = before_apply


@given("the placement's service names a version that is not declared")
def step_undeclared(context):
    fleet = context.fleet
    fleet.put(Kind.SERVICE, SERVICE, ServiceSpec("missing", 2))


@when("{seconds:d} seconds pass for the placement")
def step_pass(context, seconds):
    context.fleet.clock.advance(float(seconds))


@when("the placement's service moves to version {version}")
def step_move(context, version):
    fleet = context.fleet
    wanted = fleet.resource(Kind.SERVICE, SERVICE).spec.runners
    fleet.declare_service(SERVICE, version, wanted)


@when("one more runner is declared to the placement")
def step_one_more(context):
    context.fleet.declare_runner(SERVICE, f"{SERVICE}-new")


@when("a second service with {count:d} runners is declared to the placement")
def step_second(context, count):
    context.fleet.declare_runners("positions", count)
    context.fleet.declare_service("positions", "p1", count)


@when("adapter {name} is declared to the placement")
def step_adapter(context, name):
    context.fleet.declare_adapter(SERVICE, name)


@when("the placement's replica loses the leadership")
def step_lose(context):
    context.fleet.group.lead(False)


@when("the placement's replica wins the leadership")
def step_win(context):
    context.fleet.group.lead(True)


@then("every runner of the placement answers with {version}")
def step_all_answer(context, version):
    versions = context.fleet.versions(SERVICE)
    assert set(versions) == {version}, versions


@then("{count:d} runners of the placement answer with {version}")
def step_some_answer(context, count, version):
    versions = context.fleet.versions(SERVICE)
    assert versions.count(version) == count, versions


@then("every runner of the placement's second service answers")
def step_second_answers(context):
    assert context.fleet.versions("positions") == ["p1"] * 3, context.fleet.versions("positions")


@then("the placement never had more than {count:d} loads under way")
def step_most_loads(context, count):
    assert 0 < context.fleet.most_loads <= count, context.fleet.most_loads


@then("at least {count:d} runners of the placement answered at every moment")
def step_fewest(context, count):
    assert context.fleet.fewest_answering[SERVICE] >= count, context.fleet.fewest_answering


@then("the placement reports service reports as ready at its generation")
def step_ready(context):
    service = context.fleet.resource(Kind.SERVICE, SERVICE)
    conditions = context.fleet.conditions(Kind.SERVICE, SERVICE)
    assert conditions["Ready"] == (True, service.generation), conditions
    assert service.status.ready_runners == 6, service.status
    assert service.status.ready_version == "v1", service.status


@then("the placement reports service reports as not ready")
def step_not_ready(context):
    assert context.fleet.conditions(Kind.SERVICE, SERVICE)["Ready"][0] is False


@then("the placement reports a roll-out of the service's generation")
def step_rolling(context):
    service = context.fleet.resource(Kind.SERVICE, SERVICE)
    conditions = context.fleet.conditions(Kind.SERVICE, SERVICE)
    assert conditions["RollingOut"] == (True, service.generation), conditions
    assert service.status.ready_version == "v1", service.status


@then("the placement reports no roll-out any more")
def step_rolled(context):
    service = context.fleet.resource(Kind.SERVICE, SERVICE)
    conditions = context.fleet.conditions(Kind.SERVICE, SERVICE)
    assert conditions["RollingOut"] == (False, service.generation), conditions
    assert service.status.ready_version == "v2", service.status


@then("the placement loads the new runner and leaves the old one")
def step_free_first(context):
    assert context.fleet.status(f"{SERVICE}-new").loading_version == "v2"
    assert context.fleet.engines[f"{SERVICE}-0"].version == "v1"


@then("some but not all runners of the placement answer with {version}")
def step_midway(context, version):
    assert 0 < context.fleet.versions(SERVICE).count(version) < 6, context.fleet.versions(SERVICE)


@then("no runner of the placement is loading {version}")
def step_turned(context, version):
    loading = [engine.loading for engine in context.fleet.engines.values()]
    assert version not in loading, loading


@then("the placement was refused {count:d} times")
def step_refused(context, count):
    assert len(context.refused) == count, context.refused
    proposed = context.fleet.group.proposed
    refused = [each for each in proposed if _was_refused(each, context.refused)]
    assert len(refused) == count, refused


def _was_refused(command, revisions):
    is_order = isinstance(command, PutStatus) and command.key.kind is Kind.RUNNER
    return is_order and command.expected_revision in revisions


@then("no runner of the placement was ordered to load anything")
def step_no_orders(context):
    fences = [context.fleet.status(name).fence for name in context.fleet.engines]
    assert fences == [0, 0], fences
    assert not any(isinstance(each, Fault) for each in fences)


@then("{count:d} runners of the placement are ordered to have the adapter")
def step_adapters(context, count):
    adapters = [context.fleet.status(name).adapters for name in context.fleet.engines]
    assert adapters.count(("customs",)) == count, adapters
