"""Steps on the software versions of runners at one relay, in virtual time."""

from dataclasses import replace

from behave import given, step, then, when
from features.support.relaying import SERVICE, event, runner_record

from rainsail.cluster.runner_versions import RunnerVersion
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.relay.origin_client import FoundOrigin
from rainsail.relay.table import RouteKind, ServiceShare
from rainsail.routing.messages import Placement

OTHER_SERVICE = "other"
RESULTS = {
    "v1 is known": FoundOrigin(StreamOrigin(SERVICE, "v1"), True),
    "nothing is known": FoundOrigin(None, True),
    "it is not sure yet": FoundOrigin(None, False),
}


class RecordedOrigins:
    """Implements ``StreamOrigins`` with one fixed result; keeps what was recorded."""

    def __init__(self, result=RESULTS["nothing is known"]):
        self.result = result
        self.recorded = []
        self.implied = []

    def began(self, stream, origin, is_implied):
        """Keep a record."""
        self.recorded.append((stream, origin))
        self.implied.append(is_implied)

    def completed(self, stream):
        """Do nothing."""

    def find(self, stream, found):
        """Return the fixed result."""
        found(self.result)


@given("runners of versions {versions}")
def give_versions(context, versions):
    context.versions = {}
    for number, version in enumerate(versions.split(", "), 1):
        runner = runner_record(number).runner
        context.versions[runner] = version
        context.relay.registry.versions.take(RunnerVersion(runner, 0, version))
    context.relay.context.origins = RecordedOrigins()


@given("runner {number:d} is gone")
def runner_gone(context, number):
    context.relay.registry.take((runner_record(number, "gone", 2),))


@given("runner {number:d} is found crashed")
def runner_crashed(context, number):
    registry = context.relay.registry
    registry.note_crash(registry.get(runner_record(number).runner))


@given("of the stream {known}")
def give_knowledge(context, known):
    context.relay.context.origins = RecordedOrigins(RESULTS[known])


@given('a relay with {runners:d} runners and a resumable "stream" route of {seconds:d} seconds')
def make_slow_route(context, runners, seconds):
    context.execute_steps(f'Given a relay with {runners} runners and a resumable "stream" route')
    context.relay.put_route("stream", resumable=True, timeout_s=float(seconds))


@given("a leader that places each request at a runner of another version than the first one")
def place_elsewhere(context):
    context.asked = []

    def place(request, placed, must_ask):
        context.asked.append(request)
        versions = list(context.versions.items())
        calls = context.relay.pool.calls
        begun = context.versions[_runner_of(calls[0])] if calls else None
        other = next(runner for runner, version in versions if version != begun)
        placed(Placement(other, 1, 0, 24, False))

    context.relay.context.place = place


def _runner_of(call):
    return call.field(b"runner")


@when("a client resumes that stream after event {number:d}")
def resume(context, number):
    context.exchange = context.relay.request(after_event=number, resumes="request-0")


@step("a connection to one other runner has settled")
def settle(context):
    pool = context.relay.pool
    records = context.relay.registry.records()
    context.settled = max(each.address for each in records if each.address != pool.calls[0].address)
    pool.settled.add(context.settled)


@then("the last attempt went to that runner")
def went_to_settled(context):
    assert context.relay.last_call.address == context.settled, context.relay.last_call


@step("the route moves to another service with a runner")
def move_route(context):
    record = replace(runner_record(9), service=OTHER_SERVICE)
    context.relay.registry.take((record,))
    shares = (ServiceShare(OTHER_SERVICE, 1.0),)
    kind = RouteKind.STREAM.value
    context.relay.put_route(kind, resumable=True, version=2, shares=shares)


@when("the runner sends an event each half second for {seconds:d} seconds")
def send_slowly(context, seconds):
    call = context.relay.last_call
    call.begin_stream()
    for number in range(1, 2 * seconds + 1):
        call.listener.answer_data(event(number))
        context.relay.clock.advance(0.5)


@then("{count:d} attempts were made, both at one version")
def attempts_at_one_version(context, count):
    runners = [_runner_of(call) for call in context.relay.pool.calls]
    assert len(runners) == len(set(runners)) == count, runners
    assert len({context.versions[runner] for runner in runners}) == 1, runners


@then("the request's line says that no other runner of its software version may continue it")
def line_says(context):
    lines = [each for each in context.log_records if each["message"] == "request_broken"]
    reason = "no other runner of the software version that began the stream may get it"
    assert [each["extra"]["reason"] for each in lines] == [reason], lines


@then("the leader was asked to avoid the runners of the other version")
def asked_to_avoid(context):
    begun = context.versions[_runner_of(context.relay.pool.calls[0])]
    others = {runner for runner, version in context.versions.items() if version != begun}
    assert others <= set(context.asked[-1].avoid), context.asked[-1]


@then("the request was sent to a runner of {version}")
def sent_to(context, version):
    (call,) = context.relay.pool.calls
    assert context.versions[_runner_of(call)] == version, call


@then("it is refused with 503 and no time to retry")
def lost(context):
    assert not context.relay.pool.calls, context.relay.pool.calls
    assert (context.exchange.status, context.exchange.headers) == (503, ()), context.exchange


@then("it is refused with 503 and a time to retry")
def refused(context):
    assert not context.relay.pool.calls, context.relay.pool.calls
    assert context.exchange.status == 503, context.exchange
    assert [name for name, _ in context.exchange.headers] == [b"retry-after"], context.exchange


@step("the route is split with another service")
def split_route(context):
    shares = (ServiceShare(SERVICE, 0.9), ServiceShare(OTHER_SERVICE, 0.1))
    context.relay.put_route(RouteKind.STREAM.value, resumable=True, version=2, shares=shares)


@step("the route has its first service only again")
def join_route(context):
    context.relay.put_route(RouteKind.STREAM.value, resumable=True, version=3)


@then("the origin is recorded {once}")
def recorded_how(context, once):
    assert context.relay.context.origins.implied == [once == "as implied"]


@then("its origin was recorded {count:d} times as {version}")
def recorded(context, count, version):
    records = context.relay.context.origins.recorded
    assert len(records) == count and len({stream for stream, _ in records}) == 1, records
    assert {origin for _, origin in records} == {StreamOrigin(SERVICE, version)}, records
