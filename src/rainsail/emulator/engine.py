"""An emulated model engine that runs on any clock.

The same code runs on the wall clock (behind ``rainsail.emulator.engine_server``) and on the
virtual clock (behind ``rainsail.simulation.engine_link``). Calls are made directly; the adapters
add the network's delays and failures.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from expression import Result

from rainsail.emulator.answers import expected_answer
from rainsail.emulator.attempt import EmulatedAttempt
from rainsail.emulator.executions import ExecutionLog, ExecutionRecord
from rainsail.emulator.load_meter import LoadMeter
from rainsail.emulator.model_state import ModelState
from rainsail.emulator.prefix_cache import PrefixCache
from rainsail.emulator.publisher import EventPublisher
from rainsail.emulator.scheduler import BatchScheduler, Sequence, StepResult
from rainsail.emulator.session_store import EngineSessionStore
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import (
    AttemptListener,
    CacheEvent,
    EndReason,
    EngineAttemptEnd,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
)
from rainsail.engine.prefix import block_hashes, count_tokens
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock

_WHOLE_ANSWER = 1 << 60
"""Chunk size in tokens of an answer that is not streamed: larger than any answer."""


class EmulatedEngine:
    """Runs generate attempts in one continuous batch and accepts fenced orders."""

    def __init__(
        self,
        runner: str,
        clock: Clock,
        random: Random,
        settings: EngineSettings,
        weight_store: WeightStore,
        process: str = "",
    ) -> None:
        """Create a running engine; ``process`` makes incarnation names unique across processes."""
        self.runner = runner
        self._process = process
        self._execution_log = ExecutionLog()
        self.draining = False
        self.alive = False
        self._clock = clock
        self._random = random
        self._settings = settings
        self._weight_store = weight_store
        self._incarnations = 0
        self._crash_listeners: list[Callable[[], None]] = []
        self._order_fence = 0
        self.restart()

    # --- lifecycle -----------------------------------------------------------------------------

    def restart(self) -> None:
        """Start a new incarnation with empty memory: no weights, streams or cache.

        The highest order fence survives, because the platform stores it with the machine.
        """
        self.crash()
        self._incarnations += 1
        self.incarnation = f"{self.runner}/{self._process}{self._incarnations}"
        self.draining = False
        self._attempts: dict[str, EmulatedAttempt] = {}
        self._by_sequence: dict[Sequence, EmulatedAttempt] = {}
        self._retained: deque[tuple[float, str]] = deque()
        self._cache = PrefixCache(self._settings.cache_blocks)
        self._scheduler = BatchScheduler(self._settings, self._cache)
        self._sessions = EngineSessionStore()
        self._model = ModelState(self._weight_store, self._is_idle, self._on_swap)
        self._model.fence = self._order_fence
        self._load_meter = LoadMeter(
            self.runner,
            self.incarnation,
            self._clock,
            self._settings,
            lambda: self._scheduler,
            self._model,
        )
        self._publisher = EventPublisher(
            self.runner,
            self.incarnation,
            self._clock,
            self._random,
            self._settings,
            self._measure,
            self._cache.blocks,
        )
        self._step_timer: Any = None
        self._stepping = False
        self.alive = True

    def on_crash(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` on every crash, so that it can break the engine's connections."""
        self._crash_listeners.append(listener)

    def crash(self) -> None:
        """Stop at once without ending any stream; only the crash listeners are notified."""
        if not self.alive:
            return
        self.alive = False
        self._order_fence = self._model.fence
        self._publisher.close()
        self._model.stop_loads()
        _cancel(self._step_timer)
        self._step_timer = None
        for attempt in self._attempts.values():
            attempt.readers = []
            _cancel(attempt.timer)
            _cancel(attempt.deadline_timer)
        self._execution_log.mark_all_lost(self._clock.seconds())
        for listener in self._crash_listeners:
            listener()

    def preload(self, version: str, adapters: tuple[str, ...] = ()) -> None:
        """Set the loaded version and adapters directly (for tests and prepared platforms)."""
        self._model.loaded_version = version
        self._model.adapters = adapters

    # --- attempts -------------------------------------------------------------------------

    def generate(self, request: GenerateRequest, reader: AttemptListener) -> None:
        """Start or refuse an attempt; a known attempt id attaches the reader to that attempt."""
        known = self._attempts.get(request.attempt_id)
        if known is not None:
            known.attach(0, reader)
            return
        sequence, answer = self._plan(request)
        refusal = self._refusal(request, sequence)
        if refusal:
            reader.on_end(self._refused(request, refusal))
            return
        attempt = EmulatedAttempt(request, sequence, answer)
        attempt.readers.append(reader)
        self._attempts[request.attempt_id] = attempt
        self._by_sequence[sequence] = attempt
        if request.deadline_s > 0:
            attempt.deadline_timer = self._clock.callLater(
                request.deadline_s, self._deadline, attempt
            )
        self._scheduler.add(sequence)
        self._schedule_step()

    def attach(self, attempt_id: str, from_sequence: int, reader: AttemptListener) -> bool:
        """Resume a stream from a chunk sequence number; False when the attempt is unknown."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return False
        if attempt.end is None and not attempt.readers:
            _cancel(attempt.timer)
            attempt.timer = None
        attempt.attach(from_sequence, reader)
        return True

    def detach(self, attempt_id: str, reader: AttemptListener) -> None:
        """Detach a disconnected reader; cancel an attempt without readers after a grace period."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.end is not None:
            return
        attempt.detach(reader)
        if not attempt.readers:
            _cancel(attempt.timer)
            grace_s = self._settings.detached_grace_s
            attempt.timer = self._clock.callLater(grace_s, self._cancel_unread, attempt)

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return whether it was still running or waiting."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.end is not None:
            return False
        self._stop(attempt, EndReason.CANCELLED, "cancelled by the caller")
        return True

    # --- orders, sessions, events ---------------------------------------------------------

    def order(self, order: EngineOrder) -> Result[OrderReply, Fault]:
        """Apply a fenced order; the fault is FENCED when a higher fence was seen."""
        return self._model.take(order)

    def export_kv(self, session: str, fence: int) -> Result[KvState, Fault]:
        """Export a session and cancel its running attempts, so that it no longer runs here."""
        exported = self._sessions.export(session, fence)
        if exported.is_ok():
            for attempt in list(self._by_sequence.values()):
                if attempt.request.session == session:
                    self._stop(attempt, EndReason.CANCELLED, "the session was exported")
        return exported

    def import_kv(self, state: KvState) -> Result[None, Fault]:
        """Import a session; its blocks go into the prefix cache and need no prefill."""
        restored = self._sessions.restore(state)
        if restored.is_ok():
            self._publisher.cache_changed(self._cache.store(restored.ok))
        return restored.map(lambda _: None)

    def subscribe(
        self,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
    ) -> Callable[[], None]:
        """Subscribe to load reports and cache events; the returned function unsubscribes."""
        return self._publisher.subscribe(on_load, on_cache)

    def load(self) -> LoadReport:
        """Return the current load, for checkers; published reports lag behind it."""
        return self._load_meter.current(self.draining)

    def cached_blocks(self) -> tuple[int, ...]:
        """Return the blocks of the prefix cache, least recently used first."""
        return self._cache.blocks()

    @property
    def executions(self) -> list[ExecutionRecord]:
        """Every execution since the engine was created, across restarts, in order of start."""
        return self._execution_log.records

    def on_execution(self, listener: Callable[[ExecutionRecord], None]) -> None:
        """Call ``listener`` when an attempt starts to run and again when it has ended."""
        self._execution_log.listeners.append(listener)

    @property
    def preemptions(self) -> int:
        """Number of low-priority sequences preempted since the last start."""
        return self._scheduler.preemptions

    # --- internals -----------------------------------------------------------------------

    def _plan(self, request: GenerateRequest) -> tuple[Sequence, str]:
        answer = expected_answer(request.model, request.prompt, request.max_tokens, request.seed)
        first = count_tokens(request.forced_prefix)
        sequence = Sequence(
            request.priority,
            count_tokens(request.prompt),
            block_hashes(request.prompt),
            first,
            count_tokens(answer),
            request.max_tokens,
            self._settings.tokens_per_chunk if request.stream else _WHOLE_ANSWER,
        )
        return sequence, answer

    def _refusal(self, request: GenerateRequest, sequence: Sequence) -> str:
        if self.draining:
            return "the engine is draining"
        if self._model.swapping:
            return "the engine is changing its version"
        refusal = self._model.refusal(request)
        if refusal:
            return refusal
        if not self._scheduler.fits_empty_engine(sequence):
            return f"{sequence.reserved_tokens} tokens do not fit the KV cache"
        if self._scheduler.waiting >= self._settings.max_waiting:
            return "the engine's queue is full"
        if request.session:
            fault = self._sessions.admit(request.session, request.fence)
            return fault.detail if fault is not None else ""
        return ""

    def _refused(self, request: GenerateRequest, detail: str) -> EngineAttemptEnd:
        return EngineAttemptEnd(
            request.attempt_id,
            EndReason.REFUSED,
            0,
            count_tokens(request.prompt),
            0,
            detail,
            self._settings.refusal_retry_after_s,
        )

    def _schedule_step(self) -> None:
        if self._step_timer is None and self.alive and not self._stepping:
            self._begin_step()

    def _begin_step(self) -> None:
        duration_s = self._scheduler.begin_step(admit=not self._model.swapping)
        if duration_s is None:
            self._step_timer = None
            self._model.swap_if_idle()
            return
        self._step_timer = self._clock.callLater(duration_s, self._finish_step)
        self._record_starts()

    def _finish_step(self) -> None:
        self._step_timer = None
        self._stepping = True
        try:
            self._publish_step(self._scheduler.finish_step())
        finally:
            self._stepping = False
        if self.alive:
            self._schedule_step()

    def _publish_step(self, result: StepResult) -> None:
        for change in result.cache_changes:
            self._publisher.cache_changed(change)
        for emission in result.emissions:
            attempt = self._by_sequence.get(emission.sequence)
            if attempt is None:
                continue
            attempt.add_tokens(emission.first, emission.end)
            if emission.finished:
                self._complete(attempt)

    def _record_starts(self) -> None:
        for sequence in self._scheduler.take_started():
            request = self._by_sequence[sequence].request
            self._execution_log.start(request, self._clock.seconds())

    def _complete(self, attempt: EmulatedAttempt) -> None:
        request = attempt.request
        if request.session:
            whole = request.prompt + attempt.answer
            tokens = count_tokens(whole)
            blocks = block_hashes(whole)
            self._publisher.cache_changed(self._cache.store(blocks))
            self._sessions.remember(request.session, request.fence, tokens, blocks)
        limited = attempt.sequence.total_tokens >= request.max_tokens
        self._end(attempt, EndReason.LENGTH if limited else EndReason.STOP, "")

    def _deadline(self, attempt: EmulatedAttempt) -> None:
        if attempt.sequence.started:
            self._stop(attempt, EndReason.CANCELLED, "the deadline has passed")
        else:
            self._stop(attempt, EndReason.REFUSED, "the deadline passed in the queue")

    def _cancel_unread(self, attempt: EmulatedAttempt) -> None:
        self._stop(attempt, EndReason.CANCELLED, "nobody read the stream")

    def _stop(self, attempt: EmulatedAttempt, reason: EndReason, detail: str) -> None:
        if attempt.end is None:
            self._scheduler.remove(attempt.sequence)
            self._end(attempt, reason, detail)

    def _end(self, attempt: EmulatedAttempt, reason: EndReason, detail: str) -> None:
        del self._by_sequence[attempt.sequence]
        _cancel(attempt.timer)
        _cancel(attempt.deadline_timer)
        self._execution_log.end(attempt.request.attempt_id, reason, self._clock.seconds())
        self._retain(attempt)
        attempt.finish(reason, detail)

    def _retain(self, attempt: EmulatedAttempt) -> None:
        """Retain an ended attempt for resumption, and drop those whose retention has expired."""
        now = self._clock.seconds()
        while self._retained and self._retained[0][0] <= now:
            self._attempts.pop(self._retained.popleft()[1], None)
        until_s = now + self._settings.retain_chunks_s
        self._retained.append((until_s, attempt.request.attempt_id))

    def waiting_requests(self) -> list[GenerateRequest]:
        """Return the requests that wait for admission to the batch, in order."""
        return [self._by_sequence[each].request for each in self._scheduler.waiting_sequences()]

    def running_requests(self) -> list[GenerateRequest]:
        """Return the requests in the running batch."""
        waiting = set(self._scheduler.waiting_sequences())
        return [a.request for each, a in self._by_sequence.items() if each not in waiting]

    def _is_idle(self) -> bool:
        return self._scheduler.running == 0

    def _on_swap(self) -> None:
        self._cache.clear()
        self._publisher.cache_cleared()
        for sequence in self._scheduler.waiting_sequences():
            attempt = self._by_sequence[sequence]
            refusal = self._model.refusal(attempt.request)
            if refusal:
                started = sequence.started
                self._stop(attempt, EndReason.CANCELLED if started else EndReason.REFUSED, refusal)
        self._schedule_step()

    def _measure(self) -> LoadReport:
        return self._load_meter.next_report(self.draining)


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
