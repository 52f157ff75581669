"""The explain route: routing decisions with their candidates and scores."""

import dataclasses
from typing import Any, Protocol

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.openai.authentication import Authenticator, bearer_key, hash_key
from rainsail.gateway.openai.replies import write_object
from rainsail.gateway.openai.responses import CHAT_SHAPE, COMPLETION_SHAPE
from rainsail.gateway.openai.sinks import write_fault
from rainsail.gateway.router import RouteDecision

STEP = "caller_api.explain"
ANY_TENANT = ""


class DecisionReader(Protocol):
    """The part of ``GatewayCore`` that the route uses."""

    def explain(self, request_id: str, tenant: str = ANY_TENANT) -> tuple[RouteDecision, ...]:
        """Return the stored decisions for a request, oldest first."""
        ...


class ExplainRoutes:
    """Explains any request to operators, and to tenants only their own requests."""

    def __init__(
        self,
        gateway: str,
        decisions: DecisionReader,
        authenticator: Authenticator,
        operator_key_hashes: tuple[str, ...],
    ) -> None:
        self._gateway = gateway
        self._decisions = decisions
        self._authenticator = authenticator
        self._operator_key_hashes = operator_key_hashes

    def add_to(self, app: Any) -> None:
        """Add the route to a klein app."""
        app.route("/v1/explain/<path:request_id>", methods=["GET"])(self.explain)

    def explain(self, request: Any, request_id: str) -> None:
        """Answer with the decisions for one request, given its request id or its answer's id."""
        tenant = self._tenant(request.getHeader("authorization"))
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        wanted = _request_id(request_id)
        found = self._decisions.explain(wanted, tenant.ok)
        if not found:
            detail = f"{self._gateway} keeps no decision of request {wanted!r}"
            write_fault(request, Fault(FaultCode.NOT_FOUND, STEP, detail))
            return
        decisions = [dataclasses.asdict(decision) for decision in found]
        answer = {"gateway": self._gateway, "request_id": wanted, "decisions": decisions}
        write_object(request, answer)

    def _tenant(self, authorization: str | None) -> Result[str, Fault]:
        """Return the tenant whose requests may be explained; ``ANY_TENANT`` for an operator."""
        key = bearer_key(authorization)
        if key is not None and hash_key(key) in self._operator_key_hashes:
            return Ok(ANY_TENANT)
        tenant = self._authenticator.tenant(authorization)
        if tenant.is_error():
            return Error(tenant.error)
        return Ok(ANY_TENANT if self._authenticator.is_operator(tenant.ok) else tenant.ok)


def _request_id(text: str) -> str:
    for shape in (CHAT_SHAPE, COMPLETION_SHAPE):
        text = text.removeprefix(shape.id_prefix)
    return text
