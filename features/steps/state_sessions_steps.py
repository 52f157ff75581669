"""Steps on sessions in the replicated state."""

from behave import given, then, when
from features.support.state import SERVICE, Driver

from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, ResourceKey, SessionSpec, SessionStatus
from rainsail.state.commands import (
    AppendTurn,
    AttachSession,
    DeleteResource,
    PutResource,
    SessionView,
    Turn,
)

KEY = ResourceKey(Kind.SESSION, "chat")


def fence(context):
    """Return the session's fence."""
    return context.driver.state.session("chat").fence


@given("a session declared to the replicated state")
def step_declared(context):
    context.driver = Driver()
    context.driver.apply(PutResource("declare", KEY, SessionSpec("north", SERVICE)))
    assert context.driver.state.session("chat") == SessionView("chat", "", "", 0, ())


@when("gateways alpha and beta attach the session of the replicated state at one fence")
def step_attach(context):
    at = fence(context)
    context.attachments = [
        AttachSession("chat", gateway, f"engine-{gateway}", at) for gateway in ("alpha", "beta")
    ]
    context.answers = [context.driver.apply(each) for each in context.attachments]
    context.alpha_fence = fence(context)


@then("alpha got the session of the replicated state and beta a conflict")
def step_one_holds(context):
    attached, refused = context.answers
    assert attached == SessionView("chat", "alpha", "engine-alpha", 1, ()), attached
    assert isinstance(refused, Fault), refused
    assert (refused.code, refused.current_revision) == (FaultCode.CONFLICT, 1), refused


@then("the session's resource in the replicated state names its gateway and runner")
def step_shown(context):
    status = context.driver.state.get(KEY).status
    assert status == SessionStatus("engine-alpha", "alpha", 1, 0), status


@then("alpha's attachment sent again to the replicated state gets the same answer")
def step_again(context):
    assert context.driver.apply(context.attachments[0]) == context.answers[0]


@when("alpha appends two turns to the session of the replicated state, each twice")
def step_turns(context):
    for number in range(2):
        command = AppendTurn("chat", context.alpha_fence, number, Turn(f"ask {number}", "answer"))
        assert context.driver.apply(command) == context.driver.apply(command)


@then("the session of the replicated state has {count:d} turns")
def step_count(context, count):
    turns = context.driver.state.session("chat").turns
    assert [turn.prompt for turn in turns] == [f"ask {number}" for number in range(count)], turns


@when("beta takes the session of the replicated state over")
def step_take_over(context):
    context.driver.apply(AttachSession("chat", "beta", "engine-beta", fence(context)))


@when("alpha appends a third turn to the session of the replicated state")
def step_third(context):
    index = len(context.driver.state.session("chat").turns)
    command = AppendTurn("chat", context.alpha_fence, index, Turn("ask late", "answer"))
    context.answer = context.driver.apply(command)


@then('the replicated state answers the turn with fault "{code}"')
def step_turn_fault(context, code):
    assert isinstance(context.answer, Fault), context.answer
    assert context.answer.code == code, context.answer


@when("the session of the replicated state is deleted and declared again")
def step_redeclared(context):
    context.driver.apply(DeleteResource("delete", KEY))
    assert context.driver.state.session("chat") is None
    context.driver.apply(PutResource("declare again", KEY, SessionSpec("north", SERVICE)))


@when("beta attaches the new session of the replicated state")
def step_attach_new(context):
    view = context.driver.apply(AttachSession("chat", "beta", "engine-beta", fence(context)))
    assert isinstance(view, SessionView), view
