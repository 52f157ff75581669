"""The web site of the operator API: heads that are no text are refused before a handler runs."""

from typing import Any

from twisted.web.server import Site

from rainsail.control.http_bodies import answer_fault
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.http_head import head_problem
from rainsail.runtime.unframed_answers import UnframedAnswerRequest

STEP = "operator_api.head"


class OperatorRequest(UnframedAnswerRequest):
    """A request whose method, path and headers are text."""

    def process(self) -> None:
        """Hand the request on, or answer what is wrong with its head."""
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
