"""An ``EngineClient`` over the engines' HTTP protocol.

Streams use Twisted's ``Agent`` with a pool of persistent connections, calls use ``treq``. The
pool's automatic retries are disabled, because a request that may have reached an engine must end
as LOST and must not be sent again.
"""

from collections.abc import Callable
from io import BytesIO
from typing import Any
from urllib.parse import quote

from expression import Error, Ok, Result
from pydantic import ValidationError
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.error import ConnectError, DNSLookupError, UnsupportedAddressFamily
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.error import SchemeNotSupported
from twisted.web.http_headers import Headers

from rainsail.engine import protocol
from rainsail.engine.endpoints import EngineEndpointFactory
from rainsail.engine.http_events import EngineEventStream
from rainsail.engine.http_stream import AttemptStream
from rainsail.engine.interface import (
    AttemptListener,
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
)
from rainsail.engine.settings import EngineClientSettings
from rainsail.engine.watched_stream import StreamWatch, describe_failure
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.http.bounded_body import BodyTooLargeError, read_body
from rainsail.http.statuses import invalid_status, is_final_status
from rainsail.runtime.clock import Clock

_OK = 200
_STREAM_HEADERS = Headers(
    {b"content-type": [b"application/json"], b"accept": [b"text/event-stream"]}
)
_CALL_HEADERS = Headers({b"content-type": [b"application/json"]})
_NEVER_SENT = (
    ConnectError,
    DNSLookupError,
    RequestNotSent,
    SchemeNotSupported,
    UnsupportedAddressFamily,
    ValueError,
)
"""Failures before the first byte of a request is sent; ``ValueError``: the URL is invalid."""


class HttpEngineClient:
    """A client of engines; ``address`` is a base URL such as ``http://127.0.0.1:9000``."""

    def __init__(
        self, clock: Clock, reactor: Any, settings: EngineClientSettings | None = None
    ) -> None:
        self._settings = settings or EngineClientSettings.model_validate({})
        self._pool = _connection_pool(reactor, self._settings)
        endpoints = EngineEndpointFactory(reactor, self._settings.connect_timeout_s)
        agent: Any = Agent.usingEndpointFactory(reactor, endpoints, self._pool)
        self._agent = agent
        self._http = HTTPClient(agent)
        self._watch = StreamWatch(clock, self._settings.read_timeout_s)
        self._streams: dict[str, AttemptStream] = {}

    def close(self) -> "Deferred[None]":
        """Close all streams without notifying their listeners, and the idle connections."""
        for stream in list(self._streams.values()):
            stream.drop()
        return self._pool.closeCachedConnections()

    # --- streams --------------------------------------------------------------------------

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Start an attempt."""
        stream = self._open(request.attempt_id, listener)
        url = f"{address}{protocol.COMPLETIONS_PATH}"
        body = FileBodyProducer(BytesIO(protocol.completion_body(request)))
        self._request(b"POST", url, body, stream)

    def resume(
        self, address: str, attempt_id: str, from_sequence: int, listener: AttemptListener
    ) -> None:
        """Resume a stream from a chunk sequence on."""
        stream = self._open(attempt_id, listener)
        url = f"{address}{_attempt_path(attempt_id)}?from={from_sequence}"
        self._request(b"GET", url, None, stream)

    def pause(self, attempt_id: str) -> None:
        """Stop reading the attempt's stream."""
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.pause()

    def unpause(self, attempt_id: str) -> None:
        """Resume reading the attempt's stream."""
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.unpause()

    def _open(self, attempt_id: str, listener: AttemptListener) -> AttemptStream:
        previous = self._streams.get(attempt_id)
        if previous is not None:
            previous.drop()
        stream = AttemptStream(
            attempt_id, listener, self._watch, self._settings.max_frame_bytes, self._closed
        )
        self._streams[attempt_id] = stream
        return stream

    def _closed(self, stream: AttemptStream) -> None:
        if self._streams.get(stream.attempt_id) is stream:
            del self._streams[stream.attempt_id]

    def _request(
        self, method: bytes, url: str, body: FileBodyProducer | None, stream: AttemptStream
    ) -> None:
        responding = maybeDeferred(self._agent.request, method, url.encode(), _STREAM_HEADERS, body)
        stream.set_abort(responding.cancel)
        responding.addCallback(self._responded, stream)
        responding.addErrback(_request_failed, stream)

    def _responded(self, response: Any, stream: AttemptStream) -> None:
        if response.code == _OK:
            response.deliverBody(stream)
            return
        reading = read_body(response, self._settings.max_frame_bytes)
        stream.set_abort(reading.cancel)
        reading.addCallback(_handle_error_response, response.code, stream)
        reading.addErrback(lambda failure: stream.lose(describe_failure(failure)))

    # --- calls ----------------------------------------------------------------------------

    def cancel(self, address: str, attempt_id: str) -> "Deferred[Result[bool, Fault]]":
        """Cancel an attempt."""
        url = f"{address}{_attempt_path(attempt_id)}/cancel"
        return self._call("engine.cancel", url, b"", protocol.read_cancel_reply)

    def order(self, address: str, order: EngineOrder) -> "Deferred[Result[OrderReply, Fault]]":
        """Send a fenced order."""
        url = f"{address}{protocol.ORDERS_PATH}"
        body = protocol.ORDER.dump_json(order)
        return self._call("engine.order", url, body, protocol.ORDER_REPLY.validate_json)

    def export_kv(
        self, address: str, session: str, fence: int
    ) -> "Deferred[Result[KvState, Fault]]":
        """Export a session's KV cache."""
        url = f"{address}{protocol.KV_EXPORT_PATH}"
        body = protocol.EXPORT.dump_json(protocol.ExportBody(session, fence))
        return self._call("engine.kv_export", url, body, protocol.read_kv_document)

    def import_kv(self, address: str, state: KvState) -> "Deferred[Result[None, Fault]]":
        """Import a session's KV cache."""
        url = f"{address}{protocol.KV_IMPORT_PATH}"
        body = protocol.kv_document(state)
        return self._call("engine.kv_import", url, body, protocol.read_import_reply)

    def _call(
        self, step: str, url: str, body: bytes, read: Callable[[bytes], Any]
    ) -> "Deferred[Any]":
        called: Deferred[Any] = Deferred.fromCoroutine(self._post(step, url, body, read))
        return called.addErrback(_call_failed, step, url)

    async def _post(
        self, step: str, url: str, body: bytes, read: Callable[[bytes], Any]
    ) -> Result[Any, Fault]:
        response = await self._http.post(
            url,
            data=body,
            headers=_CALL_HEADERS,
            timeout=self._settings.call_timeout_s,
            unbuffered=True,
        )
        try:
            reply = await read_body(response, self._settings.max_reply_bytes)
        except BodyTooLargeError as error:
            detail = f"the reply is too large: {error}"
            return Error(Fault(FaultCode.TOO_LARGE, step, detail, url, Outcome.UNKNOWN))
        if response.code != _OK:
            return Error(_read_fault(reply, response.code, step).at(url))
        return _read_reply(reply, read, step).map_error(lambda fault: fault.at(url))

    # --- events ---------------------------------------------------------------------------

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Follow load reports and cache events."""
        limit = self._settings.max_frame_bytes
        stream = EngineEventStream(address, self._watch, limit, on_load, on_cache, on_lost)
        url = f"{address}{protocol.EVENTS_PATH}".encode()
        responding = maybeDeferred(self._agent.request, b"GET", url, _STREAM_HEADERS)
        stream.set_abort(responding.cancel)

        def responded(response: Any) -> None:
            if response.code == _OK:
                response.deliverBody(stream)
                return
            stream.lose(f"status {response.code}")
            read_body(response, 0).addErrback(lambda _: None)

        responding.addCallback(responded)
        responding.addErrback(lambda failure: stream.lose(describe_failure(failure)))
        return stream.drop


def _connection_pool(reactor: Any, settings: EngineClientSettings) -> Any:
    pool: Any = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = settings.idle_connections_per_engine
    pool.cachedConnectionTimeout = settings.idle_connection_s
    pool.retryAutomatically = False
    return pool


def _attempt_path(attempt_id: str) -> str:
    return f"{protocol.ATTEMPTS_PATH}/{quote(attempt_id, safe='')}"


def _request_failed(failure: Failure, stream: AttemptStream) -> None:
    if failure.check(*_NEVER_SENT):
        stream.refuse(describe_failure(failure))
    elif failure.check(CancelledError):
        stream.lose("given up")
    else:
        stream.lose(describe_failure(failure))


def _handle_error_response(body: bytes, status: int, stream: AttemptStream) -> None:
    """Handle an error response: REFUSED if the engine states that it did not run the attempt."""
    fault = _read_fault(body, status, "engine.generate")
    if fault.outcome is Outcome.NOT_RUN:
        stream.refuse(fault.detail, fault.retry_after_s or 0.0)
    else:
        stream.lose(fault.detail)


def _read_fault(body: bytes, status: int, step: str) -> Fault:
    if not is_final_status(status):
        return Fault(FaultCode.INTERNAL, step, invalid_status(status), "", Outcome.UNKNOWN)
    try:
        return protocol.FAULT.validate_json(body)
    except ValidationError:
        detail = f"status {status} without a fault"
        return Fault(FaultCode.INTERNAL, step, detail, "", Outcome.UNKNOWN)


def _read_reply(body: bytes, read: Callable[[bytes], Any], step: str) -> Result[Any, Fault]:
    try:
        return Ok(read(body))
    except ValueError as error:
        detail = f"malformed reply: {error}"
        return Error(Fault(FaultCode.INTERNAL, step, detail, "", Outcome.UNKNOWN))


def _call_failed(failure: Failure, step: str, url: str) -> Result[Any, Fault]:
    detail = describe_failure(failure)
    if failure.check(*_NEVER_SENT):
        return Error(Fault(FaultCode.UNAVAILABLE, step, detail, url, Outcome.NOT_RUN))
    if failure.check(CancelledError):
        return Error(Fault(FaultCode.TIMEOUT, step, "no answer in time", url, Outcome.UNKNOWN))
    return Error(Fault(FaultCode.UNAVAILABLE, step, detail, url, Outcome.UNKNOWN))
