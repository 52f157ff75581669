"""A client of the operator API for commands: retries a change under its own change id."""

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
from rainsail.wire.address import parse_address

ADDRESS_VARIABLE = "RAINSAIL_ADDRESS"
API_KEY_VARIABLE = "RAINSAIL_API_KEY"
DEFAULT_ADDRESS = "127.0.0.1:7301"
ATTEMPTS = 6
FIRST_PAUSE_S = 0.2
ATTEMPT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 3.0
RETRIED_STATUSES = (502, 503, 504)
UNAUTHENTICATED_STATUS = 401

Value = TypeVar("Value")
LOST_ANSWER = (
    ConnectError,
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """A decoded answer of the operator API."""

    status: int
    body: Any


class OperatorClient:
    """Speaks JSON over HTTP to one replica."""

    def __init__(self, reactor: Any, address: str | None) -> None:
        self._reactor = reactor
        self._base = base_url(address)
        pool = HTTPConnectionPool(reactor, persistent=False)
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self._http = HTTPClient(agent)

    async def request(self, method: str, path: str, body: Any = None, **query: str) -> Any:
        """Return the body of a 2xx answer; ends the command otherwise.

        A lost answer or a 502, 503, 504 is tried again with the same body, so a change keeps
        its change id and takes effect once.
        """
        problem = ""
        for attempt in range(ATTEMPTS):
            await self._pause_before(attempt)
            try:
                answer = await self._attempt(method, path, body, query)
            except LOST_ANSWER as error:
                problem = f"{type(error).__name__}: {error}"
                continue
            if answer.status not in RETRIED_STATUSES:
                return _body_of(answer)
            problem = _fault_text(answer)
        raise failed(f"{self._base}: no answer after {ATTEMPTS} attempts: {problem}")

    async def lines(self, path: str, take: Callable[[Any], None], **query: str) -> None:
        """Give ``take`` each JSON line of a chunked answer until it ends or breaks off."""
        response = await self._open(path, query)
        ended: Deferred[None] = Deferred()
        splitter = _LineSplitter(take, ended)
        treq.collect(response, splitter.feed).addBoth(splitter.end)
        await ended

    async def _open(self, path: str, query: dict[str, str]) -> Any:
        """Start a chunked GET, trying again while the replica can't be reached."""
        problem = ""
        for attempt in range(ATTEMPTS):
            await self._pause_before(attempt)
            try:
                response = await self._http.get(
                    self._base + path, params=query, headers=_headers(), unbuffered=True
                )
            except LOST_ANSWER as error:
                problem = f"{type(error).__name__}: {error}"
                continue
            if response.code < 300:
                return response
            answer = OperatorAnswer(response.code, _decoded(await response.text()))
            if answer.status not in RETRIED_STATUSES:
                raise _end_of(answer)
            problem = _fault_text(answer)
        raise failed(f"{self._base}: no answer after {ATTEMPTS} attempts: {problem}")

    async def _pause_before(self, attempt: int) -> None:
        if attempt:
            await deferLater(self._reactor, FIRST_PAUSE_S * 2 ** (attempt - 1))

    async def _attempt(
        self, method: str, path: str, body: Any, query: dict[str, str]
    ) -> OperatorAnswer:
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
        return OperatorAnswer(response.code, _decoded(text))


class _LineSplitter:
    """Joins chunks and hands on whole lines as JSON until ``take`` raises."""

    def __init__(self, take: Callable[[Any], None], ended: "Deferred[None]") -> None:
        self._take = take
        self._ended = ended
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        """Take the next chunk; what ``take`` raises ends the whole."""
        if self._ended.called:
            return
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        try:
            for line in lines:
                if line.strip():
                    self._take(json.loads(line))
        except Exception as error:
            self._ended.errback(error)

    def end(self, _: Any) -> None:
        """The answer is over or has broken off."""
        if not self._ended.called:
            self._ended.callback(None)


def base_url(address: str | None) -> str:
    """Return the base URL for ``--address``, RAINSAIL_ADDRESS or the default."""
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
    """Run ``work`` with a client on the reactor and return its value or raise its error."""
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


def _decoded(text: str) -> Any:
    try:
        return json.loads(text) if text else None
    except ValueError:
        return {"detail": text[:500]}


def _body_of(answer: OperatorAnswer) -> Any:
    if answer.status < 300:
        return answer.body
    raise _end_of(answer)


def _end_of(answer: OperatorAnswer) -> CommandEnd:
    text = _fault_text(answer)
    return bad_input(text) if answer.status in (400, 413) else failed(text)


def _fault_text(answer: OperatorAnswer) -> str:
    fault = answer.body if isinstance(answer.body, dict) else {}
    fault = fault.get("error", fault)
    fault = fault.get("rainsail", fault) if isinstance(fault, dict) else {"detail": str(fault)}
    words = [fault.get("code") or f"HTTP status {answer.status}"]
    if fault.get("step"):
        words.append(f"in {fault['step']}")
    if fault.get("peer"):
        words.append(f"at {fault['peer']}")
    detail = fault.get("detail") or fault.get("message") or ""
    if fault.get("current_revision") is not None:
        detail += f" (current revision {fault['current_revision']})"
    if answer.status == UNAUTHENTICATED_STATUS:
        detail += f" (set {API_KEY_VARIABLE} to a key that this address knows)"
    return f"{' '.join(words)}: {detail}"
