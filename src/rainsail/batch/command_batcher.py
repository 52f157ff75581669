"""Batches small records into ledger commands, and retries each command until it is answered.

One command per group is in flight at a time; further records queue meanwhile. The commands must be
idempotent, because a command whose answer was lost is sent again.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.state.commands import Command, CommandOutcome, GroupId

T = TypeVar("T")

DEFINITE_CODES = (FaultCode.INVALID, FaultCode.FORBIDDEN, FaultCode.NOT_FOUND, FaultCode.TOO_LARGE)
"""Faults that a retry of the same command would meet again."""


@dataclass(slots=True)
class _GroupQueue(Generic[T]):
    """Records of one group: the queued ones, and those of the command in flight."""

    waiting: list[T] = field(default_factory=list)
    sending: tuple[T, ...] = ()
    timer_set: bool = False


class CommandBatcher(Generic[T]):
    """Sends records of one kind as batched commands.

    ``make_command`` builds a command, ``size_of`` returns a record's size in bytes, and
    ``on_answer`` is called with the records and the outcome (a ``Fault`` only if it is definite).
    """

    def __init__(
        self,
        control: ControlClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
        make_command: Callable[[tuple[T, ...]], Command],
        size_of: Callable[[T], int],
        on_answer: Callable[[GroupId, tuple[T, ...], CommandOutcome], None],
    ) -> None:
        self._control = control
        self._clock = clock
        self._random = random
        self._settings = settings
        self._make_command = make_command
        self._size_of = size_of
        self._on_answer = on_answer
        self._queues: dict[GroupId, _GroupQueue[T]] = {}
        self._drained: list[Deferred[None]] = []

    def add(self, group: GroupId, record: T) -> None:
        """Queue a record; it is sent within ``commit_period_s`` unless a command is in flight."""
        queue = self._queues.setdefault(group, _GroupQueue())
        queue.waiting.append(record)
        if len(queue.waiting) >= self._settings.commit_max_items:
            self._send(group)
        elif not queue.timer_set:
            queue.timer_set = True
            self._clock.callLater(self._settings.commit_period_s, self._timer_due, group)

    def pending(self, group: GroupId) -> list[T]:
        """Return the records of a group that have no answer yet."""
        queue = self._queues.get(group)
        if queue is None:
            return []
        return [*queue.sending, *queue.waiting]

    def drain(self) -> "Deferred[None]":
        """Send all queued records; the Deferred fires once every record has its answer."""
        drained: Deferred[None] = Deferred()
        self._drained.append(drained)
        for group in list(self._queues):
            self._send(group)
        self._fire_drained()
        return drained

    def _timer_due(self, group: GroupId) -> None:
        self._queues[group].timer_set = False
        self._send(group)

    def _send(self, group: GroupId) -> None:
        queue = self._queues[group]
        if queue.sending or not queue.waiting:
            return
        queue.sending = self._next_batch(queue)
        del queue.waiting[: len(queue.sending)]
        self._propose(group)

    def _next_batch(self, queue: _GroupQueue[T]) -> tuple[T, ...]:
        size = 0
        count = 0
        for record in queue.waiting[: self._settings.commit_max_items]:
            size += self._size_of(record)
            if count and size > self._settings.range_bytes:
                break
            count += 1
        return tuple(queue.waiting[:count])

    def _propose(self, group: GroupId) -> None:
        command = self._make_command(self._queues[group].sending)
        proposed = self._control.propose(command, self._settings.command_timeout_s, group)
        proposed.addCallback(self._answered, group)

    def _answered(self, result: "Result[CommandOutcome, Fault]", group: GroupId) -> None:
        if result.is_error() and result.error.code not in DEFINITE_CODES:
            delay_s = self._settings.retry_delay_s * self._random.uniform(0.5, 1.5)
            self._clock.callLater(delay_s, self._propose, group)
            return
        queue = self._queues[group]
        sent = queue.sending
        queue.sending = ()
        outcome: Any = result.ok if result.is_ok() else result.error
        self._on_answer(group, sent, outcome)
        if queue.waiting:
            self._send(group)
        self._fire_drained()

    def _fire_drained(self) -> None:
        if any(queue.sending or queue.waiting for queue in self._queues.values()):
            return
        drained = self._drained
        self._drained = []
        for waiter in drained:
            waiter.callback(None)
