"""The web site of the operator API: heads that are no text are refused before a handler runs."""

from typing import Any

from twisted.web.server import Request, Site

from rainsail.control.http_bodies import answer_fault
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.http_head import not_utf8

STEP = "operator_api.head"


class OperatorRequest(Request):
    """A request whose method, path and headers are UTF-8."""

    def process(self) -> None:
        """Hand the request on, or answer what is wrong with its head."""
        place = not_utf8(self)
        if not place:
            super().process()
            return
        fault = Fault(FaultCode.INVALID, STEP, f"{place}: expected UTF-8")
        self.write(answer_fault(self, fault))
        self.finish()


def make_operator_site(resource: Any, idle_timeout_s: float | None = None) -> Site:
    """Return a site that serves ``resource``."""
    site: Any = Site(resource, timeout=idle_timeout_s)
    site.requestFactory = OperatorRequest
    return site
