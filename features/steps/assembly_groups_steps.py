"""Steps of features/assembly/groups.feature."""

from collections import Counter

from behave import given, then, when
from features.support.state import PLENTY_OF_TOKENS, SERVICE, job_spec
from hypothesis import given as any_of
from hypothesis import settings, strategies

from rainsail.consensus.group_placement import members_of_group
from rainsail.errors import Fault
from rainsail.state.commands import (
    ROOT_GROUP,
    AddItems,
    ItemBody,
    LeaseItems,
    OpenJob,
    SealJob,
)
from rainsail.state.machine import ReplicatedState

REPLICAS = strategies.integers(min_value=1, max_value=30).map(
    lambda count: tuple(f"replica-{number}" for number in range(count))
)
PER_GROUP = strategies.sampled_from((1, 3, 5, 7))


@then("for any list of replicas each group has its full number of distinct members")
def full_membership(context):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(REPLICAS, PER_GROUP, strategies.integers(min_value=0, max_value=200))
    def check(replicas, per_group, group):
        members = members_of_group(group, replicas, per_group)
        assert len(set(members)) == len(members) == min(per_group, len(replicas))

    check()


@then("the numbers of groups on two replicas differ by at most one")
def spread_evenly(context):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @any_of(REPLICAS, PER_GROUP, strategies.integers(min_value=1, max_value=60))
    def check(replicas, per_group, groups):
        counts = Counter({name: 0 for name in replicas})
        for group in range(groups):
            counts.update(members_of_group(group, replicas, per_group))
        assert max(counts.values()) - min(counts.values()) <= 1, counts

    check()


@given("{count:d} replicas listed in rotation from zones a, b and c")
def listed_replicas(context, count):
    context.zones = {f"replica-{number}": "abc"[number % 3] for number in range(count)}


@then("each of {groups:d} groups of {per_group:d} keeps a quorum when any one zone is lost")
def zone_quorum(context, groups, per_group):
    for group in range(groups):
        members = members_of_group(group, tuple(context.zones), per_group)
        lost = Counter(context.zones[name] for name in members).most_common(1)[0][1]
        assert len(members) - lost > len(members) // 2, (group, members)


@then("groups 0 to {last:d} of {per_group:d} have {count:d} different founders")
def founders(context, last, per_group, count):
    replicas = tuple(context.zones)
    found = {members_of_group(group, replicas, per_group)[0] for group in range(last + 1)}
    assert len(found) == count, found


@given(
    "a group without resources that holds jobs of tenant {first} with weight {first_weight:g} "
    "and {second} with weight {second_weight:g}"
)
def group_without_resources(context, first, first_weight, second, second_weight):
    context.ledger_state = ReplicatedState()
    commands = []
    for tenant, weight in ((first, first_weight), (second, second_weight)):
        items = tuple(ItemBody(f"{tenant}-{number}", "one two", 8) for number in range(60))
        spec = job_spec(tenant, 60, tenant=tenant, tenant_weight=weight)
        commands += [OpenJob(tenant, spec), AddItems(tenant, 0, items), SealJob(tenant)]
    for index, command in enumerate(commands, start=1):
        outcome = context.ledger_state.apply(index, command)
        assert not isinstance(outcome, Fault), outcome


@when("{count:d} items of that group are leased")
def lease_items(context, count):
    command = LeaseItems("gateway/1", "lease-1", SERVICE, count, PLENTY_OF_TOKENS)
    context.leased_items = context.ledger_state.apply(100, command).items
    assert len(context.leased_items) == count


@then("{first_count:d} of these leases are of {first} and {second_count:d} of {second}")
def leases_by_tenant(context, first_count, first, second_count, second):
    found = Counter(leased.ref.job_id for leased in context.leased_items)
    assert found == {first: first_count, second: second_count}, found


@then("the root group holds no job, and more than one other group holds jobs")
def jobs_by_group(context):
    keeping = Counter()
    for process in context.simulated_fleet.replicas.values():
        for group, hosted in process.node.hosted.items():
            if hosted.driver.is_leader():
                keeping[group] += len(hosted.state.jobs())
    assert keeping[ROOT_GROUP] == 0, keeping
    assert sum(1 for count in keeping.values() if count) > 1, keeping
