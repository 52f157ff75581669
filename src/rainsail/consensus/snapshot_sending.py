"""The leader's side of snapshot transfer: which chunk a follower gets next."""

from rainsail.consensus import following, lease
from rainsail.consensus.core_state import CoreState, Progress, ProgressMode, Role
from rainsail.consensus.effects import SnapshotOrder
from rainsail.consensus.membership import MemberSpec
from rainsail.consensus.messages import SnapshotReply


def order_chunk(state: CoreState, member: MemberSpec, progress: Progress, heartbeat: bool) -> None:
    """Have the driver send the follower's next chunk; a heartbeat repeats the last order."""
    if progress.mode != ProgressMode.SNAPSHOT:
        progress.mode = ProgressMode.SNAPSHOT
        progress.snapshot_offset = 0
        progress.reset_in_flight()
    elif not heartbeat:
        return
    order = SnapshotOrder(member.replica, member.identity, progress.snapshot_offset, state.round)
    state.effects.snapshot_orders.append(order)


def handle_reply(state: CoreState, message: SnapshotReply, now: float) -> None:
    """Send the follower the chunk that it asks for next."""
    if message.term > state.term:
        following.become_follower(state, message.term, now)
        return
    if state.role != Role.LEADER or message.term != state.term:
        return
    member = state.membership.find(message.sender)
    if member is None:
        return
    progress = state.progress_of(member.identity)
    lease.note_acknowledged(state, progress, message.round, now)
    if progress.mode != ProgressMode.SNAPSHOT:
        return
    next_offset = message.next_offset if message.last_index == state.snapshot_index else 0
    if next_offset != progress.snapshot_offset:
        progress.snapshot_offset = next_offset
        order = SnapshotOrder(
            member.replica, member.identity, progress.snapshot_offset, state.round
        )
        state.effects.snapshot_orders.append(order)
