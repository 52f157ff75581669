"""Response sinks that write a request's answer to an HTTP response.

The HTTP request must be finished exactly once. A disconnect of the caller abandons the request;
back-pressure from its connection pauses it.
"""

from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from rainsail.errors import Fault
from rainsail.gateway.interface import Answer, CallerRequest, Gateway, RequestHandle
from rainsail.gateway.openai.errors import OUTCOME_HEADER, error_body, error_headers
from rainsail.gateway.openai.responses import AnswerWriter, encode_json


def write_json(request: Any, status: int, body: bytes, headers: dict[str, str]) -> None:
    """Write a JSON response and finish the HTTP request."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    for name, value in headers.items():
        request.setHeader(name.encode(), value.encode())
    request.write(body)
    request.finish()


def write_fault(request: Any, fault: Fault) -> None:
    """Answer with a fault and finish the HTTP request."""
    write_json(request, fault.http_status, encode_json(error_body(fault)), error_headers(fault))


@implementer(IPushProducer)
class ResponseSession:
    """A ``ResponseSink`` that writes the complete answer as one HTTP response."""

    def __init__(self, request: Any, writer: AnswerWriter) -> None:
        self._request = request
        self._writer = writer
        self._handle: RequestHandle | None = None
        self._open = True
        self._paused = False

    def start(self, gateway: Gateway, caller_request: CallerRequest) -> None:
        """Submit the request; the answer may come before this returns."""
        self._request.notifyFinish().addErrback(self._disconnected)
        handle = gateway.submit(caller_request, self)
        if not self._open:
            return
        self._handle = handle
        if self._paused:
            handle.pause()

    def _disconnected(self, _: Any) -> None:
        """Abandon the request: the connection was closed before the end of the answer."""
        handle, self._handle = self._handle, None
        was_open, self._open = self._open, False
        if was_open and handle is not None:
            handle.abandon()

    def _close(self) -> bool:
        was_open, self._open = self._open, False
        self._handle = None
        return was_open

    def on_part(self, text: str, tokens: int) -> None:
        """Ignore a part: the answer is written at the end."""

    def on_answer(self, answer: Answer) -> None:
        """Write the complete answer."""
        if self._close():
            headers = {OUTCOME_HEADER: str(answer.outcome)}
            write_json(self._request, 200, self._writer.whole(answer), headers)

    def on_fault(self, fault: Fault) -> None:
        """Write the fault."""
        if self._close():
            write_fault(self._request, fault)

    def pauseProducing(self) -> None:
        """Pause the request: the connection's send buffer is full."""
        self._paused = True
        if self._handle is not None:
            self._handle.pause()

    def resumeProducing(self) -> None:
        """Resume the request: the connection accepts data again."""
        self._paused = False
        if self._handle is not None:
            self._handle.unpause()

    def stopProducing(self) -> None:
        """Do nothing: ``notifyFinish`` abandons the request on a closed connection."""


class StreamSession(ResponseSession):
    """Writes each part of the answer as a server-sent event when it arrives."""

    def __init__(self, request: Any, writer: AnswerWriter, include_usage: bool) -> None:
        super().__init__(request, writer)
        self._include_usage = include_usage
        self._begun = False

    def _begin(self) -> None:
        self._begun = True
        self._request.setHeader(b"content-type", b"text/event-stream")
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)
        self._request.write(self._writer.first_frame())

    def on_part(self, text: str, tokens: int) -> None:
        """Write a part."""
        if not self._open:
            return
        if not self._begun:
            self._begin()
        self._request.write(self._writer.part_frame(text))

    def on_answer(self, answer: Answer) -> None:
        """Write the end of the stream."""
        if not self._close():
            return
        if not self._begun:
            self._begin()
        self._finish(self._writer.last_frames(answer, self._include_usage))

    def on_fault(self, fault: Fault) -> None:
        """Write the fault: as an HTTP error if nothing was sent yet, otherwise as an event."""
        if not self._close():
            return
        if not self._begun:
            write_fault(self._request, fault)
            return
        self._finish(b"data: " + encode_json(error_body(fault)) + b"\n\n")

    def _finish(self, frames: bytes) -> None:
        self._request.write(frames)
        self._request.unregisterProducer()
        self._request.finish()
