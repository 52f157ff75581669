"""Steps on draining zones and on stale incarnations, in a relayed fleet in virtual time."""

import random
from dataclasses import replace

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import runner_record

from rainsail.cluster.messages import OrderZoneDrain
from rainsail.errors import FaultCode

SEED = 23
HEARTBEAT_S = 1.2
RUNNERS = {"zone-0": 4, "zone-1": 5}
"""The number of the runner in each zone."""
ORDER_TRIES_S = 10.0


@given("a relayed fleet of 2 zones with runners")
def make_zoned_fleet(context):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    fleet.run_for(1.5)
    for zone, number in RUNNERS.items():
        _say(context, f"controller-{number % 3 + 1}", runner_record(number, zone=zone))
    fleet.run_for(1.5)


def _say(context, name, record):
    done = context.fleet.controller(name).reports.take(record)
    return context.fleet.result_of(done, "an answer to the runner")


def _order(context, name, zone, draining):
    return context.fleet.controller(name).zone_drains.order(zone, draining)


def _order_and_wait(context, name, zone, draining):
    done = _order(context, name, zone, draining)
    context.drain_order = context.fleet.result_of(done, "an answer to the order")


@step("an operator drains {zone} at controller {number:d}")
def drain(context, zone, number):
    _order_and_wait(context, f"controller-{number}", zone, True)


@step("an operator ends the drain of {zone} at controller {number:d}")
def end_drain(context, zone, number):
    _order_and_wait(context, f"controller-{number}", zone, False)


@step("an operator drains {zone} at the leader")
def drain_at_leader(context, zone):
    _order_and_wait(context, context.fleet.leader("controller"), zone, True)


@step("an operator ends the drain of {zone} at the leader")
def end_drain_at_leader(context, zone):
    _order_and_wait(context, context.fleet.leader("controller"), zone, False)


@then("the order is acknowledged")
def acknowledged(context):
    assert context.drain_order.is_ok(), context.drain_order


@then("the order is refused as not found")
def not_found(context):
    assert context.drain_order.error.code == FaultCode.NOT_FOUND, context.drain_order


@then("{zone} had {count:d} order")
def had_orders(context, zone, count):
    leader = context.fleet.leader("controller")
    assert context.fleet.nodes[leader].role.state.zone_drain(zone).revision == count


# --- where nodes send --------------------------------------------------------------------------


def _sends(context, name, zone):
    """Tell whether a node would send to the runner of a zone."""
    return context.fleet.nodes[name].base.registry.is_ready(f"runner-{RUNNERS[zone]}")


def _all_sending(context, zone):
    return [_sends(context, name, zone) for name in context.fleet.nodes]


@step("no node sends to {zone} within {seconds:g} seconds")
def none_sends(context, zone, seconds):
    context.fleet.run_until(
        lambda: not any(_all_sending(context, zone)), f"nothing to {zone}", seconds
    )


@step("every node sends to {zone} within {seconds:g} seconds")
def all_send(context, zone, seconds):
    context.fleet.run_until(lambda: all(_all_sending(context, zone)), f"work to {zone}", seconds)


@then("gateway {number:d} still sends to {zone}")
def still_sends(context, number, zone):
    assert _sends(context, f"gateway-{number}", zone)


@then("gateway {number:d} sends nothing to {zone}")
def sends_nothing(context, number, zone):
    assert not _sends(context, f"gateway-{number}", zone)


@then("every controller has {zone} draining within {seconds:g} seconds")
def controllers_have(context, zone, seconds):
    fleet = context.fleet

    def all_have():
        states = [fleet.nodes[name].role.state for name in fleet.names("controller")]
        return all(state.zone_drain(zone).draining for state in states)

    fleet.run_until(all_have, f"{zone} draining at every controller", seconds)


@then("every node agrees with the leader on {zone} within {seconds:g} seconds")
def all_agree(context, zone, seconds):
    fleet = context.fleet
    leader = fleet.leader("controller")

    def agree():
        held = fleet.nodes[leader].role.state.zone_drain(zone).draining
        return all(sends != held for sends in _all_sending(context, zone))

    fleet.run_until(agree, "one order everywhere", seconds)


# --- failures ----------------------------------------------------------------------------------


@when("gateway {number:d} is cut off from all controllers")
def cut_gateway(context, number):
    context.fleet.isolate(f"gateway-{number}")


@when("gateway {number:d} is back")
def gateway_back(context, number):
    context.fleet.rejoin(f"gateway-{number}")


@when("every node loses power and starts again")
def all_lose_power(context):
    names = list(context.fleet.nodes)
    for name in names:
        context.fleet.crash(name)
    for name in names:
        context.fleet.start(name)


@when("an order to drain {zone} is delayed on its way to the leader")
def hold_up(context, zone):
    leader = context.fleet.leader("controller")
    revision = context.fleet.nodes[leader].role.state.zone_drain(zone).revision
    context.held_up = OrderZoneDrain(zone, True, revision)


@when("the delayed order arrives")
def arrives(context):
    fleet = context.fleet
    leader = fleet.leader("controller")
    other = next(name for name in fleet.names("controller") if name != leader)
    done = fleet.nodes[other].base.messenger.call(fleet.address(leader), context.held_up, 1.0)
    context.late_answer = fleet.result_of(done, "an answer to the late order")


@then("the leader answers that it was not taken")
def not_taken(context):
    answer = context.late_answer
    assert answer.is_ok() and not answer.ok.taken, answer


@when("an operator drains {zone} at another controller and the leader dies before it answers")
def leader_dies(context, zone):
    fleet = context.fleet
    leader = fleet.leader("controller")
    context.asked = next(name for name in fleet.names("controller") if name != leader)
    context.ordered_zone = zone
    state = fleet.nodes[leader].role.state
    _order(context, context.asked, zone, True)
    fleet.run_until(lambda: state.zone_drain(zone).draining, "the commit")
    fleet.crash(leader)
    fleet.run_for(0.5)
    fleet.start(leader)


@when("the operator sends the order again until it is acknowledged")
def send_again(context):
    until_s = context.fleet.clock.seconds() + ORDER_TRIES_S
    while True:
        _order_and_wait(context, context.asked, context.ordered_zone, True)
        if context.drain_order.is_ok():
            return
        assert context.fleet.clock.seconds() < until_s, context.drain_order
        context.fleet.run_for(0.2)


@when("operators begin and end the drain of {zone} at once, {count:d} times")
def race(context, zone, count):
    for number in range(count):
        names = context.fleet.names("controller")
        first = _order(context, names[number % len(names)], zone, True)
        second = _order(context, names[(number + 1) % len(names)], zone, False)
        for done in (first, second):
            context.fleet.result_of(done, "an answer to the order")


@when(
    "an operator sends table {version:d} to controller {one:d} while another drains "
    "{zone} at controller {two:d}"
)
def race_with_table(context, version, one, zone, two):
    table = context.fleet.controller(f"controller-{one}").tables.replace(
        version, str(version).encode()
    )
    order = _order(context, f"controller-{two}", zone, True)
    assert context.fleet.result_of(table, "an answer to the table").is_ok()
    assert context.fleet.result_of(order, "an answer to the order").is_ok()


@then("{count:d} items run, none of them in {zone}")
def items_run(context, count, zone):
    fleet = context.fleet
    refused = runner_record(RUNNERS[zone]).address

    def run():
        assert all(call.address != refused for call in fleet.calls())
        for call in fleet.calls():
            if not call.over and not call.cancelled:
                call.over = True
                call.begin_stream()
                call.listener.answer_data(b"id: 1\ndata: text\n\n")
                call.listener.answer_ended()
        return len({call.field(b"item") for call in fleet.calls()}) == count

    fleet.run_until(run, "all items", 20.0)


# --- stale incarnations --------------------------------------------------------------------------

CRASHED, LIVING = "runner-6", "runner-7"


@when(
    "reports of two incarnations at one address arrive in random order at random controllers, "
    "seed {seed:d}"
)
def mixed_reports(context, seed):
    context.draw = random.Random(seed)
    context.living = replace(runner_record(7, zone="zone-0"), sequence=0)
    crashed = replace(runner_record(6, zone="zone-0"), address=context.living.address)
    reports = [replace(crashed, sequence=sequence) for sequence in (1, 2, 3)]
    reports += [replace(context.living, sequence=sequence) for sequence in (1, 2)]
    context.draw.shuffle(reports)
    names = context.fleet.names("controller")
    for report in reports:
        _say(context, context.draw.choice(names), report)
        context.fleet.run_for(context.draw.choice((0.0, 0.05, 0.6)))


@when("a late report of a crashed incarnation takes a live runner's address at every node")
def late_report(context):
    fleet = context.fleet
    context.draw = random.Random(SEED)
    context.living = replace(runner_record(7, zone="zone-0"), sequence=1)
    _say(context, "controller-1", context.living)
    fleet.run_for(1.5)
    crashed = replace(runner_record(6, zone="zone-0"), address=context.living.address)
    fleet.controller("controller-2").reports.take(crashed)
    fleet.run_for(0.1)
    assert not any(node.base.registry.is_ready(LIVING) for node in fleet.nodes.values())


@when("all controllers lose power before they have stored that, and start again")
def controllers_forget(context):
    names = context.fleet.names("controller")
    for name in names:
        context.fleet.crash(name)
    for name in names:
        context.fleet.start(name)
    context.fleet.leader("controller")


def _report_living(context, seconds):
    name = context.draw.choice(context.fleet.names("controller"))
    for sequence in range(3, 3 + int(seconds / HEARTBEAT_S) + 1):
        _say(context, name, replace(context.living, sequence=sequence))
        context.fleet.run_for(HEARTBEAT_S)
    return [node.base.registry for node in context.fleet.nodes.values()]


@then("every node sends to the live one within {seconds:g} seconds of its heartbeats")
def living_again(context, seconds):
    registries = _report_living(context, seconds)
    assert all(registry.is_ready(LIVING) for registry in registries)


@then("every node sends to the live one alone within {seconds:g} seconds of its heartbeats")
def living_alone(context, seconds):
    registries = _report_living(context, seconds)
    assert all(registry.is_ready(LIVING) for registry in registries)
    assert not any(registry.is_ready(CRASHED) for registry in registries)
