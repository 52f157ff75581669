"""Steps on a simulated consensus group."""

from behave import given, step, then, when
from features.support.consensus import SimulatedGroup


@given("a consensus group of {count:d} replicas")
def start_group(context, count):
    """Start a group and wait for its leader."""
    context.consensus = SimulatedGroup([f"replica-{i}" for i in range(1, count + 1)], seed=7)
    context.consensus.leader()


@step("{count:d} numbers are committed in the consensus group")
def commit_numbers(context, count):
    """Commit numbers one after the other."""
    context.consensus.commit(count)


@when("the leader of the consensus group crashes")
def crash_leader(context):
    """Cut the leader's power."""
    context.consensus_down = context.consensus.leader()
    context.consensus.crash(context.consensus_down)


@when("the crashed replica of the consensus group starts again")
def start_crashed(context):
    """Start the crashed replica on its disk."""
    context.consensus.start(context.consensus_down)


@then("every replica of the consensus group applies all of them")
def all_apply(context):
    """Check that every replica applies all acknowledged numbers."""
    group = context.consensus
    for name in group.names:
        group.run_until(lambda name=name: group.holds_acknowledged(name), f"{name} caught up")
