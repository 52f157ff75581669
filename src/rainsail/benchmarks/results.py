"""Results of operations that a bench can't go on without."""

from typing import Any

from expression import Result

from rainsail.errors import RainsailError


def ok(result: Result[Any, Any]) -> Any:
    """Return the value of a result; raises ``RainsailError`` for a fault."""
    if result.is_error():
        raise RainsailError(result.error)
    return result.ok
