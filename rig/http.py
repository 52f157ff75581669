"""HTTP client of the rig's callers and operators: each exchange ends in a reply or an error."""

import io
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

CONNECT_TIMEOUT_S = 5.0
OUTCOME_HEADER = "x-rainsail-outcome"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes
    outcome: str

    def json(self) -> Any:
        """Return the decoded body; an empty object when it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class AnswerLost(Exception):
    """No complete answer arrived; ``sent`` is False when no connection was made."""

    def __init__(self, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


class _Body(Protocol):
    """Passes on the pieces of a body and detects whether the body was complete."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take
        self.pieces: list[bytes] = []
        self.ended: Deferred[None] = Deferred(self._cancelled)

    def _cancelled(self, _: Any) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Pass on a piece."""
        self.pieces.append(data)
        self._take(data)

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Report whether the body was complete."""
        if self.ended.called:
            return
        if reason.check(ResponseDone):
            self.ended.callback(None)
        else:
            self.ended.errback(AnswerLost(True, f"the answer was cut off: {reason.value!r}"))


class RigHttpClient:
    """Sends each request over a connection of its own."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=False)
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self._http = HTTPClient(agent)

    async def exchange(
        self,
        method: str,
        url: str,
        key: str,
        timeout_s: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
        file: bytes | None = None,
        take: Callable[[bytes], None] = lambda piece: None,
    ) -> Reply:
        """Return the complete answer or raise ``AnswerLost``; ``take`` gets each piece.

        ``body`` is sent as JSON, ``file`` as the upload of a batch's input.
        """
        sending = self._send(method, url, key, body, headers or {}, file, take)
        answer: Deferred[Reply] = Deferred.fromCoroutine(sending)
        answer.addTimeout(timeout_s, self._reactor)
        try:
            return await answer
        except AnswerLost:
            raise
        except ConnectError as error:
            raise AnswerLost(False, repr(error)) from error
        except Exception as error:
            raise AnswerLost(True, repr(error)) from error

    async def _send(
        self,
        method: str,
        url: str,
        key: str,
        body: Any,
        headers: dict[str, str],
        file: bytes | None,
        take: Callable[[bytes], None],
    ) -> Reply:
        more: dict[str, Any] = {}
        if body is not None:
            more["json"] = body
        if file is not None:
            upload = ("items.jsonl", "application/jsonl", io.BytesIO(file))
            more = {"files": {"file": upload}, "data": {"purpose": "batch"}}
        all_headers = Headers({"Authorization": [f"Bearer {key}"]})
        for name, value in headers.items():
            all_headers.setRawHeaders(name, [value])
        response = await self._http.request(
            method, url, headers=all_headers, unbuffered=True, **more
        )
        reader = _Body(take)
        response.deliverBody(reader)
        await reader.ended
        outcome = response.headers.getRawHeaders(OUTCOME_HEADER, [""])[0]
        return Reply(response.code, b"".join(reader.pieces), outcome)
