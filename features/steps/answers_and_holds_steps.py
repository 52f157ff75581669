"""Steps on a controller's proposals to the root group, with a group that decides when told to."""

from types import SimpleNamespace

from behave import given, then, when
from expression import Error, Ok
from features.support.tracker_course import suspect
from twisted.internet.defer import Deferred, succeed

from rainsail.errors import Fault, FaultCode
from rainsail.quarantine.control import QuarantineControl
from rainsail.quarantine.messages import CrashedRun, RequestAnswered, RunnerCrashed
from rainsail.quarantine.suspects import MAX_TRIALS
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import HoldRequest, ReleaseRequest
from rainsail.state.quarantine import QuarantineState

REQUEST, OTHER, ITEM, PART = map(suspect, ("request", "other", "item-1", "part"))
REPORT_DELAY_S = 0.05
WAIT_S = 3.0
STARTED_AFTER_S = 60.0
BEGAN_BEFORE_S = 30.0
TRIAL_AFTER_S = 5.0


class _Group:
    """A root group that decides all proposals at once when it is told to."""

    def __init__(self):
        self.leads = True
        self.is_overloaded = False
        self.refused = 0
        self.proposed = []

    def is_leader(self):
        return self.leads

    def propose(self, command):
        if self.is_overloaded:
            self.refused += 1
            return succeed(Error(Fault(FaultCode.OVERLOADED, "group.propose", "too many")))
        done = Deferred()
        self.proposed.append((command, done))
        return done


class _Messenger:
    """Passes messages to the controller, and drops what it sends."""

    def __init__(self):
        self.handlers = {}

    def serve(self, kind, handler):
        self.handlers[kind] = handler

    def send_all(self, nodes, message):
        pass


@given("a leading controller whose decisions take a while")
def controller(context):
    context.clock = VirtualClock()
    context.group, context.messenger = _Group(), _Messenger()
    context.list = QuarantineState()
    context.control = QuarantineControl(
        context.messenger,
        context.clock,
        context.group,
        SimpleNamespace(quarantine=context.list),
        SimpleNamespace(take_quarantine=lambda quarantine: None),
        None,
        tuple,
    )
    context.clock.advance(STARTED_AFTER_S)


def _crash(context, number, fingerprints, ran_s=0.1, age_s=REPORT_DELAY_S):
    runs = tuple(CrashedRun(each, ran_s, 0.0) for each in fingerprints)
    message = RunnerCrashed(f"runner-{number}", runs, age_s)
    context.messenger.handlers[RunnerCrashed]("gateway-1", message)
    context.clock.advance(REPORT_DELAY_S)


def _answer(context, fingerprint):
    context.messenger.handlers[RequestAnswered]("gateway-1", RequestAnswered(fingerprint))


def _look(context, for_s):
    context.clock.advance(for_s)
    context.control.look()


@when("3 runners crash under one request, and its hold is proposed")
def crash_request(context):
    for number in range(3):
        _crash(context, number, (REQUEST,))
    _look(context, WAIT_S)
    assert [command for command, _ in context.group.proposed] == [HoldRequest(REQUEST)]


@when("a part is held for crashes of three items, and one of them crashes two more runners")
def crash_part(context):
    for number, item in enumerate((REQUEST, OTHER, ITEM)):
        cleared = suspect(f"cleared-{number}")
        _crash(context, number, (PART, item, cleared))
        _answer(context, cleared)
    _look(context, WAIT_S)
    decide(context)
    assert [each.fingerprint for each in context.list.snapshot().requests] == [PART]
    for number in (3, 4):
        _crash(context, number, (PART, ITEM), BEGAN_BEFORE_S)
    _look(context, WAIT_S)
    assert not context.group.proposed


@when("the request is answered before the hold is decided")
def answer_request(context):
    _answer(context, REQUEST)


@when("the controller leads no more, and the request is answered")
def answer_without_leader(context):
    context.group.leads = False
    _answer(context, REQUEST)


@when("the controller leads again")
def lead_again(context):
    context.group.leads = True
    _look(context, WAIT_S)


@when("all proposals are decided")
def decide(context):
    while context.group.proposed:
        command, done = context.group.proposed.pop(0)
        if isinstance(command, HoldRequest):
            context.list.hold(command.fingerprint)
        else:
            context.list.release(command.fingerprint, command.times, command.forget)
        context.control.applied()
        done.callback(Ok(None))


@when("the group refuses proposals, and the request is answered")
def answer_overloaded(context):
    context.group.is_overloaded = True
    _answer(context, REQUEST)
    _look(context, WAIT_S)


@then("each look proposes its release once, and nothing counts as refuted")
def proposed_once(context):
    assert context.group.refused == 2, context.group.refused
    assert context.control.holds_refuted == 0, context.control.holds_refuted


@when("all its trials crash, of which all but the first are reported after the next hold")
def crash_trials(context):
    context.clock.advance(TRIAL_AFTER_S)
    _crash(context, 10, (REQUEST,))
    _look(context, WAIT_S)
    decide(context)
    for number in range(1, MAX_TRIALS):
        _crash(context, 10 + number, (REQUEST,), age_s=WAIT_S + 2 * REPORT_DELAY_S)
    _look(context, WAIT_S)
    decide(context)


@then("the request is held, as it may not be tried any more")
def held_for_good(context):
    (entry,) = context.list.snapshot().requests
    assert entry.held, entry


@then("the list is empty")
def is_empty(context):
    assert not context.list.snapshot().requests, context.list.snapshot()


@when("the part is answered")
def answer_part(context):
    _answer(context, PART)


@then("the item's hold is proposed before the part's release")
def item_first(context):
    commands = [command for command, _ in context.group.proposed]
    assert commands == [HoldRequest(ITEM), ReleaseRequest(PART, 1, True)], commands
