"""Runs one leased item as a single attempt on one engine."""

from collections.abc import Callable
from enum import StrEnum

from expression import Result

from rainsail.batch.held_item import HeldItem
from rainsail.engine.interface import (
    Chunk,
    EndReason,
    EngineAttemptEnd,
    EngineClient,
    GenerateRequest,
    Priority,
)
from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock

CANCEL_RETRY_DELAY_S = 0.1
"""Delay before a cancel is retried after it failed or while chunks still arrive."""
CANCEL_ATTEMPTS = 5
"""Maximum number of cancels; after that the engine's stream ends when its reader disconnects."""

RESUME_ATTEMPTS = 3
"""Maximum number of requests for the missing chunks of a finished answer."""


class LeasedRunEnd(StrEnum):
    """How a run ended for its item."""

    FINISHED = "finished"
    FAILED = "failed"
    NOT_RUN = "not_run"


class LeasedItemRun:
    """One attempt of an item; listens to the engine and assembles the text.

    ``on_end(run, end, detail, retry_after_s)`` is called once, and never after ``stop``.
    """

    def __init__(
        self,
        held: HeldItem,
        runner: str,
        address: str,
        attempt_id: str,
        engine: EngineClient,
        clock: Clock,
        on_end: "Callable[[LeasedItemRun, LeasedRunEnd, str, float], None]",
    ) -> None:
        self.held = held
        self.runner = runner
        self.attempt_id = attempt_id
        self._address = address
        self._engine = engine
        self._clock = clock
        self._on_end = on_end
        self._texts: list[str] = []
        self._out_of_order: dict[int, Chunk] = {}
        self._next_sequence = 0
        self._resumes = 0
        self._cancels = 0
        self._cancel_sent_at_s = 0.0
        self.stopped = False
        self.ended = False
        self.tokens = count_tokens(held.generated_prefix)
        self.kv_tokens = held.kv_tokens

    def start(self, priority: Priority) -> None:
        """Send the item to the engine."""
        leased = self.held.leased
        request = GenerateRequest(
            attempt_id=self.attempt_id,
            request_id=f"{leased.ref.job_id}/{leased.ref.index}",
            model=self.held.service,
            version="",
            prompt=leased.body.prompt,
            max_tokens=leased.body.max_tokens,
            priority=priority,
            adapter=leased.adapter,
            forced_prefix=self.held.generated_prefix,
        )
        self._engine.generate(self._address, request, self)

    @property
    def text(self) -> str:
        """The text so far, including the prefix from earlier attempts."""
        return self.held.generated_prefix + "".join(self._texts)

    @property
    def generating(self) -> bool:
        """Whether prefill is over: the first token of this attempt has arrived."""
        return self._next_sequence > 0

    def stop(self) -> None:
        """Cancel the attempt at the engine; ``on_end`` is not called after this."""
        if self.stopped or self.ended:
            return
        self.stopped = True
        self._send_cancel()

    def on_chunk(self, chunk: Chunk) -> None:
        """Accept a chunk in any order; duplicates and chunks of other attempts are dropped."""
        if chunk.attempt_id != self.attempt_id or self.ended:
            return
        if self.stopped:
            self._retry_cancel()
            return
        if chunk.sequence < self._next_sequence:
            return
        self._out_of_order[chunk.sequence] = chunk
        self._join_chunks()

    def _join_chunks(self) -> None:
        while self._next_sequence in self._out_of_order:
            chunk = self._out_of_order.pop(self._next_sequence)
            self._next_sequence += 1
            self._texts.append(chunk.text)
            self.tokens = chunk.offset + chunk.tokens
            self.kv_tokens += chunk.tokens

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Handle the end of the attempt."""
        if end.attempt_id != self.attempt_id or self.ended:
            return
        if self._resume_if_incomplete(end):
            return
        self.ended = True
        if self.stopped:
            return
        run_end, detail = self._judge(end)
        self._on_end(self, run_end, detail, end.retry_after_s)

    def _resume_if_incomplete(self, end: EngineAttemptEnd) -> bool:
        """Resume the stream if a finished answer lacks chunks; tell whether it was resumed."""
        finished = end.reason in (EndReason.STOP, EndReason.LENGTH)
        whole = self._next_sequence >= end.chunk_count
        if self.stopped or not finished or whole or self._resumes >= RESUME_ATTEMPTS:
            return False
        self._resumes += 1
        self._engine.resume(self._address, self.attempt_id, self._next_sequence, self)
        return True

    def _judge(self, end: EngineAttemptEnd) -> tuple[LeasedRunEnd, str]:
        if end.reason in (EndReason.STOP, EndReason.LENGTH):
            if self._next_sequence < end.chunk_count:
                missing = end.chunk_count - self._next_sequence
                return LeasedRunEnd.FAILED, f"{missing} chunks missing from {self.runner}"
            return LeasedRunEnd.FINISHED, ""
        if end.reason is EndReason.LOST:
            return LeasedRunEnd.FAILED, f"link to {self.runner} lost: {end.detail}"
        return LeasedRunEnd.NOT_RUN, end.detail

    def _retry_cancel(self) -> None:
        since_s = self._clock.seconds() - self._cancel_sent_at_s
        if since_s >= CANCEL_RETRY_DELAY_S and self._cancels < CANCEL_ATTEMPTS:
            self._send_cancel()

    def _send_cancel(self) -> None:
        if self.ended or self._cancels >= CANCEL_ATTEMPTS:
            return
        self._cancels += 1
        self._cancel_sent_at_s = self._clock.seconds()
        cancelled = self._engine.cancel(self._address, self.attempt_id)
        cancelled.addCallback(self._cancel_answered)

    def _cancel_answered(self, result: "Result[bool, Fault]") -> None:
        if result.is_error():
            self._clock.callLater(CANCEL_RETRY_DELAY_S, self._send_cancel)
