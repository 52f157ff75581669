"""Steps on the registry of runners."""

import random
from dataclasses import replace

from behave import given, step, then
from features.support.relaying import SERVICE, runner_record

from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.warm_up import WarmUpTerms
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import ZoneDrain

ORDERS_SEED = 11


@given("a registry of runners")
def make_registry(context):
    context.registry = RunnerRegistry()


@step('it hears of runner {number:d} "{state}" in report {sequence:d}')
def hear(context, number, state, sequence):
    context.registry.take((runner_record(number, state, sequence),))


@step("it hears of runner {number:d} at the address of runner {other:d}")
def hear_at(context, number, other):
    record = replace(runner_record(number), address=runner_record(other).address)
    context.registry.take((record,))


@step(
    "it hears again of runner {number:d} at the address of runner {other:d} in report {sequence:d}"
)
def hear_again_at(context, number, other, sequence):
    address = runner_record(other).address
    record = replace(runner_record(number), address=address, sequence=sequence)
    context.registry.take((record,))


@then("runner {number:d} takes work")
def takes_work(context, number):
    assert context.registry.is_ready(f"runner-{number}")


@then("runner {number:d} takes no work")
def takes_no_work(context, number):
    assert not context.registry.is_ready(f"runner-{number}")


@given("a registry of runners whose service warms up for {seconds:g} seconds")
def make_warming_registry(context, seconds):
    context.clock = VirtualClock()
    context.registry = RunnerRegistry(context.clock.seconds)
    context.registry.warm_ups.set_terms({SERVICE: WarmUpTerms(7.0, seconds)})


@step(
    "it hears of runner {number:d} in report {sequence:d} that it warms up for {seconds:g} seconds"
)
def hear_warming(context, number, sequence, seconds):
    record = replace(runner_record(number), sequence=sequence, warm_up_left_s=seconds)
    context.changed = context.registry.take((record,))


@then("the change has to be pushed to the nodes")
def is_pushed(context):
    assert context.changed


@then("nothing has to be pushed to the nodes")
def is_not_pushed(context):
    assert not context.changed


@step("{seconds:g} seconds of the registry pass")
def registry_time(context, seconds):
    context.clock.advance(seconds)


@step("the drain of zone {number:d} begins and ends")
def drain_and_end(context, number):
    zone = f"zone-{number}"
    for revision, draining in ((1, True), (2, False)):
        context.registry.take_zone_drains((ZoneDrain(zone, revision, draining),))


@step("it hears of order {revision:d} that {verb} the drain of zone {number:d}")
def hear_order(context, revision, verb, number):
    drain = ZoneDrain(f"zone-{number}", revision, verb == "begins")
    context.registry.take_zone_drains((drain,))


def _is_limited(context, number):
    record = context.registry.get(f"runner-{number}")
    return context.registry.warm_ups.is_limited(record)


@then("runner {number:d} may only get what is granted")
def is_limited(context, number):
    assert _is_limited(context, number)


@then("runner {number:d} needs no grant")
def is_not_limited(context, number):
    assert not _is_limited(context, number)


@step("runner {number:d} says that it is gone")
def says_gone(context, number):
    context.registry.take((context.registry.gone_record(f"runner-{number}"),))


@then('runner {number:d} is "{state}"')
def is_known_as(context, number, state):
    record = context.registry.get(f"runner-{number}")
    assert record is not None and record.state.value == state, record


@given("the reports of {count:d} runners in {orders:d} random orders")
def shuffle(context, count, orders):
    reports = []
    for number in range(1, count + 1):
        reports += [runner_record(number, "ready", sequence) for sequence in (1, 2, 3)]
        reports.append(runner_record(number, "draining", 4))
    reports.append(runner_record(1, "gone", 5))
    generator = random.Random(ORDERS_SEED)
    context.registries = []
    for _ in range(orders):
        generator.shuffle(reports)
        registry = RunnerRegistry()
        for report in reports:
            registry.take((report,))
        context.registries.append(registry)


@then("every order ends with the same registry")
def same(context):
    ends = {
        tuple(sorted((r.runner, r.state.value) for r in registry.records()))
        for registry in context.registries
    }
    assert len(ends) == 1, ends


@then("what changed since the first change is runner {number:d} alone")
def changed(context, number):
    records = context.registry.changed_since(1)
    assert [record.runner for record in records] == [f"runner-{number}"], records
