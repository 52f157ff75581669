"""Steps on reports of runs that have gone on for a while."""

from behave import step, then, when

from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.run_times import RunTimes
from rainsail.routing.facts import PromptPart

SERVICE = "model"


def _fingerprint(part: str) -> bytes:
    prompt = (PromptPart(part, 1), PromptPart("own", 1))
    (fingerprint,) = part_fingerprints("", SERVICE, "", prompt)
    return fingerprint


@when(
    'the ledger\'s leader sees a run of "{first}" go on at a runner, and {later_s:g} s later one '
    'of "{second}"'
)
def runs_go_on(context, first, later_s, second):
    fleet = context.fleet
    context.dispatch_node = node = fleet.nodes[fleet.leader("storage")].role.dispatcher._node
    context.record = node.registry.ready(SERVICE)[0]
    node.guard.answered(context.record, [_fingerprint(first)], proves_survival=False)
    fleet.run_for(later_s)
    node.guard.answered(context.record, [_fingerprint(second)], proves_survival=False)


@step('the connection of the run of "{part}" ends')
def connection_ends(context, part):
    node = context.dispatch_node
    times = RunTimes(node.clock.seconds())
    fingerprints = [b"0123456789abcdef", _fingerprint(part)]
    node.guard.connection_ended(context.record, fingerprints, [part], times)


@then("none of the parts is on the list")
def list_is_empty(context):
    assert not context.fleet.decided().requests, context.fleet.decided()


@then('only the part "{part}" is on the list')
def only_one(context, part):
    listed = [each.fingerprint for each in context.fleet.decided().requests]
    assert listed == [_fingerprint(part)], listed
