"""Steps of the benches' checks of a restart and of a very large intake."""

from itertools import pairwise

from behave import given, then, when
from features.support.benchmarks import (
    FollowerWatch,
    commit_changes,
    follow_again,
    group_of,
    take_in,
)

from rainsail.benchmarks.virtual_replicas import VirtualReplicas
from rainsail.consensus.settings import ConsensusSettings


@given("{count:d} bench replicas on the virtual clock that snapshot every {entries:d} entries")
def step_snapshotting(context, count, entries):
    settings = ConsensusSettings(snapshot_log_entries=entries, retained_entries=10)
    context.bench_replicas = VirtualReplicas(count, 1, settings)


@when("one of the bench replicas is down while {changes:d} changes commit, and starts again")
def step_miss_changes(context, changes):
    replicas = context.bench_replicas
    follower = next(name for name in replicas.names if name != replicas.leader())
    replicas.replicas[follower].kill()
    commit_changes(replicas, changes)
    context.bench_steps = follow_again(replicas, follower)


@then("the bench replica takes most of the missed changes at one step")
def step_one_step(context):
    steps = context.bench_steps
    longest = max(after - before for before, after in pairwise(steps))
    apply_batch = ConsensusSettings().max_apply_batch
    assert longest > max(apply_batch, steps[-1] // 2), steps


@then("it takes at most {most:d} of the changes from the bench group's log after that")
def step_short_tail(context, most):
    steps = context.bench_steps
    restored = max(pairwise(steps), key=lambda pair: pair[1] - pair[0])[1]
    assert steps[-1] - restored <= most, steps


@then("by default a bench group snapshots at least every {most:d} entries")
def step_default_entries(context, most):
    assert ConsensusSettings().snapshot_log_entries <= most


@given("{count:d} bench replicas on the virtual clock whose syncs take {sync_s:g} seconds")
def step_slow_disks(context, count, sync_s):
    context.bench_replicas = VirtualReplicas(count, 1)
    for replica in context.bench_replicas.replicas.values():
        replica.disk.sync_latency_s = sync_s


@when("a job of {items:d} items is taken in by the bench replicas")
def step_take_in(context, items):
    replicas = context.bench_replicas
    context.bench_leader = replicas.leader()
    context.bench_watch = FollowerWatch(replicas)
    context.bench_job = take_in(replicas, items, context.bench_watch)


@then("no follower of the bench replicas heard nothing of its leader for an election timeout")
def step_heartbeats(context):
    longest_s = context.bench_watch.longest_s
    assert len(longest_s) == len(context.bench_replicas.names) - 1
    assert max(longest_s.values()) < ConsensusSettings().election_timeout_s, longest_s


@then("the bench replicas kept their leader and hold all {items:d} items")
def step_kept_leader(context, items):
    replicas = context.bench_replicas
    assert replicas.leader() == context.bench_leader
    assert context.bench_job.is_ok(), context.bench_job
    leader = group_of(replicas, context.bench_leader)
    assert leader.term() == 1, leader.term()
    job = replicas.replicas[context.bench_leader].node.state.job(context.bench_job.ok.job_id)
    assert job.spec.item_count == items and job.pending == items, job
