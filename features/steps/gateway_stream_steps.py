"""Steps that inject faults into links, engines and callers during streams."""

from behave import given, then, when
from features.support.gateway import SERVICE

from rainsail.resources.specs import RequestClass
from rainsail.state.commands import ClaimRequest

LAST_CHUNKS_FROM_TOKEN = 35
"""Callers ask for 40 tokens unless the step says otherwise."""


@given("every chunk on the gateway's links arrives twice")
def double_chunks(context):
    context.fleet.network.faults.chunk = lambda gateway, runner, chunk: (0.0, 0.02)


@given("every third chunk on the gateway's links is 30 ms late")
def delay_chunks(context):
    def late(gateway, runner, chunk):
        return (0.03,) if chunk.sequence % 3 == 1 else (0.0,)

    context.fleet.network.faults.chunk = late
    context.fleet.count_calls("resume")


@given("every tenth chunk on the gateway's links is lost once")
def lose_chunks(context):
    _lose_once(context.fleet, lambda chunk: chunk.sequence % 10 == 9)


def _lose_once(fleet, chosen):
    lost = {}

    def lose(gateway, runner, chunk):
        key = (chunk.attempt_id, chunk.sequence)
        if chosen(chunk) and key not in lost:
            lost[key] = True
            return ()
        return (0.0,)

    fleet.network.faults.chunk = lose


@given("the first cancel on the gateway's links is lost")
def lose_first_cancel(context):
    lost = []

    def lose(gateway, runner, what):
        if what == "cancel" and not lost:
            lost.append(what)
            return True
        return False

    context.fleet.network.faults.lose_request = lose


@given("the first end on the gateway's links is lost")
def lose_first_end(context):
    lost = []

    def lose(gateway, runner, what):
        if what == "generate" and not lost:
            lost.append(what)
            return True
        return False

    context.fleet.network.faults.lose_reply = lose


@given("the answers to claims are lost")
def lose_claims(context):
    context.fleet.control.lose_answer = lambda command: isinstance(command, ClaimRequest)


@when("the answers to claims arrive again")
def hear_claims(context):
    context.fleet.control.lose_answer = lambda command: False


@given("every engine of the gateway fleet refuses without saying so in its reports")
def refuse_all(context):
    for engine in context.fleet.engines.values():
        engine._refusal = lambda request, sequence: "out of order"


@when("every stream of gateway {index:d} is reset")
def reset_streams(context, index):
    for runner in context.fleet.engines:
        context.fleet.network.break_streams(f"gateway-{index}", runner)


@when('the link from gateway {index:d} to "{runner}" is cut')
def cut_link(context, index, runner):
    context.fleet.network.cut(f"gateway-{index}", runner)


@when(
    'the link from gateway {index:d} to the runner of "{request_id}" is reset and cut '
    "for {seconds:g} seconds"
)
def cut_for(context, index, request_id, seconds):
    network = context.fleet.network
    link = (f"gateway-{index}", context.fleet.runner_of(request_id))
    network.cut(*link)
    network.break_streams(*link)
    context.fleet.run(seconds)
    network.heal(*link)


@when('"{runner}" of the gateway fleet crashes')
def crash(context, runner):
    context.fleet.engines[runner].crash()


@when('the runner of "{request_id}" crashes')
def crash_runner_of(context, request_id):
    context.fleet.engines[context.fleet.runner_of(request_id)].crash()


@when("gateway caller {index:d} stops reading")
def stop_reading(context, index):
    context.fleet.callers[index].handle.pause()


@when("gateway caller {index:d} reads again")
def read_again(context, index):
    context.fleet.callers[index].handle.unpause()


@when("gateway caller {index:d} disconnects")
def leave(context, index):
    context.fleet.callers[index].handle.abandon()


@when("a gateway caller asks for {tokens:d} tokens")
def ask_tokens(context, tokens):
    context.fleet.ask(f"long-{len(context.fleet.callers)}", tokens=tokens)


@when("a gateway caller asks with a deadline of {deadline_s:g} seconds")
def ask_deadline(context, deadline_s):
    context.fleet.ask(f"due-{len(context.fleet.callers)}", deadline_s=deadline_s)


@when("a gateway caller asks for {tokens:d} tokens with a deadline of {deadline_s:g} seconds")
def ask_tokens_deadline(context, tokens, deadline_s):
    name = f"due-{len(context.fleet.callers)}"
    context.fleet.ask(name, tokens=tokens, deadline_s=deadline_s)


@when("{count:d} gateway callers ask, {gap_ms:d} ms apart")
def ask_spread(context, count, gap_ms):
    context.fleet.count_calls("generate")
    for index in range(count):
        context.fleet.ask(f"spread-{index}")
        context.fleet.run(gap_ms / 1000.0)


@when('a non-repeatable request "{request_id}" with other content is sent to gateway {index:d}')
def ask_other_content(context, request_id, index):
    context.fleet.ask(request_id, index, prompt="another cage", class_=RequestClass.NON_REPEATABLE)


@then("no stream of the gateway was resumed")
def none_resumed(context):
    assert context.fleet.calls["resume"] == 0, context.fleet.calls


@then("the gateway sent at most {count:d} attempts")
def attempts_sent(context, count):
    sent = context.fleet.calls["generate"]
    assert len(context.fleet.callers) <= sent <= count, f"{sent} attempts"


@then("each request of the gateway fleet was run {count:d} time")
def each_run(context, count):
    for caller in context.fleet.callers:
        runs = context.fleet.runs_of(caller.request.request_id)
        assert runs == count, f"{caller.request.request_id} was run {runs} times"


@then("some request of the gateway fleet was run {count:d} times")
def some_run(context, count):
    runs = [context.fleet.runs_of(each.request.request_id) for each in context.fleet.callers]
    assert max(runs) == count, runs


@then("gateway caller {index:d} receives nothing for {seconds:d} seconds")
def receives_nothing(context, index, seconds):
    caller = context.fleet.callers[index]
    received = len(caller.parts)
    assert 0 < received < caller.request.max_tokens
    context.fleet.run(seconds)
    assert len(caller.parts) == received and caller.ended_s is None, caller.faults


@then("gateway caller {index:d} received no end")
def received_no_end(context, index):
    assert context.fleet.callers[index].ended_s is None


@then("every run of the gateway fleet has ended")
def all_ended(context):
    records = [record for engine in context.fleet.engines.values() for record in engine.executions]
    assert records
    assert all(record.ended_s is not None for record in records), records


@then("no runner of the gateway has work in flight")
def none_in_flight(context):
    for gateway in context.fleet.gateways:
        for state in gateway.fleet.runners_of(SERVICE):
            assert not state.attempts and state.online_running == 0, state.attempts


@then('gateway caller {index:d} got the outcome "{outcome}" with a retry-after time')
def outcome_with_retry_after(context, index, outcome):
    caller = context.fleet.callers[index]
    assert [fault.outcome.value for fault in caller.faults] == [outcome], caller.faults
    assert caller.faults[0].retry_after_s, caller.faults


@then("gateway caller {index:d} had its end within {seconds:g} seconds")
def end_within(context, index, seconds):
    caller = context.fleet.callers[index]
    assert caller.took_s <= seconds + 1e-9, caller.took_s


@then('every gateway caller got the outcome "{outcome}"')
def all_outcomes(context, outcome):
    for caller in context.fleet.callers:
        assert [fault.outcome.value for fault in caller.faults] == [outcome], caller.faults


@given("the last chunks of each stream on the gateway's links are lost once")
def lose_last_chunks(context):
    _lose_once(context.fleet, lambda chunk: chunk.offset >= LAST_CHUNKS_FROM_TOKEN)


@given('every chunk from "{late_runner}" to the gateway comes {seconds:g} seconds late')
def delay_runner(context, late_runner, seconds):
    def late(gateway, runner, chunk):
        return (seconds,) if runner == late_runner else (0.0,)

    context.fleet.network.faults.chunk = late


@given("the attempts of the gateway are recorded")
def note_attempts(context):
    context.attempts = {}
    fleet = context.fleet
    engine = fleet.gateways[0].engine
    generate = engine.generate

    def record(address, request, listener):
        sent = context.attempts.setdefault(request.request_id, [])
        sent.append((fleet.clock.seconds(), request.deadline_s))
        generate(address, request, listener)

    engine.generate = record


@when("{count:d} gateway callers ask for {tokens:d} tokens each")
def ask_long(context, count, tokens):
    for index in range(count):
        context.fleet.ask(f"long-{index}", tokens=tokens)


@when("every gateway caller stops reading")
def all_stop_reading(context):
    for caller in context.fleet.callers:
        caller.handle.pause()


@when("every gateway caller reads again")
def all_read_again(context):
    for caller in context.fleet.callers:
        caller.handle.unpause()


@when("gateway {index:d} of the gateway fleet is killed")
def kill_gateway(context, index):
    context.fleet.gateways[index].clock.stop()


@then("gateway {index:d} holds no undelivered part of an answer")
def holds_nothing(context, index):
    runs = list(context.fleet.gateways[index].core._runs)
    assert len(runs) == len(context.fleet.callers)
    given_to = {caller.request.request_id: caller.text for caller in context.fleet.callers}
    for run in runs:
        assert run._delivery.text == given_to[run.caller.request_id]
        assert not run.attempt._attempt._held


@then("every gateway caller has received less than {tokens:d} tokens")
def given_less(context, tokens):
    for caller in context.fleet.callers:
        assert 0 < len(caller.parts) < tokens, len(caller.parts)


@then(
    "the second attempts of the gateway came {low_ms:d} to {high_ms:d} ms after the first, "
    "spread over {spread_ms:d} ms or more"
)
def spread_attempts(context, low_ms, high_ms, spread_ms):
    assert len(context.attempts) == len(context.fleet.callers)
    waited_ms = [(second[0] - first[0]) * 1000.0 for first, second, *_ in context.attempts.values()]
    assert low_ms <= min(waited_ms) and max(waited_ms) <= high_ms, waited_ms
    assert max(waited_ms) - min(waited_ms) >= spread_ms, waited_ms


@then(
    "each attempt of the gateway carried less than the {seconds:g} seconds "
    "and less than the one before"
)
def deadline_carried(context, seconds):
    (sent,) = context.attempts.values()
    carried = [deadline_s for _, deadline_s in sent]
    assert len(carried) >= 2 and carried[0] < seconds, carried
    assert carried == sorted(carried, reverse=True) and len(set(carried)) == len(carried), carried
