"""HTTP calls of the users that a replay and the demonstration play: over treq, with typed faults.

Owns the connections. Relies on ``answer_stream`` to read streams and the faults in error answers.
"""

import json
from collections.abc import Callable
from typing import Any

import treq
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed, ResponseNeverReceived
from twisted.web.http_headers import Headers

from rainsail.engine.sse import SseError
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.experiment.answer_stream import STEP, AnswerStream, StreamEnd, fault_of
from rainsail.http.bounded_body import BodyTooLargeError, UnframedBodyError, read_body

CONNECT_TIMEOUT_S = 3.0
"""Not measured; chosen so that one lost SYN is sent again before the call is given up."""
CONNECTIONS_PER_HOST = 64
"""Not measured; chosen to be above what one replay or demonstration has open at a gateway."""
MAX_CONTENT_BYTES = 1024 * 1024 * 1024
OK_STATUSES = range(200, 300)

_NO_ANSWER = (
    ConnectError,
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
    TimeoutError,
    SseError,
    BodyTooLargeError,
    UnframedBodyError,
    ValueError,
)
"""What a call without a whole, readable answer raises."""


def json_lines(content: bytes) -> list[Any]:
    """Decode a file with one JSON value a line; raises ``ValueError``."""
    return [json.loads(line) for line in content.splitlines() if line]


class HttpCaller:
    """Makes calls over kept connections; a fault says what is known of the outcome."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)

    def close(self) -> "Deferred[Any]":
        """Close the kept connections."""
        return self._pool.closeCachedConnections()

    async def call(
        self,
        method: str,
        url: str,
        key: str,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        decode: Callable[[bytes], Any] = json.loads,
        **body: Any,
    ) -> Result[Any, Fault]:
        """Make a call and return its answer, decoded; treq takes ``body`` (``json``, ``files``).

        ``timeout_s`` bounds the wait for the headers and then the wait for the whole body.
        """
        try:
            response = await self._request(method, url, key, timeout_s, headers or {}, **body)
            reading = read_body(response, MAX_CONTENT_BYTES, must_be_framed=True)
            content = await reading.addTimeout(timeout_s, self._reactor)
            if response.code not in OK_STATUSES:
                return Error(fault_of(response.code, content))
            return Ok(decode(content))
        except _NO_ANSWER as error:
            return Error(_lost_fault(error))

    async def stream(
        self,
        url: str,
        key: str,
        timeout_s: float,
        headers: dict[str, str],
        body: dict[str, Any],
        seconds: Callable[[], float],
    ) -> StreamEnd:
        """Post a request for a stream and read it to the end; ``seconds`` is its caller's clock.

        ``timeout_s`` bounds the wait for the headers and then the wait for the whole body.
        """
        end = StreamEnd()
        reader = AnswerStream(end, seconds)
        try:
            response = await self._request("POST", url, key, timeout_s, headers, json=body)
            if response.code in OK_STATUSES:
                await treq.collect(response, reader.feed).addTimeout(timeout_s, self._reactor)
                reader.finish()
            else:
                content = await response.content().addTimeout(timeout_s, self._reactor)
                end.fault = fault_of(response.code, content)
        except _NO_ANSWER as error:
            end.lose(_lost_fault(error))
        end.text = "".join(reader.texts)
        return end

    def _request(
        self,
        method: str,
        url: str,
        key: str,
        timeout_s: float,
        headers: dict[str, str],
        **body: Any,
    ) -> "Deferred[Any]":
        sent = Headers({name: [value] for name, value in headers.items() if value})
        if key:
            sent.addRawHeader("Authorization", f"Bearer {key}")
        return self._http.request(
            method, url, headers=sent, unbuffered=True, timeout=timeout_s, **body
        )


def _lost_fault(error: Exception) -> Fault:
    """Return the fault of a call without an answer; only a refused connection is certain."""
    outcome = Outcome.NOT_RUN if isinstance(error, ConnectError) else Outcome.UNKNOWN
    detail = f"{type(error).__name__}: {error}"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, outcome=outcome)
