"""One attempt on one engine: delivers its chunks in order, without gaps or duplicates.

An attempt may use several connections to the engine ("links"), one after the other. When chunks
are missing or the link is lost, the stream is resumed at the same engine from the next chunk.
Chunks from an earlier link or from a superseded attempt are dropped.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, Protocol

from rainsail.engine.interface import (
    Chunk,
    EndReason,
    EngineAttemptEnd,
    EngineClient,
    GenerateRequest,
)
from rainsail.gateway.retry import backoff_s
from rainsail.gateway.settings import RetrySettings
from rainsail.runtime.clock import Clock


class AttemptResult(StrEnum):
    """Result of an attempt."""

    COMPLETE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"


class EngineAttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def on_part(self, text: str, tokens: int) -> None:
        """Receive the next part, in order and without gaps."""
        ...

    def on_attempt_ended(
        self, attempt: "EngineAttempt", result: AttemptResult, end: EngineAttemptEnd
    ) -> None:
        """Receive the end: complete, refused by the engine as not run, or broken for good."""
        ...


class AttemptLink:
    """Listener for one link of an attempt. On the hot path: it is called for every chunk."""

    __slots__ = ("attempt", "resumed")

    def __init__(self, attempt: "EngineAttempt", resumed: bool) -> None:
        self.attempt = attempt
        self.resumed = resumed

    def on_chunk(self, chunk: Chunk) -> None:
        """Deliver the chunk that is next in order; handle all others separately."""
        if not is_expected(self, chunk):
            self.attempt.handle_out_of_order(self, chunk)
            return
        attempt = self.attempt
        attempt.next_sequence = chunk.sequence + 1
        attempt.deliver(chunk.text, chunk.tokens)
        if attempt.out_of_order:
            attempt.release_held()

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Pass the end of this link to the attempt."""
        self.attempt.handle_end(self, end)


def is_expected(link: AttemptLink, chunk: Chunk) -> bool:
    """Return whether a chunk is the next one and came over the attempt's current link."""
    attempt = link.attempt
    return (
        chunk.sequence == attempt.next_sequence
        and attempt.link is link
        and chunk.attempt_id == attempt.attempt_id
    )


class EngineAttempt:
    """Sends one ``GenerateRequest`` and follows its stream to the end.

    ``retry_refused_resume`` is set for work that cannot run on another engine: a refused resume is
    retried, because the engine may only be unreachable for a moment.
    """

    def __init__(
        self,
        runner: str,
        address: str,
        request: GenerateRequest,
        owner: EngineAttemptOwner,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: RetrySettings,
        retry_refused_resume: bool = False,
    ) -> None:
        self.runner = runner
        self.address = address
        self.request = request
        self.attempt_id = request.attempt_id
        self.next_sequence = 0
        self.link: AttemptLink | None = None
        self.out_of_order = False
        self._held: dict[int, Chunk] = {}
        self.deliver: Callable[[str, int], None] = owner.on_part
        self._owner = owner
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings
        self._retry_refused_resume = retry_refused_resume
        self._held_end: EngineAttemptEnd | None = None
        self._resumes = 0
        self._resumed_at = 0
        self._timer: Any = None
        self._paused = False
        self._checked_sequence = 0
        self._checked_s = clock.seconds()

    def start(self) -> None:
        """Send the request."""
        self.link = AttemptLink(self, resumed=False)
        self._engine.generate(self.address, self.request, self.link)
        if self._paused:
            self._engine.pause(self.attempt_id)

    def pause(self) -> None:
        """Stop reading from the engine, as back-pressure."""
        self._paused = True
        if self.link is not None:
            self._engine.pause(self.attempt_id)

    def unpause(self) -> None:
        """Resume reading from the engine."""
        self._paused = False
        self._checked_s = self._clock.seconds()
        if self.link is not None:
            self._engine.unpause(self.attempt_id)

    def supersede(self) -> None:
        """Ignore everything further from all links of this attempt."""
        self.link = None
        self._held.clear()
        self._stop_timer()

    # --- chunks out of order ------------------------------------------------------------------

    def handle_out_of_order(self, link: AttemptLink, chunk: Chunk) -> None:
        """Drop duplicates and late chunks; buffer early chunks for a limited time."""
        if self.link is not link or chunk.attempt_id != self.attempt_id:
            return
        if chunk.sequence < self.next_sequence:
            return
        if len(self._held) < self._settings.early_chunks:
            self._held[chunk.sequence] = chunk
        self._wait_for_gap()

    def release_held(self) -> None:
        """Deliver the buffered chunks that are next in order."""
        while self.link is not None:
            chunk = self._held.pop(self.next_sequence, None)
            if chunk is None:
                break
            self.next_sequence += 1
            self.deliver(chunk.text, chunk.tokens)
        if self.link is not None and not self._held:
            self._gap_closed()

    def _gap_closed(self) -> None:
        end = self._held_end
        if end is None:
            self.out_of_order = False
            self._stop_timer()
        elif end.chunk_count <= self.next_sequence:
            self._finish(AttemptResult.COMPLETE, end)

    def _wait_for_gap(self) -> None:
        self.out_of_order = True
        if self._timer is None:
            self._timer = self._clock.callLater(self._settings.gap_wait_s, self._gap_timed_out)

    def _gap_timed_out(self) -> None:
        self._timer = None
        self._resume_or_break(self._lost_end("chunks are missing"))

    # --- ends ---------------------------------------------------------------------------------

    def handle_end(self, link: AttemptLink, end: EngineAttemptEnd) -> None:
        """Handle the end of a link: finish the attempt or resume the stream."""
        if self.link is not link or end.attempt_id != self.attempt_id:
            return
        if end.reason in (EndReason.STOP, EndReason.LENGTH):
            self._handle_complete_end(end)
        elif end.reason == EndReason.REFUSED and not link.resumed and not self.next_sequence:
            self._finish(AttemptResult.REFUSED, end)
        elif end.reason == EndReason.LOST or (
            end.reason == EndReason.REFUSED and link.resumed and self._retry_refused_resume
        ):
            self._resume_or_break(end)
        else:
            self._finish(AttemptResult.BROKEN, end)

    def _handle_complete_end(self, end: EngineAttemptEnd) -> None:
        if end.chunk_count <= self.next_sequence:
            self._finish(AttemptResult.COMPLETE, end)
            return
        self._held_end = end
        self._wait_for_gap()

    def check_stalled(self, now_s: float) -> None:
        """Treat the link as lost when no chunk came within the stall timeout."""
        if self._paused or self.next_sequence != self._checked_sequence:
            self._checked_sequence = self.next_sequence
            self._checked_s = now_s
            return
        if self.link is None or now_s - self._checked_s < self._settings.stall_timeout_s:
            return
        self._checked_s = now_s
        self._resume_or_break(self._lost_end("the stream stalled"))

    def engine_restarted(self) -> None:
        """End the attempt as broken: a restarted engine has no stream to resume."""
        if self.link is not None:
            self._finish(AttemptResult.BROKEN, self._lost_end("the engine restarted"))

    def _lost_end(self, detail: str) -> EngineAttemptEnd:
        return EngineAttemptEnd(
            self.attempt_id, EndReason.LOST, self.next_sequence, 0, 0, detail=detail
        )

    def _resume_or_break(self, end: EngineAttemptEnd) -> None:
        self._stop_timer()
        self._held_end = None
        if self.next_sequence > self._resumed_at:
            self._resumes = 0
        self._resumed_at = self.next_sequence
        if self._resumes >= self._settings.max_resumes:
            self._finish(AttemptResult.BROKEN, end)
            return
        self._resumes += 1
        self.link = AttemptLink(self, resumed=True)
        if self._resumes == 1:
            self._resume(self.link)
            return
        delay_s = backoff_s(self._resumes, self._random, self._settings)
        self._timer = self._clock.callLater(delay_s, self._resume, self.link)

    def _resume(self, link: AttemptLink) -> None:
        self._timer = None
        if self.link is not link:
            return
        self._engine.resume(self.address, self.attempt_id, self.next_sequence, link)
        if self._paused:
            self._engine.pause(self.attempt_id)

    def _finish(self, result: AttemptResult, end: EngineAttemptEnd) -> None:
        self.supersede()
        self._owner.on_attempt_ended(self, result, end)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
