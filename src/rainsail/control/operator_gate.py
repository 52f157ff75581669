"""Access control of the operator API: which callers may read and change what."""

from typing import Any

from expression import Error, Ok, Result

from rainsail.control.http_bodies import bearer_token
from rainsail.control.operator_auth import AuthenticatedCaller, Authenticator
from rainsail.errors import Fault, FaultCode

STEP = "operator_api.access"


class OperatorGate:
    """Authenticates requests; operators may do everything, tenants access their own jobs only."""

    def __init__(self, authenticate: Authenticator) -> None:
        self._authenticate = authenticate

    def caller(self, request: Any) -> Result[AuthenticatedCaller, Fault]:
        """Return the caller, or UNAUTHENTICATED."""
        caller = self._authenticate(bearer_token(request))
        if caller is None:
            return Error(Fault(FaultCode.UNAUTHENTICATED, STEP, "the bearer token is not known"))
        return Ok(caller)

    def operator(self, request: Any) -> Result[AuthenticatedCaller, Fault]:
        """Return the caller if it is an operator, else FORBIDDEN."""
        caller = self.caller(request)
        if caller.is_ok() and not caller.ok.operator:
            return Error(Fault(FaultCode.FORBIDDEN, STEP, "only operators may do this"))
        return caller


def may_use_tenant(caller: AuthenticatedCaller, tenant: str) -> bool:
    """Tell whether the caller may read and change that tenant's jobs."""
    return caller.operator or caller.tenant == tenant
