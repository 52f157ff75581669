"""Twisted site of the caller API: limits body sizes and validates request heads (UTF-8)."""

from typing import Any

from twisted.web.server import Site

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.openai.errors import error_body, error_headers
from rainsail.gateway.openai.responses import encode_json
from rainsail.gateway.openai.sinks import write_fault
from rainsail.runtime.http_head import head_problem
from rainsail.runtime.unframed_answers import UnframedAnswerRequest

_STEP = "caller_api.body"
_HEAD_STEP = "caller_api.head"


class BoundedRequest(UnframedAnswerRequest):
    """A request with a body of at most ``max_body_bytes``.

    A longer body is answered with 413 as soon as its length is known, and the connection is closed.
    Handlers parse the bodies themselves; Twisted's parsing of forms into memory is bypassed.
    """

    max_body_bytes = 0

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._taken_bytes = 0
        self._refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose Content-Length is too large."""
        super().gotLength(length)
        if length is not None and length > self.max_body_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:
        """Store a piece of the body, unless the body is too long."""
        self._taken_bytes += len(data)
        if self._refused:
            return
        if self._taken_bytes > self.max_body_bytes:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a completely received request."""
        if self._refused or self.content is None:
            return
        self.content.seek(0, 0)
        self.args = {}
        self.method, self.uri = command, path
        self.clientproto = version
        self.path = self.uri.split(b"?", 1)[0]
        problem = head_problem(self)
        if problem:
            write_fault(self, Fault(FaultCode.INVALID, _HEAD_STEP, problem))
            return
        self.process()

    def _refuse(self) -> None:
        self._refused = True
        detail = f"the body is longer than {self.max_body_bytes} bytes"
        fault = Fault(FaultCode.TOO_LARGE, _STEP, detail)
        body = encode_json(error_body(fault))
        headers = {
            "content-type": "application/json",
            "content-length": str(len(body)),
            "connection": "close",
            **error_headers(fault),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        transport: Any = self.transport
        transport.write(f"HTTP/1.1 413 Request Entity Too Large\r\n{lines}\r\n".encode() + body)
        transport.loseConnection()


def make_site(resource: Any, max_body_bytes: int) -> Site:
    """Return a site that serves ``resource`` and limits the size of bodies."""

    def make_request(*arguments: Any, **keywords: Any) -> BoundedRequest:
        request = BoundedRequest(*arguments, **keywords)
        request.max_body_bytes = max_body_bytes
        return request

    site: Any = Site(resource)
    site.requestFactory = make_request
    return site
