"""Bounds the lines that are passed on at once of a stream of lines.

The work for a stream of events grows with its lines, and a read may hold tens of thousands of them.
"""

LINES_AT_ONCE = 256


def share_of(data: bytes) -> int:
    """Return how many bytes of ``data`` to pass on now: ``LINES_AT_ONCE`` lines at most."""
    size = len(data)
    lines = _count_ends(data)
    while lines > LINES_AT_ONCE:
        size = max(LINES_AT_ONCE, size * LINES_AT_ONCE // lines)
        lines = _count_ends(data[:size])
    return size


def _count_ends(data: bytes) -> int:
    return data.count(b"\n") + data.count(b"\r")
