"""One generate attempt on an emulated engine: its chunks, its readers and its end."""

from typing import Any

from rainsail.emulator.answers import token_text
from rainsail.emulator.scheduler import Sequence
from rainsail.engine.interface import (
    AttemptListener,
    Chunk,
    EndReason,
    EngineAttemptEnd,
    GenerateRequest,
)


class EmulatedAttempt:
    """Retains all chunks of an attempt, so that a reader can resume the stream."""

    __slots__ = (
        "answer",
        "chunks",
        "deadline_timer",
        "end",
        "readers",
        "request",
        "sequence",
        "timer",
    )

    def __init__(self, request: GenerateRequest, sequence: Sequence, answer: str) -> None:
        self.request = request
        self.sequence = sequence
        self.answer = answer
        self.chunks: list[Chunk] = []
        self.end: EngineAttemptEnd | None = None
        self.readers: list[AttemptListener] = []
        self.timer: Any = None
        self.deadline_timer: Any = None

    def attach(self, from_sequence: int, reader: AttemptListener) -> None:
        """Send a reader the chunks from ``from_sequence`` on, then new chunks and the end."""
        for chunk in self.chunks[from_sequence:]:
            reader.on_chunk(chunk)
        if self.end is not None:
            reader.on_end(self.end)
            return
        self.readers.append(reader)

    def detach(self, reader: AttemptListener) -> None:
        """Stop sending to a reader."""
        self.readers = [each for each in self.readers if each is not reader]

    def add_tokens(self, first: int, end: int) -> None:
        """Append the answer's tokens from ``first`` to ``end`` (exclusive) as one chunk."""
        if end <= first:
            return
        text = token_text(self.answer, first, end)
        attempt_id = self.request.attempt_id
        chunk = Chunk(attempt_id, len(self.chunks), first, text, end - first)
        self.chunks.append(chunk)
        for reader in self.readers:
            reader.on_chunk(chunk)

    def finish(
        self, reason: EndReason, detail: str = "", retry_after_s: float = 0.0
    ) -> EngineAttemptEnd:
        """End the attempt and notify its readers."""
        generated = max(0, self.sequence.emitted - self.sequence.first_token)
        end = EngineAttemptEnd(
            self.request.attempt_id,
            reason,
            len(self.chunks),
            self.sequence.prompt_tokens,
            generated,
            detail,
            retry_after_s,
        )
        self.end = end
        readers, self.readers = self.readers, []
        for reader in readers:
            reader.on_end(end)
        return end
