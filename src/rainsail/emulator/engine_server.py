"""Serves an emulated engine over HTTP, in the protocol of ``rainsail.engine.protocol``."""

import functools
import itertools
import json
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from rainsail.emulator.engine import EmulatedEngine
from rainsail.engine import protocol
from rainsail.engine.interface import (
    CacheEvent,
    Chunk,
    EndReason,
    EngineAttemptEnd,
    GenerateRequest,
    LoadReport,
)
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock

KEEP_ALIVE_PERIOD_S = 1.0
"""Period of SSE comments on a stream; a client treats longer silence as a lost connection."""
MAX_BODY_BYTES = 16 * 1024 * 1024


class EngineServer:
    """Serves one emulated engine; ``listen`` binds it to a loopback port."""

    def __init__(self, engine: EmulatedEngine, clock: Clock) -> None:
        self.app = Klein()
        self.keep_alive_period_s = KEEP_ALIVE_PERIOD_S
        self._engine = engine
        self._clock = clock
        self._open: dict[Any, None] = {}
        self._keep_alive_timer: Any = None
        self._attempt_numbers = itertools.count(1)
        engine.on_crash(self._break_connections)
        self._add_routes()

    def listen(self, reactor: Any, host: str, port: int) -> Any:
        """Listen and return Twisted's port; for port 0, ``getHost().port`` is the chosen one."""
        return reactor.listenTCP(port, Site(self.app.resource()), interface=host)

    def _add_routes(self) -> None:
        route = self.app.route
        route(protocol.COMPLETIONS_PATH, methods=["POST"])(self._require_alive(self._complete))
        attempt = f"{protocol.ATTEMPTS_PATH}/<path:attempt_id>"
        route(attempt, methods=["GET"])(self._require_alive(self._resume))
        route(f"{attempt}/cancel", methods=["POST"])(self._require_alive(self._cancel))
        route(protocol.ORDERS_PATH, methods=["POST"])(self._require_alive(self._order))
        route(protocol.KV_EXPORT_PATH, methods=["POST"])(self._require_alive(self._export))
        route(protocol.KV_IMPORT_PATH, methods=["POST"])(self._require_alive(self._import))
        route(protocol.EVENTS_PATH, methods=["GET"])(self._require_alive(self._events))
        route("/healthz", methods=["GET"])(self._require_alive(self._health))

    def _require_alive(self, handler: Callable[..., Any]) -> Callable[..., Any]:
        """Abort connections without an answer while the emulated process is down."""

        @functools.wraps(handler)
        def handle(request: Any, **arguments: str) -> Any:
            if not self._engine.alive:
                request.transport.abortConnection()
                return Deferred()
            return handler(request, **arguments)

        return handle

    # --- streams --------------------------------------------------------------------------

    def _complete(self, request: Any) -> Any:
        parsed = _read(request, protocol.COMPLETION, "engine.completions")
        if parsed.is_error():
            return _answer_fault(request, parsed.error)
        fresh_id = f"{self._engine.incarnation}/{next(self._attempt_numbers)}"
        generate = protocol.generate_request(parsed.ok, fresh_id)
        if not parsed.ok.stream:
            return self._complete_unstreamed(request, generate)
        reader = _StreamReader(request)
        self._watch(request, generate.attempt_id, reader)
        self._engine.generate(generate, reader)
        return reader.finished

    def _complete_unstreamed(self, request: Any, generate: GenerateRequest) -> "Deferred[bytes]":
        reader = _AnswerCollector(request)
        gone = request.notifyFinish()
        gone.addErrback(lambda _: self._engine.cancel(generate.attempt_id))
        self._engine.generate(generate, reader)
        return reader.finished

    def _resume(self, request: Any, attempt_id: str) -> Any:
        first = request.args.get(b"from", [b"0"])[0]
        if not first.isdigit():
            fault = Fault(FaultCode.INVALID, "engine.resume", "from: not a chunk sequence")
            return _answer_fault(request, fault)
        reader = _StreamReader(request)
        self._watch(request, attempt_id, reader)
        if not self._engine.attach(attempt_id, int(first), reader):
            self._open.pop(reader, None)
            detail = f"no attempt {attempt_id!r}"
            return _answer_fault(request, Fault(FaultCode.NOT_FOUND, "engine.resume", detail))
        return reader.finished

    def _watch(self, request: Any, attempt_id: str, reader: "_StreamReader") -> None:
        self._open[reader] = None
        self._start_keep_alive()

        def left(_: Any) -> None:
            self._open.pop(reader, None)
            if self._engine.alive:
                self._engine.detach(attempt_id, reader)

        request.notifyFinish().addBoth(left)

    def _events(self, request: Any) -> "Deferred[None]":
        reader = _EventReader(request)
        self._open[reader] = None
        self._start_keep_alive()
        unsubscribe = self._engine.subscribe(reader.on_load, reader.on_cache)

        def left(_: Any) -> None:
            self._open.pop(reader, None)
            unsubscribe()

        request.notifyFinish().addBoth(left)
        return Deferred()

    def _start_keep_alive(self) -> None:
        if self._keep_alive_timer is None:
            self._keep_alive_timer = self._clock.callLater(
                self.keep_alive_period_s, self._keep_alive
            )

    def _keep_alive(self) -> None:
        self._keep_alive_timer = None
        if not self._open:
            return
        for reader in list(self._open):
            reader.keep_alive()
        self._start_keep_alive()

    def _break_connections(self) -> None:
        readers, self._open = list(self._open), {}
        for reader in readers:
            reader.abort()

    # --- calls ----------------------------------------------------------------------------

    def _cancel(self, request: Any, attempt_id: str) -> bytes:
        reply = protocol.CancelReply(self._engine.cancel(attempt_id))
        return _answer(request, Ok(protocol.CANCEL_REPLY.dump_json(reply)))

    def _order(self, request: Any) -> bytes:
        reply = _read(request, protocol.ORDER, "engine.order").bind(self._engine.order)
        return _answer(request, reply.map(protocol.ORDER_REPLY.dump_json))

    def _export(self, request: Any) -> bytes:
        body = _read(request, protocol.EXPORT, "engine.kv_export")
        exported = body.bind(lambda asked: self._engine.export_kv(asked.session, asked.fence))
        return _answer(request, exported.map(protocol.kv_document))

    def _import(self, request: Any) -> bytes:
        step = "engine.kv_import"
        document = _read(request, protocol.KV_DOCUMENT, step)
        state = document.bind(lambda read: protocol.kv_state(read, step))
        return _answer(request, state.bind(self._engine.import_kv).map(lambda _: b"{}"))

    def _health(self, request: Any) -> bytes:
        return _answer_json(request, {"incarnation": self._engine.incarnation})


class _Reader:
    """The open response of a stream."""

    def __init__(self, request: Any) -> None:
        self.request = request
        self.started = False
        self.finished: Deferred[Any] = Deferred()

    def start(self) -> None:
        """Send the headers of a stream."""
        if not self.started:
            self.started = True
            self.request.setHeader(b"content-type", b"text/event-stream")
            self.request.setHeader(b"cache-control", b"no-store")

    def keep_alive(self) -> None:
        """Send a comment frame, so that the client sees a live connection."""
        self.start()
        self.request.write(protocol.KEEP_ALIVE_FRAME)

    def abort(self) -> None:
        """Abort the connection."""
        if self.request.transport is not None:
            self.request.transport.abortConnection()


class _StreamReader(_Reader):
    """Writes an attempt's chunks as SSE frames."""

    def on_chunk(self, chunk: Chunk) -> None:
        """Write a chunk."""
        self.start()
        self.request.write(protocol.chunk_frame(chunk))

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Write the end frame; an attempt refused before its first frame gets an HTTP error."""
        if end.reason is EndReason.REFUSED and not self.started:
            self.finished.callback(_refusal(self.request, end))
            return
        self.start()
        self.request.write(protocol.end_frame(end))
        self.finished.callback(b"")


class _AnswerCollector(_Reader):
    """Collects an answer and writes it as one JSON object."""

    def __init__(self, request: Any) -> None:
        super().__init__(request)
        self._texts: list[str] = []

    def on_chunk(self, chunk: Chunk) -> None:
        """Collect a chunk."""
        self._texts.append(chunk.text)

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Write the collected answer, or the refusal."""
        if end.reason is EndReason.REFUSED:
            self.finished.callback(_refusal(self.request, end))
            return
        choice = {"index": 0, "text": "".join(self._texts), "finish_reason": end.reason}
        body = {"id": end.attempt_id, "object": "text_completion", "choices": [choice]}
        self.finished.callback(_answer_json(self.request, {**body, "usage": protocol.usage(end)}))


class _EventReader(_Reader):
    """Writes load reports and cache events as SSE frames."""

    def on_load(self, report: LoadReport) -> None:
        """Write a load report."""
        self._write(protocol.LOAD_EVENT, protocol.LOAD_REPORT.dump_json(report))

    def on_cache(self, event: CacheEvent) -> None:
        """Write a cache event."""
        self._write(protocol.CACHE_EVENT, protocol.CACHE_EVENT_RECORD.dump_json(event))

    def _write(self, name: str, data: bytes) -> None:
        self.start()
        self.request.write(protocol.event_frame(name, data))


def _read(request: Any, adapter: Any, step: str) -> Result[Any, Fault]:
    body = request.content.read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        return Error(Fault(FaultCode.TOO_LARGE, step, f"over {MAX_BODY_BYTES} bytes"))
    return protocol.parse(adapter, body, step)


def _answer(request: Any, result: Result[bytes, Fault]) -> bytes:
    if result.is_error():
        return _answer_fault(request, result.error)
    request.setHeader(b"content-type", b"application/json")
    return result.ok


def _answer_json(request: Any, body: dict[str, Any]) -> bytes:
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body, separators=(",", ":")).encode()


def _answer_fault(request: Any, fault: Fault) -> bytes:
    request.setResponseCode(fault.http_status)
    request.setHeader(b"content-type", b"application/json")
    return protocol.FAULT.dump_json(fault)


def _refusal(request: Any, end: EngineAttemptEnd) -> bytes:
    """Write the HTTP error for an attempt that was not run."""
    request.setHeader(b"retry-after", str(max(1, round(end.retry_after_s))).encode())
    fault = Fault(
        FaultCode.OVERLOADED,
        "engine.admission",
        end.detail,
        retry_after_s=end.retry_after_s,
    )
    return _answer_fault(request, fault)
