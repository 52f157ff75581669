"""HTTP calls of the demonstration's users: whole answers and streams of server-sent events."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    PotentialDataLoss,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
    readBody,
)
from twisted.web.http_headers import Headers

from rainsail.engine.sse import SseParser
from rainsail.errors import Fault, FaultCode, Outcome

CONNECT_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 15.0
MOST_CONNECTIONS_PER_HOST = 64
JSON_TYPE = "application/json"

_STEP = "demo.http"
_OK_STATUSES = range(200, 300)
_LOST = (
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call."""

    method: str
    url: str
    key: str
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer of status 2xx."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body decoded; raises ``ValueError``."""
        return json.loads(self.body)


class HttpCaller:
    """Makes calls over kept connections; a fault says what the server said of the outcome."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MOST_CONNECTIONS_PER_HOST
        self._pool.retryAutomatically = False
        self._agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)

    def close(self) -> "Deferred[None]":
        """Close the kept connections."""
        return self._pool.closeCachedConnections()

    async def call(self, call: Call, timeout_s: float = CALL_TIMEOUT_S) -> Result[Reply, Fault]:
        """Make a call and read its whole answer."""
        try:
            response = await self._request(call, timeout_s)
            body = await _timed(readBody(response), timeout_s, self._reactor)
        except (ConnectError, *_LOST) as error:
            return Error(lost_fault(error))
        if response.code not in _OK_STATUSES:
            return Error(fault_of(response.code, body))
        return Ok(Reply(response.code, body))

    async def stream(
        self, call: Call, take: Callable[[Any], None], timeout_s: float
    ) -> Result[None, Fault]:
        """Make a call and give ``take`` each JSON event of its stream until ``[DONE]``.

        A stream that breaks off, or ends without ``[DONE]``, is a fault of unknown outcome.
        """
        try:
            response = await self._request(call, timeout_s)
            if response.code not in _OK_STATUSES:
                body = await _timed(readBody(response), timeout_s, self._reactor)
                return Error(fault_of(response.code, body))
            reader = _EventReader(take)
            response.deliverBody(reader)
            whole = await _timed(reader.ended, timeout_s, self._reactor)
        except (ConnectError, *_LOST) as error:
            return Error(lost_fault(error))
        if not whole:
            detail = "the stream ended before its end was told"
            return Error(Fault(FaultCode.UNAVAILABLE, _STEP, detail, "", Outcome.UNKNOWN))
        return Ok(None)

    def _request(self, call: Call, timeout_s: float) -> "Deferred[Any]":
        headers = Headers({"Authorization": [f"Bearer {call.key}"]})
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        body = None
        if call.body:
            headers.addRawHeader("Content-Type", call.content_type)
            body = FileBodyProducer(BytesIO(call.body))
        url = call.url.encode()
        answered = self._agent.request(call.method.encode(), url, headers, body)
        return _timed(answered, timeout_s, self._reactor)


class _EventReader(Protocol):
    """Parses a stream; ``ended`` fires with whether ``[DONE]`` was read."""

    def __init__(self, take: Callable[[Any], None]) -> None:
        self._take = take
        self._parser = SseParser()
        self._whole = False
        self.ended: Deferred[bool] = Deferred(lambda _: self._abort())

    def dataReceived(self, data: bytes) -> None:
        """Take the next bytes."""
        for event in self._parser.feed_data(data):
            if event == b"[DONE]":
                self._whole = True
            else:
                self._take(json.loads(event))

    def connectionLost(self, reason: Any = None) -> None:
        """Note the end of the answer."""
        if self.ended.called:
            return
        clean = reason is None or reason.check(ResponseDone, PotentialDataLoss) is not None
        self.ended.callback(self._whole and clean)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None and hasattr(transport, "abortConnection"):
            transport.abortConnection()


def _timed(deferred: "Deferred[Any]", timeout_s: float, clock: IReactorTime) -> "Deferred[Any]":
    return deferred.addTimeout(timeout_s, clock)


def lost_fault(error: Exception) -> Fault:
    """Return the fault of a call without an answer; only a refused connection is certain."""
    outcome = Outcome.NOT_RUN if isinstance(error, ConnectError) else Outcome.UNKNOWN
    detail = f"{type(error).__name__}: {error}"
    return Fault(FaultCode.UNAVAILABLE, _STEP, detail, "", outcome)


def fault_of(status: int, body: bytes) -> Fault:
    """Return the typed fault in an error answer, of unknown outcome when it holds none."""
    try:
        error = json.loads(body)["error"]
        return fault_from_json(error)
    except (ValueError, KeyError, TypeError):
        detail = f"HTTP status {status}: {body[:200]!r}"
        return Fault(FaultCode.INTERNAL, _STEP, detail, "", Outcome.UNKNOWN)


def fault_from_json(error: Any) -> Fault:
    """Return the fault in an error object of either API; raises on another shape."""
    typed = error.get("rainsail", error)
    return Fault(
        FaultCode(typed["code"]),
        typed["step"],
        typed["detail"],
        typed.get("peer", ""),
        Outcome(typed["outcome"]),
        typed.get("retry_after_s"),
    )
