"""Refusals that several parts of a gateway give."""

from rainsail.errors import Fault, FaultCode

NO_LEASE_RETRY_S = 1.0
"""Seconds after which a refused caller may come back. Not measured."""


def lease_expired(step: str) -> Fault:
    """Return the refusal of a gateway whose configuration lease has run out."""
    detail = "this gateway is cut off from control; its configuration may be old"
    return Fault(FaultCode.UNAVAILABLE, step, detail, retry_after_s=NO_LEASE_RETRY_S)
