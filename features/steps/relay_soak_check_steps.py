"""Steps on the checks of the relay's soak test, with hand-made histories."""

from dataclasses import replace

from behave import given, then
from features.support.relay_soak.checks import Judge
from features.support.relay_soak.content import (
    event,
    events,
    failure_body,
    last_event,
    whole_body,
    whole_stream,
)
from features.support.relay_soak.history import (
    ClientRequest,
    ConnectionLoss,
    Ending,
    Framing,
    History,
    Kind,
    Outcome,
    RunnerRun,
)

PLAIN, STREAM = "plain-1", "stream-3"
RUNNER = "runner-1"


def _request(request, kind, body):
    return ClientRequest(request, kind, None, 4.0, 1.0, 200, body, Outcome.COMPLETE, 2.0)


def _run(request, body):
    return RunnerRun(
        request, RUNNER, None, True, 200, Framing.CHUNKS, body, True, Ending.KEEP, 1.0, 4.0
    )


def _clean():
    stream, body = whole_stream(STREAM, None), whole_body(PLAIN)
    requests = [_request(PLAIN, Kind.UNSAFE, body), _request(STREAM, Kind.RESUMABLE, stream)]
    return History(requests, [_run(PLAIN, body), _run(STREAM, stream)])


def _end_between_events(history, framing):
    """End the client's stream before the last event, as its runner did."""
    short = events(STREAM, 1, last_event(STREAM) - 1)
    history.requests[1].body = short
    history.runs[1] = replace(
        history.runs[1], body=short, framing=framing, whole=False, ending=Ending.CLOSE
    )


def _cut_unframed(history, *other_losses):
    """Cut the client's answer, though its runner sent all of it unframed, and then closed."""
    history.requests[0].outcome = Outcome.CUT
    run = replace(history.runs[0], framing=Framing.CLOSE, ending=Ending.CLOSE)
    history.runs[0] = run
    history.losses += [ConnectionLoss(RUNNER, 2.0, False, run), *other_losses]


def _fail(history, body):
    history.requests[0].status = 500
    history.requests[0].body = body
    history.runs[0] = replace(history.runs[0], status=500, body=failure_body(PLAIN, 500, 9))


@given("a history of relaying in which {what}")
def make_relay_history(context, what):
    context.relay_history = history = _clean()
    plain, stream = history.requests
    match what:
        case "all went well":
            pass
        case "a request was never answered":
            plain.outcome, plain.ended_s, plain.status = Outcome.WAITING, None, 0
        case "a request was cut after its deadline":
            plain.outcome, plain.ended_s = Outcome.CUT, 5.2
        case "an unsafe request ran at two runners":
            history.runs.append(history.runs[0])
        case "a request ran at more runners than its route allows":
            others = (replace(history.runs[1], runner=f"runner-{n}") for n in range(2, 6))
            history.runs += others
        case "a runner was told of more time than was left":
            late = replace(history.runs[1], runner="runner-2", began_s=1.6, told_left_s=4.0)
            history.runs.append(late)
        case "a runner was told of no deadline":
            history.runs[1] = replace(history.runs[1], told_left_s=None)
        case "a request that had run was answered 503":
            plain.status, plain.body = 503, b""
        case "bytes came after an answer":
            plain.surplus = b"x"
        case "a body lacks its end":
            plain.body = plain.body[:-1]
        case "a whole answer was cut":
            plain.outcome = Outcome.CUT
        case "a whole unframed answer was cut":
            _cut_unframed(history)
        case "a whole unframed answer was cut, and its runner lost others at other times":
            losses = ((1.9, False), (2.1, False), (1.9, True), (2.1, True))
            _cut_unframed(history, *(ConnectionLoss(RUNNER, at_s, how) for at_s, how in losses))
        case "a whole unframed answer was cut, and another runner lost one with it":
            _cut_unframed(history, ConnectionLoss("runner-2", 2.0, False))
        case "a whole answer in chunks was cut, and its runner lost another connection with it":
            _cut_unframed(history, ConnectionLoss(RUNNER, 2.0, False))
            history.runs[0] = replace(history.runs[0], framing=Framing.CHUNKS)
        case "a whole unframed answer was cut, and its runner lost another connection with it":
            _cut_unframed(history, ConnectionLoss(RUNNER, 2.0, False))
        case "a whole unframed answer was cut, and its runner refused a connection behind it":
            _cut_unframed(history, ConnectionLoss(RUNNER, 2.01, True))
        case "an answer was cut that its runner never began to send":
            plain.outcome = Outcome.CUT
            history.unsent.append(history.runs[0])
        case "a failure lacks its end":
            _fail(history, b"half")
        case "a safe request failed though its run was whole":
            plain.kind, plain.status, plain.body = Kind.SAFE, 502, b""
        case "a complete failure was forwarded":
            _fail(history, failure_body(PLAIN, 500, 9))
        case "an event came twice":
            stream.body = event(STREAM, 1) + stream.body
        case "a stream in chunks ends between two events":
            _end_between_events(history, Framing.CHUNKS)
        case "an unframed stream ends between two events":
            _end_between_events(history, Framing.CLOSE)
        case "an unframed stream ends before its runner's close":
            _end_between_events(history, Framing.CLOSE)
            stream.body = events(STREAM, 1, last_event(STREAM) - 2)
        case "an unframed stream ends without any event":
            _end_between_events(history, Framing.CLOSE)
            stream.body = b""
            history.runs[1] = replace(history.runs[1], body=b"")
        case _:
            raise AssertionError(f"no such history: {what}")


@then('the judge of relaying finds "{words}"')
def judge_finds(context, words):
    found = Judge(context.relay_history).violations()
    assert len(found) == 1 and words in found[0], found


@then("the judge of relaying finds nothing, and {count:d} streams whose end is unclear")
def judge_finds_nothing(context, count):
    judge = Judge(context.relay_history)
    assert judge.violations() == []
    assert judge.unclear == count, judge.unclear
