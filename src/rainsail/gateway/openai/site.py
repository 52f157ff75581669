"""Twisted site of the caller API: limits body sizes and validates request heads (UTF-8)."""

from typing import Any

from twisted.web.server import Site

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.openai.errors import error_body, error_headers
from rainsail.gateway.openai.responses import encode_json
from rainsail.gateway.openai.sinks import write_fault
from rainsail.runtime.client_requests import RETRY_AFTER_S, STATUS_TOO_LARGE, ClientRequest
from rainsail.runtime.http_head import head_problem

_STEP = "caller_api.body"
_HEAD_STEP = "caller_api.head"


class BoundedRequest(ClientRequest):
    """A request whose refusals are error objects.

    Handlers parse the bodies themselves; Twisted's parsing of forms into memory is bypassed.
    """

    def take_request(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a completely received request."""
        if self.content is None:
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

    def refusal(self, status: int) -> tuple[dict[str, str], bytes]:
        """Return the header fields and the error object of a refusal."""
        if status == STATUS_TOO_LARGE:
            detail = f"the body is longer than {self.max_body_bytes} bytes"
            fault = Fault(FaultCode.TOO_LARGE, _STEP, detail)
        else:
            detail = "there is no room for the body now"
            fault = Fault(FaultCode.OVERLOADED, _STEP, detail, retry_after_s=float(RETRY_AFTER_S))
        body = encode_json(error_body(fault))
        return {"content-type": "application/json", **error_headers(fault)}, body


def make_site(resource: Any, max_body_bytes: int) -> Site:
    """Return a site that serves ``resource`` and limits the size of bodies."""

    def make_request(*arguments: Any, **keywords: Any) -> BoundedRequest:
        request = BoundedRequest(*arguments, **keywords)
        request.max_body_bytes = max_body_bytes
        return request

    site: Any = Site(resource)
    site.requestFactory = make_request
    return site
