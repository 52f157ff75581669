"""Steps on the loopback networks that tests take for their platforms."""

from behave import given, then, when
from features.support.loopback import LoopbackNetwork


def _take(context):
    network = LoopbackNetwork()
    context.add_cleanup(network.close)
    return network


@given("two loopback networks taken by one process")
def take_two(context):
    context.networks = [_take(context), _take(context)]


@then("they are different networks")
def are_different(context):
    first, second = context.networks
    assert first.octet != second.octet, first.octet


@when("the first of them is given back")
def give_back(context):
    context.networks[0].close()


@then("the next one taken is that one")
def take_next(context):
    assert _take(context).octet == context.networks[0].octet
