"""Which of a holder's running batch items must stop, from the replicated state."""

from rainsail.state.commands import ItemRef
from rainsail.state.interface import ReplicatedReader


def items_to_stop(
    state: ReplicatedReader, holder: str, running: tuple[ItemRef, ...]
) -> tuple[ItemRef, ...]:
    """Return the items that the holder has no lease of: revoked, cancelled or finished."""
    return tuple(ref for ref in running if not state.holds(holder, ref))
