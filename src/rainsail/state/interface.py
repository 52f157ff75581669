"""Read interface of the replicated state machine."""

from dataclasses import dataclass
from typing import Protocol

from rainsail.resources.specs import Kind, Resource, ResourceKey, WatchEvent
from rainsail.state.commands import (
    ItemPhase,
    ItemRef,
    JobView,
    SessionView,
)
from rainsail.wire.names import wire_type


@wire_type("ResultRow")
@dataclass(frozen=True, slots=True)
class ResultRow:
    """One finished item: its text, or the reason why it was set aside or cancelled."""

    index: int
    custom_id: str
    phase: ItemPhase
    text: str
    failure: str


class ReplicatedReader(Protocol):
    """Reads of the replicated state (``rainsail.state.machine.ReplicatedState``)."""

    @property
    def revision(self) -> int:
        """The revision of the last resource change."""
        ...

    @property
    def in_force_revision(self) -> int:
        """The highest revision that every gateway with a configuration lease has applied."""
        ...

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        ...

    def list_resources(self, kind: Kind | None = None) -> list[Resource]:
        """Return resources in key order."""
        ...

    def events_since(self, revision: int, limit: int) -> list[WatchEvent] | None:
        """Return events after ``revision`` in order, or None if some of them are compacted."""
        ...

    def jobs(self) -> list[JobView]:
        """Return all jobs in id order."""
        ...

    def job(self, job_id: str) -> JobView | None:
        """Return one job."""
        ...

    def results(self, job_id: str, first_index: int, limit: int) -> list[ResultRow]:
        """Return finished items from ``first_index`` on in index order."""
        ...

    def holders(self) -> list[str]:
        """Return all holders with a live lease, sorted."""
        ...

    def held_by(self, holder: str) -> list[ItemRef]:
        """Return the items leased to a holder, by job and index."""
        ...

    def holds(self, holder: str, ref: ItemRef) -> bool:
        """Return whether an item is still leased to the holder under exactly this fence."""
        ...

    def backlogs(self) -> dict[str, int]:
        """Return the number of pending items by service, in name order, without zeros."""
        ...

    def session(self, name: str) -> SessionView | None:
        """Return a session's gateway, runner and transcript."""
        ...
