"""Steps on clients that resume their streams, in virtual time."""

from unittest import mock

from behave import given, then, when
from features.support.relaying import PlainProtocol
from features.support.resuming_client import ResumingClient

from rainsail.relay.client_answer import ClientAnswer


@when("a client resumes its stream after event {number:d}")
def take_up(context, number):
    context.exchange = context.relay.request(after_event=number)


@then("the first runner is asked to resume after event {number:d}")
def asked_behind(context, number):
    (call,) = context.relay.pool.calls
    assert call.field(b"after-event") == str(number), call.request.headers


@when("{count:d} clients read streams of {events:d} events that break at random, and resume them")
def read_streams(context, count, events):
    context.clients = [ResumingClient(seed, events) for seed in range(count)]
    for client in context.clients:
        client.run()


@when(
    "{count:d} clients read streams of {events:d} events that break at random, "
    "while {percent:d} % of the runs that resume one send nothing"
)
def read_streams_with_empty_runs(context, count, events, percent):
    context.clients = [ResumingClient(seed, events, percent / 100) for seed in range(count)]
    for client in context.clients:
        client.run()


@then("every stream was complete, and many runs sent nothing")
def all_whole_beside_empty_runs(context):
    clients = context.clients
    faults = [(seed, client.faults[:2]) for seed, client in enumerate(clients) if client.faults]
    assert not faults, (len(faults), faults[:5])
    struck = [client for client in clients if client.empty_runs]
    assert len(struck) > len(clients) // 3, len(struck)


@then("every stream was complete, and many were assembled from several runs")
def all_whole(context):
    clients = context.clients
    faults = [(seed, client.faults[:2]) for seed, client in enumerate(clients) if client.faults]
    assert not faults, faults[:5]
    joined = [client for client in clients if client.runs.joined(client.text)]
    asked_again = [client for client in clients if client.requests > 1]
    assert min(len(joined), len(asked_again)) > len(clients) // 3, (len(joined), len(asked_again))


@then("some stream was incomplete")
def some_not_whole(context):
    assert any(client.faults for client in context.clients)


# --- known-bad variants ----------------------------------------------------------------------


def _take_all(self, events, taken):
    taken += [event.raw for event in events]
    for event in events:
        self.last_event = event.number
    return True


def _relayed_from_the_start(relayed):
    def asking(self, request, target, deadline_left_s, after_event, *identity):
        return relayed(self, request, target, deadline_left_s, None, *identity)

    return asking


DEFECTS = {
    "an event is forwarded whatever came before": (ClientAnswer, "_take_new", _take_all),
    "runs are requested from the start of the stream": (
        PlainProtocol,
        "relayed",
        _relayed_from_the_start(PlainProtocol.relayed),
    ),
}


@given("a relay in which {defect}")
def with_defect(context, defect):
    patched = mock.patch.object(*DEFECTS[defect])
    patched.start()
    context.add_cleanup(patched.stop)
