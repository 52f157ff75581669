"""Founding a group: once, by the first replica of the bootstrap list, by unanimous vote.

Founding is an election in which every bootstrap replica must grant its vote, and only a replica
with an empty log does. Once any replica holds the founding entry, no second founding can succeed,
so a replica that returns with an empty disk can't found the group again.

A founder repeats its request in the same term until a vote is refused. It stops for good once a
replica replies that the group exists: otherwise its term would keep growing and depose the
group's leader as soon as the returned replica is added as a learner.
"""

from rainsail.consensus import following, leading
from rainsail.consensus.core_state import CoreState, JoinCandidate, Role
from rainsail.consensus.messages import FoundingVoteReply, FoundingVoteRequest, Hello


def is_empty(state: CoreState) -> bool:
    """Return whether this replica's disk holds nothing of the group."""
    return state.log.last_index == 0 and not state.membership.members


def is_founder(state: CoreState) -> bool:
    """Return whether this replica is the one that may found the group."""
    return bool(state.bootstrap) and state.bootstrap[0] == state.replica


def tick_empty(state: CoreState, now: float) -> None:
    """Try to found the group, and announce this replica's identity."""
    state.election_deadline_s = now + state.settings.hello_period_s
    if is_founder(state) and not state.group_exists:
        request_founding_votes(state)
    send_hello(state)


def send_hello(state: CoreState) -> None:
    """Announce this replica's identity to the replicas that may be members of the group."""
    for name in state.contacts:
        state.send(name, Hello(state.group, state.term, state.identity, "", state.replica))


def request_founding_votes(state: CoreState) -> None:
    """Request every bootstrap replica's vote, in a new term when a vote was refused."""
    repeats_request = state.role == Role.FOUNDER and not state.founding_refused
    state.change_role(Role.FOUNDER)
    if not repeats_request:
        # A restart also starts a new term: this replica may have led the stored term already and
        # lost its entries.
        state.founding_refused = False
        state.founding_votes = {}
        state.save_hard_state(state.term + 1, state.identity)
    for name in state.bootstrap:
        if name == state.replica:
            continue
        request = FoundingVoteRequest(state.group, state.term, state.identity, "", state.bootstrap)
        state.send_after_sync(name, request)


def handle_request(state: CoreState, source: str, message: FoundingVoteRequest, now: float) -> None:
    """Vote for a founding only with an empty log and the same bootstrap list."""
    granted = False
    if is_empty(state) and message.replicas == state.bootstrap:
        if message.term > state.term:
            following.become_follower(state, message.term, now)
        if message.term == state.term and state.voted_for in ("", message.sender):
            granted = True
            state.save_hard_state(state.term, message.sender)
    reply = FoundingVoteReply(
        state.group,
        state.term,
        state.identity,
        message.sender,
        state.replica,
        granted,
        not is_empty(state),
    )
    state.send_after_sync(source, reply)


def handle_reply(state: CoreState, message: FoundingVoteReply, now: float) -> None:
    """Count a founding vote; found the group when all bootstrap replicas have granted."""
    if state.role != Role.FOUNDER:
        return
    if message.group_exists:
        state.group_exists = True
        following.become_follower(state, state.term, now)
        return
    if message.term > state.term:
        following.become_follower(state, message.term, now)
        return
    if message.term == state.term and not message.granted:
        state.founding_refused = True
    elif message.term == state.term and message.replica in state.bootstrap:
        state.founding_votes[message.replica] = message.sender
        found_when_unanimous(state, now)


def own_vote_synced(state: CoreState, now: float) -> None:
    """Count the founder's own vote once it is durable."""
    if state.role == Role.FOUNDER and state.voted_for == state.identity:
        state.founding_votes[state.replica] = state.identity
        found_when_unanimous(state, now)


def found_when_unanimous(state: CoreState, now: float) -> None:
    """Found the group when every bootstrap replica has voted."""
    if all(name in state.founding_votes for name in state.bootstrap):
        leading.found_group(state, now)


def handle_hello(state: CoreState, source: str, message: Hello, now: float) -> None:
    """Record the identity outside the group under which a replica runs, for a repair."""
    if message.replica == source and state.membership.find(message.sender) is None:
        state.join_candidates[source] = JoinCandidate(message.sender, now)
