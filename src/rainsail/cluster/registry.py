"""The registry of runners: soft state that merges reports from any source, in any order.

A runner that restarts under the same id is a new incarnation. Reports are ordered by the start time
of the incarnation (``born``), then by their sequence, so a late report of the previous incarnation
changes nothing. If the clock was set back in between, ``incarnation_order`` still ranks the new
incarnation last.

Two incarnations may report the same address, and a report of the crashed one may arrive last,
delayed by a network partition. The incarnation with the later start holds the address. Without
start times the two have no order, so the one that reported last is assumed to hold it. The other
one is superseded up to the sequence of its last report and valid again with its next report, since
the live one keeps reporting. As start times depend on clocks that may be wrong, an older
incarnation gets the address back once the younger one is silent.

A report for a service that is not in the routing table may not come from a runner at all: it takes
over neither an address nor the id of a runner.

The records that a controller restores from its disk may be older than what it had pushed to nodes
before the restart. Therefore the next report of each restored runner is pushed even if it differs
from the restored record in nothing but its sequence.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from rainsail.cluster.incarnation_order import REPLACEABLE_AFTER_S, IncarnationOrder
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.report_coverage import ReportCoverage
from rainsail.cluster.runner_history import RunnerHistory
from rainsail.cluster.runner_versions import NO_VERSION, RunnerVersion, RunnerVersionTable
from rainsail.cluster.warm_up import WarmUpClock
from rainsail.cluster.zone_drains import KnownZoneDrains
from rainsail.state.cluster_commands import ZoneDrain

_STATE_RANK = {RunnerState.READY: 0, RunnerState.DRAINING: 1, RunnerState.GONE: 2}
GONE_VERSION_TTL_S = 600.0
"""For this long the software version of a runner that has gone may have begun a running stream."""
SECONDS_PER_MINUTE = 60.0
CRASH_DOUBT_S = 10.0
"""For this long after a crash the process at a runner's address may not be the one of its record:
three heartbeats, within which a new incarnation is known."""
LATE_REPORT_S = 1.5
"""A report that arrives so long after a crash is not one from before it: the runner lives."""
UNCONFIRMED_VERSION = "unconfirmed"
"""The first word of the version of a run whose process is not known."""
MAX_GONE_RUNNERS = 2_000
"""Gone runners that are still remembered, so that a late report does not revive them."""


def merged_record(known: RunnerRecord | None, report: RunnerRecord) -> RunnerRecord:
    """Return the record after a report; an incarnation that drains or is gone never gets ready."""
    if known is None or report.born > known.born:
        return report
    if report.born < known.born:
        return known
    newer = _newer(known, report)
    superseded_at = max(known.superseded_at, report.superseded_at)
    if newer.superseded_at == superseded_at:
        return newer
    return replace(newer, superseded_at=superseded_at)


def _newer(known: RunnerRecord, report: RunnerRecord) -> RunnerRecord:
    if _STATE_RANK[report.state] != _STATE_RANK[known.state]:
        return max(report, known, key=lambda record: _STATE_RANK[record.state])
    return report if report.sequence > known.sequence else known


class RunnerRegistry:
    """All known runners by id, with a revision that increases with each change."""

    def __init__(
        self, seconds: Callable[[], float] = lambda: 0.0, resolves_address_conflicts: bool = True
    ) -> None:
        """``seconds`` reads the monotonic clock.

        ``resolves_address_conflicts``: this registry decides which incarnation holds an address.
        Controllers do so and publish the result, so that the other nodes do not decide by the order
        in which reports reach them.
        """
        self.revision = 0
        self.zone_drains = KnownZoneDrains()
        self.warm_ups = WarmUpClock(seconds)
        self.versions = RunnerVersionTable(seconds)
        self.history = RunnerHistory()
        self.coverage = ReportCoverage()
        """When this node may have missed reports, as far as it learns them from controllers."""
        self._resolves_address_conflicts = resolves_address_conflicts
        self.named_services: frozenset[str] | None = None
        """The services of the routing table; None until a table is known."""
        self._seconds = seconds
        self._incarnations = IncarnationOrder()
        self._heard_s: dict[str, float] = {}
        self._crashed: dict[str, tuple[int, float]] = {}
        """The incarnations that were found crashed (``born``), and when this node learned it."""
        self._gone_s: dict[str, float] = {}
        """When this node learned that a runner is gone."""
        self._service_versions: dict[str, frozenset[str]] = {}
        self._service_versions_at = (-1, -1, -1)
        """The revisions of records and versions by which these were found, and the minute."""
        self._records: dict[str, RunnerRecord] = {}
        self._by_address: dict[str, str] = {}
        self._changed_at: dict[str, int] = {}
        self._restored: set[str] = set()
        """Runners known only from the disk: no report has arrived since the start."""

    def restore(self, records: Iterable[RunnerRecord]) -> None:
        """Load the records stored before the restart; nodes may have been sent newer ones."""
        restored = list(records)
        self.take(restored)
        self._restored.update(record.runner for record in restored)

    def take(self, reports: Iterable[RunnerRecord]) -> list[RunnerRecord]:
        """Merge reports; return the records that must be pushed to others."""
        changed: dict[str, RunnerRecord] = {}
        for report in reports:
            for record in self._merge(report):
                changed[record.runner] = record
        self._forget_oldest_gone()
        return list(changed.values())

    def _merge(self, report: RunnerRecord) -> list[RunnerRecord]:
        """Merge one report; return the records that must be pushed to others."""
        known = self._records.get(report.runner)
        if known is not None and self._would_hijack_id(known, report):
            return []
        if known is not None and self._resolves_address_conflicts:
            silent_s = self._silent_s(known.runner)
            report = self._incarnations.resolve(known, report, silent_s, self._seconds())
        record = merged_record(known, report)
        # A sender that considers this runner superseded has to learn of its later report.
        refutes = report.is_superseded and not record.is_superseded and report.born == record.born
        if record is known and not refutes:
            return []
        self._records[report.runner] = record
        if record.state == RunnerState.GONE:
            self._gone_s.setdefault(record.runner, self._seconds())
        else:
            self._gone_s.pop(record.runner, None)
        changed: list[RunnerRecord] = []
        if (
            known is None
            or refutes
            or report.runner in self._restored
            or is_significant_change(known, record)
        ):
            changed.append(record)
        self._restored.discard(report.runner)
        if known is not None and record.born > known.born:
            self.warm_ups.forget(record.runner)
            self.versions.note_replaced(known)
            self._incarnations.on_replaced(known)
        if known is None or record.report_order > known.report_order:
            self.warm_ups.note_report(record)
            self._heard_s[record.runner] = self._seconds()
            self.history.note_report(record, self._seconds())
            changed += self._assign_address(record)
        for each in changed:
            self._note_change(each.runner)
        return changed

    def _assign_address(self, sender: RunnerRecord) -> list[RunnerRecord]:
        """Move an address from its former holder to the sender; return the changed records."""
        if sender.state == RunnerState.GONE or sender.is_superseded:
            return []
        if not self._is_named(sender.service):
            return []
        former = self._records.get(self._by_address.get(sender.address, ""))
        if (
            former is not None
            and self._resolves_address_conflicts
            and self._keeps_address_from(former, sender)
        ):
            return [self._supersede(sender)]
        self._by_address[sender.address] = sender.runner
        if former is None or former.runner == sender.runner or not self._resolves_address_conflicts:
            return []
        if former.state == RunnerState.GONE or former.is_superseded:
            return []
        return [self._supersede(former)]

    def _would_hijack_id(self, known: RunnerRecord, report: RunnerRecord) -> bool:
        """Tell whether a report would move a runner to a service that is not in the table."""
        if report.state == RunnerState.GONE or self._is_named(report.service):
            return False
        return self._is_named(known.service)

    def _keeps_address_from(self, younger: RunnerRecord, sender: RunnerRecord) -> bool:
        """Tell whether a runner started after the sender and has reported recently."""
        if sender.born >= younger.born or sender.runner == younger.runner:
            return False
        return self._silent_s(younger.runner) <= REPLACEABLE_AFTER_S

    def _silent_s(self, runner: str) -> float:
        """Return the time since the last new report of a runner's current incarnation."""
        return self._seconds() - self._heard_s.get(runner, float("-inf"))

    def _supersede(self, record: RunnerRecord) -> RunnerRecord:
        superseded = replace(record, superseded_at=record.sequence)
        self._records[record.runner] = superseded
        return superseded

    def _is_named(self, service: str) -> bool:
        return self.named_services is None or service in self.named_services

    def _note_change(self, runner: str) -> None:
        self.revision += 1
        self._changed_at.pop(runner, None)
        self._changed_at[runner] = self.revision

    def take_zone_drains(self, drains: Iterable[ZoneDrain]) -> list[ZoneDrain]:
        """Merge zone drain orders; return those that were not known."""
        newer = self.zone_drains.take(drains)
        for drain in newer:
            if not drain.draining:
                self.warm_ups.assume_cold(
                    record for record in self._records.values() if record.zone == drain.zone
                )
        return newer

    def note_version(self, report: RunnerRecord, version: str) -> list[RunnerRecord]:
        """Record the software version that came with a report, after ``take`` has merged it.

        Returns the records that must be pushed to others because of it. Applied only if the report
        is the newest one of the runner: then the record has the order of its incarnation.
        """
        record = self._records.get(report.runner)
        if record is None or version == NO_VERSION:
            return []
        if (record.sequence, record.address) != (report.sequence, report.address):
            return []
        if not self.versions.take(RunnerVersion(record.runner, record.born, version)):
            return []
        self._note_change(record.runner)
        return [record]

    def gone_record(self, runner: str, born: int | None = None) -> RunnerRecord:
        """Return the record for the deregistration of a runner, which may be unknown.

        ``born`` is the start time of its incarnation; None means the known incarnation.
        """
        known = self._records.get(runner)
        if known is not None and born is not None:
            born = self._incarnations.ordered_birth(known, born)
        if known is None or (born is not None and born != known.born):
            return RunnerRecord(runner, "", "", "", 0, RunnerState.GONE, 0.0, 0, born=born or 0)
        return replace(known, state=RunnerState.GONE, warm_up_left_s=0.0)

    def changed_since(self, revision: int) -> tuple[RunnerRecord, ...]:
        """Return the records that changed after a revision, oldest change first."""
        found: list[RunnerRecord] = []
        for runner in reversed(self._changed_at):
            if self._changed_at[runner] <= revision:
                break
            found.append(self._as_of_now(self._records[runner]))
        return tuple(reversed(found))

    def _as_of_now(self, record: RunnerRecord) -> RunnerRecord:
        """Return a record with the warm-up time that remains now."""
        if record.warm_up_left_s <= 0:
            return record
        return replace(record, warm_up_left_s=self.warm_ups.left_s(record.runner))

    def get(self, runner: str) -> RunnerRecord | None:
        """Return a runner's record, None if it is unknown."""
        return self._records.get(runner)

    def ready(self, service: str) -> list[RunnerRecord]:
        """Return the runners of a service that may get new work, by their first reports."""
        return [
            record
            for record in self._records.values()
            if record.service == service and self._may_get_work(record)
        ]

    def is_ready(self, runner: str) -> bool:
        """Tell whether a runner may get new work."""
        record = self._records.get(runner)
        return record is not None and self._may_get_work(record)

    def _may_get_work(self, record: RunnerRecord) -> bool:
        return record.takes_work and not self.zone_drains.is_draining(record.zone)

    def sole_version(self, service: str) -> str | None:
        """Return the software version of all runners of a service that this node remembers.

        That includes those that have gone lately, and former incarnations. None if there are
        several, or none at all.
        """
        versions = self.versions_by_service().get(service, frozenset())
        return next(iter(versions)) if len(versions) == 1 else None

    def versions_by_service(self) -> dict[str, frozenset[str]]:
        """Return the software versions of all runners that this node remembers, by service.

        That includes those that have gone lately, and former incarnations.
        """
        minute = int(self._seconds() // SECONDS_PER_MINUTE)
        state = (self.revision, self.versions.revision, minute)
        if state != self._service_versions_at:
            self._service_versions_at = state
            self._service_versions = self._find_service_versions()
        return self._service_versions

    def _find_service_versions(self) -> dict[str, frozenset[str]]:
        now = self._seconds()
        found: dict[str, set[str]] = {}
        for record in self._records.values():
            gone_s = self._gone_s.get(record.runner)
            if gone_s is not None and now - gone_s > GONE_VERSION_TTL_S:
                continue
            found.setdefault(record.service, set()).update(self.versions.may_have_begun(record))
        return {service: frozenset(versions) for service, versions in found.items()}

    def lacks_versions(self, service: str) -> bool:
        """Tell whether runners that take work have not said their versions yet, but others have.

        A controller that starts again knows them only once each runner has reported.
        """
        versions = {self.versions.of(each) for each in self.ready(service)}
        return NO_VERSION in versions and len(versions) > 1

    def note_crash(self, record: RunnerRecord) -> None:
        """Note that an incarnation was found crashed; it may start again under its id."""
        self._crashed[record.runner] = record.born, self._seconds()
        self.history.note_crash(record, self._seconds())

    def may_be_replaced(self, record: RunnerRecord) -> bool:
        """Tell whether another process than the record's may answer at its address."""
        return self._may_have_missed_start(record.runner) or self.is_found_crashed(record)

    def has_heard(self, runner: str, since_s: float) -> bool:
        """Tell whether a new report of a runner has arrived since a time."""
        return self._heard_s.get(runner, float("-inf")) > since_s

    def is_found_crashed(self, record: RunnerRecord) -> bool:
        """Tell whether an incarnation was found crashed lately, and no new one is known yet."""
        born, at_s = self._crashed.get(record.runner, (None, 0.0))
        if born is None:
            return False
        if (
            born != record.born
            or self._seconds() - at_s > CRASH_DOUBT_S
            or self.has_heard(record.runner, at_s + LATE_REPORT_S)
        ):
            del self._crashed[record.runner]
            return False
        return True

    def _may_have_missed_start(self, runner: str) -> bool:
        """Tell whether a runner may have started again while no controller passed reports on."""
        since_s = self.coverage.missed_since(self._seconds())
        return since_s is not None and not self.has_heard(runner, since_s)

    def is_version_confirmed(self, record: RunnerRecord, sent_s: float) -> bool:
        """Tell whether a run that was sent to a runner has certainly reached its known process.

        It has if no report was missed around that time, or if the same incarnation has reported
        since then.
        """
        if not self.coverage.is_missed(sent_s, self._seconds()):
            return True
        known = self._records.get(record.runner)
        is_same = known is not None and known.born == record.born
        return is_same and self.has_heard(record.runner, sent_s)

    def version_at_start(self, record: RunnerRecord) -> str:
        """Return the version of a run that is sent to a runner now.

        While another process may answer there, it is one that no runner has, and that differs from
        each other run's: what the run writes can't be continued.
        """
        if self.may_be_replaced(record):
            return f"{UNCONFIRMED_VERSION} {record.runner} {self._seconds()}"
        return self.versions.of(record)

    def has_unheard(self) -> bool:
        """Tell whether a runner that took work before this node's start has not reported since."""
        return any(self._records[runner].takes_work for runner in self._restored)

    def is_warming(self, runner: str) -> bool:
        """Tell whether a runner is still warming up."""
        return self.warm_ups.left_s(runner) > 0

    def records(self) -> tuple[RunnerRecord, ...]:
        """Return all records."""
        return tuple(map(self._as_of_now, self._records.values()))

    def zones(self) -> frozenset[str]:
        """Return the zones of all known runners."""
        return frozenset(record.zone for record in self._records.values())

    def _forget_oldest_gone(self) -> None:
        if len(self._records) <= MAX_GONE_RUNNERS:
            return
        gone = [
            record.runner
            for record in self._records.values()
            if record.state == RunnerState.GONE
            or record.is_superseded
            or not self._is_named(record.service)
        ]
        for runner in gone[: max(0, len(gone) - MAX_GONE_RUNNERS)]:
            record = self._records.pop(runner)
            self._changed_at.pop(runner, None)
            self._restored.discard(runner)
            self._heard_s.pop(runner, None)
            self._gone_s.pop(runner, None)
            self._crashed.pop(runner, None)
            self.history.forget(runner)
            self._incarnations.forget(runner)
            self.warm_ups.forget(runner)
            self.versions.forget(runner)
            if self._by_address.get(record.address) == runner:
                del self._by_address[record.address]


def is_significant_change(before: RunnerRecord, after: RunnerRecord) -> bool:
    """Tell whether a newer report is more than a sign of life and has to be pushed.

    Every node counts down the warm-up time by itself, so only an increase has to be pushed.
    """
    if after.warm_up_left_s > before.warm_up_left_s:
        return True
    return _public(before) != _public(after)


def _public(record: RunnerRecord) -> tuple[RunnerState, str, str, int, bool, int]:
    superseded = record.is_superseded
    return record.state, record.service, record.address, record.slots, superseded, record.born
