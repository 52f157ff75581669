"""The caller API: an OpenAI-compatible HTTP API on the gateway's core and the job intake."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.python.failure import Failure
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException

from rainsail.control.interface import ConfigReader
from rainsail.errors import Fault, FaultCode, Outcome, RainsailError
from rainsail.gateway.interface import Gateway
from rainsail.gateway.openai.authentication import Authenticator
from rainsail.gateway.openai.batch_routes import BatchRoutes
from rainsail.gateway.openai.errors import error_body, error_headers
from rainsail.gateway.openai.explain_routes import DecisionReader, ExplainRoutes
from rainsail.gateway.openai.job_intake import Intake
from rainsail.gateway.openai.online_routes import OnlineRoutes
from rainsail.gateway.openai.responses import encode_json
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.gateway.openai.sinks import write_fault
from rainsail.gateway.openai.site import make_site

_STEP = "caller_api.route"
_FORM_ENVELOPE_BYTES = 64 * 1024
"""Allowance for the multipart boundaries and headers around an uploaded file."""

_STATUS_CODES = {
    404: FaultCode.NOT_FOUND,
    405: FaultCode.INVALID,
}


class CallerApi:
    """The caller API. Listen with ``site()``, which limits the size of request bodies."""

    def __init__(
        self,
        core: Gateway,
        config: ConfigReader,
        intake: Intake,
        settings: CallerApiSettings,
        wall_clock: Callable[[], float],
    ) -> None:
        self.app = Klein()
        self._settings = settings
        self.authenticator = Authenticator(config)
        OnlineRoutes(core, config, self.authenticator, settings, wall_clock).add_to(self.app)
        BatchRoutes(intake, self.authenticator, settings, wall_clock).add_to(self.app)
        self.app.handle_errors(HTTPException)(_no_route)
        self.app.handle_errors(Exception)(_failed)

    def add_explain_routes(
        self, gateway: str, decisions: DecisionReader, operator_key_hashes: tuple[str, ...]
    ) -> None:
        """Add the route that explains routing decisions."""
        routes = ExplainRoutes(gateway, decisions, self.authenticator, operator_key_hashes)
        routes.add_to(self.app)

    def site(self) -> Site:
        """Return the Twisted site of the API."""
        max_body_bytes = self._settings.max_file_bytes + _FORM_ENVELOPE_BYTES
        return make_site(self.app.resource(), max_body_bytes)

    def listen(self, reactor: Any, host: str, port: int) -> Any:
        """Listen on an address; return Twisted's listening port."""
        return reactor.listenTCP(port, self.site(), interface=host)


def _no_route(request: Any, failure: Failure) -> bytes:
    """Answer an unknown path or method; klein finishes such a request itself."""
    error: Any = failure.value
    code = _STATUS_CODES.get(error.code, FaultCode.INVALID)
    fault = Fault(code, _STEP, f"{error.code} {error.name}")
    request.setResponseCode(fault.http_status)
    request.setHeader(b"content-type", b"application/json")
    for name, value in error_headers(fault).items():
        request.setHeader(name.encode(), value.encode())
    return encode_json(error_body(fault))


def _failed(request: Any, failure: Failure) -> None:
    """Answer an unexpected error; for an untyped one the outcome is UNKNOWN."""
    if isinstance(failure.value, RainsailError):
        write_fault(request, failure.value.fault)
        return
    detail = f"{failure.type.__name__ if failure.type else 'error'}: {failure.value}"
    write_fault(request, Fault(FaultCode.INTERNAL, _STEP, detail, "", Outcome.UNKNOWN))
