"""Steps of features/consensus/strangers.feature."""

from behave import then, when

from rainsail.consensus.messages import TimeoutNow
from rainsail.wire.messenger import Messenger

WAIT_S = 3.0


def _term(group):
    return group.running[group.leader()].driver.term()


def _send_campaign_request(context, source, messenger):
    """Send each other replica the message with which a leader transfers its leadership."""
    group = context.consensus
    context.consensus_leader = group.leader()
    context.consensus_term = _term(group)
    leader = group.running[context.consensus_leader].driver.core.state
    for member in leader.membership.members:
        if member.replica not in (source, context.consensus_leader):
            order = TimeoutNow(leader.group, leader.term, leader.identity, member.identity)
            messenger.send(member.replica, order)
    group.clock.advance(WAIT_S)


@when('a process "{name}" asks every replica of the consensus group to campaign')
def step_unknown_sender(context, name):
    group = context.consensus
    _send_campaign_request(context, name, Messenger(group.network.transport(name), group.clock))


@when("a replica of the consensus group gets a campaign request from another replica")
def step_replica(context):
    group = context.consensus
    source = next(name for name in group.names if name != group.leader())
    _send_campaign_request(context, source, Messenger(group.network.transport(source), group.clock))


@then("the consensus group keeps its leader and its term")
def step_kept(context):
    group = context.consensus
    found = (group.leader(), _term(group))
    assert found == (context.consensus_leader, context.consensus_term), found


@then("the consensus group has another term")
def step_other_term(context):
    assert _term(context.consensus) > context.consensus_term
