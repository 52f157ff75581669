"""The operator API's HTTP site; refuses requests whose head is not valid text."""

from typing import Any

from twisted.web.server import Site

from rainsail.control.http_bodies import answer_fault
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.client_requests import ClientRequest
from rainsail.runtime.http_head import head_problem

STEP = "operator_api.head"


class OperatorRequest(ClientRequest):
    """A request that is refused unless its method, path and headers are valid text."""

    def process(self) -> None:
        """Process the request, or answer with a fault that describes the invalid head."""
        problem = head_problem(self)
        if not problem:
            super().process()
            return
        fault = Fault(FaultCode.INVALID, STEP, problem)
        self.write(answer_fault(self, fault))
        self.finish()


def make_operator_site(resource: Any, idle_timeout_s: float | None = None) -> Site:
    """Return a site that serves ``resource``."""
    site: Any = Site(resource, timeout=idle_timeout_s)
    site.requestFactory = OperatorRequest
    return site
