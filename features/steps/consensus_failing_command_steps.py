"""Steps on failing commands and listeners in a simulated consensus group."""

from behave import given, step, then, when

from rainsail.errors import FaultCode, Outcome
from rainsail.logs import logger
from rainsail.state.commands import MarkInForce

ERRORS = {
    "MemoryError": MemoryError,
    "OSError": OSError,
    "RecursionError": RecursionError,
}


@given("{count:d} numbers are committed in the consensus group")
@then("{count:d} more numbers are committed in the consensus group")
def commit_numbers(context, count):
    context.consensus.commit(count)


def _fail_at(member, number):
    apply = member.state.apply

    def failing(index, command):
        if isinstance(command, MarkInForce) and command.revision == number:
            raise KeyError("a bug")
        return apply(index, command)

    member.state.apply = failing


def _patch_starts(group, number):
    """Make replicas that start later fail at the number too."""
    start = group.start

    def patched(name, *arguments):
        start(name, *arguments)
        _fail_at(group.running[name], number)

    group.start = patched


@when("each replica's state machine fails at the next number")
def fail_everywhere(context):
    group = context.consensus
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    number = group.next_number
    group.next_number += 1
    for name in group.names:
        _fail_at(group.running[name], number)
    _patch_starts(group, number)
    results = group.propose(group.leader(), number)
    group.run_until(lambda: bool(results), "an answer to the proposer", 5)
    (context.failed_result,) = results


@then("its proposer gets an internal fault whose outcome is unknown")
def proposer_gets_fault(context):
    fault = context.failed_result.error
    assert (fault.code, fault.step) == (FaultCode.INTERNAL, "consensus.apply"), fault
    assert fault.outcome == Outcome.UNKNOWN, fault


@then("each replica has applied all acknowledged numbers")
def applied_everywhere(context):
    group = context.consensus
    for name in group.names:
        group.run_until(lambda name=name: group.holds_acknowledged(name), f"{name} to catch up")
        assert not group.running[name].faults, group.running[name].faults


@then('the log of "command_failed" names the entry and the command')
def failure_logged(context):
    records = [each for each in context.log_records if each["message"] == "command_failed"]
    assert len(records) == len(context.consensus.names), records
    assert {each["extra"]["command"] for each in records} == {"MarkInForce"}
    assert len({each["extra"]["index"] for each in records}) == 1


@step("the leader of the consensus group loses its power and starts again")
def restart_leader(context):
    group = context.consensus
    name = group.leader()
    context.former_leader = name
    group.crash(name)
    group.run_until(lambda: bool(group.leaders()), "the next leader")
    group.start(name)


@when("a follower's state machine raises {error} at the next entry")
def raise_locally(context, error):
    def failing(index, command):
        raise ERRORS[error]("here alone")

    context.unreadable_at = context.consensus.followers()[0]
    context.consensus.running[context.unreadable_at].state.apply = failing


def _fail(news):
    raise KeyError("a bug in a listener")


@when("a listener to the leader's applied entries fails, with another one registered after it")
def fail_listener(context):
    group = context.consensus
    driver = group.driver(group.leader())
    context.notified = []
    driver.on_applied(_fail)
    driver.on_applied(context.notified.append)


@then("the other listener was notified of each of them")
def other_notified(context):
    group = context.consensus
    assert context.notified[-1] == group.driver(group.leader())._applier.applied_index


@when("the first listener to each replica's leadership fails")
def fail_leadership_listener(context):
    group = context.consensus
    group.leader()
    context.leadership = {}
    for name in group.names:
        context.leadership[name] = []
        driver = group.driver(name)
        driver._leadership._listeners.insert(0, _fail)
        driver.on_leadership(context.leadership[name].append)


@then("the next leader's other listener was notified that it leads")
def other_notified_of_leadership(context):
    assert context.leadership[context.consensus.leader()] == [True], context.leadership
