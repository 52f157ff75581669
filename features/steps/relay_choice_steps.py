"""Steps on the choice of a runner and of a route."""

import random
from collections import Counter

from behave import given, then, when
from features.support.relaying import event

from rainsail.cluster.messages import RunnerPrefill
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.split import WeightedServicePicker
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, ServiceShare
from rainsail.routing.facts import PromptPart
from rainsail.routing.prefix_memory import preferred_runner


class _Notices:
    """A messenger without a network, which delivers notices of other gateways."""

    def __init__(self):
        self._handlers = {}

    def serve(self, message_type, handler):
        """Keep the handler."""
        self._handlers[message_type] = handler

    def send(self, destination, message):
        """Drop the message."""

    def deliver(self, message):
        """Have the handler of its type take a message."""
        self._handlers[type(message)]("controller-1", message)


class _Follower:
    """Provides what a gateway needs of its follower."""

    def __init__(self, registry):
        self.registry = registry

    def announce_prefill(self, runner, reading_s):
        """Drop the notice."""


def _by_runner(calls):
    return Counter(call.field(b"runner") for call in calls)


@when("{count:d} clients send requests to the relay")
def send_many(context, count):
    for number in range(count):
        context.relay.request(request=f"request-{number}")


@when("{count:d} clients send requests to the relay with a shared prompt part of {tokens:d} tokens")
def send_shared(context, count, tokens):
    for number in range(count):
        prompt = (PromptPart("shared", tokens), PromptPart(f"own-{number}", 100))
        context.relay.request(prompt=prompt, request=f"request-{number}")


@then("every runner has {count:d} of them")
def spread(context, count):
    counts = _by_runner(context.relay.pool.calls)
    assert set(counts.values()) == {count}, counts


@then("all of them went to one runner")
def together(context):
    assert len(_by_runner(context.relay.pool.calls)) == 1


@then("no runner has more than {count:d} of them")
def no_more_than(context, count):
    counts = _by_runner(context.relay.pool.calls)
    assert max(counts.values()) <= count, counts


@when("every request to runner {number:d} breaks, {count:d} times")
def break_often(context, number, count):
    for turn in range(count):
        context.relay.request(request=f"request-{turn}")
        call = context.relay.last_call
        if call.field(b"runner") == f"runner-{number}":
            call.listener.answer_failed("connection reset")
        else:
            call.answer(200, b"fine")


def _asked_of(context, number, count):
    before = len(context.relay.pool.calls)
    for turn in range(count):
        context.relay.request(request=f"later-{turn}")
    return _by_runner(context.relay.pool.calls[before:])[f"runner-{number}"]


@then("runner {number:d} gets none of the next {count:d} requests")
def gets_none(context, number, count):
    assert _asked_of(context, number, count) == 0


@then("runner {number:d} gets some of the next {count:d} requests")
def gets_some(context, number, count):
    assert _asked_of(context, number, count) > 0


def _route(prefix, shares=(ServiceShare("one", 1.0),)):
    return Route(prefix, "a.example", prefix, RouteKind.SAFE, shares, 1.0, 0.1)


@given("a relay whose route is split 90 to 10 over two services")
def make_split(context):
    shares = (ServiceShare("one", 90.0), ServiceShare("two", 10.0))
    context.split_route = _route("/", shares)


@when("{count:d} requests are sent by the split")
def pick(context, count):
    picker = WeightedServicePicker(random.Random(3))
    context.picked = Counter(picker.service(context.split_route) for _ in range(count))


@then("{count:d} of them went to the first service, give or take {slack:d}")
def picked(context, count, slack):
    assert abs(context.picked["one"] - count) <= slack, context.picked


@given('routes "{first}", "{second}" and "{third}" of a host')
def make_routes(context, first, second, third):
    routes = tuple(_route(prefix) for prefix in (first, second, third))
    context.routes = RoutingTable(1, routes, (), ClientLimits())


@then("the paths match routes")
def match(context):
    for row in context.table:
        route = context.routes.match("A.example", row["path"])
        assert route is not None and route.prefix == row["route"], row


@when("a client sends a request to the relay with an unshared prompt part of {tokens:d} tokens")
def send_long(context, tokens):
    context.announced = getattr(context, "announced", [])
    prompt = (PromptPart("common", 100), PromptPart(f"long-{tokens}", tokens))
    context.relay.context.announce_prefill = lambda *announced: context.announced.append(announced)
    context.relay.request(prompt=prompt, request=f"long-{tokens}")
    context.long_runner = context.relay.last_call.field(b"runner")


@then("none of the last {count:d} went where the first went")
def none_there(context, count):
    runners = [call.field(b"runner") for call in context.relay.pool.calls[-count:]]
    assert context.long_runner not in runners, runners


@then("some of the last {count:d} went where the first went")
def some_there(context, count):
    runners = [call.field(b"runner") for call in context.relay.pool.calls[-count:]]
    assert context.long_runner in runners, runners


@when("another gateway announces for runner {number:d} a prefill of {seconds:g} seconds")
def announce_prefill(context, number, seconds):
    loads = context.relay.context.loads
    loads.add_prefill(f"runner-{number}", seconds, context.relay.clock.seconds())


@when("another gateway's notice of a prefill of {seconds:g} seconds at runner {number:d} arrives")
def notice_arrives(context, seconds, number):
    if not hasattr(context, "notices"):
        relay, context.notices = context.relay, _Notices()
        follower = _Follower(relay.registry)
        RelayGateway(
            relay.context, follower, context.notices, lambda content: None, None, NodeMetrics()
        )
    context.notices.deliver(RunnerPrefill(f"runner-{number}", seconds))


@then("all of them went to runner {number:d}")
def all_went(context, number):
    assert set(_by_runner(context.relay.pool.calls)) == {f"runner-{number}"}


@then("the last one went to runner {number:d}")
def last_went(context, number):
    assert context.relay.last_call.field(b"runner") == f"runner-{number}"


@then("nothing was announced to the other gateways")
def nothing_announced(context):
    context.announced = getattr(context, "announced", [])
    assert context.announced == []


@then("one long prompt was announced to the other gateways")
def one_announced(context):
    assert len(context.announced) == 1 and context.announced[0][1] > 0.2, context.announced


@then("the prefill announced for that runner was taken back")
def announcement_taken_back(context):
    announced = [seconds for runner, seconds in context.announced if runner == context.long_runner]
    assert len(announced) == 2 and announced[0] > 0 and sum(announced) == 0, announced


@then("the shared part counts as cached at the {which} runner only")
def cached_only_at(context, which):
    place = {"second": 1, "third": 2}[which]
    _expect_cached(context, {context.relay.pool.calls[place].field(b"runner")})


@then("the shared part counts as cached at the first and the third runner")
def cached_at_both(context):
    first, second, third = (call.field(b"runner") for call in context.relay.pool.calls)
    assert first == second != third, (first, second, third)
    _expect_cached(context, {first, third})


def _expect_cached(context, runners):
    relay = context.relay
    holders = {
        record.runner
        for record in relay.registry.records()
        if relay.context.prefixes.holds("shared", record.runner)
    }
    assert holders == runners, holders


@when(
    "runner {number:d} sends an event on all its streams every {step:g} seconds, "
    "for {seconds:g} seconds"
)
def keep_sending(context, number, step, seconds):
    calls = [c for c in context.relay.pool.calls if c.field(b"runner") == f"runner-{number}"]
    assert calls and len(calls) < len(context.relay.pool.calls)
    for call in calls:
        call.begin_stream()
    for turn in range(1, round(seconds / step) + 1):
        context.relay.clock.advance(step)
        for call in calls:
            call.listener.answer_data(event(turn))


@then("runner {silent:d} is silent and runner {speaking:d} is not")
def is_silent(context, silent, speaking):
    found = context.relay.context.loads.timed_out(context.relay.clock.seconds())
    assert found == [f"runner-{silent}"], found


HOMED = "homed"


@when("the preferred runner of a prompt part of {tokens:d} tokens is full of streams")
def fill_home(context, tokens):
    relay = context.relay
    records = relay.registry.ready("model")
    context.home = preferred_runner(HOMED, [record.runner for record in records])
    context.homed = PromptPart(HOMED, tokens)
    slots = next(record.slots for record in records if record.runner == context.home)
    for _ in range(slots):
        relay.context.loads.sent(context.home, relay.clock.seconds(), 1.0)


@when("a client sends a request with that part and {tokens:d} tokens of its own")
def send_homed(context, tokens):
    prompt = (context.homed, PromptPart("own", tokens))
    context.relay.request(prompt=prompt, request="homed")


@then("it went elsewhere")
def went_elsewhere(context):
    assert context.relay.last_call.field(b"runner") != context.home
