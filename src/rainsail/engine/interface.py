"""The interface between gateways and model engines.

``rainsail.engine.http_client.HttpEngineClient`` implements the engines' public HTTP protocol;
``rainsail.simulation.engine_link.SimulatedEngineClient`` connects to emulated engines over the
virtual network. Both use the same records. Units: tokens, seconds, bytes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault
from rainsail.wire.codec import wire_record


class Priority(StrEnum):
    """Engine scheduling priority; HIGH preempts LOW."""

    HIGH = "high"
    LOW = "low"


@wire_record("GenerateRequest")
@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One attempt to run one request on one engine.

    ``attempt_id`` is unique among all attempts, ``request_id`` among all requests. An empty
    ``version`` selects the loaded one. ``forced_prefix`` is text that was already generated (and
    sent): the engine continues after it and does not send it again. ``fence`` is the session's
    fencing token, or 0. ``deadline_s`` is the time left when the request is sent (0: none).
    """

    attempt_id: str
    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    priority: Priority
    stream: bool = True
    adapter: str = ""
    session: str = ""
    fence: int = 0
    forced_prefix: str = ""
    deadline_s: float = 0.0
    seed: int = 0


@wire_record("Chunk")
@dataclass(frozen=True, slots=True)
class Chunk:
    """Part of a response. ``sequence`` counts the chunks of an attempt from 0.

    ``offset`` is the number of tokens of the response before this chunk, including the forced
    prefix.
    """

    attempt_id: str
    sequence: int
    offset: int
    text: str
    tokens: int


class EndReason(StrEnum):
    """Why an attempt ended."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    LOST = "lost"


@wire_record("AttemptEnd")
@dataclass(frozen=True, slots=True)
class EngineAttemptEnd:
    """The end of an attempt.

    REFUSED: the attempt was certainly not run (``detail`` is the reason, ``retry_after_s`` the time
    until a retry). LOST: the connection broke after the request may have reached the engine.
    ``chunk_count`` is the number of chunks that were sent, so that a gap can be detected.
    """

    attempt_id: str
    reason: EndReason
    chunk_count: int
    prompt_tokens: int
    generated_tokens: int
    detail: str = ""
    retry_after_s: float = 0.0


class AttemptListener(Protocol):
    """Receives an attempt's chunks, then exactly one end."""

    def on_chunk(self, chunk: Chunk) -> None:
        """Receive the next chunk."""
        ...

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Receive the end; no further call follows."""
        ...


class OrderKind(StrEnum):
    """The command of a fenced order."""

    LOAD_VERSION = "load_version"
    UNLOAD_VERSION = "unload_version"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


@wire_record("EngineOrder")
@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A command with a fencing token; an engine refuses a fence below the highest it has seen."""

    fence: int
    kind: OrderKind
    target: str
    weight_bytes: int = 0


@wire_record("OrderReply")
@dataclass(frozen=True, slots=True)
class OrderReply:
    """The engine's state after accepting the order (loading may still be in progress)."""

    fence: int
    loaded_version: str
    loading_version: str
    adapters: tuple[str, ...]
    role: str


@wire_record("LoadReport")
@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load as of ``age_s`` seconds before it was sent.

    ``draining`` means that the engine is shutting down. ``incarnation`` changes when the engine
    restarts (its cache and streams are lost).
    """

    runner: str
    incarnation: str
    sequence: int
    age_s: float
    running: int
    running_low: int
    waiting: int
    kv_tokens_used: int
    kv_tokens_total: int
    tokens_per_second: float
    loaded_version: str
    loading_version: str
    adapters: tuple[str, ...]
    fence: int
    draining: bool


class CacheEventKind(StrEnum):
    """What happened to a cached prefix block."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@wire_record("CacheEvent")
@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One prefix-cache event; gaps in ``sequence`` mean that events were lost.

    ``blocks`` are chained hashes of prompt blocks (``rainsail.engine.prefix.block_hashes``).
    """

    runner: str
    incarnation: str
    sequence: int
    kind: CacheEventKind
    blocks: tuple[int, ...]


@wire_record("KvState")
@dataclass(frozen=True, slots=True)
class KvState:
    """The exported KV cache of a session: opaque to rainsail."""

    session: str
    fence: int
    tokens: int
    data: bytes


class EngineClient(Protocol):
    """A client of engines; ``runner`` is a resource name, ``address`` its base URL."""

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Start an attempt; the listener receives all events, including a failure to connect."""
        ...

    def resume(
        self, address: str, attempt_id: str, from_sequence: int, listener: AttemptListener
    ) -> None:
        """Resume a stream whose connection was lost, from a chunk sequence on.

        Ends with REFUSED if the engine no longer has the attempt.
        """
        ...

    def pause(self, attempt_id: str) -> None:
        """Stop reading the attempt's stream until ``unpause`` (back-pressure)."""
        ...

    def unpause(self, attempt_id: str) -> None:
        """Resume reading the attempt's stream."""
        ...

    def cancel(self, address: str, attempt_id: str) -> "Deferred[Result[bool, Fault]]":
        """Cancel an attempt; the result is whether the engine still had it."""
        ...

    def order(self, address: str, order: EngineOrder) -> "Deferred[Result[OrderReply, Fault]]":
        """Send a fenced order; Fault FENCED if the engine has seen a higher fence."""
        ...

    def export_kv(
        self, address: str, session: str, fence: int
    ) -> "Deferred[Result[KvState, Fault]]":
        """Export a session's KV cache and end the session at the engine, under this fence."""
        ...

    def import_kv(self, address: str, state: KvState) -> "Deferred[Result[None, Fault]]":
        """Import a session's KV cache under the state's fence."""
        ...

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Follow load reports and cache events until the returned function is called."""
        ...
