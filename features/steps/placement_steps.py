"""Steps on placing requests by the ledger's leader."""

import random
from dataclasses import dataclass, replace

from behave import given, step, then, when
from expression import Error, Ok
from features.support.relaying import SERVICE, RelayWorld, runner_record
from twisted.internet.defer import Deferred

from rainsail.cluster.registry import RunnerRegistry
from rainsail.errors import Fault, FaultCode
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.placement import PlacementClient
from rainsail.routing.messages import OnlineUse, Placement, PlaceRequest, RunnerUse, ServiceLoad
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.outlier_ejection import OutlierDetector
from rainsail.routing.placer import Placer
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpBound, WarmUpLimiter
from rainsail.simulation.clock import VirtualClock

LEADER = "leader"
ANY_WAIT = -1.0


@dataclass
class StandInLeader:
    """Replaces the messenger: answers as the leader after a delay, or not before the timeout."""

    clock: VirtualClock
    answer: Placement | None = None
    after_s: float = 0.0
    asked: int = 0
    last: PlaceRequest | None = None

    def call(self, destination, message, timeout_s):
        """Record a request; fires with the answer, or with a fault after the timeout."""
        assert destination == LEADER and isinstance(message, PlaceRequest), message
        self.asked += 1
        self.last = message
        answered = Deferred()
        if self.answer is not None:
            self.clock.callLater(self.after_s, answered.callback, Ok(self.answer))
        else:
            fault = Fault(FaultCode.TIMEOUT, "call.PlaceRequest", "no reply", LEADER)
            self.clock.callLater(timeout_s, answered.callback, Error(fault))
        return answered


# --- the gateway's side ----------------------------------------------------------------------


@given('a relay with {count:d} runners and a "{kind}" route that asks the leader')
def asking_relay(context, count, kind):
    context.world = world = RelayWorld(runners=count)
    world.put_route(kind)
    context.leader = StandInLeader(world.clock)
    context.client = PlacementClient(context.leader, world.clock, NodeMetrics())
    context.reported_seen = []
    context.client.on_placed = lambda: context.reported_seen.append(context.client.seen)
    context.client.set_leader(LEADER)
    world.context.place = context.client.place
    context.exchanges = []
    busy(context)


@step("the service is busy")
def busy(context):
    context.client.update_busy(SERVICE, True)


@when("the service is not busy any more")
def not_busy(context):
    context.client.update_busy(SERVICE, False)


@when("the leader names runner {number:d}")
def names(context, number):
    context.leader.answer = Placement(f"runner-{number}", 7, 3, 12, False)


@when("the leader names runner {number:d} after {wait_ms:d} ms")
def names_later(context, number, wait_ms):
    names(context, number)
    context.leader.after_s = wait_ms / 1000


@when("the leader finds no place in time")
def finds_none(context):
    context.leader.answer = Placement("", 0, 20, 8, True)


@when("the leader says nothing")
def says_nothing(context):
    context.leader.answer = None


@when("no leader is known")
def no_leader(context):
    context.client.set_leader("")


def _request(context, deadline_s=5.0):
    number = len(context.exchanges) + 1
    exchange = context.world.request(deadline_s, request=f"request-{number}")
    context.exchanges.append(exchange)


@when("a client asks the relay")
@when("another client asks the relay")
def send_one(context):
    _request(context)
    context.world.clock.advance(0.0)


@when("a client that was refused before asks the relay")
def send_again(context):
    _request(context, 3.0)
    context.world.clock.advance(0.0)


@when("a client asks the relay and leaves")
def send_and_leave(context):
    _request(context)
    context.exchanges[-1].left()


@when("{seconds:g} seconds pass at the asking relay")
def pass_time(context, seconds):
    context.world.clock.advance(seconds)


@when("runner 1 is drained meanwhile")
def drained(context):
    context.world.registry.take((runner_record(1, "draining", 2),))
    context.world.clock.advance(0.05)


@then("the asked request went to runner {number:d}")
def went_to(context, number):
    assert context.world.last_call.field(b"runner") == f"runner-{number}"


@then("the asked request went to runner {number:d}, and the leader hears that its word is known")
def went_to_known(context, number):
    went_to(context, number)
    assert context.reported_seen == [7], context.reported_seen


@then("the request is sent after {wait_ms:d} ms")
def sent_after(context, wait_ms):
    assert not context.world.pool.calls
    context.world.clock.advance(wait_ms / 1000 - 0.001)
    assert not context.world.pool.calls
    context.world.clock.advance(0.002)
    assert len(context.world.pool.calls) == 1


@then("that request is sent at once, and the leader was asked {count:d} times")
def sent_at_once(context, count):
    assert len(context.world.pool.calls) == len(context.exchanges)
    assert context.leader.asked == count, context.leader.asked


@then("the leader was asked {count:d} times")
def asked_times(context, count):
    assert context.leader.asked == count, context.leader.asked


@then("nothing was sent to a runner")
def nothing_sent(context):
    assert not context.world.pool.calls


@when("the runners that the request goes to break off, twice")
def break_off_twice(context):
    world = context.world
    world.last_call.listener.answer_failed("connection closed")
    world.clock.advance(0.05)
    world.last_call.listener.answer_failed("connection closed")


@then("the client has its answer at once, and the leader was asked {count:d} times")
def answered_at_once(context, count):
    assert context.leader.asked == count, context.leader.asked
    exchange = context.exchanges[-1]
    assert exchange.ended and exchange.answered_at_s == context.world.clock.seconds()


@then("the asking client is refused with {status:d} at once, and nothing was sent to a runner")
def refused(context, status):
    exchange = context.exchanges[-1]
    assert exchange.status == status and exchange.ended
    assert exchange.answered_at_s == exchange.request.received_s
    fields = dict(exchange.headers)
    assert 0 < float(fields[b"retry-after"]) <= 5.0 / 3, fields
    assert not context.world.pool.calls


@then("the leader is asked for a place whatever the wait")
def any_wait(context):
    assert context.leader.last.most_waiting == ANY_WAIT, context.leader.last


# --- the leader's side -----------------------------------------------------------------------


@given("a leader of {count:d} runners with {slots:d} slots each")
def make_leader(context, count, slots):
    _make_leader(context, [replace(runner_record(n + 1), slots=slots) for n in range(count)])


@given("a leader of {count:d} runners with {slots:d} slots each, in {zones:d} zones")
def make_zoned_leader(context, count, slots, zones):
    records = [
        replace(runner_record(n, zone=f"zone-{n}"), slots=slots) for n in range(1, count + 1)
    ]
    _make_leader(context, records)


def _make_leader(context, records):
    registry = RunnerRegistry()
    registry.take(records)
    context.online = OnlineUseTracker()
    context.items = {}
    context.outliers = OutlierDetector()
    context.compared = []
    context.preempted_at = []

    def items_at(runner):
        context.compared.append(runner)
        return context.items.get(runner, 0)

    context.placer = Placer(
        registry,
        context.online,
        items_at,
        context.outliers,
        WarmUpLimiter(WarmUpBound(), registry.warm_ups),
        RegionMap({"zone-1": "east", "zone-2": "west"}),
        random.Random(5),
        context.preempted_at.append,
    )
    context.now_s = 0.0
    context.placed = []


def _place(context, gateway="gateway-1", zone="zone-1", most_waiting=ANY_WAIT):
    ask = PlaceRequest(SERVICE, zone, (), most_waiting)
    context.placed.append(context.placer.place(gateway, ask, context.now_s))


@when("{count:d} requests of {gateways:d} gateways are placed at the same moment")
def place_many(context, count, gateways):
    for number in range(count):
        _place(context, f"gateway-{number % gateways}")


@when("{count:d} more requests are placed")
@when("{count:d} requests of one gateway are placed")
def place_more(context, count):
    for _ in range(count):
        _place(context)


@when("a request is placed")
def place_one(context):
    _place(context)


@when("a request is placed that accepts {share:g} waiting for each slot")
def place_bounded(context, share):
    context.before = sum(context.online.running(f"runner-{n}") for n in range(1, 5))
    _place(context, most_waiting=share)


@then("it is refused and counts nowhere")
def refused_nowhere(context):
    placement = context.placed[-1]
    assert placement.refused and not placement.runner, placement
    assert sum(context.online.running(f"runner-{n}") for n in range(1, 5)) == context.before


@then("each runner has {count:d} of them")
def each_has(context, count):
    runners = [each.runner for each in context.placed]
    assert {runners.count(runner) for runner in set(runners)} == {count}, runners


@then("they went to {count:d} runners")
def went_to_some(context, count):
    assert len({each.runner for each in context.placed[-count:]}) == count


@when("an item runs at runner {number:d}")
def item_runs(context, number):
    context.items[f"runner-{number}"] = 1


@when("requests of zone {zone:d} are placed until none is free")
def place_zoned(context, zone):
    for _ in range(3):
        _place(context, zone=f"zone-{zone}")


@then("they went to runners {first:d}, {second:d} and {third:d} in this order")
def in_order(context, first, second, third):
    went = [each.runner for each in context.placed]
    assert went == [f"runner-{n}" for n in (first, second, third)], went


@then("the item at runner {number:d} has to give way at once")
def has_to_give_way(context, number):
    assert context.preempted_at == [f"runner-{number}"], context.preempted_at


@when("that gateway reports {running:d} under way, knowing of the first {seen:d} placements")
def reports_some(context, running, seen):
    number = context.placed[seen - 1].number
    uses = (RunnerUse("runner-1", running),)
    context.online.take("gateway-1", OnlineUse(uses, number))


@when("that gateway reports {running:d} under way, knowing of all placements")
def reports_all(context, running):
    reports_some(context, running, len(context.placed))


@when("that gateway reports {running:d} under way, knowing of no placement")
def reports_alone(context, running):
    uses = (RunnerUse("runner-1", running),)
    context.online.take("gateway-1", OnlineUse(uses), context.now_s)


@then("the leader counts {count:d} requests")
def counts(context, count):
    context.online.expire(context.now_s)
    assert context.online.running("runner-1") == count, context.online.running("runner-1")


@when("{seconds:g} seconds pass at the leader")
def leader_waits(context, seconds):
    context.now_s += seconds


@when("{count:d} gateways report a failure each at runner {number:d}")
def report_failures(context, count, number):
    for _ in range(count):
        context.out_s = context.outliers.record(f"runner-{number}", 0, 1, context.now_s)


@when("gateways report {sound:d} sound answers and {failed:d} failures at runner {number:d}")
def report_outcomes(context, sound, failed, number):
    context.out_s = context.outliers.record(f"runner-{number}", sound, failed, context.now_s)


@then("runner {number:d} is left out for {seconds:g} seconds")
def left_out(context, number, seconds):
    assert context.out_s == seconds, context.out_s
    for _ in range(10):
        _place(context)
    assert f"runner-{number}" not in {each.runner for each in context.placed}


@then("runner {number:d} is not left out")
def not_left_out(context, number):
    assert context.out_s is None
    assert not context.outliers.is_ejected(f"runner-{number}", context.now_s)


@then("at most {count:d} runners were compared")
def compared(context, count):
    assert len(set(context.compared)) <= count, len(context.compared)


# --- over a fleet ----------------------------------------------------------------------------


@then("the leader tells that gateway that the service is busy with {online:d} of {slots:d} slots")
def told_busy(context, online, slots):
    fleet = context.fleet
    told = []
    messenger = fleet.nodes["gateway-1"].base.messenger
    messenger.serve(ServiceLoad, lambda source, message: told.append(message))
    uses = (RunnerUse("runner-1", online),)
    messenger.send(fleet.address(fleet.leader("storage")), OnlineUse(uses))
    fleet.run_for(0.1)
    assert told and (told[-1].online, told[-1].slots, told[-1].own) == (online, slots, online)
    assert told[-1].places


@step("another storage node says that it does not lead")
def follower_says(context):
    fleet = context.fleet
    leader = fleet.leader("storage")
    other = next(name for name in fleet.names("storage") if name != leader)
    messenger = fleet.nodes["gateway-1"].base.messenger
    ask = PlaceRequest(SERVICE, "", (), ANY_WAIT)
    answer = fleet.result_of(messenger.call(fleet.address(other), ask, 1.0), "an answer")
    assert answer.error.code == FaultCode.NOT_LEADER
