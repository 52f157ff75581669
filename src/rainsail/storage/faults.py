"""Faults of the storage, each naming the file and, where there is one, the offset."""

from rainsail.errors import Fault, FaultCode, Outcome


def storage_fault(step: str, path: str, reason: str, offset: int | None = None) -> Fault:
    """Return a STORAGE fault whose detail starts with the file and the offset."""
    place = path if offset is None else f"{path} at offset {offset}"
    return Fault(
        FaultCode.STORAGE, f"storage.{step}", f"{place}: {reason}", outcome=Outcome.UNKNOWN
    )
