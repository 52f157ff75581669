"""All that a gateway knows of one runner, and whether it takes new work."""

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
"""Seconds that ended attempts are remembered, to compare a lagged report with.

Not measured; longer than ``report_timeout_s``, after which a runner counts as silent anyway.
"""


class LeavingReason(StrEnum):
    """Why a runner gets no new work for good (until its resource or engine says otherwise)."""

    RESOURCE = "resource"
    ENGINE = "engine"
    MACHINE_LIST = "machine_list"


@dataclass(slots=True)
class OwnAttempt:
    """One attempt of this gateway on a runner."""

    batch: bool
    started_s: float


def is_marked_draining(resource: Resource) -> bool:
    """Tell whether control marked the runner as draining (its machine is leaving)."""
    return any(each.type == DRAINING and each.value for each in resource.conditions)


class ObservedRunner:
    """One runner as this gateway sees it; only ``RunnerFleet`` and its parts change it."""

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

    # --- what the runner is told to be -----------------------------------------------------

    def update_resource(self, resource: Resource) -> None:
        """Take a new version of the resource; a changed spec has the last word on leaving."""
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

    # --- what the engine tells -------------------------------------------------------------

    def take_report(self, report: LoadReport, now_s: float) -> bool:
        """Take a load report; return False for one that is older than the last."""
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
        """Return the age of what the last report measured, seconds."""
        lag_s = self.report.age_s if self.report is not None else 0.0
        return now_s - self.report_received_s + max(0.0, lag_s)

    # --- own work --------------------------------------------------------------------------

    def attempt_started(self, attempt_id: str, batch: bool, now_s: float) -> None:
        """Count an attempt that is sent."""
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
        """Return the estimated online requests of others on this runner."""
        age_s = now_s - self.report_received_s
        return decayed(self._foreign, age_s, self._settings.report_half_life_s)

    # --- whether it takes new work -----------------------------------------------------------

    def discount_pause(self, pause_s: float, now_s: float) -> None:
        """Do not count a pause of this process as the runner's silence."""
        self.report_received_s = min(now_s, self.report_received_s + pause_s)

    def is_silent(self, now_s: float) -> bool:
        """Tell whether load reports have failed to come for too long."""
        return now_s - self.report_received_s > self._settings.report_timeout_s

    def loaded_version(self) -> str:
        """Return the version that the engine last said it has (else the status's)."""
        return self.report.loaded_version if self.report else self.status.loaded_version


def is_leaving(state: ObservedRunner, now_s: float) -> bool:
    """Tell whether a runner is draining by any account: resource, engine, list or silence."""
    return state.leaving is not None or state.is_silent(now_s)


def takes_new_work(state: ObservedRunner, now_s: float) -> bool:
    """Tell whether new work may be sent to a runner."""
    if is_leaving(state, now_s) or state.ejection.is_ejected(now_s):
        return False
    return bool(state.loaded_version())
