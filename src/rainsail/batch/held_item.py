"""A leased item while this dispatcher holds it."""

from dataclasses import dataclass, replace

from rainsail.engine.prefix import count_tokens
from rainsail.state.commands import GroupId, ItemRef, LeasedItem, ReturnedItem


@dataclass(frozen=True, slots=True)
class HeldItem:
    """A leased item with its group and service.

    ``generated_prefix`` is the text so far, ``held_since_s`` when it began to wait and
    ``last_runner`` the runner that has read its prompt (empty: none).
    """

    group: GroupId
    service: str
    leased: LeasedItem
    generated_prefix: str
    held_since_s: float
    last_runner: str = ""

    @property
    def ref(self) -> ItemRef:
        """The item's name and fence in its group."""
        return self.leased.ref

    @property
    def kv_tokens(self) -> int:
        """Tokens that an engine must read before it can go on with the item."""
        return count_tokens(self.leased.body.prompt) + count_tokens(self.generated_prefix)

    def waiting(self, generated_prefix: str, now_s: float, last_runner: str) -> "HeldItem":
        """Return the item as it waits again, with what was generated and where."""
        return replace(
            self,
            generated_prefix=generated_prefix,
            held_since_s=now_s,
            last_runner=last_runner,
        )

    def returned(self, failure: str = "") -> ReturnedItem:
        """Return the record that gives the item back to the queue."""
        return ReturnedItem(self.ref, self.generated_prefix, failure)
