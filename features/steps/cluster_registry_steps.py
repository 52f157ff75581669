"""Steps on the registry of runners."""

import random
from dataclasses import replace

from behave import given, step, then
from features.support.relaying import runner_record

from rainsail.cluster.registry import RunnerRegistry

ORDERS_SEED = 11


@given("a registry of runners")
def make_registry(context):
    context.registry = RunnerRegistry()


@step('it hears of runner {number:d} "{state}" in word {sequence:d}')
def hear(context, number, state, sequence):
    context.registry.take((runner_record(number, state, sequence),))


@step("it hears of runner {number:d} at the address of runner {other:d}")
def hear_at(context, number, other):
    record = replace(runner_record(number), address=runner_record(other).address)
    context.registry.take((record,))


@step("runner {number:d} says that it is gone")
def says_gone(context, number):
    context.registry.take((context.registry.end(f"runner-{number}"),))


@then('runner {number:d} is "{state}"')
def is_known_as(context, number, state):
    record = context.registry.get(f"runner-{number}")
    assert record is not None and record.state.value == state, record


@given("the words of {count:d} runners in {orders:d} random orders")
def shuffle(context, count, orders):
    words = []
    for number in range(1, count + 1):
        words += [runner_record(number, "ready", sequence) for sequence in (1, 2, 3)]
        words.append(runner_record(number, "draining", 4))
    words.append(runner_record(1, "gone", 5))
    generator = random.Random(ORDERS_SEED)
    context.registries = []
    for _ in range(orders):
        generator.shuffle(words)
        registry = RunnerRegistry()
        for word in words:
            registry.take((word,))
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
