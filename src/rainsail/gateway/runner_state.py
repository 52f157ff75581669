"""State of one runner as a gateway sees it, and whether it accepts new work."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from rainsail.control.controllers.conditions import DRAINING
from rainsail.engine.interface import LoadReport
from rainsail.gateway.cache_view import CacheView
from rainsail.gateway.ejection import EjectionState
from rainsail.gateway.load_score import decayed, reported_high
from rainsail.gateway.settings import FleetSettings
from rainsail.resources.specs import Resource, RunnerSpec, RunnerStatus

ENDED_HISTORY_S = 5.0
"""Seconds for which ended attempts are remembered to interpret lagged load reports.

Longer than ``report_timeout_s``, after which a runner counts as silent.
"""


class LeavingReason(StrEnum):
    """Why a runner gets no new work until its resource or engine takes that back."""

    RESOURCE = "resource"
    ENGINE = "engine"
    MACHINE_LIST = "machine_list"


@dataclass(slots=True)
class OwnAttempt:
    """A running attempt of this gateway on a runner."""

    batch: bool
    started_s: float


def is_marked_draining(resource: Resource) -> bool:
    """Return whether control marked the runner as draining, because its machine is leaving."""
    return any(each.type == DRAINING and each.value for each in resource.conditions)


class ObservedRunner:
    """One runner as this gateway sees it. Modified only by ``RunnerFleet`` and its components."""

    def __init__(self, resource: Resource, now_s: float, settings: FleetSettings) -> None:
        self.name = resource.key.name
        self._settings = settings
        self.spec: RunnerSpec
        self.status = RunnerStatus()
        self.revision = 0
        self.generation = 0
        self.report: LoadReport | None = None
        self.report_received_s = now_s
        self.leaving: LeavingReason | None = None
        self.cache = CacheView(settings.cache_blocks_per_runner)
        self.ejection = EjectionState()
        self.owned = False
        self.silent = False
        self.attempts: dict[str, OwnAttempt] = {}
        self.online_running = 0
        self.batch_running = 0
        self._foreign = 0.0
        self._ended: deque[tuple[float, float]] = deque()
        self.update_resource(resource)

    # --- the runner's resource -------------------------------------------------------------

    def update_resource(self, resource: Resource) -> None:
        """Apply a new version of the resource; a changed spec overrides earlier leaving reasons."""
        assert isinstance(resource.spec, RunnerSpec)
        spec_changed = resource.generation != self.generation
        self.spec = resource.spec
        self.revision = resource.revision
        self.generation = resource.generation
        if isinstance(resource.status, RunnerStatus):
            self.status = resource.status
        if spec_changed or self.leaving is not LeavingReason.ENGINE:
            self.leaving = None
        if resource.spec.drain:
            self.leaving = self.leaving or LeavingReason.RESOURCE
        elif is_marked_draining(resource):
            self.leaving = self.leaving or LeavingReason.MACHINE_LIST

    # --- load reports ----------------------------------------------------------------------

    def apply_report(self, report: LoadReport, now_s: float) -> bool:
        """Apply a load report; return False if it is older than the last one."""
        last = self.report
        same_engine = last is not None and last.incarnation == report.incarnation
        if last is not None and same_engine and report.sequence <= last.sequence:
            return False
        if not same_engine:
            self._engine_restarted(report)
        self.report = report
        self.report_received_s = now_s
        self.silent = False
        measured_s = now_s - max(0.0, report.age_s)
        self._foreign = max(0.0, reported_high(report) - self._own_online_at(measured_s))
        if report.draining:
            self.leaving = self.leaving or LeavingReason.ENGINE
        return True

    def _engine_restarted(self, report: LoadReport) -> None:
        self.cache.restarted(report.incarnation)
        if self.leaving == LeavingReason.ENGINE:
            self.leaving = None

    def _own_online_at(self, moment_s: float) -> int:
        running = sum(
            1 for each in self.attempts.values() if not each.batch and each.started_s <= moment_s
        )
        ended = sum(1 for start, end in self._ended if start <= moment_s < end)
        return running + ended

    def report_age_s(self, now_s: float) -> float:
        """Return the age in seconds of the measurements in the last report."""
        lag_s = self.report.age_s if self.report is not None else 0.0
        return now_s - self.report_received_s + max(0.0, lag_s)

    # --- own work --------------------------------------------------------------------------

    def attempt_started(self, attempt_id: str, batch: bool, now_s: float) -> None:
        """Count a sent attempt."""
        self.attempts[attempt_id] = OwnAttempt(batch, now_s)
        if batch:
            self.batch_running += 1
        else:
            self.online_running += 1

    def attempt_ended(self, attempt_id: str, now_s: float) -> OwnAttempt | None:
        """Count the end of an attempt; None when it was not counted as running."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        if attempt.batch:
            self.batch_running -= 1
            return attempt
        self.online_running -= 1
        self._ended.append((attempt.started_s, now_s))
        while self._ended and self._ended[0][1] < now_s - ENDED_HISTORY_S:
            self._ended.popleft()
        return attempt

    def foreign_online(self, now_s: float) -> float:
        """Return the estimated online requests of other gateways on this runner."""
        age_s = now_s - self.report_received_s
        return decayed(self._foreign, age_s, self._settings.report_half_life_s)

    # --- availability ------------------------------------------------------------------------

    def discount_pause(self, pause_s: float, now_s: float) -> None:
        """Discount a pause of this process from the time without a load report."""
        self.report_received_s = min(now_s, self.report_received_s + pause_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether no load report came within the report timeout."""
        return now_s - self.report_received_s > self._settings.report_timeout_s

    def loaded_version(self) -> str:
        """Return the loaded version of the last load report, or else of the status."""
        return self.report.loaded_version if self.report else self.status.loaded_version


def is_leaving(state: ObservedRunner, now_s: float) -> bool:
    """Return whether a runner is leaving, by its resource, engine, machine list or silence."""
    return state.leaving is not None or state.is_silent(now_s)


def takes_new_work(state: ObservedRunner, now_s: float) -> bool:
    """Return whether new work may be sent to a runner."""
    if is_leaving(state, now_s) or state.ejection.is_ejected(now_s):
        return False
    return bool(state.loaded_version())
