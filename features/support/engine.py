"""Engine servers on loopback, emulated and scripted ones, and the client under test."""

from collections.abc import Callable
from random import Random
from typing import Any

from features.support.emulator import MODEL, VERSION, RecordingListener
from features.support.reactor_thread import in_reactor, reactor, wait_until
from twisted.internet.protocol import Factory, Protocol

from rainsail.emulator.answers import expected_answer
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.engine_server import EngineServer
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.http_client import HttpEngineClient
from rainsail.engine.interface import GenerateRequest, Priority
from rainsail.engine.settings import EngineClientSettings
from rainsail.runtime.clock import MonotonicClock

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
END_DATA = (
    b'data: {"choices":[{"text":""}],"usage":{"prompt_tokens":1,"completion_tokens":2},'
    b'"end":{"reason":"%s","chunk_count":2,"detail":"","retry_after_s":0}}\n\n'
)
FLOOD_CHUNK_BYTES = 20_000
READ_TIMEOUT_S = 0.3


def chunk_data(sequence: object, text: str = "abc ") -> bytes:
    """Return the frame of a chunk."""
    body = f'{{"sequence":{sequence},"offset":0,"tokens":1,"choices":[{{"text":"{text}"}}]}}'
    return f"data: {body}\n\n".encode()


def http_chunk(data: bytes) -> bytes:
    """Return data as a chunk of HTTP's chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def plain_answer(status: bytes, body: bytes) -> bytes:
    """Return a complete HTTP response."""
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


def fault_body(code: bytes, detail: bytes, outcome: bytes) -> bytes:
    """Return a fault as JSON."""
    return b'{"code":"%s","step":"x","detail":"%s","outcome":"%s"}' % (code, detail, outcome)


TWO_CHUNKS = HEAD + http_chunk(chunk_data(0)) + http_chunk(chunk_data(1))

SCRIPTS: dict[str, tuple[bytes, bool]] = {
    "closes without a response": (b"", True),
    "sends half a header and closes": (b"HTTP/1.1 200 OK\r\ncontent-", True),
    "sends two chunks and closes": (TWO_CHUNKS, True),
    "sends two chunks and ends the response": (TWO_CHUNKS + b"0\r\n\r\n", False),
    "sends a frame that is not JSON": (HEAD + http_chunk(b"data: {no\n\n"), False),
    "sends a chunk whose sequence is text": (HEAD + http_chunk(chunk_data('"0"')), False),
    "sends an end with an unknown reason": (HEAD + http_chunk(END_DATA % b"tired"), False),
    "sends a frame without end": (HEAD + http_chunk(b"data: " + b"x" * 70_000), False),
    "answers 500 without a fault": (plain_answer(b"500 Oops", b"<html>"), False),
    "answers 409 as not run": (
        plain_answer(b"409 Conflict", fault_body(b"fenced", b"fenced off", b"not_run")),
        False,
    ),
    "answers 503 as unknown": (
        plain_answer(b"503 No", fault_body(b"unavailable", b"perhaps it ran", b"unknown")),
        False,
    ),
    "answers 200 with nonsense": (plain_answer(b"200 OK", b"[1]"), False),
    "sends nothing": (b"", False),
    "sends two chunks and then nothing": (TWO_CHUNKS, False),
}
"""The bytes that a scripted engine sends, and whether it closes the connection afterwards."""


class ScriptedEngine(Protocol):
    """Responds to the first bytes of a request with its factory's script."""

    def dataReceived(self, data: bytes) -> None:
        """Run the script, once."""
        factory: Any = self.factory
        transport: Any = self.transport
        if factory.connection is None:
            factory.connection = transport
            factory.script(transport)


class EngineRig:
    """An engine address, its server if there is one, and a client."""

    def __init__(self) -> None:
        self.clock = MonotonicClock(reactor)
        settings = EngineClientSettings(
            read_timeout_s=READ_TIMEOUT_S, call_timeout_s=5.0, max_frame_bytes=60_000
        )
        self.client = in_reactor(HttpEngineClient, self.clock, reactor, settings)
        self.listeners: list[RecordingListener] = []
        self.engine: EmulatedEngine | None = None
        self.factory: Any = None
        self._port: Any = None
        self.address = "http://127.0.0.1:1"

    def serve_engine(self) -> None:
        """Serve an emulated engine."""
        settings = EngineSettings.language_model(step_base_s=0.002, load_report_lag_s=0.0)
        in_reactor(self._make_engine, settings)

    def _make_engine(self, settings: EngineSettings) -> None:
        store = WeightStore(self.clock)
        self.engine = EmulatedEngine("engine-1", self.clock, Random(1), settings, store)
        self.engine.preload(VERSION)
        server = EngineServer(self.engine, self.clock)
        server.keep_alive_period_s = READ_TIMEOUT_S / 4
        self._listen(server.listen(reactor, "127.0.0.1", 0))

    def serve_script(self, script: Callable[[Any], None]) -> None:
        """Serve a script, which is called with the transport of the first request."""
        self.factory = Factory.forProtocol(ScriptedEngine)
        self.factory.script = script
        self.factory.connection = None
        in_reactor(lambda: self._listen(reactor.listenTCP(0, self.factory, interface="127.0.0.1")))

    def _listen(self, port: Any) -> None:
        self._port = port
        self.address = f"http://127.0.0.1:{port.getHost().port}"

    def request(self, tokens: int, **more: Any) -> GenerateRequest:
        """Return a request with a new attempt id."""
        fields: dict[str, Any] = {"version": "", "prompt": "reefer alarm", **more}
        attempt = f"gateway-a1/7f.{len(self.listeners)}"
        return GenerateRequest(
            attempt, "request", MODEL, max_tokens=tokens, priority=Priority.HIGH, **fields
        )

    def generate(self, tokens: int, **more: Any) -> None:
        """Start an attempt."""
        self.sent = self.request(tokens, **more)
        listener = self.add_listener()
        in_reactor(self.client.generate, self.address, self.sent, listener)

    def add_listener(self) -> RecordingListener:
        """Return a new listener."""
        self.listeners.append(RecordingListener(self.clock))
        return self.listeners[-1]

    @property
    def listener(self) -> RecordingListener:
        """Return the newest listener."""
        return self.listeners[-1]

    def wait_for_end(self) -> RecordingListener:
        """Wait for the newest attempt's end."""
        listener = self.listener
        wait_until(lambda: listener.end is not None, "the attempt ends")
        return listener

    def expected(self) -> str:
        """Return the complete expected answer of the last request."""
        return expected_answer(MODEL, self.sent.prompt, self.sent.max_tokens, 0)

    def close(self) -> None:
        """Stop everything."""
        in_reactor(self.client.close)
        if self.engine is not None:
            in_reactor(self.engine.crash)
        if self.factory is not None and self.factory.connection is not None:
            in_reactor(self.factory.connection.abortConnection)
        if self._port is not None:
            in_reactor(self._port.stopListening)
