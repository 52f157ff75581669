"""Limits of an HTTP server on its clients."""

from dataclasses import dataclass


@dataclass(slots=True)
class HttpLimits:
    """Limits on a client's data and times; they may change while the server runs."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    user_timeout_s: float = 5.0
    stall_timeout_s: float = 10.0
    """A client that takes nothing of its answer for this long is closed."""
