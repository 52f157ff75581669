"""Metrics of each role, read when they are scraped."""

from collections.abc import Callable
from functools import partial
from typing import Any

from rainsail.assembly.emulator import EmulatorRole
from rainsail.assembly.roles import GatewayRole, ReplicaRole
from rainsail.batch.dispatcher import BatchDispatcher
from rainsail.consensus.group_status import GroupStatusReply
from rainsail.emulator.engine import EmulatedEngine
from rainsail.gateway.metering import RequestMeter
from rainsail.metrics import Metrics

REPLICA_GAUGES: tuple[tuple[str, str, Callable[[GroupStatusReply], float]], ...] = (
    ("group_term", "Term of the root group", lambda status: status.term),
    ("group_commit_index", "Last committed entry", lambda status: status.commit_index),
    ("group_applied_index", "Last applied entry", lambda status: status.applied_index),
    ("group_revision", "Revision of the resources", lambda status: status.revision),
    (
        "group_losses_borne",
        "Further replicas that may be lost; the leader's word counts",
        lambda status: status.losses_borne,
    ),
    (
        "group_leader",
        "1 on the replica that leads",
        lambda status: float(status.leader == status.replica),
    ),
)


def register_role(metrics: Metrics, role: Any) -> None:
    """Register a role's metrics; roles of other types have none."""
    if isinstance(role, ReplicaRole):
        _register_replica(metrics, role)
    elif isinstance(role, GatewayRole):
        _register_gateway(metrics, role)
    elif isinstance(role, EmulatorRole):
        _register_emulator(metrics, role)


def _register_replica(metrics: Metrics, role: ReplicaRole) -> None:
    for name, help_text, read in REPLICA_GAUGES:
        gauge = metrics.gauge(name, help_text, ("replica",))
        gauge.labels(role.name).set_function(_status_reader(role, read))


def _status_reader(
    role: ReplicaRole, read: Callable[[GroupStatusReply], float]
) -> Callable[[], float]:
    def value() -> float:
        group = role.node.group
        return 0.0 if group is None else read(group.status())

    return value


BATCH_COUNTS: tuple[tuple[str, str, Callable[[BatchDispatcher], float]], ...] = (
    ("batch_items_started", "Attempts of batch items", lambda each: each.counts.started),
    (
        "batch_items_finished",
        "Attempts that gave a whole answer",
        lambda each: each.counts.finished,
    ),
    ("batch_items_preempted", "Attempts that stepped aside", lambda each: each.counts.preempted),
    ("batch_items_failed", "Attempts that cost an item one", lambda each: each.counts.failed),
    ("batch_items_not_run", "Attempts refused by engines", lambda each: each.counts.not_run),
    ("batch_items_revoked", "Attempts stopped by the ledger", lambda each: each.counts.revoked),
    ("batch_lease_lapses", "Times that all leases ran out", lambda each: each.counts.lapses),
    ("batch_results_committed", "Results taken", lambda each: each.committer.counts.committed),
    ("batch_results_dropped", "Results too late", lambda each: each.committer.counts.dropped),
)
"""Counts of a gateway's batch dispatcher since its start, exported as gauges."""


def _register_gateway(metrics: Metrics, role: GatewayRole) -> None:
    node = role.node
    role.metered.meter = RequestMeter(role.name, metrics)
    gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
        ("requests_in_progress", "Requests without their end", lambda: node.core.in_progress),
        ("requests_waiting", "Requests in admission's queues", lambda: node.core.requests_waiting),
        ("sessions_held", "Sessions that the gateway holds", lambda: node.core.sessions_held),
        ("retries_left", "Least retry budget of a service", lambda: node.core.retries_left),
        ("runners_out", "Runners put out for failures", node.fleet.runners_out),
        ("batch_items_running", "Batch items on runners", lambda: node.dispatcher.running_items),
        ("config_revision", "Revision of the configuration", lambda: node.view.revision),
        (
            "config_lease_valid",
            "1 while new work may be taken",
            lambda: float(node.view.lease_valid()),
        ),
    )
    for name, help_text, read in gauges:
        metrics.gauge(name, help_text, ("gateway",)).labels(role.name).set_function(read)
    for name, help_text, count in BATCH_COUNTS:
        gauge = metrics.gauge(name, help_text, ("gateway",)).labels(role.name)
        gauge.set_function(partial(count, node.dispatcher))


def _register_emulator(metrics: Metrics, role: EmulatorRole) -> None:
    gauge = metrics.gauge(
        "engine_executions", "Attempts that an emulated engine began", ("runner",)
    )
    for name, engine in role.engines.items():
        gauge.labels(name).set_function(partial(_begun, engine))


def _begun(engine: EmulatedEngine) -> float:
    return len(engine.executions)
