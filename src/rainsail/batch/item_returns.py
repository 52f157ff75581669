"""Returns leased items to the ledger's queue in batches."""

import random

from twisted.internet.defer import Deferred

from rainsail.batch.command_batcher import CommandBatcher
from rainsail.batch.held_item import HeldItem
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.runtime.clock import Clock
from rainsail.state.commands import (
    Command,
    CommandOutcome,
    GroupId,
    ReturnedItem,
    ReturnItems,
)

RETURN_OVERHEAD_BYTES = 64
"""Encoding overhead of a returned item in a command, in addition to its texts."""


class ItemReturns:
    """Queues items to return; the ledger ignores those that have been leased to another holder."""

    def __init__(
        self,
        holder: str,
        control: ControlClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
    ) -> None:
        self._holder = holder
        self.returned = 0
        self.failed = 0
        self._batcher: CommandBatcher[ReturnedItem] = CommandBatcher(
            control, clock, random, settings, self._command, _returned_bytes, self._answered
        )

    def add(self, held: HeldItem, failure: str = "") -> None:
        """Queue an item; a ``failure`` uses up one attempt, a preemption none."""
        self._batcher.add(held.group, held.returned(failure))
        if failure:
            self.failed += 1

    def drain(self) -> "Deferred[None]":
        """Return all queued items; fires once the ledger has answered."""
        return self._batcher.drain()

    def _command(self, items: tuple[ReturnedItem, ...]) -> Command:
        return ReturnItems(self._holder, items)

    def _answered(
        self, group: GroupId, items: tuple[ReturnedItem, ...], outcome: CommandOutcome
    ) -> None:
        self.returned += len(items)


def _returned_bytes(item: ReturnedItem) -> int:
    return len(item.generated_prefix) + len(item.failure) + RETURN_OVERHEAD_BYTES
