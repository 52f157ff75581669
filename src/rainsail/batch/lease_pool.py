"""Leases items of one service in advance, so that free slots do not wait for the ledger."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from rainsail.batch.command_batcher import DEFINITE_CODES
from rainsail.batch.held_item import HeldItem
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.commands import (
    CommandOutcome,
    GroupId,
    ItemRef,
    ItemsLeased,
    LeaseItems,
)


@dataclass(slots=True)
class _GroupLeasing:
    """One group's last reported backlog (None: not yet reported) and the command in flight."""

    backlog: int | None = None
    request: LeaseItems | None = None
    sent_at_s: float = 0.0


class LeasePool:
    """Holds the leased items of one service that do not run on an engine.

    ``on_leased(group, sent_at_s)`` is called when items have been leased.
    """

    def __init__(
        self,
        service: str,
        holder: str,
        control: ControlClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
        on_leased: Callable[[GroupId, float], None],
    ) -> None:
        self._service = service
        self._holder = holder
        self._control = control
        self._clock = clock
        self._random = random
        self._settings = settings
        self._on_leased = on_leased
        self._groups = {group: _GroupLeasing() for group in settings.groups}
        self._items: deque[HeldItem] = deque()
        self._request_count = 0
        self._target = 0
        self._next_group = 0
        self._stopped = False

    def __len__(self) -> int:
        return len(self._items)

    def take(self, runner: str) -> HeldItem | None:
        """Take the next item for a runner.

        Preempted items come before new ones. Items whose prompt another runner has processed come
        last, since this runner would have to repeat the prefill.
        """
        if not self._items:
            return None
        for held in self._items:
            if held.last_runner in (runner, ""):
                self._items.remove(held)
                return held
        return self._items.popleft()

    def requeue(self, held: HeldItem) -> None:
        """Put an unfinished item at the front of the queue."""
        self._items.appendleft(held)

    def set_target(self, count: int) -> None:
        """Set the number of items to keep ready; lease more if at least half of it is missing."""
        self._target = count
        missing = count - len(self._items) - self._requested()
        if self._stopped or missing <= 0 or 2 * missing < count:
            return
        group = self._group_to_ask()
        if group is not None:
            self._request(group, missing)

    def is_low(self) -> bool:
        """Tell whether at most half of the target is held or requested."""
        return 2 * (len(self._items) + self._requested()) <= self._target

    def note_backlog(self, group: GroupId, backlog: int) -> None:
        """Record how many items of the service a group reports as waiting."""
        self._groups[group].backlog = backlog

    def refs(self, group: GroupId) -> list[ItemRef]:
        """Return the references of a group's items in this pool."""
        return [held.ref for held in self._items if held.group == group]

    def drop(self, group: GroupId, ref: ItemRef) -> bool:
        """Remove an item whose lease has ended; tell whether it was held."""
        for held in self._items:
            if held.group == group and held.ref == ref:
                self._items.remove(held)
                return True
        return False

    def take_stale(self) -> list[HeldItem]:
        """Remove and return the items that have waited longer than ``hold_s``."""
        oldest_s = self._clock.seconds() - self._settings.hold_s
        return self._take_where(lambda held: held.held_since_s < oldest_s)

    def take_group(self, group: GroupId) -> list[HeldItem]:
        """Remove and return all items of a group."""
        return self._take_where(lambda held: held.group == group)

    def stop(self) -> list[HeldItem]:
        """Stop leasing; remove and return all items."""
        self._stopped = True
        return self._take_where(lambda held: True)

    def _take_where(self, chosen: Callable[[HeldItem], bool]) -> list[HeldItem]:
        taken = [held for held in self._items if chosen(held)]
        self._items = deque(held for held in self._items if not chosen(held))
        return taken

    def _requested(self) -> int:
        requests = [state.request for state in self._groups.values()]
        return sum(request.max_items for request in requests if request is not None)

    def _group_to_ask(self) -> GroupId | None:
        order = self._settings.groups
        for step in range(len(order)):
            group = order[(self._next_group + step) % len(order)]
            state = self._groups[group]
            if state.request is None and state.backlog:
                self._next_group = (self._next_group + step + 1) % len(order)
                return group
        return None

    def _request(self, group: GroupId, missing: int) -> None:
        self._request_count += 1
        request_id = f"{self._holder}/{self._service}/{self._request_count}"
        count = min(missing, self._settings.lease_max_items)
        tokens = self._settings.lease_max_tokens
        self._groups[group].request = LeaseItems(
            self._holder, request_id, self._service, count, tokens
        )
        self._propose(group)

    def _propose(self, group: GroupId) -> None:
        state = self._groups[group]
        if state.request is None:
            return
        state.sent_at_s = self._clock.seconds()
        proposed = self._control.propose(state.request, self._settings.command_timeout_s, group)
        proposed.addCallback(self._answered, group)

    def _answered(self, result: "Result[CommandOutcome, Fault]", group: GroupId) -> None:
        state = self._groups[group]
        if result.is_error():
            self._failed(result.error, group)
            return
        state.request = None
        leased = result.ok
        if isinstance(leased, ItemsLeased):
            self._take_in(group, leased)

    def _failed(self, fault: Fault, group: GroupId) -> None:
        """Send the same request id again: the first command may have leased items."""
        if fault.code in DEFINITE_CODES:
            # Nothing was leased. The next lease renewal reports the backlog anew.
            logger.bind(group=group, service=self._service).info("items not leased: {}", fault)
            self._groups[group].request = None
            self._groups[group].backlog = 0
            return
        delay_s = self._settings.retry_delay_s * self._random.uniform(0.5, 1.5)
        self._clock.callLater(delay_s, self._propose, group)

    def _take_in(self, group: GroupId, leased: ItemsLeased) -> None:
        state = self._groups[group]
        state.backlog = leased.backlog
        now_s = self._clock.seconds()
        for item in leased.items:
            held = HeldItem(group, self._service, item, item.generated_prefix, now_s)
            self._items.append(held)
        if leased.items:
            self._on_leased(group, state.sent_at_s)
