"""Derives the limits of a client budget from those of the process."""

from dataclasses import dataclass

MEGABYTE = 1_000_000
"""The smaller of the two usual meanings of MB, so that the limit holds for both."""
DEFAULT_HELD_BYTES = 256 * MEGABYTE
"""What clients may hold together in a process whose memory has no known limit."""
MIN_HELD_BYTES = 8 * MEGABYTE
"""Room for one body at the limit in a process with little memory."""
CLIENT_SHARE = 0.6
"""Share of the memory beside the process's own that clients may hold.

The rest is for what grows with the fleet, and for memory that the allocator keeps.
"""
DEFAULT_CONNECTIONS = 4096
"""Connections of clients in a process without a known limit on descriptors."""
RESERVED_DESCRIPTORS = 64
"""Descriptors for peers, the disk, listening ports and logs."""
CONNECTION_SHARE = 0.45
"""Share of the other descriptors that clients may use: each request needs a runner's as well."""
MIN_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The limits of a client budget."""

    held_bytes: int = DEFAULT_HELD_BYTES
    connections: int = DEFAULT_CONNECTIONS


def budget_limits(
    memory_bytes: int,
    resident_bytes: int,
    descriptors: int,
    held_bytes: int = 0,
    connections: int = 0,
) -> BudgetLimits:
    """Return the limits of a process's budget.

    ``memory_bytes`` is the memory that the process may use, of which ``resident_bytes`` are its own
    without clients; ``descriptors`` is its limit on open ones. 0 stands for no known limit.
    ``held_bytes`` and ``connections`` are limits set by the operator, 0 for derived ones.
    """
    if not held_bytes:
        spare = int((memory_bytes - resident_bytes) * CLIENT_SHARE)
        held_bytes = max(MIN_HELD_BYTES, spare) if memory_bytes else DEFAULT_HELD_BYTES
    if not connections:
        spare = int((descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE)
        connections = max(MIN_CONNECTIONS, spare) if descriptors else DEFAULT_CONNECTIONS
    return BudgetLimits(held_bytes, connections)
