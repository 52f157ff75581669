"""One attempt on one engine: whole, in order, without duplicates, across lost links.

An attempt may live on several links, one after the other: when chunks are missing or the link
is lost, the stream is taken up at the same engine from the next chunk. What comes from a link
that was given up, or from an attempt that was superseded, is dropped.
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
    """How an attempt ended for its request."""

    COMPLETE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"


class EngineAttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def on_part(self, text: str, tokens: int) -> None:
        """Take the next part, in order and without gaps."""
        ...

    def on_attempt_ended(
        self, attempt: "EngineAttempt", result: AttemptResult, end: EngineAttemptEnd
    ) -> None:
        """Take the end: whole, refused by the engine as not run, or broken off for good."""
        ...


class AttemptLink:
    """Listens to one link of an attempt; every chunk passes here, so it does little."""

    __slots__ = ("attempt", "resumed")

    def __init__(self, attempt: "EngineAttempt", resumed: bool) -> None:
        self.attempt = attempt
        self.resumed = resumed

    def on_chunk(self, chunk: Chunk) -> None:
        """Pass on the chunk whose turn it is; all others are looked at apart."""
        if not is_expected(self, chunk):
            self.attempt.take_unexpected(self, chunk)
            return
        attempt = self.attempt
        attempt.next_sequence = chunk.sequence + 1
        attempt.deliver(chunk.text, chunk.tokens)
        if attempt.out_of_order:
            attempt.release_held()

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Take the end of this link."""
        self.attempt.take_end(self, end)


def is_expected(link: AttemptLink, chunk: Chunk) -> bool:
    """Tell whether a chunk is the next of the attempt's present link."""
    attempt = link.attempt
    return (
        chunk.sequence == attempt.next_sequence
        and attempt.link is link
        and chunk.attempt_id == attempt.attempt_id
    )


class EngineAttempt:
    """Sends one ``GenerateRequest`` and sees its stream through.

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
        """Stop reading from the engine."""
        self._paused = True
        if self.link is not None:
            self._engine.pause(self.attempt_id)

    def unpause(self) -> None:
        """Read from the engine again."""
        self._paused = False
        self._checked_s = self._clock.seconds()
        if self.link is not None:
            self._engine.unpause(self.attempt_id)

    def supersede(self) -> None:
        """Take nothing more from any link of this attempt."""
        self.link = None
        self._held.clear()
        self._stop_timer()

    # --- chunks out of turn -------------------------------------------------------------------

    def take_unexpected(self, link: AttemptLink, chunk: Chunk) -> None:
        """Drop duplicates and late chunks; hold early ones for a short while."""
        if self.link is not link or chunk.attempt_id != self.attempt_id:
            return
        if chunk.sequence < self.next_sequence:
            return
        if len(self._held) < self._settings.early_chunks:
            self._held[chunk.sequence] = chunk
        self._wait_for_gap()

    def release_held(self) -> None:
        """Deliver held chunks whose turn has come."""
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

    def take_end(self, link: AttemptLink, end: EngineAttemptEnd) -> None:
        """Take the end of a link."""
        if self.link is not link or end.attempt_id != self.attempt_id:
            return
        if end.reason in (EndReason.STOP, EndReason.LENGTH):
            self._take_complete_end(end)
        elif end.reason == EndReason.REFUSED and not link.resumed and not self.next_sequence:
            self._finish(AttemptResult.REFUSED, end)
        elif end.reason == EndReason.LOST or (
            end.reason == EndReason.REFUSED and link.resumed and self._retry_refused_resume
        ):
            self._resume_or_break(end)
        else:
            self._finish(AttemptResult.BROKEN, end)

    def _take_complete_end(self, end: EngineAttemptEnd) -> None:
        if end.chunk_count <= self.next_sequence:
            self._finish(AttemptResult.COMPLETE, end)
            return
        self._held_end = end
        self._wait_for_gap()

    def check_stalled(self, now_s: float) -> None:
        """Take the link as lost when no chunk came for too long (called now and then)."""
        if self._paused or self.next_sequence != self._checked_sequence:
            self._checked_sequence = self.next_sequence
            self._checked_s = now_s
            return
        if self.link is None or now_s - self._checked_s < self._settings.stall_timeout_s:
            return
        self._checked_s = now_s
        self._resume_or_break(self._lost_end("the stream stalled"))

    def engine_restarted(self) -> None:
        """The engine has restarted: its streams are gone, taking up is of no use."""
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
