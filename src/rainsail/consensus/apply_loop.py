"""Applies committed entries in batches, one batch per turn of the event loop.

Schedules the batches, and announces leadership once the first entry of the member's own term is
applied. ``applier`` applies the entries; ``snapshot_worker`` tells when to pause and takes
snapshots that are due.
"""

from collections.abc import Callable

from rainsail.consensus.applier import LOCAL_FAILURES, Applier
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.leadership import Leadership
from rainsail.consensus.snapshot_worker import SnapshotWorker
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock


class ApplyLoop:
    """Brings the state machine of one member up to the commit index."""

    def __init__(
        self,
        state: CoreState,
        applier: Applier,
        snapshots: SnapshotWorker,
        leadership: Leadership,
        clock: Clock,
        on_fatal: Callable[[Fault], None],
    ) -> None:
        self._state = state
        self._applier = applier
        self._snapshots = snapshots
        self._leadership = leadership
        self._clock = clock
        self._on_fatal = on_fatal
        self._planned = False
        self._stopped = False

    def stop(self) -> None:
        """Stop applying entries."""
        self._stopped = True

    def commit_to(self, index: int) -> None:
        """Apply everything up to a commit index, starting in the next event-loop turn."""
        self._applier.commit_index = max(self._applier.commit_index, index)
        self._plan()

    def _plan(self) -> None:
        if not self._planned:
            self._planned = True
            self._clock.callLater(0, self._apply)

    def _apply(self) -> None:
        self._planned = False
        if self._stopped or self._snapshots.installing:
            return
        try:
            more = self._applier.apply_batch(self._state.settings.max_apply_batch)
        except LOCAL_FAILURES as error:
            index = self._applier.applied_index + 1
            detail = f"group {self._state.group}: entry {index} can't be applied here: {error!r}"
            self._on_fatal(Fault(FaultCode.STORAGE, "consensus.apply", detail))
            return
        if self._stopped:
            return
        self._announce_leadership()
        self._snapshots.take_when_due()
        if more:
            self._plan()

    def _announce_leadership(self) -> None:
        if self._leadership.announced or self._state.role != Role.LEADER:
            return
        if self._applier.applied_index >= self._state.term_start_index:
            self._leadership.begin()
