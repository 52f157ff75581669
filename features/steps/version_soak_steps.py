"""Steps for random runs of a fleet whose runners change their software versions."""

from behave import then, when
from features.support.version_partition_soak import VersionPartitionSoak
from features.support.version_soak import VersionSoak


@when("a random run with changing software versions and seed {seed:d} is made")
def play(context, seed):
    context.soak = VersionSoak(seed)
    context.soak.run()


@when("a random run with partitions, changing software versions and seed {seed:d} is made")
def play_partitions(context, seed):
    context.soak = VersionPartitionSoak(seed)
    context.soak.run()


@then("no stream and no text was of two versions")
def none_mixed(context):
    counts = context.soak.counts
    assert not context.soak.violations, context.soak.violations
    assert counts["streams"] and counts["items done"] and counts["resumed"], counts
