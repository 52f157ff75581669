"""Emulated engines reached over virtual links, as one gateway's ``EngineClient``."""

from collections.abc import Callable
from random import Random

from expression import Ok, Result
from twisted.internet.defer import Deferred

from rainsail.emulator.engine import EmulatedEngine
from rainsail.engine.interface import (
    AttemptListener,
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
)
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock
from rainsail.simulation.engine_calls import EngineCall, EngineSubscription
from rainsail.simulation.engine_network import EngineFaults, EngineLinkSettings, EngineNetwork
from rainsail.simulation.engine_stream import EngineStream

__all__ = ["EngineFaults", "EngineLinkSettings", "EngineNetwork", "SimulatedEngineClient"]


class SimulatedEngineClient:
    """One gateway's ``EngineClient``; ``clock`` is the gateway's own."""

    def __init__(self, gateway: str, network: EngineNetwork, clock: Clock, random: Random) -> None:
        self._gateway = gateway
        self._network = network
        self._clock = clock
        self._random = random
        self._streams: dict[str, EngineStream] = {}

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Start an attempt."""
        stream = self._stream(address, request.attempt_id, listener)
        stream.open("generate", lambda engine: engine.generate(request, stream))

    def resume(
        self, address: str, attempt_id: str, from_sequence: int, listener: AttemptListener
    ) -> None:
        """Take up a stream from a chunk sequence on."""
        stream = self._stream(address, attempt_id, listener)

        def attach(engine: EmulatedEngine) -> None:
            if not engine.attach(attempt_id, from_sequence, stream):
                stream.unknown_attempt()

        stream.open("resume", attach)

    def pause(self, attempt_id: str) -> None:
        """Hold back an attempt's chunks."""
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.pause()

    def unpause(self, attempt_id: str) -> None:
        """Deliver an attempt's chunks again."""
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.unpause()

    def close(self) -> None:
        """Drop every stream in silence: the gateway process has died."""
        for stream in list(self._streams.values()):
            stream.drop()

    def cancel(self, address: str, attempt_id: str) -> "Deferred[Result[bool, Fault]]":
        """Cancel an attempt."""
        return self._call(address).start("cancel", lambda engine: Ok(engine.cancel(attempt_id)))

    def order(self, address: str, order: EngineOrder) -> "Deferred[Result[OrderReply, Fault]]":
        """Send a fenced order."""
        return self._call(address).start("order", lambda engine: engine.order(order))

    def export_kv(
        self, address: str, session: str, fence: int
    ) -> "Deferred[Result[KvState, Fault]]":
        """Export a session's KV cache."""
        call = self._call(address)
        return call.start("export_kv", lambda engine: engine.export_kv(session, fence))

    def import_kv(self, address: str, state: KvState) -> "Deferred[Result[None, Fault]]":
        """Import a session's KV cache."""
        return self._call(address).start("import_kv", lambda engine: engine.import_kv(state))

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Follow load reports and cache events."""
        subscription = EngineSubscription(
            self._gateway, self._network, self._clock, self._random, address
        )
        return subscription.start(on_load, on_cache, on_lost)

    def _call(self, address: str) -> EngineCall:
        return EngineCall(self._gateway, self._network, self._clock, self._random, address)

    def _stream(self, address: str, attempt_id: str, listener: AttemptListener) -> EngineStream:
        previous = self._streams.get(attempt_id)
        if previous is not None:
            previous.drop()
        stream = EngineStream(
            self._gateway,
            self._network,
            self._clock,
            self._random,
            address,
            attempt_id,
            listener,
            self._closed,
        )
        self._streams[attempt_id] = stream
        return stream

    def _closed(self, stream: EngineStream) -> None:
        if self._streams.get(stream.attempt_id) is stream:
            del self._streams[stream.attempt_id]
