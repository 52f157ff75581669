"""Which of a holder's running batch items must stop, from the replicated state."""

from typing import Protocol, runtime_checkable

from rainsail.state.commands import ItemRef, JobPhase
from rainsail.state.interface import ReplicatedReader


@runtime_checkable
class LeaseLookup(Protocol):
    """A reader that can tell whether a holder still holds one leased item."""

    def is_current(self, holder: str, ref: ItemRef) -> bool:
        """Tell whether the item is still leased to ``holder`` under exactly that fence."""
        ...


def items_to_stop(
    state: ReplicatedReader, holder: str, running: tuple[ItemRef, ...]
) -> tuple[ItemRef, ...]:
    """Return the items whose lease was revoked, or whose job or item is finished."""
    if isinstance(state, LeaseLookup):
        return tuple(ref for ref in running if not state.is_current(holder, ref))
    if holder not in state.holders():
        return running
    return tuple(ref for ref in running if not _job_goes_on(state, ref.job_id))


def _job_goes_on(state: ReplicatedReader, job_id: str) -> bool:
    job = state.job(job_id)
    return job is not None and job.phase == JobPhase.SEALED
