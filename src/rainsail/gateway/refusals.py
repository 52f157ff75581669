"""Faults with which several components of a gateway refuse a request."""

from rainsail.errors import Fault, FaultCode

NO_LEASE_RETRY_S = 1.0
"""Retry-after time of the refusal."""


def lease_expired(step: str) -> Fault:
    """Return the fault for a request at a gateway whose configuration lease has expired."""
    detail = "this gateway is cut off from control; its configuration may be old"
    return Fault(FaultCode.UNAVAILABLE, step, detail, retry_after_s=NO_LEASE_RETRY_S)
