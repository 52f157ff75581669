"""Index of the leased items by holder."""

HeldItem = tuple[str, int]
"""The job's id and the item's index."""


class HeldItems:
    """Leased items by holder; holders without items are removed."""

    def __init__(self) -> None:
        self._by_holder: dict[str, dict[HeldItem, None]] = {}

    def holders(self) -> list[str]:
        """Return all holders with an item, sorted."""
        return sorted(self._by_holder)

    def items_of(self, holder: str) -> list[HeldItem]:
        """Return the items of a holder, sorted by job and index."""
        return sorted(self._by_holder.get(holder, ()))

    def add(self, holder: str, job_id: str, index: int) -> None:
        """Add a leased item."""
        self._by_holder.setdefault(holder, {})[job_id, index] = None

    def remove(self, holder: str, job_id: str, index: int) -> None:
        """Remove an item whose lease has ended."""
        held = self._by_holder[holder]
        del held[job_id, index]
        if not held:
            del self._by_holder[holder]
