"""Steps on what gateways are told of runners' occupancy, in virtual time."""

from dataclasses import dataclass

from behave import given, step, then, when
from expression import Error, Ok
from features.support.relaying import SERVICE, RelayWorld, runner_record
from twisted.internet.defer import Deferred

from rainsail.errors import Fault, FaultCode
from rainsail.jobs.messages import (
    OnlineUse,
    ReadOccupancy,
    RunnerOccupancy,
    RunnerUse,
    ServiceOccupancy,
)
from rainsail.jobs.occupancy import occupancy_of
from rainsail.jobs.online_use import OnlineUseBook
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.occupancy import OccupancyReader
from rainsail.simulation.clock import VirtualClock

LEADER = "leader"


@dataclass
class StandInLeader:
    """In place of a messenger: the leader's answer comes at once, or not in time."""

    clock: VirtualClock
    answer: ServiceOccupancy | None = None
    asked: int = 0

    def call(self, destination, message, timeout_s):
        """Take a question; return what fires with the answer, or with a fault after the time."""
        assert destination == LEADER and isinstance(message, ReadOccupancy), message
        self.asked += 1
        answered = Deferred()
        if self.answer is not None:
            self.clock.callLater(0.0, answered.callback, Ok(self.answer))
        else:
            fault = Fault(FaultCode.TIMEOUT, "call.ReadOccupancy", "no reply", LEADER)
            self.clock.callLater(timeout_s, answered.callback, Error(fault))
        return answered


@given('a relay with {count:d} runners and a "{kind}" route that asks the leader')
def asking_relay(context, count, kind):
    context.world = world = RelayWorld(runners=count)
    world.put_route(kind)
    context.leader = StandInLeader(world.clock)
    loads = world.context.loads
    reader = OccupancyReader(context.leader, world.clock, loads, NodeMetrics())
    reader.set_leader(LEADER)
    context.reader = reader
    world.context.refresh_loads = reader.refresh
    context.exchanges = []


def _say(context, running, own=()):
    told = [RunnerOccupancy(f"runner-{number}", count) for number, count in running]
    told.sort(key=lambda each: each.running)
    counted = tuple(RunnerUse(f"runner-{number}", count) for number, count in own)
    context.leader.answer = ServiceOccupancy(tuple(told), counted)


@when("the leader says that runner 1 has {a:d}, runner 2 has {b:d} and runner 3 has {c:d}")
def three_say(context, a, b, c):
    _say(context, ((1, a), (2, b), (3, c)))


@when("the leader says that runner 1 has {a:d} and runner 2 has {b:d}")
def two_say(context, a, b):
    _say(context, ((1, a), (2, b)))


@when("the leader says that runner 1 has {a:d}, of this gateway, and runner 2 has {b:d}")
def two_say_own(context, a, b):
    _say(context, ((1, a), (2, b)), ((1, a),))


@when("the leader says nothing")
def says_nothing(context):
    context.leader.answer = None


@when("no leader is known")
def no_leader(context):
    context.reader.set_leader("")


def _request(context):
    number = len(context.exchanges) + 1
    context.exchanges.append(context.world.request(request=f"request-{number}"))


@given("a client has sent a request to runner 1")
def sent_to_first(context):
    _say(context, ((1, 0), (2, 4)))
    _request(context)
    context.world.clock.advance(0.0)
    assert context.world.last_call.field(b"runner") == "runner-1"


@when("{count:d} clients send requests to the relay, one after the other")
def send_several(context, count):
    for _ in range(count):
        _request(context)
        context.world.clock.advance(0.0)


@when("a client asks the relay")
@when("another client asks the relay")
def send_one(context):
    send_several(context, 1)


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


@then("runner 1 has {a:d} of the requests and runner 2 has {b:d}")
def have(context, a, b):
    went = [call.field(b"runner") for call in context.world.pool.calls]
    assert (went.count("runner-1"), went.count("runner-2")) == (a, b), went


@then("the request is sent after {wait_ms:d} ms")
def sent_after(context, wait_ms):
    assert not context.world.pool.calls
    context.world.clock.advance(wait_ms / 1000 - 0.001)
    assert not context.world.pool.calls
    context.world.clock.advance(0.002)
    assert len(context.world.pool.calls) == 1


@then("that request is sent at once, and the leader was asked once")
def sent_at_once(context):
    assert len(context.world.pool.calls) == len(context.exchanges)
    assert context.leader.asked == 1


@then("that request is sent at once, and the leader was asked 0 times")
def sent_unasked(context):
    assert len(context.world.pool.calls) == 1 and context.leader.asked == 0


@then("the leader was asked twice")
def asked_twice(context):
    assert context.leader.asked == 2


@then("nothing was sent to a runner")
def nothing_sent(context):
    assert not context.world.pool.calls


# --- the leader's side -----------------------------------------------------------------------


def _ask(context, storage):
    messenger = context.fleet.nodes["gateway-1"].base.messenger
    done = messenger.call(context.fleet.address(storage), ReadOccupancy(SERVICE), 1.0)
    return context.fleet.result_of(done, "an answer of a storage node")


@then("the leader says that the runner has {running:d}, of which {own:d} are that gateway's")
def leader_says(context, running, own):
    context.fleet.run_for(0.01)
    answer = _ask(context, context.fleet.leader("storage")).ok
    assert answer.runners == (RunnerOccupancy("runner-1", running),), answer
    assert answer.own == (RunnerUse("runner-1", own),), answer


@step("another storage node says that it does not lead")
def follower_says(context):
    leader = context.fleet.leader("storage")
    other = next(name for name in context.fleet.names("storage") if name != leader)
    assert _ask(context, other).error.code == FaultCode.NOT_LEADER


@given("{count:d} runners of which {full:d} are full")
def many_runners(context, count, full):
    context.records = [runner_record(number) for number in range(count)]
    context.online = OnlineUseBook()
    uses = tuple(RunnerUse(record.runner, 4) for record in context.records[:full])
    context.online.take("gateway-2", OnlineUse(uses))


@when("the leader is asked for their service")
def asked_for_many(context):
    context.answer = occupancy_of(context.records, {}, context.online, "gateway-1")


@then("it names {count:d} runners, the {free:d} that are free first")
def names_some(context, count, free):
    running = [each.running for each in context.answer.runners]
    assert running == [0] * free + [4] * (count - free), running


@when("the runners that the request goes to break off, twice")
def break_off_twice(context):
    world = context.world
    world.last_call.listener.answer_failed("connection closed")
    world.clock.advance(0.05)
    world.last_call.listener.answer_failed("connection closed")


@then("the client has its answer at once, and the leader was asked twice")
def answered_at_once(context):
    assert context.leader.asked == 2, context.leader.asked
    assert context.exchanges[0].status == 502, context.exchanges[0]
