"""Steps on the metrics that operators' dashboards and alarms rely on."""

from behave import then, when
from features.support.compatibility_metrics import (
    PINNED,
    node_metrics_in_code,
    page_gauges,
    page_metrics,
)
from features.support.compatibility_pins import check_pinned, read_pin
from features.support.own_fleet import wait_until

from rainsail.node_metrics import NodeMetrics

METRICS_PORT = 7690
NODES = {"controller": (1, 1), "storage": (2, 1), "gateway": (3, 1)}
LAST_GAUGES = {
    "controller": "rainsail_requests_suspected",
    "storage": "rainsail_group_unsynced_writes",
    "gateway": "rainsail_requests_under_way",
}
"""A node's page is served before its group is open; this gauge shows that its role has started."""


@then("the fleet's metrics page has the pinned metrics with their labels")
def step_native_page(context):
    status, page = context.live_fleet.get("/metrics")
    assert status == 200, page
    check_pinned(PINNED, "metric", read_pin(PINNED)["native page"], page_metrics(page))


@then("the metrics page of a {role} has the pinned gauges")
def step_gauges(context, role):
    pages = []

    def shown():
        address = context.own.address(*NODES[role])
        status, page = context.own.call(address, METRICS_PORT, "GET", "/metrics")
        pages.append(page.decode())
        return status == 200 and LAST_GAUGES[role] in pages[-1]

    wait_until(shown, f"{LAST_GAUGES[role]} on the metrics page of a {role}")
    pinned = read_pin(PINNED)[f"gauges of a {role}"]
    check_pinned(PINNED, f"gauge of a {role}", pinned, page_gauges(pages[-1]))


@then("the code of a relaying fleet counts the pinned metrics with their labels")
def step_in_code(context):
    pinned = read_pin(PINNED)["counted in a relaying fleet"]
    check_pinned(PINNED, "metric", pinned, node_metrics_in_code())


@when("a node has counted, timed and shown a value")
def step_count(context):
    metrics = NodeMetrics()
    metrics.count("requests", kind="safe", outcome="completed")
    metrics.observe("request_first_seconds", 0.04, kind="safe")
    metrics.gauge("table_version", lambda: 7.0)
    context.metrics_page = metrics.exposition().decode()


@then("its metrics page has the lines")
def step_lines(context):
    lines = context.metrics_page.splitlines()
    shown = [line for line in lines if line.lstrip("# ").split()[0] not in ("HELP", "TYPE")]
    shown = [line for line in shown if line.startswith("rainsail_")]
    assert shown == context.text.splitlines(), "\n".join(shown)
