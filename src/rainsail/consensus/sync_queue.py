"""Ordering of writes, syncs and the messages that must wait for them."""

from collections.abc import Callable

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.consensus.effects import Effects, Outgoing
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.storage.interface import GroupStorage


class SyncQueue:
    """Runs one sync at a time; writes queued meanwhile share the next sync."""

    def __init__(
        self,
        storage: GroupStorage,
        send: Callable[[list[Outgoing]], None],
        on_synced: Callable[[int], None],
        on_fault: Callable[[Fault], None],
    ) -> None:
        self._storage = storage
        self._send = send
        self._on_synced = on_synced
        self._on_fault = on_fault
        self._running = False
        self._running_sequence = 0
        self._running_messages: list[Outgoing] = []
        self._next_sequence = 0
        self._next_messages: list[Outgoing] = []
        self._stopped = False

    @property
    def busy(self) -> bool:
        """Return whether a sync is running."""
        return self._running

    @property
    def running_sequence(self) -> int:
        """Return the last write sequence that the running sync covers; 0 if none runs."""
        return self._running_sequence if self._running else 0

    def stop(self) -> None:
        """Stop sending messages and reporting syncs."""
        self._stopped = True

    def submit(self, effects: Effects) -> None:
        """Queue the writes of one input, and the messages to send after their sync."""
        if effects.has_writes():
            try:
                self._write(effects)
            except OSError as error:
                self._fail(Fault(FaultCode.STORAGE, "consensus.write", str(error)))
                return
            self._next_sequence = effects.write_sequence
        self._queue_messages(effects.after_sync)
        self._start()

    def _write(self, effects: Effects) -> None:
        if effects.truncate_from is not None:
            self._storage.truncate_from(effects.truncate_from)
        if effects.append:
            self._storage.append(tuple(effects.append))
        if effects.hard_state is not None:
            self._storage.save_hard_state(effects.hard_state)

    def _queue_messages(self, messages: list[Outgoing]) -> None:
        if not messages:
            return
        if self._next_sequence:
            self._next_messages += messages
        elif self._running:
            self._running_messages += messages
        else:
            self._send(messages)

    def _start(self) -> None:
        if self._running or self._stopped or not self._next_sequence:
            return
        self._running = True
        self._running_sequence = self._next_sequence
        self._running_messages = self._next_messages
        self._next_sequence = 0
        self._next_messages = []
        done: Deferred[Result[None, Fault]] = self._storage.sync()
        done.addCallbacks(self._finish, self._crash)

    def _crash(self, failure: object) -> None:
        self._fail(Fault(FaultCode.STORAGE, "consensus.sync", str(failure)))

    def _finish(self, result: Result[None, Fault]) -> None:
        if self._stopped:
            return
        if result.is_error():
            self._fail(result.error)
            return
        self._running = False
        messages = self._running_messages
        self._running_messages = []
        self._send(messages)
        self._on_synced(self._running_sequence)
        self._start()

    def _fail(self, fault: Fault) -> None:
        if self._stopped:
            return
        self._stopped = True
        self._on_fault(Fault(fault.code, fault.step, fault.detail, fault.peer, Outcome.UNKNOWN))
