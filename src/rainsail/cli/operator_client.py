"""HTTP client of the operator API; retries a change under the same change ID."""

import importlib
import json
import os
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

import treq
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed, ResponseNeverReceived
from twisted.web.http_headers import Headers

from rainsail.cli.exit_codes import CommandEnd, bad_input, failed
from rainsail.http.statuses import invalid_status, is_final_status
from rainsail.wire.address import parse_address

ADDRESS_VARIABLE = "RAINSAIL_ADDRESS"
API_KEY_VARIABLE = "RAINSAIL_API_KEY"
DEFAULT_ADDRESS = "127.0.0.1:7301"
MAX_ATTEMPTS = 6
INITIAL_BACKOFF_S = 0.2
ATTEMPT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 3.0
RETRIED_STATUSES = (502, 503, 504)
UNAUTHENTICATED_STATUS = 401

Value = TypeVar("Value")


class BrokenResponse(Exception):
    """The status is not that of a final response, or the body of a 2xx response is not JSON.

    A body without a part of it, for example, is not JSON.
    """


TRANSPORT_ERRORS = (
    BrokenResponse,
    ConnectError,
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """A response of the operator API with its JSON body decoded."""

    status: int
    body: Any


class OperatorClient:
    """Sends JSON requests over HTTP to one replica."""

    def __init__(self, reactor: Any, address: str | None) -> None:
        self._reactor = reactor
        self._base = base_url(address)
        pool = HTTPConnectionPool(reactor, persistent=False)
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self._http = HTTPClient(agent)

    async def request(self, method: str, path: str, body: Any = None, **query: str) -> Any:
        """Send a request and return the body of its 2xx response.

        Transport errors, 2xx responses whose body is not whole, statuses that HTTP gives no meaning
        to, and 502, 503 and 504 are retried with exponential backoff.
        A retry sends the same body, so a change keeps its change ID and takes effect once.

        Raises:
            CommandEnd: All attempts failed, or the response has another status.
        """
        problem = ""
        for attempt in range(MAX_ATTEMPTS):
            await self._backoff_before(attempt)
            try:
                response = await self._attempt(method, path, body, query)
            except TRANSPORT_ERRORS as error:
                problem = f"{type(error).__name__}: {error}"
                continue
            if response.status not in RETRIED_STATUSES:
                return _successful_body(response)
            problem = _error_text(response)
        raise failed(f"{self._base}: no answer after {MAX_ATTEMPTS} attempts: {problem}")

    async def lines(self, path: str, on_line: Callable[[Any], None], **query: str) -> None:
        """Call ``on_line`` with each JSON line of a chunked response until the response ends.

        A connection that is lost in the middle of the response ends it without an error.
        """
        response = await self._open(path, query)
        ended: Deferred[None] = Deferred()
        splitter = _LineSplitter(on_line, ended)
        treq.collect(response, splitter.feed).addBoth(splitter.end)
        await ended

    async def _open(self, path: str, query: dict[str, str]) -> Any:
        """Start a chunked GET; retries transport errors and the statuses 502, 503 and 504."""
        problem = ""
        for attempt in range(MAX_ATTEMPTS):
            await self._backoff_before(attempt)
            try:
                response = await self._http.get(
                    self._base + path, params=query, headers=_headers(), unbuffered=True
                )
                _check_status(response.code)
            except TRANSPORT_ERRORS as error:
                problem = f"{type(error).__name__}: {error}"
                continue
            if response.code < 300:
                return response
            refusal = OperatorResponse(response.code, _decode_body(await response.text()))
            if refusal.status not in RETRIED_STATUSES:
                raise _response_error(refusal)
            problem = _error_text(refusal)
        raise failed(f"{self._base}: no answer after {MAX_ATTEMPTS} attempts: {problem}")

    async def _backoff_before(self, attempt: int) -> None:
        if attempt:
            await deferLater(self._reactor, INITIAL_BACKOFF_S * 2 ** (attempt - 1))

    async def _attempt(
        self, method: str, path: str, body: Any, query: dict[str, str]
    ) -> OperatorResponse:
        call = self._http.request(
            method,
            self._base + path,
            params=query,
            headers=_headers(),
            json=body,
            timeout=ATTEMPT_TIMEOUT_S,
        )
        response = await call
        text = await response.text()
        _check_status(response.code)
        if response.code < 300 and not _is_json(text):
            raise BrokenResponse(f"status {response.code} with {len(text)} characters of a body")
        return OperatorResponse(response.code, _decode_body(text))


class _LineSplitter:
    """Reassembles lines from chunks and passes each, parsed as JSON, to ``on_line``."""

    def __init__(self, on_line: Callable[[Any], None], ended: "Deferred[None]") -> None:
        self._on_line = on_line
        self._ended = ended
        self._partial_line = b""

    def feed(self, chunk: bytes) -> None:
        """Process the next chunk; an error that ``on_line`` raises ends the stream."""
        if self._ended.called:
            return
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        try:
            for line in lines:
                if line.strip():
                    self._on_line(json.loads(line))
        except Exception as error:
            self._ended.errback(error)

    def end(self, _: Any) -> None:
        """Finish the stream: the response is complete or its connection was lost."""
        if not self._ended.called:
            self._ended.callback(None)


def base_url(address: str | None) -> str:
    """Return the base URL from ``--address``, else from RAINSAIL_ADDRESS, else the default."""
    text = address or os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS
    scheme, separator, rest = text.rpartition("://")
    try:
        parsed = parse_address(rest.rstrip("/"))
    except ValueError as error:
        raise bad_input(f"--address: {error}") from None
    return f"{scheme if separator else 'http'}://{parsed}"


def run_client(
    address: str | None, work: Callable[[OperatorClient], Coroutine[Any, Any, Value]]
) -> Value:
    """Run the reactor until ``work`` has finished; return its value or raise its error."""
    reactor: Any = importlib.import_module("twisted.internet.reactor")
    results: list[Any] = []
    client = OperatorClient(reactor, address)

    def finish(result: Any) -> None:
        results.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(work(client)).addBoth(finish))
    reactor.run()
    if not results:
        raise failed("interrupted")
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def _headers() -> Headers:
    key = os.environ.get(API_KEY_VARIABLE)
    return Headers({"Authorization": [f"Bearer {key}"]} if key else {})


def _check_status(status: int) -> None:
    if not is_final_status(status):
        raise BrokenResponse(invalid_status(status))


def _is_json(text: str) -> bool:
    try:
        json.loads(text)
    except ValueError:
        return False
    return True


def _decode_body(text: str) -> Any:
    try:
        return json.loads(text) if text else None
    except ValueError:
        return {"detail": text[:500]}


def _successful_body(response: OperatorResponse) -> Any:
    if response.status < 300:
        return response.body
    raise _response_error(response)


def _response_error(response: OperatorResponse) -> CommandEnd:
    text = _error_text(response)
    return bad_input(text) if response.status in (400, 413) else failed(text)


def _error_text(response: OperatorResponse) -> str:
    fault = response.body if isinstance(response.body, dict) else {}
    fault = fault.get("error", fault)
    fault = fault.get("rainsail", fault) if isinstance(fault, dict) else {"detail": str(fault)}
    words = [fault.get("code") or f"HTTP status {response.status}"]
    if fault.get("step"):
        words.append(f"in {fault['step']}")
    if fault.get("peer"):
        words.append(f"at {fault['peer']}")
    detail = fault.get("detail") or fault.get("message") or ""
    if fault.get("current_revision") is not None:
        detail += f" (current revision {fault['current_revision']})"
    if response.status == UNAUTHENTICATED_STATUS:
        detail += f" (set {API_KEY_VARIABLE} to an API key that this address accepts)"
    return f"{' '.join(words)}: {detail}"
