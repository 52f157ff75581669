"""Counts the prompt tokens of online work that wait for prefill at each engine.

Wraps the gateway's ``EngineClient``: an online attempt counts from when it is sent until its first
token arrives. During that time batch work increases online tail latency most, since each batch
sequence lengthens every iteration that a long prompt needs.
"""

from collections.abc import Callable

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.engine.interface import (
    AttemptListener,
    CacheEvent,
    Chunk,
    EngineAttemptEnd,
    EngineClient,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
    Priority,
)
from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault

CachedTokens = Callable[[str, str], int]
"""Maps an engine's address and a prompt to the number of leading tokens that are likely cached."""


def nothing_cached(address: str, prompt: str) -> int:
    """Assume that no part of the prompt is cached."""
    return 0


class OnlinePrefillMeter:
    """An ``EngineClient`` that counts online prompt tokens without a first token, by address."""

    def __init__(self, engine: EngineClient, cached_tokens: CachedTokens = nothing_cached) -> None:
        self._engine = engine
        self._cached_tokens = cached_tokens
        self._tokens: dict[str, int] = {}
        self._listeners: list[Callable[[str], None]] = []

    def prefill_tokens(self, address: str) -> int:
        """Return the online prompt tokens that wait for prefill at an engine."""
        return self._tokens.get(address, 0)

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with an engine's address whenever its count has changed."""
        self._listeners.append(listener)

    def add(self, address: str, tokens: int) -> None:
        """Change an engine's count."""
        self._tokens[address] = self._tokens.get(address, 0) + tokens
        for listener in self._listeners:
            listener(address)

    # --- EngineClient -----------------------------------------------------------------------

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Start an attempt; those of high priority are counted."""
        if request.priority is not Priority.HIGH:
            self._engine.generate(address, request, listener)
            return
        cached = self._cached_tokens(address, request.prompt)
        tokens = max(0, count_tokens(request.prompt) - cached)
        metered = _MeteredListener(self, address, tokens, listener)
        self.add(address, tokens)
        self._engine.generate(address, request, metered)

    def resume(
        self, address: str, attempt_id: str, from_sequence: int, listener: AttemptListener
    ) -> None:
        """Resume a stream; it is not counted, since its prefill is over."""
        self._engine.resume(address, attempt_id, from_sequence, listener)

    def pause(self, attempt_id: str) -> None:
        """Forward to the wrapped client."""
        self._engine.pause(attempt_id)

    def unpause(self, attempt_id: str) -> None:
        """Forward to the wrapped client."""
        self._engine.unpause(attempt_id)

    def cancel(self, address: str, attempt_id: str) -> "Deferred[Result[bool, Fault]]":
        """Forward to the wrapped client."""
        return self._engine.cancel(address, attempt_id)

    def order(self, address: str, order: EngineOrder) -> "Deferred[Result[OrderReply, Fault]]":
        """Forward to the wrapped client."""
        return self._engine.order(address, order)

    def export_kv(
        self, address: str, session: str, fence: int
    ) -> "Deferred[Result[KvState, Fault]]":
        """Forward to the wrapped client."""
        return self._engine.export_kv(address, session, fence)

    def import_kv(self, address: str, state: KvState) -> "Deferred[Result[None, Fault]]":
        """Forward to the wrapped client."""
        return self._engine.import_kv(address, state)

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Forward to the wrapped client."""
        return self._engine.subscribe(address, on_load, on_cache, on_lost)


class _MeteredListener:
    """Subtracts the attempt's tokens from the count at its first chunk or its end."""

    __slots__ = ("_address", "_listener", "_meter", "_tokens")

    def __init__(
        self, meter: OnlinePrefillMeter, address: str, tokens: int, listener: AttemptListener
    ) -> None:
        self._meter = meter
        self._address = address
        self._tokens = tokens
        self._listener = listener

    def on_chunk(self, chunk: Chunk) -> None:
        """Forward a chunk; the first one ends the prefill."""
        if self._tokens:
            self._prefilled()
        self._listener.on_chunk(chunk)

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Forward the end, which also ends a prefill without any chunk."""
        if self._tokens:
            self._prefilled()
        self._listener.on_end(end)

    def _prefilled(self) -> None:
        tokens, self._tokens = self._tokens, 0
        self._meter.add(self._address, -tokens)
