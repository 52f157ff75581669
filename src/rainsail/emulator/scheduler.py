"""Continuous batching without I/O: admission, preemption and iterations.

An iteration (step) advances every decoding sequence by one token and prefills a bounded number
of prompt tokens. Decoding sequences are not visited each step: their token counts follow from a
step counter, and a sequence is looked up only at the step at which it has a chunk to send. A step
therefore costs O(chunks sent), regardless of the batch size.
"""

from collections import deque
from dataclasses import dataclass

from rainsail.emulator.prefix_cache import CacheChange, PrefixCache
from rainsail.emulator.settings import EngineSettings
from rainsail.engine.interface import Priority
from rainsail.engine.prefix import BLOCK_TOKENS

_NOT_DUE = -1


class Sequence:
    """The scheduler's state of one attempt; token positions count from the answer's first token."""

    __slots__ = (
        "admitted",
        "blocks",
        "chunk_tokens",
        "decode_base",
        "decoding",
        "due_step",
        "emitted",
        "first_token",
        "generated",
        "prefill_left",
        "priority",
        "prompt_tokens",
        "reserved_tokens",
        "started",
        "total_tokens",
    )

    def __init__(
        self,
        priority: Priority,
        prompt_tokens: int,
        blocks: tuple[int, ...],
        first_token: int,
        total_tokens: int,
        max_tokens: int,
        chunk_tokens: int,
    ) -> None:
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.blocks = blocks
        self.first_token = first_token
        self.generated = first_token
        self.emitted = first_token
        self.total_tokens = total_tokens
        self.chunk_tokens = chunk_tokens
        self.reserved_tokens = prompt_tokens + max(max_tokens, total_tokens)
        self.prefill_left = 0
        self.decode_base = 0
        self.decoding = False
        self.due_step = _NOT_DUE
        self.started = False
        self.admitted = False


@dataclass(frozen=True, slots=True)
class Emission:
    """Tokens ``first`` to ``end`` (exclusive) are ready; ``finished`` marks the last ones."""

    sequence: Sequence
    first: int
    end: int
    finished: bool


@dataclass(frozen=True, slots=True)
class StepResult:
    """The result of a step: tokens to send and changes of the prefix cache."""

    emissions: tuple[Emission, ...]
    cache_changes: tuple[CacheChange, ...]


class BatchScheduler:
    """Manages the waiting queues and the running batch of one engine."""

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self._settings = settings
        self._cache = cache
        self._waiting: dict[Priority, deque[Sequence]] = {
            Priority.HIGH: deque(),
            Priority.LOW: deque(),
        }
        self._running: dict[Priority, list[Sequence]] = {Priority.HIGH: [], Priority.LOW: []}
        self._prefilling: list[Sequence] = []
        self._decoding_count = 0
        self._step = 0
        self._due: dict[int, list[Sequence]] = {}
        self._prefill_plan: list[tuple[Sequence, int]] = []
        self._started: list[Sequence] = []
        self.kv_tokens_used = 0
        self.tokens_generated = 0
        self.preemptions = 0

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running[Priority.HIGH]) + len(self._running[Priority.LOW])

    @property
    def running_low(self) -> int:
        """Number of low-priority sequences in the batch."""
        return len(self._running[Priority.LOW])

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for admission."""
        return len(self._waiting[Priority.HIGH]) + len(self._waiting[Priority.LOW])

    def waiting_sequences(self) -> list[Sequence]:
        """Return the waiting sequences, in order of admission."""
        return [*self._waiting[Priority.HIGH], *self._waiting[Priority.LOW]]

    def fits_empty_engine(self, sequence: Sequence) -> bool:
        """Return whether the KV cache of an idle engine can hold the sequence."""
        return sequence.reserved_tokens <= self._settings.kv_tokens_total

    def take_started(self) -> list[Sequence]:
        """Return the sequences that entered the batch for the first time since the last call."""
        started, self._started = self._started, []
        return started

    def add(self, sequence: Sequence) -> None:
        """Append a sequence to the queue of its priority."""
        self._waiting[sequence.priority].append(sequence)

    def generated_tokens(self, sequence: Sequence) -> int:
        """Return the number of tokens generated so far, including the forced prefix."""
        if not sequence.decoding:
            return sequence.generated
        return sequence.generated + self._step - sequence.decode_base

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence from the batch or from its queue."""
        if sequence.admitted:
            self._leave_batch(sequence)
        elif sequence in self._waiting[sequence.priority]:
            self._waiting[sequence.priority].remove(sequence)

    def begin_step(self, admit: bool = True) -> float | None:
        """Admit and plan the next iteration; return its duration in seconds, None when idle."""
        if admit:
            self._admit()
        if not self.running:
            return None
        budget = self._settings.prefill_tokens_per_step
        self._prefill_plan = []
        for sequence in self._prefilling:
            share = min(sequence.prefill_left, budget)
            self._prefill_plan.append((sequence, share))
            budget -= share
            if budget == 0:
                break
        prefilled = self._settings.prefill_tokens_per_step - budget
        return (
            self._settings.step_base_s
            + self._settings.step_per_sequence_s * self._decoding_count
            + self._settings.prefill_token_s * prefilled
        )

    def finish_step(self) -> StepResult:
        """End the iteration: one token for each decoding sequence, prefill as planned."""
        self._step += 1
        self.tokens_generated += self._decoding_count
        emissions = []
        for sequence in self._due.pop(self._step, ()):
            if sequence.due_step == self._step:
                emissions.append(self._emit(sequence))
        changes = []
        for sequence, share in self._prefill_plan:
            if not sequence.admitted:
                continue
            sequence.prefill_left -= share
            if sequence.prefill_left == 0:
                changes.append(self._cache.store(sequence.blocks))
                emissions.append(self._first_token(sequence))
        self._prefill_plan = []
        return StepResult(tuple(emissions), tuple(changes))

    def _first_token(self, sequence: Sequence) -> Emission:
        self._prefilling.remove(sequence)
        sequence.decoding = True
        self._decoding_count += 1
        sequence.decode_base = self._step
        sequence.generated = min(sequence.generated + 1, sequence.total_tokens)
        self.tokens_generated += 1
        return self._emit(sequence)

    def _emit(self, sequence: Sequence) -> Emission:
        end = min(self.generated_tokens(sequence), sequence.total_tokens)
        finished = end >= sequence.total_tokens
        emission = Emission(sequence, sequence.emitted, end, finished)
        sequence.emitted = end
        if finished:
            self._leave_batch(sequence)
            return emission
        ahead = min(sequence.chunk_tokens, sequence.total_tokens - end)
        sequence.due_step = self._step + ahead
        self._due.setdefault(sequence.due_step, []).append(sequence)
        return emission

    def _admit(self) -> None:
        while self._waiting[Priority.HIGH]:
            sequence = self._waiting[Priority.HIGH][0]
            if not self._make_room(sequence):
                return
            self._waiting[Priority.HIGH].popleft()
            self._enter_batch(sequence)
        while self._waiting[Priority.LOW] and self._has_room(self._waiting[Priority.LOW][0]):
            self._enter_batch(self._waiting[Priority.LOW].popleft())

    def _has_room(self, sequence: Sequence) -> bool:
        if self.running >= self._settings.max_running:
            return False
        return self.kv_tokens_used + sequence.reserved_tokens <= self._settings.kv_tokens_total

    def _make_room(self, sequence: Sequence) -> bool:
        """Preempt low-priority sequences, latest first, if this makes room for ``sequence``."""
        low = self._running[Priority.LOW]
        kept = len(self._running[Priority.HIGH])
        freed = sum(each.reserved_tokens for each in low)
        possible_kv = self.kv_tokens_used - freed + sequence.reserved_tokens
        if kept >= self._settings.max_running or possible_kv > self._settings.kv_tokens_total:
            return False
        while not self._has_room(sequence):
            self._preempt(low[-1])
        return True

    def _preempt(self, sequence: Sequence) -> None:
        self._leave_batch(sequence)
        self._waiting[sequence.priority].appendleft(sequence)
        self.preemptions += 1

    def _enter_batch(self, sequence: Sequence) -> None:
        cached = self._cache.match(sequence.blocks) * BLOCK_TOKENS
        context = sequence.prompt_tokens + sequence.generated
        sequence.prefill_left = max(1, context - cached)
        sequence.admitted = True
        if not sequence.started:
            sequence.started = True
            self._started.append(sequence)
        self._running[sequence.priority].append(sequence)
        self.kv_tokens_used += sequence.reserved_tokens
        if sequence.priority is Priority.LOW:
            self._prefilling.append(sequence)
            return
        position = sum(1 for each in self._prefilling if each.priority is Priority.HIGH)
        self._prefilling.insert(position, sequence)

    def _leave_batch(self, sequence: Sequence) -> None:
        sequence.generated = self.generated_tokens(sequence)
        if sequence.decoding:
            self._decoding_count -= 1
        else:
            self._prefilling.remove(sequence)
        sequence.decoding = False
        sequence.admitted = False
        sequence.due_step = _NOT_DUE
        self._running[sequence.priority].remove(sequence)
        self.kv_tokens_used -= sequence.reserved_tokens
