"""The view of a runner for the batch policies."""

from rainsail.batch.interface import BatchRunnerView
from rainsail.gateway.runner_state import ObservedRunner


def batch_view(state: ObservedRunner) -> BatchRunnerView:
    """Return the view of a runner for the batch policies. Pure."""
    report = state.report
    return BatchRunnerView(
        slots=state.spec.batch_slots,
        online_running=state.online_running,
        batch_running=state.batch_running,
        reported_running=report.running if report else 0,
        reported_waiting=report.waiting if report else 0,
    )
