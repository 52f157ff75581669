"""Steps on runs of control at small sizes."""

from dataclasses import replace

from behave import given, then, when
from features.support.hollow.fits import fit_line
from features.support.hollow.lost_leader import lose_leader
from features.support.hollow.quantities import CONFIGURATION, added_by
from features.support.scale import control_run, exact_figures

SETTLE_S = 12.0


def _figures(context) -> tuple:
    return control_run(*context.scale_size).run()


@given("a scale run of {nodes:d} nodes, {runners:d} runners and {tenants:d} tenants")
def make_scale_run(context, nodes, runners, tenants):
    context.scale_size = (nodes, runners, tenants)
    context.scale_run = control_run(nodes, runners, tenants)


@when("the scale run makes 6 changes")
def run_changes(context):
    context.scale_result = context.scale_run.run()


@then("each change of the scale run is applied at every node and in force within 1 virtual second")
def in_force_soon(context):
    result = context.scale_result
    assert len(result.in_force_s) == len(result.applied_s) == 6
    assert all(0 < applied <= 1 for applied in result.applied_s), result.applied_s
    pairs = zip(result.applied_s, result.in_force_s, strict=True)
    assert all(applied <= in_force <= 1 for applied, in_force in pairs), result.in_force_s


@then("no node of the scale run missed a change")
def nothing_missed(context):
    fleet = context.scale_run.fleet
    assert fleet.behind() == 0
    state = fleet.leader.state
    expected = state.list_resources()
    for running in fleet.nodes.values():
        view = running.node.view
        kinds = dict.fromkeys(resource.key.kind for resource in expected)
        seen = [resource for kind in kinds for resource in view.list_resources(kind)]
        assert sorted(seen, key=_key) == sorted(expected, key=_key)


def _key(resource):
    return (str(resource.key.kind), resource.key.name)


@when("a node of the scale run is lost in silence and a change is made")
def lose_node(context):
    run = context.scale_run
    run.start()
    fleet = run.fleet
    fleet.clock.advance(SETTLE_S)
    lost = fleet.nodes[2].node.name
    for replica in fleet.replica_names:
        fleet.network.cut(lost, replica)
        fleet.network.cut(replica, lost)
    del fleet.nodes[2]
    _, context.scale_in_force_s = run.change()


@when("the scale run's leader is cut off in silence and a change is made")
def cut_off_leader(context):
    run = context.scale_run
    run.start()
    context.scale_in_force_s = lose_leader(run.fleet)


@then(
    "the change of the scale run is in force between {least:g} and {most:g} virtual seconds later"
)
def in_force_between(context, least, most):
    assert least <= context.scale_in_force_s <= most, context.scale_in_force_s


@when("nodes of the scale run restart {factor:g} times as often as in life while changes are made")
def restart_often(context, factor):
    size = context.scale_size
    context.scale_run = control_run(*size, churn_factor=factor, churn_s=12.0)
    context.scale_result = context.scale_run.run()


@then("the scale run restarted at least {count:d} nodes")
def restarted(context, count):
    result = context.scale_result
    assert result.restarts >= count, result.restarts
    assert len(result.ready_after_s) == result.restarts


@then("every node of the scale run serves")
def all_serve(context):
    assert context.scale_result.serving_at_end == context.scale_size[0]


@given("scale runs of 4, 8 and 16 nodes with {runners:d} runners and {tenants:d} tenants")
def make_scale_runs(context, runners, tenants):
    context.scale_results = [control_run(n, runners, tenants).run() for n in (4, 8, 16)]


def _per_change(result, role):
    return added_by(result.idle, result.changing, role, CONFIGURATION)


@then("the leader's {what} per change lie on a line within {percent:d} percent")
def on_a_line(context, what, percent):
    results = context.scale_results
    nodes = [result.size.nodes for result in results]
    added = [getattr(_per_change(result, "leader"), what) for result in results]
    line = fit_line(nodes, added)
    assert line.slope > 0
    assert line.residual <= percent / 100, (added, line)


@then("a node's bytes per change differ by at most {percent:d} percent between the scale runs")
def bytes_alike(context, percent):
    each = [
        _per_change(result, "node").bytes / result.size.nodes for result in context.scale_results
    ]
    assert min(each) > 0
    assert max(each) <= (1 + percent / 100) * min(each), each


@when("the scale run is made again with the same seed")
def run_again(context):
    context.scale_again = _figures(context)


@then("both scale runs give the same exact figures")
def same_figures(context):
    first = exact_figures(context.scale_result)
    assert first == exact_figures(context.scale_again)
    other = replace(context.scale_result, in_force_s=())
    assert exact_figures(other) != first


@then("the line through 1 at 10, 2 at 20 and 6 at 30 has slope 0.25 and a residual of 0.167")
def line_stated(context):
    line = fit_line([10, 20, 30], [1, 2, 6])
    assert abs(line.slope - 0.25) < 1e-9
    assert abs(line.residual - 1.0 / 6.0) < 1e-3, line


@then("a line through one size is refused")
def one_size_refused(context):
    try:
        fit_line([10, 10], [1, 2])
    except ValueError:
        return
    raise AssertionError("a slope was given for one size")
