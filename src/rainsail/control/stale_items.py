"""Finds the batch items that a holder still runs without a lease."""

from rainsail.state.commands import ItemRef
from rainsail.state.interface import ReplicatedReader


def items_to_stop(
    state: ReplicatedReader, holder: str, running: tuple[ItemRef, ...]
) -> tuple[ItemRef, ...]:
    """Return the running items that the holder has no lease for: revoked, cancelled or finished."""
    return tuple(ref for ref in running if not state.holds(holder, ref))
