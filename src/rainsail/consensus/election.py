"""Elections: pre-vote, vote, and the rule by which voters withhold votes during a lease."""

from rainsail.consensus import following, leading
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.messages import (
    PreVoteReply,
    PreVoteRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)


def campaign(state: CoreState, now: float) -> None:
    """Start a pre-vote: ask whether a campaign could be won, without changing any term."""
    state.reset_election_deadline(now)
    if not state.membership.is_voter(state.identity):
        return
    state.leader = ""
    state.leader_replica = ""
    state.change_role(Role.PRE_CANDIDATE)
    state.votes = {state.identity: True}
    if has_won(state):
        start_vote(state, now, transfer=False)
        return
    for member in state.membership.voters():
        if member.identity == state.identity:
            continue
        request = PreVoteRequest(
            state.group,
            state.term,
            state.identity,
            member.identity,
            state.term + 1,
            state.log.last_index,
            state.log.last_term,
        )
        state.send(member.replica, request)


def start_vote(state: CoreState, now: float, transfer: bool) -> None:
    """Campaign in the next term; vote requests leave once this member's own vote is synced."""
    state.change_role(Role.CANDIDATE)
    state.reset_election_deadline(now)
    state.save_hard_state(state.term + 1, state.identity)
    state.leader = ""
    state.leader_replica = ""
    state.campaign_is_transfer = transfer
    state.votes = {}
    for member in state.membership.voters():
        if member.identity == state.identity:
            continue
        request = VoteRequest(
            state.group,
            state.term,
            state.identity,
            member.identity,
            state.log.last_index,
            state.log.last_term,
            transfer,
        )
        state.send_after_sync(member.replica, request)


def own_vote_synced(state: CoreState, now: float) -> None:
    """Count the candidate's own vote once it is durable."""
    if state.role != Role.CANDIDATE or state.voted_for != state.identity:
        return
    state.votes[state.identity] = True
    if has_won(state):
        leading.become_leader(state, now)


def has_won(state: CoreState) -> bool:
    """Return whether a majority of the voters, counted by identity, has granted its vote."""
    granted = [m for m in state.membership.voters() if state.votes.get(m.identity, False)]
    return len(granted) >= state.membership.quorum()


def keeps_vote_back(state: CoreState, now: float) -> bool:
    """Return whether a vote by this member would break the lease of a live leader."""
    if state.role == Role.LEADER:
        return True
    return now - state.heard_leader_at_s < state.settings.election_timeout_s


def may_still_vote(state: CoreState, message: VoteRequest, now: float) -> bool:
    """Return whether this term's vote is unused and no live leader's lease forbids it.

    A late reply may have moved this member to the candidate's term while it still follows the
    leader of the previous term, whose lease relies on this member withholding its vote.
    """
    if state.voted_for == message.sender:
        return True
    return not state.voted_for and (message.transfer or not keeps_vote_back(state, now))


def is_up_to_date(state: CoreState, last_index: int, last_term: int) -> bool:
    """Return whether a candidate's log is at least as up to date as this member's log."""
    return (last_term, last_index) >= (state.log.last_term, state.log.last_index)


def handle_pre_vote_request(
    state: CoreState, source: str, message: PreVoteRequest, now: float
) -> None:
    """Reply whether this member would grant its vote; its state doesn't change."""
    granted = (
        message.proposed_term > state.term
        and not keeps_vote_back(state, now)
        and is_up_to_date(state, message.last_index, message.last_term)
    )
    reply = PreVoteReply(
        state.group, state.term, state.identity, message.sender, message.proposed_term, granted
    )
    state.send(source, reply)


def handle_pre_vote_reply(state: CoreState, message: PreVoteReply, now: float) -> None:
    """Count a pre-vote; start the vote when a majority has granted."""
    if message.term > state.term and not message.granted:
        following.become_follower(state, message.term, now)
        return
    if state.role != Role.PRE_CANDIDATE or message.proposed_term != state.term + 1:
        return
    state.votes[message.sender] = message.granted
    if has_won(state):
        start_vote(state, now, transfer=False)


def handle_vote_request(state: CoreState, source: str, message: VoteRequest, now: float) -> None:
    """Grant at most one vote per term; the reply leaves once the vote is synced."""
    if message.term > state.term:
        if not message.transfer and keeps_vote_back(state, now):
            return
        following.become_follower(state, message.term, now)
    granted = (
        message.term == state.term
        and state.role in (Role.FOLLOWER, Role.EMPTY)
        and may_still_vote(state, message, now)
        and is_up_to_date(state, message.last_index, message.last_term)
    )
    if granted:
        state.save_hard_state(state.term, message.sender)
        state.reset_election_deadline(now)
    reply = VoteReply(state.group, state.term, state.identity, message.sender, granted)
    state.send_after_sync(source, reply)


def handle_vote_reply(state: CoreState, message: VoteReply, now: float) -> None:
    """Count a vote of this term; become leader on a majority."""
    if message.term > state.term:
        following.become_follower(state, message.term, now)
        return
    if state.role != Role.CANDIDATE or message.term != state.term:
        return
    state.votes[message.sender] = message.granted
    if has_won(state):
        leading.become_leader(state, now)


def handle_timeout_now(state: CoreState, message: TimeoutNow, now: float) -> None:
    """Campaign without a pre-vote when the current leader transfers its leadership here."""
    if message.term != state.term or state.leader != message.sender:
        return
    if state.role != Role.FOLLOWER or not state.membership.is_voter(state.identity):
        return
    if state.installing:
        return
    start_vote(state, now, transfer=True)
