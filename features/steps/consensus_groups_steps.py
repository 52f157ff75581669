"""Steps on many consensus groups in the same processes."""

from behave import given, then, when
from features.support.consensus_groups import SharedGroups


@given("{groups:d} consensus groups on the same {replicas:d} replicas")
def shared_groups(context, groups, replicas):
    """Start them all and wait for their leaders."""
    context.consensus_groups = SharedGroups(groups, replicas)


@when("one replica leads all of those consensus groups")
def one_leads_all(context):
    """Transfer leadership until the first replica leads all groups."""
    groups = context.consensus_groups
    wanted = groups.names[0]

    def handed_over() -> bool:
        for group in groups.groups:
            leader = groups.leader(group)
            if leader and leader != wanted:
                driver = groups.processes[leader].drivers[group]
                if not driver.core.state.transfer_target:
                    driver.transfer_leadership()
        return all(groups.leader(group) == wanted for group in groups.groups)

    groups.run_until(handed_over)


@when("those consensus groups run {seconds:g} seconds with nothing to do")
def run_idle(context, seconds):
    """Measure the rate of messages that each replica receives."""
    groups = context.consensus_groups
    before = {name: process.transport.traffic.messages_received for name, process in _each(groups)}
    context.consensus_leaders = [groups.leader(group) for group in groups.groups]
    groups.clock.advance(seconds)
    context.consensus_rates = {
        name: (process.transport.traffic.messages_received - before[name]) / seconds
        for name, process in _each(groups)
    }


def _each(groups):
    return list(groups.processes.items())


@then("each replica got at most {limit:d} messages a second for all of those consensus groups")
def few_messages(context, limit):
    """Check the rates: at a period of 0.15 s, about 7 heartbeats a second and as many replies."""
    followers = {
        name: rate
        for name, rate in context.consensus_rates.items()
        if name not in context.consensus_leaders
    }
    assert all(rate <= limit for rate in followers.values()), context.consensus_rates
    assert all(rate <= 2 * limit for rate in context.consensus_rates.values())
    assert min(context.consensus_rates.values()) > 5, context.consensus_rates


@then("no consensus group of those changed its leader")
def same_leaders(context):
    """Check that merged heartbeats reach every group: no election took place."""
    groups = context.consensus_groups
    assert [groups.leader(group) for group in groups.groups] == context.consensus_leaders


@when("{count:d} numbers are committed in each of those consensus groups")
def commit_in_each(context, count):
    """Commit numbers that are unique to each group."""
    groups = context.consensus_groups
    for group in groups.groups:
        for _ in range(count):
            groups.commit(group, group * 1_000 + len(groups.committed[group]))


@when("a replica that leads some of those consensus groups loses power")
def crash_a_leader(context):
    """Cut the power of the first group's leader."""
    context.consensus_down = context.consensus_groups.leader(0)
    context.consensus_groups.crash(context.consensus_down)


@when("that replica of the consensus groups starts again")
def start_again(context):
    """Restart the replica on its disk."""
    context.consensus_groups.start(context.consensus_down)


@then("every replica applies exactly the numbers of each of those consensus groups")
def exact_numbers(context):
    """Check that each replica holds the numbers of each group and no others."""
    groups = context.consensus_groups
    for name in groups.names:
        for group, numbers in groups.committed.items():
            groups.run_until(
                lambda name=name, group=group, numbers=numbers: (
                    group in groups.processes[name].states
                    and groups.processes[name].states[group].numbers == numbers
                )
            )
