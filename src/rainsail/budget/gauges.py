"""Metrics of a client budget."""

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.memory import HeldKind
from rainsail.node_metrics import NodeMetrics


def budget_gauges(metrics: NodeMetrics, budget: ClientBudget) -> None:
    """Add gauges of what clients hold, by kind, of the limits, and of the refusals so far."""
    account, held = budget.memory, budget.memory.by_kind
    metrics.gauge("client_connections", lambda: float(budget.connections))
    metrics.gauge("client_connections_limit", lambda: float(budget.limits.connections))
    metrics.gauge("client_held_bytes", lambda: float(account.held_bytes))
    metrics.gauge("client_held_bytes_limit", lambda: float(account.limit_bytes))
    metrics.gauge("client_held_connection_bytes", lambda: float(held[HeldKind.CONNECTION]))
    metrics.gauge("client_held_head_bytes", lambda: float(held[HeldKind.HEAD]))
    metrics.gauge("client_held_body_bytes", lambda: float(held[HeldKind.BODY]))
    metrics.gauge("client_held_request_bytes", lambda: float(held[HeldKind.REQUEST]))
    metrics.gauge("client_held_ahead_bytes", lambda: float(held[HeldKind.AHEAD]))
    metrics.gauge("client_held_answer_bytes", lambda: float(held[HeldKind.ANSWER]))
    metrics.gauge("client_held_unread_bytes", lambda: float(held[HeldKind.UNREAD]))
    metrics.gauge("client_held_job_bytes", lambda: float(held[HeldKind.JOB]))
    metrics.gauge("client_held_runner_bytes", lambda: float(held[HeldKind.RUNNER]))
    budget.refusal_listeners.append(lambda reason: metrics.count("clients_refused", reason=reason))
