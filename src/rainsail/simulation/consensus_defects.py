"""Known-bad variants of the consensus core; each patches one mechanism while it is applied.

The model check must find every one of them: a check that has caught nothing proves nothing.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from rainsail.consensus import append_receiving, append_replies, core, election, snapshots
from rainsail.consensus.core_state import CoreState, IncomingSnapshot
from rainsail.consensus.messages import AppendRequest, GroupMessage
from rainsail.storage.snapshot_checksum import SnapshotChecksum


def _acknowledge_at_once(state: CoreState, message: AppendRequest) -> bool:
    return True


def _acknowledge_unsynced(state: CoreState, match_index: int) -> int:
    return match_index


def _take_the_old_identity(state: CoreState, message: GroupMessage) -> bool:
    """Let an empty disk answer as the identity that had its name before."""
    if message.target and message.target != state.identity:
        state.identity = message.target
    return True


def _vote_beside_a_live_leader(state: CoreState, now: float) -> bool:
    return False


def _campaign_without_pre_vote(state: CoreState, now: float) -> None:
    if state.membership.is_voter(state.identity):
        election.start_vote(state, now, transfer=False)
    else:
        state.reset_election_deadline(now)


def _count_any_term(state: CoreState, index: int) -> bool:
    return True


def _take_any_snapshot(incoming: IncomingSnapshot, expected: SnapshotChecksum) -> bool:
    return True


Patch = tuple[Any, str, Callable[..., Any]]

CONSENSUS_DEFECTS: dict[str, tuple[Patch, ...]] = {
    "ack-before-sync": (
        (append_receiving, "answers_at_once", _acknowledge_at_once),
        (append_receiving, "acknowledged_index", _acknowledge_unsynced),
    ),
    "empty-disk-votes": ((core, "is_addressed", _take_the_old_identity),),
    "no-pre-vote-stale-read": (
        (election, "keeps_vote_back", _vote_beside_a_live_leader),
        (election, "campaign", _campaign_without_pre_vote),
    ),
    "half-snapshot": ((snapshots, "is_whole", _take_any_snapshot),),
    "commit-older-term": ((append_replies, "counts_for_commit", _count_any_term),),
}
"""The name of each variant, with what it replaces."""


@contextmanager
def consensus_defect(name: str) -> Iterator[None]:
    """Apply a known-bad variant while the context lasts; an empty name applies none."""
    patches = CONSENSUS_DEFECTS[name] if name else ()
    originals = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in patches]
    for owner, attribute, replacement in patches:
        setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        for owner, attribute, original in originals:
            setattr(owner, attribute, original)
