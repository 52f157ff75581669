"""Emulated engines on a virtual clock, and listeners that record their streams."""

from random import Random
from typing import Any

from features.support.virtual_time import wait_until

from rainsail.emulator.answers import expected_answer
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.settings import EngineSettings, WeightStoreSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import (
    Chunk,
    EndReason,
    EngineAttemptEnd,
    GenerateRequest,
    Priority,
)
from rainsail.simulation.clock import VirtualClock

MODEL = "reports"
VERSION = "reports-1"


class RecordingListener:
    """Records an attempt's chunks with their times, and its single end."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self.chunks: list[Chunk] = []
        self.times_s: list[float] = []
        self.end: EngineAttemptEnd | None = None

    def on_chunk(self, chunk: Chunk) -> None:
        """Record a chunk."""
        assert self.end is None, "a chunk after the end"
        self.chunks.append(chunk)
        self.times_s.append(self._clock.seconds())

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Record the end."""
        assert self.end is None, "a second end"
        self.end = end
        self.ended_s = self._clock.seconds()

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(chunk.text for chunk in self.chunks)

    @property
    def reason(self) -> EndReason | None:
        """Return why the attempt ended."""
        return self.end.reason if self.end is not None else None


class Bench:
    """A virtual clock with emulated engines that share a weight store."""

    def __init__(self, **settings: Any) -> None:
        self.clock = VirtualClock()
        store_settings = WeightStoreSettings(bytes_per_second=1e9)
        self.store = WeightStore(self.clock, store_settings)
        self.settings = EngineSettings.language_model(**settings)
        self.engines: dict[str, EmulatedEngine] = {}
        self.listeners: dict[str, RecordingListener] = {}
        self.requests: dict[str, GenerateRequest] = {}

    def add(self, name: str, version: str = VERSION) -> EmulatedEngine:
        """Add an engine; with an empty version nothing is loaded."""
        engine = EmulatedEngine(name, self.clock, Random(name), self.settings, self.store)
        if version:
            engine.preload(version)
        self.engines[name] = engine
        return engine

    def request(self, attempt: str, prompt: str, tokens: int, **more: Any) -> GenerateRequest:
        """Create a request; ``more`` overrides further fields such as ``priority``."""
        fields = {"priority": Priority.HIGH, "version": "", **more}
        request = GenerateRequest(
            attempt_id=attempt,
            request_id=f"request-{attempt}",
            model=MODEL,
            prompt=prompt,
            max_tokens=tokens,
            **fields,
        )
        self.requests[attempt] = request
        return request

    def generate(self, engine: str, attempt: str, prompt: str, tokens: int, **more: Any) -> None:
        """Start an attempt with a listener of its own."""
        self.listeners[attempt] = RecordingListener(self.clock)
        request = self.request(attempt, prompt, tokens, **more)
        self.engines[engine].generate(request, self.listeners[attempt])

    def expected(self, attempt: str) -> str:
        """Return the text that an attempt must produce."""
        request = self.requests[attempt]
        whole = expected_answer(MODEL, request.prompt, request.max_tokens, request.seed)
        return whole[len(request.forced_prefix) :]

    def run_until_ended(self, attempt: str, limit_s: float = 600.0) -> RecordingListener:
        """Run virtual time until an attempt has ended."""
        listener = self.listeners[attempt]
        wait_until(self.clock, lambda: listener.end is not None, limit_s, f"{attempt} ends")
        return listener

    def run_until_chunks(self, attempt: str, count: int) -> RecordingListener:
        """Run virtual time until an attempt has sent a number of chunks."""
        listener = self.listeners[attempt]
        while len(listener.chunks) < count and self.clock.run_next(self.clock.seconds() + 600):
            pass
        assert len(listener.chunks) >= count, f"{attempt} sent {len(listener.chunks)} chunks"
        return listener
