"""Which items each holder has a live lease of."""

HeldItem = tuple[str, int]
"""The job's id and the item's index."""


class HeldItems:
    """Items by holder; a holder without an item is not kept."""

    def __init__(self) -> None:
        self._by_holder: dict[str, dict[HeldItem, None]] = {}

    def holders(self) -> list[str]:
        """Return every holder with an item, sorted."""
        return sorted(self._by_holder)

    def items_of(self, holder: str) -> list[HeldItem]:
        """Return a holder's items, by job and index."""
        return sorted(self._by_holder.get(holder, ()))

    def add(self, holder: str, job_id: str, index: int) -> None:
        """Note a new lease."""
        self._by_holder.setdefault(holder, {})[job_id, index] = None

    def remove(self, holder: str, job_id: str, index: int) -> None:
        """Note the end of a lease."""
        held = self._by_holder[holder]
        del held[job_id, index]
        if not held:
            del self._by_holder[holder]
