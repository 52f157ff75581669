"""Engines that only report their load: as many as a fleet has, from one timer per gateway.

A report reaches the gateway as the bytes of a server-sent event and is parsed by the product's
own parser, so that its processor time and its bytes are those of the real feed. Making the
bytes is the engine's work and is not counted.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from expression import Error, Ok, Result
from features.support.hollow.meter import Meter
from twisted.internet.defer import Deferred, succeed

from rainsail.engine.interface import (
    AttemptEnd,
    AttemptListener,
    CacheEvent,
    Chunk,
    EndReason,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
)
from rainsail.engine.protocol import LOAD_EVENT, LOAD_REPORT
from rainsail.engine.sse import SseParser
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock

REPORT_PERIOD_S = 0.5
SLICES = 10
"""Parts of a period in which the subscriptions take their turns."""
LOAD_MESSAGE = "engine load report"
KV_TOKENS = 400_000


class HollowFeed:
    """One subscription: the engine's last words and the gateway's parser."""

    __slots__ = ("address", "on_load", "parser", "sequence", "version")

    def __init__(self, address: str, version: str, on_load: Callable[[LoadReport], None]) -> None:
        self.address = address
        self.version = version
        self.on_load = on_load
        self.parser = SseParser()
        self.sequence = 0

    def next_bytes(self, running: int) -> bytes:
        """Return the next report as the engine would write it."""
        self.sequence += 1
        report = LoadReport(
            runner=self.address,
            incarnation="1",
            sequence=self.sequence,
            age_s=0.25,
            running=running,
            running_low=0,
            waiting=0,
            kv_tokens_used=running * 1000,
            kv_tokens_total=KV_TOKENS,
            tokens_per_second=running * 30.0,
            loaded_version=self.version,
            loading_version="",
            adapters=(),
            fence=1,
            draining=False,
        )
        data = LOAD_REPORT.dump_json(report)
        return b"event: " + LOAD_EVENT.encode() + b"\ndata: " + data + b"\n\n"

    def take(self, data: bytes) -> None:
        """Parse a report and hand it on, as ``EventStream`` does."""
        for event in self.parser.feed(data):
            self.on_load(LOAD_REPORT.validate_json(event.data))


class HollowEngineClient:
    """An ``EngineClient`` of one gateway.

    ``clock`` is the engines' (not metered), ``version_of`` gives the version that the engine at an
    address has loaded. ``chunks`` parts of ``chunk_tokens`` tokens answer an
    attempt, ``chunk_period_s`` apart; with 0 chunks an attempt never ends.
    """

    def __init__(
        self,
        clock: Clock,
        meter: Meter,
        random: Random,
        version_of: Callable[[str], str],
        chunks: int = 1,
        chunk_tokens: int = 1,
        chunk_period_s: float = 0.02,
    ) -> None:
        self.subscriptions = 0
        self._clock = clock
        self._meter = meter
        self._random = random
        self._version_of = version_of
        self._chunks = chunks
        self._chunk_tokens = chunk_tokens
        self._chunk_period_s = chunk_period_s
        self._slices: list[dict[HollowFeed, None]] = [{} for _ in range(SLICES)]
        self._cancelled: dict[str, None] = {}
        self._turn = 0
        self._clock.callLater(REPORT_PERIOD_S / SLICES, self._report)

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Follow a hollow engine's reports."""
        feed = HollowFeed(address, self._version_of(address), on_load)
        turn = self._slices[self.subscriptions % SLICES]
        self.subscriptions += 1
        turn[feed] = None

        def cancel() -> None:
            turn.pop(feed, None)
            self.subscriptions -= 1

        return cancel

    def _report(self) -> None:
        self._clock.callLater(REPORT_PERIOD_S / SLICES, self._report)
        self._turn = (self._turn + 1) % SLICES
        for feed in list(self._slices[self._turn]):
            data = feed.next_bytes(self._random.randrange(12))
            self._meter.count(LOAD_MESSAGE, len(data))
            self._meter.run(feed.take, data)

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Answer with chunks, then the end."""
        if self._chunks:
            self._clock.callLater(self._chunk_period_s, self._chunk, request, listener, 0)

    def _chunk(self, request: GenerateRequest, listener: AttemptListener, number: int) -> None:
        attempt_id = request.attempt_id
        if attempt_id in self._cancelled:
            del self._cancelled[attempt_id]
            end = AttemptEnd(attempt_id, EndReason.CANCELLED, number, 0, 0)
            self._meter.run(listener.on_end, end)
            return
        tokens = self._chunk_tokens
        text = "word " * tokens
        offset = number * len(text)
        self._meter.run(listener.on_chunk, Chunk(attempt_id, number, offset, text, tokens))
        if number + 1 < self._chunks:
            delay_s = self._chunk_period_s
            self._clock.callLater(delay_s, self._chunk, request, listener, number + 1)
            return
        total = self._chunks * tokens
        end = AttemptEnd(attempt_id, EndReason.LENGTH, self._chunks, total, total)
        self._meter.run(listener.on_end, end)

    def resume(
        self, address: str, attempt_id: str, from_sequence: int, listener: AttemptListener
    ) -> None:
        """A hollow engine keeps no attempt."""
        listener.on_end(AttemptEnd(attempt_id, EndReason.REFUSED, 0, 0, 0, "unknown attempt"))

    def pause(self, attempt_id: str) -> None:
        """Do nothing."""

    def unpause(self, attempt_id: str) -> None:
        """Do nothing."""

    def cancel(self, address: str, attempt_id: str) -> "Deferred[Result[bool, Fault]]":
        """End an attempt at its next chunk."""
        self._cancelled[attempt_id] = None
        return succeed(Ok(True))

    def order(self, address: str, order: EngineOrder) -> "Deferred[Result[OrderReply, Fault]]":
        """Obey at once."""
        reply = OrderReply(order.fence, self._version_of(address), "", (), "mixed")
        return succeed(Ok(reply))

    def export_kv(
        self, address: str, session: str, fence: int
    ) -> "Deferred[Result[KvState, Fault]]":
        """A hollow engine has no sessions."""
        return succeed(Error(_no_session()))

    def import_kv(self, address: str, state: KvState) -> "Deferred[Result[None, Fault]]":
        """A hollow engine has no sessions."""
        return succeed(Error(_no_session()))


def _no_session() -> Any:
    return Fault(FaultCode.NOT_FOUND, "hollow_engine.session", "hollow engines have none")
