"""A leased item while this dispatcher holds it."""

from dataclasses import dataclass, replace

from rainsail.engine.prefix import count_tokens
from rainsail.state.commands import GroupId, ItemRef, LeasedItem, ReturnedItem


@dataclass(frozen=True, slots=True)
class HeldItem:
    """A leased item with its group and service.

    ``generated_prefix`` is the text generated so far, ``held_since_s`` the time since which it
    waits, and ``last_runner`` the runner that has processed its prompt (empty: none).
    """

    group: GroupId
    service: str
    leased: LeasedItem
    generated_prefix: str
    held_since_s: float
    last_runner: str = ""

    @property
    def ref(self) -> ItemRef:
        """The item's reference in its group, with the fencing token of the lease."""
        return self.leased.ref

    @property
    def kv_tokens(self) -> int:
        """Tokens that an engine must prefill before it can resume the item."""
        return count_tokens(self.leased.body.prompt) + count_tokens(self.generated_prefix)

    def waiting(self, generated_prefix: str, now_s: float, last_runner: str) -> "HeldItem":
        """Return the item as waiting again, with its text so far and its last runner."""
        return replace(
            self,
            generated_prefix=generated_prefix,
            held_since_s=now_s,
            last_runner=last_runner,
        )

    def returned(self, failure: str = "") -> ReturnedItem:
        """Return the record that returns the item to the ledger's queue."""
        return ReturnedItem(self.ref, self.generated_prefix, failure)
