"""Steps of features/compatibility/histories.feature."""

from behave import then
from features.support.compatibility_histories import pinned_histories, played_sha256


@then("the simulated history of {site} with seed {seed:d} is as pinned")
def step_history(context, site, seed):
    expected = {(each.site, each.seed): each.sha256 for each in pinned_histories()}
    found = played_sha256(site, seed)
    assert found == expected[site, seed], found
