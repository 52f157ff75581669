"""Steps that compare the consensus log, write tracker and memberships with models."""

from itertools import combinations

from behave import given, then, when
from features.support.consensus_log_model import LogWindowModel, WriteTrackerModel
from hypothesis import given as over
from hypothesis import settings, strategies
from hypothesis.stateful import run_state_machine_as_test

from rainsail.consensus.leading import NO_OPERATION_PAYLOAD
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import Membership, MemberSpec
from rainsail.storage.interface import LogEntry

EXAMPLES = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
NAMES = "abcdef"


@then("under any operations the consensus log agrees with a list of entries and memberships")
def log_agrees(context):
    """Run random operations on the log and its model."""
    run_state_machine_as_test(LogWindowModel, settings=EXAMPLES)


@then(
    "under any order of writes, truncations and syncs no consensus write counts as synced too early"
)
def tracker_agrees(context):
    """Run random operations on the tracker and its model."""
    run_state_machine_as_test(WriteTrackerModel, settings=EXAMPLES)


@then(
    "every consensus membership change of one step has overlapping quorums, larger ones are refused"
)
def quorums_overlap(context):
    """Check every pair of quorums of random memberships."""
    votes = strategies.dictionaries(strategies.sampled_from(NAMES), strategies.booleans())

    @settings(max_examples=150, deadline=None, derandomize=True)
    @over(votes, votes)
    def check(before, after):
        old, new = _membership(before), _membership(after)
        changed = {m.identity for m in old.voters()} ^ {m.identity for m in new.voters()}
        allowed = old.is_single_step_to(new)
        assert allowed == (len(changed) <= 1 and bool(new.voters()))
        if allowed and old.voters():
            assert all(a & b for a in _quorums(old) for b in _quorums(new))

    check()


def _membership(votes):
    return Membership(tuple(MemberSpec(name, name, voter) for name, voter in votes.items()))


def _quorums(membership):
    names = [member.identity for member in membership.voters()]
    return [set(chosen) for chosen in combinations(names, membership.quorum())]


@given("a consensus log of {count:d} entries of {size:d} bytes each")
def log_of_entries(context, count, size):
    """Build a log of entries that are not memberships."""
    context.consensus_log = LogWindow()
    for index in range(1, count + 1):
        context.consensus_log.append(LogEntry(index, 1, NO_OPERATION_PAYLOAD.ljust(size, b"-")))


@when("a snapshot at entry {index:d} keeps {entries:d} entries and {size:d} bytes at most")
def compact_behind(context, index, entries, size):
    """Compact the log as after a member's own snapshot."""
    log = context.consensus_log
    log.compact(log.retained_from(index, entries, size))


@then("the consensus log begins with entry {index:d}")
def log_begins(context, index):
    """Check the log's base, which is the entry before the first."""
    assert context.consensus_log.base_index == index - 1, context.consensus_log.base_index
