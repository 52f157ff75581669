"""What the batch policies see of a runner."""

from rainsail.batch.interface import RunnerView
from rainsail.gateway.runner_state import RunnerState


def batch_view(state: RunnerState, now_s: float) -> RunnerView:
    """Return a runner as the batch policies see it. Pure."""
    report = state.report
    return RunnerView(
        runner=state.name,
        now_s=now_s,
        slots=state.spec.batch_slots,
        online_running=state.online_running,
        online_waiting=report.waiting if report else 0,
        batch_running=state.batch_running,
        reported_running=report.running if report else 0,
        reported_running_low=report.running_low if report else 0,
        reported_waiting=report.waiting if report else 0,
        kv_tokens_used=report.kv_tokens_used if report else 0,
        kv_tokens_total=report.kv_tokens_total if report else 0,
        report_age_s=state.report_age_s(now_s),
        online_arrivals_per_s=state.arrivals_per_s(now_s),
    )
