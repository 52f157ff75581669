"""The registry of runners: soft state that merges words from anywhere, in any order."""

from collections.abc import Iterable

from rainsail.cluster.messages import RunnerRecord, RunnerState

_STATE_RANK = {RunnerState.READY: 0, RunnerState.DRAINING: 1, RunnerState.GONE: 2}
GONE_KEPT = 2_000
"""Runners that are gone and still remembered, so that a late word doesn't bring them back."""


def merged_record(known: RunnerRecord | None, word: RunnerRecord) -> RunnerRecord:
    """Return what is known after a word; a runner that leaves never comes back as it was."""
    if known is None:
        return word
    if _STATE_RANK[word.state] != _STATE_RANK[known.state]:
        return max(word, known, key=lambda record: _STATE_RANK[record.state])
    return word if word.sequence > known.sequence else known


class RunnerRegistry:
    """Every runner heard of, by id, and a revision that rises with each change."""

    def __init__(self) -> None:
        self.revision = 0
        self._records: dict[str, RunnerRecord] = {}
        self._by_address: dict[str, str] = {}
        self._changed_at: dict[str, int] = {}

    def take(self, words: Iterable[RunnerRecord]) -> list[RunnerRecord]:
        """Merge words; return the records that others must hear of."""
        changed: list[RunnerRecord] = []
        for word in words:
            known = self._records.get(word.runner)
            record = merged_record(known, word)
            if record is known:
                continue
            self._records[word.runner] = record
            if known is None or matters(known, record):
                changed += self._note(record)
        self._forget_oldest_gone()
        return changed

    def _note(self, record: RunnerRecord) -> list[RunnerRecord]:
        changed = [record]
        former = self._by_address.get(record.address)
        if former not in (None, record.runner) and record.state != RunnerState.GONE:
            changed += self._end_former(str(former))
        if record.state != RunnerState.GONE:
            self._by_address[record.address] = record.runner
        for each in changed:
            self.revision += 1
            self._changed_at.pop(each.runner, None)
            self._changed_at[each.runner] = self.revision
        return changed

    def _end_former(self, runner: str) -> list[RunnerRecord]:
        """A new incarnation has the address: the one before it is gone."""
        known = self._records.get(runner)
        if known is None or known.state == RunnerState.GONE:
            return []
        self._records[runner] = ended(known)
        return [self._records[runner]]

    def end(self, runner: str) -> RunnerRecord:
        """Return the record of a runner that says it is gone, also one never heard of."""
        known = self._records.get(runner)
        if known is None:
            return RunnerRecord(runner, "", "", "", 0, RunnerState.GONE, 0.0, 0)
        return ended(known)

    def changed_since(self, revision: int) -> tuple[RunnerRecord, ...]:
        """Return the records that changed after a revision, oldest change first."""
        found: list[RunnerRecord] = []
        for runner in reversed(self._changed_at):
            if self._changed_at[runner] <= revision:
                break
            found.append(self._records[runner])
        return tuple(reversed(found))

    def get(self, runner: str) -> RunnerRecord | None:
        """Return a runner's record."""
        return self._records.get(runner)

    def ready(self, service: str) -> list[RunnerRecord]:
        """Return the runners of a service that take new work, in order of arrival."""
        return [
            record
            for record in self._records.values()
            if record.service == service and record.state == RunnerState.READY
        ]

    def is_ready(self, runner: str) -> bool:
        """Tell whether a runner takes new work."""
        record = self._records.get(runner)
        return record is not None and record.state == RunnerState.READY

    def records(self) -> tuple[RunnerRecord, ...]:
        """Return every record that is kept."""
        return tuple(self._records.values())

    def _forget_oldest_gone(self) -> None:
        if len(self._records) <= GONE_KEPT:
            return
        gone = [r.runner for r in self._records.values() if r.state == RunnerState.GONE]
        for runner in gone[: max(0, len(gone) - GONE_KEPT)]:
            record = self._records.pop(runner)
            self._changed_at.pop(runner, None)
            if self._by_address.get(record.address) == runner:
                del self._by_address[record.address]


def ended(record: RunnerRecord) -> RunnerRecord:
    """Return a record as that of a runner that is gone."""
    return RunnerRecord(
        record.runner,
        record.service,
        record.address,
        record.zone,
        record.slots,
        RunnerState.GONE,
        0.0,
        record.sequence,
    )


def matters(before: RunnerRecord, after: RunnerRecord) -> bool:
    """Tell whether a newer word says more than that the runner is still there."""
    return (before.state, before.service, before.address, before.slots) != (
        after.state,
        after.service,
        after.address,
        after.slots,
    )
