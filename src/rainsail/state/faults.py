"""Constructors of the faults that applying a command may return."""

from rainsail.errors import Fault, FaultCode


def invalid(step: str, detail: str) -> Fault:
    """Return a fault for a command that is invalid whatever the state is."""
    return Fault(FaultCode.INVALID, f"state.{step}", detail)


def not_found(step: str, detail: str) -> Fault:
    """Return a fault for a command that names something that does not exist."""
    return Fault(FaultCode.NOT_FOUND, f"state.{step}", detail)


def conflict(step: str, detail: str, current_revision: int | None = None) -> Fault:
    """Return a fault for a command that lost a race or contradicts the stored state."""
    return Fault(FaultCode.CONFLICT, f"state.{step}", detail, current_revision=current_revision)


def fenced(step: str, detail: str) -> Fault:
    """Return a fault for a command with an outdated fence or from a former owner."""
    return Fault(FaultCode.FENCED, f"state.{step}", detail)


def cancelled(step: str, detail: str) -> Fault:
    """Return a fault for a command on something that was cancelled before."""
    return Fault(FaultCode.CANCELLED, f"state.{step}", detail)
