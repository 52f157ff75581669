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
    Crash,
    Ending,
    Framing,
    History,
    Kind,
    Outcome,
    RunnerRun,
)

PLAIN, STREAM = "plain-1", "stream-3"
RUNNER = "runner-1"
RUNNERS = (RUNNER, "runner-2", "runner-3")


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


def _end_with_process(history, place, framing):
    """Let a runner's process end inside an answer that its client got as complete."""
    request, run = history.requests[place], history.runs[place]
    request.body = events(STREAM, 1, last_event(STREAM) - 1) if place else request.body[:-1]
    history.runs[place] = replace(run, framing=framing, whole=False, crashed_s=1.5)
    history.crashes.append(Crash(RUNNER, 1.5, 3.5))


def _end_with_empty_runs(history, count, framing=Framing.CHUNKS):
    """Break a stream off; ``count`` runs that go on with it bring nothing."""
    begun_behind = last_event(STREAM) - 1
    _end_between_events(history, Framing.CHUNKS)
    history.requests[1].body = events(STREAM, 1, begun_behind)
    _go_on_with_nothing(history, begun_behind, count, framing)


def _go_on_with_nothing(history, begun_behind, count, framing):
    is_framed = framing != Framing.CLOSE
    for number in range(2, 2 + count):
        empty = replace(
            history.runs[1],
            runner=f"runner-{number}",
            after_event=begun_behind,
            framing=framing,
            body=b"",
            whole=False,
            ending=Ending.KEEP if is_framed else Ending.CLOSE,
            states_early_end=is_framed,
        )
        history.runs.append(empty)


def _cut_whole_unframed(history, place):
    history.requests[place].outcome = Outcome.CUT
    history.runs[place] = replace(history.runs[place], framing=Framing.CLOSE, ending=Ending.CLOSE)


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
        case "a stream with a length ends between two events":
            _end_between_events(history, Framing.LENGTH)
        case "an unframed stream ends between two events, and another runner is free":
            _end_between_events(history, Framing.CLOSE)
            history.runners = RUNNERS
        case "an unframed stream that may run once ends between two events":
            _end_between_events(history, Framing.CLOSE)
            stream.kind, history.runners = Kind.STREAM, RUNNERS
        case "an unframed stream ends between two events, and no attempt is left":
            _end_between_events(history, Framing.CLOSE)
            stream.max_attempts, history.runners = 1, RUNNERS
        case "an unframed stream ends between two events, and no time is left":
            _end_between_events(history, Framing.CLOSE)
            stream.ended_s, history.runners = 4.5, RUNNERS
        case "an unframed stream ends between two events, and all other runners are down":
            _end_between_events(history, Framing.CLOSE)
            history.runners = RUNNERS
            history.crashes = [Crash(name, 1.5, 3.5) for name in RUNNERS[1:]]
        case "an unframed stream that may run once ends with its runner's process":
            _end_with_process(history, 1, Framing.CLOSE)
            stream.kind = Kind.STREAM
        case "an unframed resumable stream ends with its runner's process":
            _end_with_process(history, 1, Framing.CLOSE)
        case "a stream in chunks ends with its runner's process":
            _end_with_process(history, 1, Framing.CHUNKS)
        case "an unframed body ends with its runner's process":
            _end_with_process(history, 0, Framing.CLOSE)
        case "an unframed failure ends with its runner's process":
            _fail(history, b"half")
            history.runs[0] = replace(history.runs[0], framing=Framing.CLOSE, crashed_s=1.5)
        case "a run that goes on with a stream brings nothing, in chunks":
            _end_with_empty_runs(history, 1)
            history.runners = RUNNERS
        case "a run that goes on with a stream brings nothing, unframed":
            _end_with_empty_runs(history, 1, Framing.CLOSE)
        case "a run that goes on with a stream brings nothing, and no other runner is left":
            _end_with_empty_runs(history, 1)
        case "two runs that go on with a stream bring nothing":
            _end_with_empty_runs(history, 2)
            history.runners = RUNNERS
        case "one runner twice brings nothing when it goes on with a stream":
            _end_with_empty_runs(history, 1)
            history.runs.append(history.runs[-1])
            history.runners = RUNNERS
        case "a client that goes on with its stream gets nothing":
            stream.after_event, stream.body = 1, b""
            del history.runs[1]
            history.runs.append(replace(_run(STREAM, b""), whole=False, after_event=1))
            history.runs[1] = replace(history.runs[1], states_early_end=True)
            history.runners = RUNNERS
        case "an answer has status 600":
            plain.status = 600
            history.runs[0] = replace(history.runs[0], status=600)
        case "an answer has status 099":
            plain.status = 99
            history.runs[0] = replace(history.runs[0], status=99)
        case "a whole unframed body was cut":
            _cut_whole_unframed(history, 0)
        case "a whole unframed stream was cut":
            _cut_whole_unframed(history, 1)
        case "a whole unframed stream was cut though another runner agrees":
            _cut_whole_unframed(history, 1)
            _go_on_with_nothing(history, last_event(STREAM), 1, Framing.CHUNKS)
            history.runs[-1] = replace(history.runs[-1], whole=True, states_early_end=False)
        case "a whole unframed stream was cut at a crash of its runner":
            _cut_whole_unframed(history, 1)
            history.crashes = [Crash(RUNNER, 1.9, 3.9)]
        case "a whole unframed stream was cut before a crash of its runner":
            _cut_whole_unframed(history, 1)
            history.crashes = [Crash(RUNNER, 2.1, 4.1)]
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
