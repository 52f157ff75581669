"""Short forms for the faults that applying a command may return."""

from rainsail.errors import Fault, FaultCode


def invalid(step: str, detail: str) -> Fault:
    """The command itself is wrong and would be wrong at any time."""
    return Fault(FaultCode.INVALID, f"state.{step}", detail)


def not_found(step: str, detail: str) -> Fault:
    """The command names something that is not there."""
    return Fault(FaultCode.NOT_FOUND, f"state.{step}", detail)


def conflict(step: str, detail: str, current_revision: int | None = None) -> Fault:
    """The command lost a race or contradicts what is stored."""
    return Fault(FaultCode.CONFLICT, f"state.{step}", detail, current_revision=current_revision)


def fenced(step: str, detail: str) -> Fault:
    """The command was sent under a fence or by an owner that is no longer current."""
    return Fault(FaultCode.FENCED, f"state.{step}", detail)


def cancelled(step: str, detail: str) -> Fault:
    """The command comes after a cancel."""
    return Fault(FaultCode.CANCELLED, f"state.{step}", detail)
