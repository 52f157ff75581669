"""Steps on sessions: turns, moves, crashes, races."""

from dataclasses import replace
from itertools import pairwise

from behave import given, then, when
from twisted.internet.defer import Deferred

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Outcome
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import AppendTurn

TURN_S = 3.0


@given('a gateway session "{name}"')
def open_session(context, name):
    context.fleet.open_session(name)
    context.chosen = []
    context.imports = []
    for gateway in context.fleet.gateways:
        _note_moves(context, gateway.engine)
        _note_choices(context, gateway.core._context.sessions._placement)


def _note_moves(context, engine):
    import_kv = engine.import_kv

    def imported(address, state):
        context.imports.append((address, state))
        return import_kv(address, state)

    engine.import_kv = imported


def _note_choices(context, placement):
    choose = placement.choose

    def chosen(*arguments):
        context.chosen.append(choose(*arguments))
        return context.chosen[-1]

    placement.choose = chosen


@given('a gateway session "{name}" of another tenant')
def open_other_session(context, name):
    context.fleet.put(Kind.TENANT, "other", TenantSpec(1e9, 1e9))
    context.fleet.open_session(name, "other")


@given("exports of the gateway fleet take {seconds:g} seconds")
def slow_exports(context, seconds):
    for gateway in context.fleet.gateways:
        _slow_export(context.fleet.clock, gateway.engine, seconds)


def _slow_export(clock, engine, seconds):
    export_kv = engine.export_kv

    def export(address, session, fence):
        done = Deferred()
        exported = export_kv(address, session, fence)
        exported.addCallback(lambda reply: clock.callLater(seconds, done.callback, reply))
        return done

    engine.export_kv = export


@given("the answers to recorded turns are lost")
def lose_records(context):
    context.fleet.control.lose_answer = lambda command: isinstance(command, AppendTurn)


@when("answers to recorded turns arrive again")
def keep_records(context):
    context.fleet.control.lose_answer = lambda command: False


@when('turn {number:d} of "{name}" is sent again to gateway {gateway:d}')
def send_again(context, number, name, gateway):
    _send_turn(context, name, gateway, number)


@then('the turn sent again has the answer that the record of "{name}" holds once')
def answered_from_record(context, name):
    first, again = context.fleet.callers
    turns = _view(context, name).turns
    assert [turn.prompt for turn in turns] == [first.request.prompt], turns
    assert [answer.text for answer in again.answers] == [turns[0].answer], again.faults


def _send_turn(context, name, gateway, number=None):
    number = len(context.fleet.callers) if number is None else number
    context.fleet.ask(f"turn-{number}", gateway, prompt=f"And now, {number}? ", session=name)


@when('{count:d} turn of "{name}" is run through gateway {gateway:d}')
@when('{count:d} turns of "{name}" are run through gateway {gateway:d}')
def take_turns(context, count, name, gateway):
    for _ in range(count):
        _send_turn(context, name, gateway)
        context.fleet.run(TURN_S)


@when('{count:d} turns of "{name}" are sent to gateway {gateway:d} at once')
def send_turns(context, count, name, gateway):
    for _ in range(count):
        _send_turn(context, name, gateway)


@when('1 turn of "{name}" is sent to each gateway at once')
def send_to_each(context, name):
    for index in range(len(context.fleet.gateways)):
        _send_turn(context, name, index)


def _view(context, name):
    return context.fleet.state.session(name)


@when('the runner of session "{name}" is drained by its resource')
def drain_runner(context, name):
    context.runner_before = _view(context, name).runner
    _drain(context.fleet, context.runner_before)


def _drain(fleet, runner):
    resource = fleet.state.get(ResourceKey(Kind.RUNNER, runner))
    fleet.put(Kind.RUNNER, runner, replace(resource.spec, drain=True))


@when('the runner that "{name}" is being moved to is drained by its resource')
def drain_target(context, name):
    assert _view(context, name).runner == context.runner_before, "the move is already over"
    context.moved_to = context.chosen[-1]
    _drain(context.fleet, context.moved_to)


@then('session "{name}" continued from the runner that it was moved to first')
def went_on(context, name):
    view = _view(context, name)
    assert view.runner not in (context.runner_before, context.moved_to), view.runner
    assert view.fence == 3, view.fence


@when('the runner of session "{name}" of the gateway fleet crashes')
def crash_runner(context, name):
    context.runner_before = _view(context, name).runner
    context.fleet.engines[context.runner_before].crash()


@then('every turn of "{name}" has the answer that its transcript gives')
def turns_complete(context, name):
    transcript = ""
    callers = [each for each in context.fleet.callers if each.request.session == name]
    assert callers
    for caller in callers:
        request = caller.request
        prompt = transcript + request.prompt
        wanted = expected_answer(request.model, prompt, request.max_tokens, request.seed)
        assert caller.answers, (request.request_id, caller.faults)
        assert caller.text == caller.answers[0].text == wanted, request.request_id
        transcript = prompt + wanted
    recorded = "".join(turn.prompt + turn.answer for turn in _view(context, name).turns)
    assert recorded == transcript


@then('the record of "{name}" holds {turns:d} turns under fence {fence:d}')
def record_holds(context, name, turns, fence):
    view = _view(context, name)
    assert (len(view.turns), view.fence) == (turns, fence), (len(view.turns), view.fence)


@then('session "{name}" is on another runner under fence {fence:d}')
def on_another(context, name, fence):
    view = _view(context, name)
    assert view.runner != context.runner_before, view.runner
    assert view.fence == fence, view.fence


@then('the cache of "{name}" was imported there')
def imported_there(context, name):
    view = _view(context, name)
    resource = context.fleet.state.get(ResourceKey(Kind.RUNNER, view.runner))
    assert len(context.imports) == 1, context.imports
    address, state = context.imports[0]
    assert address == resource.spec.address
    assert state.fence == view.fence and state.tokens > 0, state


@then('all runs of "{name}" were on one runner')
def on_one_runner(context, name):
    runners = {
        engine.runner: True
        for engine in context.fleet.engines.values()
        for record in engine.executions
        if record.session == name
    }
    assert len(runners) == 1, runners


@then('no two runs of "{name}" overlapped')
def no_overlap(context, name):
    records = [
        record
        for engine in context.fleet.engines.values()
        for record in engine.executions
        if record.session == name
    ]
    records.sort(key=lambda record: record.started_s)
    assert records
    for earlier, later in pairwise(records):
        assert earlier.ended_s is not None and earlier.ended_s <= later.started_s, records


@then('each turn of "{name}" was answered and recorded, or reported as unknown or not run')
def answered_or_reported(context, name):
    turns = [(turn.prompt, turn.answer) for turn in _view(context, name).turns]
    assert len(turns) == len(set(turns)) and turns
    for caller in context.fleet.callers:
        assert caller.ended_s is not None, caller.request.request_id
        recorded = [answer for prompt, answer in turns if prompt == caller.request.prompt]
        if caller.answers:
            assert recorded == [caller.answers[0].text]
        else:
            outcome = caller.faults[0].outcome
            assert outcome == Outcome.UNKNOWN or not recorded, (outcome, recorded)


@given('every "{what}" on the gateway\'s links is lost')
def lose_every(context, what):
    context.fleet.network.faults.lose_request = lambda gateway, runner, called: called == what


@when('the runner that "{name}" is being moved from crashes')
def crash_source(context, name):
    assert _view(context, name).runner == context.runner_before, "the move is already over"
    assert context.chosen, "no move has begun"
    context.fleet.engines[context.runner_before].crash()


@then("no cache of a session was imported")
def none_imported(context):
    assert not context.imports, context.imports


@then(
    'the place of "{name}" is explained to its tenant by {count:d} decision '
    "with {candidates:d} candidates"
)
def place_explained(context, name, count, candidates):
    core = context.fleet.gateways[0].core
    spec = context.fleet.state.get(ResourceKey(Kind.SESSION, name)).spec
    decisions = core.explain(f"session/{name}", spec.tenant)
    assert len(decisions) == count, decisions
    assert len(decisions[0].candidates) == candidates, decisions
    assert decisions[0].runner == _view(context, name).runner, decisions
    assert core.explain(f"session/{name}", "another-tenant") == ()
