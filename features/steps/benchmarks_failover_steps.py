"""Steps of the fail-over bench's checks."""

from behave import then, when

from rainsail.benchmarks.failover import LeaderLoss, failover_s


@when("a bench group of five loses its leader ({loss}) at seeds {first:d} to {last:d}")
def step_lose_leader(context, loss, first, last):
    seeds = range(first, last + 1)
    context.bench_failover_s = {seed: failover_s(LeaderLoss(loss), seed) for seed in seeds}


@then("at each bench seed the client's changes commit within {limit:g} virtual seconds")
def step_commit_in_time(context, limit):
    late = {seed: took for seed, took in context.bench_failover_s.items() if took > limit}
    assert not late, f"seconds by seed: {late}"
