"""Deletes finished jobs, jobs that were never accepted, and resources of departed gateways.

Ages count from when this leader first saw the job or gateway. A change of leader can therefore
only extend the retention, and replicas need no common clock.
"""

from collections.abc import Callable

from rainsail.control.controllers.planner import FirstSeen
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.resources.specs import Kind
from rainsail.state.commands import Command, DeleteResource, ForgetJob, JobPhase, JobView
from rainsail.state.interface import ReplicatedReader

GatewayLastSeen = Callable[[str], float | None]
"""Returns when a gateway last made contact, in the leader's monotonic seconds, or None."""


class JobRetentionPlanner:
    """Deletes jobs that have finished or were never accepted, after their retention period."""

    name = "job_retention"

    def __init__(self, settings: ReconcilerSettings) -> None:
        self._settings = settings
        self._seen = FirstSeen()

    def begin(self) -> None:
        """Reset all ages."""
        self._seen.clear()

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return a ``ForgetJob`` for each job that is past its retention."""
        jobs = [job for job in state.jobs() if job.phase is not JobPhase.SEALED]
        ages_s = self._seen.ages_s([(job.job_id, job.phase) for job in jobs], now_s)
        return [
            ForgetJob(job.job_id)
            for job, age_s in zip(jobs, ages_s, strict=True)
            if age_s >= self._retention_s(job)
        ]

    def _retention_s(self, job: JobView) -> float:
        if job.phase is JobPhase.OPEN:
            return self._settings.open_job_retention_s
        return self._settings.job_retention_s


class GatewayRetentionPlanner:
    """Deletes the Gateway resources of gateways that have made no contact for a long time."""

    name = "gateway_retention"

    def __init__(self, settings: ReconcilerSettings) -> None:
        self._settings = settings
        self._last_seen: GatewayLastSeen | None = None
        self._seen = FirstSeen()

    def set_last_seen(self, last_seen: GatewayLastSeen) -> None:
        """Set the lookup of a gateway's last contact; without it no gateway is deleted."""
        self._last_seen = last_seen

    def begin(self) -> None:
        """Reset all ages."""
        self._seen.clear()

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return a deletion for each gateway without contact for its retention period."""
        if self._last_seen is None:
            return []
        gateways = state.list_resources(Kind.GATEWAY)
        ages_s = self._seen.ages_s([gateway.key for gateway in gateways], now_s)
        commands: list[Command] = []
        for gateway, age_s in zip(gateways, ages_s, strict=True):
            heard_s = self._last_seen(gateway.key.name)
            silent_s = age_s if heard_s is None else min(age_s, now_s - heard_s)
            if silent_s >= self._settings.gateway_retention_s:
                change_id = f"gateway-retention/{gateway.key.name}/{gateway.revision}"
                commands.append(DeleteResource(change_id, gateway.key, gateway.revision))
        return commands
