"""Faults of the storage; each names the file and, if known, the offset."""

from rainsail.errors import Fault, FaultCode, Outcome


def storage_fault(step: str, path: str, reason: str, offset: int | None = None) -> Fault:
    """Return a STORAGE fault whose detail starts with the path and, if given, the offset."""
    place = path if offset is None else f"{path} at offset {offset}"
    return Fault(
        FaultCode.STORAGE, f"storage.{step}", f"{place}: {reason}", outcome=Outcome.UNKNOWN
    )
