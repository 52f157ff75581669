"""Callers of the gateway bench: completions over keep-alive connections, checked for wholeness.

The same client and the same bodies go to a gateway and to an engine, whose completions are
OpenAI's alike. Bodies are kept as bytes while the clock runs and are looked at afterwards.
"""

import itertools
import json
import time
from dataclasses import dataclass
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.http_headers import Headers

from rainsail.benchmarks.loopback_gateway import API_KEY, SERVICE
from rainsail.emulator.answers import expected_answer
from rainsail.engine.sse import SseParser

SHORT_TOKENS = 4
_OK = 200
_DONE = b"[DONE]"
_BOUNDARY = b"rainsail-bench-boundary"
_JSON_HEADERS = {
    b"content-type": [b"application/json"],
    b"authorization": [b"Bearer " + API_KEY.encode()],
}
_MOST_CONNECTIONS = 4096
_SESSION_HEADER = b"x-rainsail-session"
_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Question:
    """One completion to ask for."""

    prompt: str
    max_tokens: int
    stream: bool
    session: str = ""

    def body(self) -> bytes:
        """Return the JSON body."""
        fields = {
            "model": SERVICE,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }
        return json.dumps(fields).encode()


@dataclass(frozen=True, slots=True)
class LoadAnswers:
    """How many answers of a load were exactly the model's, how many not, and the load's seconds."""

    whole: int
    not_whole: int
    wall_s: float


def fresh_question(max_tokens: int, stream: bool, session: str = "") -> Question:
    """Return a question with a prompt of its own."""
    return Question(f"where is container {next(_numbers)}? ", max_tokens, stream, session)


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back: status, whole body, seconds from sending to the end."""

    question: Question
    status: int
    body: bytes
    took_s: float

    def is_whole(self) -> bool:
        """Tell whether this is exactly the model's answer to the question."""
        question = self.question
        wanted = expected_answer(SERVICE, question.prompt, question.max_tokens, 0)
        return self.status == _OK and self._text() == wanted

    def _text(self) -> str:
        if not self.question.stream:
            text: str = json.loads(self.body)["choices"][0]["text"]
            return text
        parts = SseParser().feed_data(self.body)
        frames = [json.loads(part) for part in parts if part != _DONE]
        return "".join(frame["choices"][0]["text"] for frame in frames)


def _form(lines: bytes) -> bytes:
    """Return the form of an uploaded batch file."""
    purpose = b'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch'
    file_head = (
        b'Content-Disposition: form-data; name="file"; filename="items.jsonl"\r\n'
        b"Content-Type: application/jsonl\r\n\r\n"
    )
    border = b"--" + _BOUNDARY
    return b"\r\n".join((border, purpose, border, file_head + lines, border + b"--", b""))


class _BodyReader(Protocol):
    """Keeps a body; ``first`` fires with its first bytes, ``done`` at its end."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.first: Deferred[None] = Deferred()
        self.done: Deferred[bytes] = Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Keep bytes."""
        self.pieces.append(data)
        if not self.first.called:
            self.first.callback(None)

    def connectionLost(self, reason: Failure = Failure(ConnectionError("closed"))) -> None:
        """The body is over."""
        if not self.first.called:
            self.first.callback(None)
        self.done.callback(b"".join(self.pieces))


class Callers:
    """Asks over a pool of keep-alive connections."""

    def __init__(self, reactor: Any) -> None:
        pool: Any = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _MOST_CONNECTIONS
        self._agent: Any = Agent(reactor, pool=pool)

    async def ask(self, address: str, question: Question) -> Reply:
        """Ask and wait for the whole answer."""
        started_s = time.perf_counter()
        status, reader = await self._open(address, question)
        body = await reader.done
        return Reply(question, status, body, time.perf_counter() - started_s)

    async def time_short(self, address: str, session: str = "") -> float:
        """Ask a short question without a stream; return the seconds until its whole answer."""
        reply = await self.ask(address, fresh_question(SHORT_TOKENS, False, session))
        assert reply.is_whole(), reply
        return reply.took_s

    async def open_stream(self, address: str, question: Question) -> Any:
        """Ask for a stream and wait for its first bytes; returns the open body."""
        _, reader = await self._open(address, question)
        await reader.first
        return reader

    async def _open(self, address: str, question: Question) -> tuple[int, _BodyReader]:
        headers = Headers(_JSON_HEADERS)
        if question.session:
            headers.setRawHeaders(_SESSION_HEADER, [question.session.encode()])
        return await self._post(f"{address}/v1/completions", headers, question.body())

    async def load(
        self, addresses: list[str], seconds: float, concurrency: int, tokens: int, stream: bool
    ) -> LoadAnswers:
        """Keep ``concurrency`` questions open for ``seconds`` and count the answers."""
        replies: list[Reply] = []
        started_s = time.perf_counter()
        end_s = started_s + seconds

        async def keep_asking(address: str) -> None:
            while time.perf_counter() < end_s:
                replies.append(await self.ask(address, fresh_question(tokens, stream)))

        workers = [
            Deferred.fromCoroutine(keep_asking(addresses[index % len(addresses)]))
            for index in range(concurrency)
        ]
        await DeferredList(workers, fireOnOneErrback=True, consumeErrors=True)
        wall_s = time.perf_counter() - started_s
        whole = sum(reply.is_whole() for reply in replies)
        return LoadAnswers(whole, len(replies) - whole, wall_s)

    async def submit_batch(self, address: str, lines: bytes) -> None:
        """Upload a batch's input file and submit it; raises ``AssertionError`` when refused."""
        form = Headers(_JSON_HEADERS)
        form.setRawHeaders(b"content-type", [b"multipart/form-data; boundary=" + _BOUNDARY])
        uploaded = await self._post_whole(f"{address}/v1/files", form, _form(lines))
        batch = {
            "input_file_id": uploaded["id"],
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        }
        body = json.dumps(batch).encode()
        await self._post_whole(f"{address}/v1/batches", Headers(_JSON_HEADERS), body)

    async def _post_whole(self, url: str, headers: Headers, body: bytes) -> Any:
        status, reader = await self._post(url, headers, body)
        reply = await reader.done
        assert status == _OK, reply
        return json.loads(reply)

    async def _post(self, url: str, headers: Headers, body: bytes) -> tuple[int, _BodyReader]:
        producer = FileBodyProducer(BytesIO(body))
        response = await self._agent.request(b"POST", url.encode(), headers, producer)
        reader = _BodyReader()
        response.deliverBody(reader)
        return response.code, reader
