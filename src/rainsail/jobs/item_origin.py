"""Decides at which runners an item that has a text may start. Pure.

What two software versions write does not fit together, so an item continues only at the service
and version that wrote its text so far. Unlike a client's stream it may always begin anew instead.
"""

from collections.abc import Callable, Sequence

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.stream_origins import StreamOrigin

ORIGIN_WAIT_S = 1.0
"""How long an item waits for a slot at a runner that can continue its text.

Longer than most slots stay taken, and shorter than most items take from their beginning.
"""

OriginOf = Callable[[RunnerRecord], StreamOrigin]


def preferred_records(
    ready: Sequence[RunnerRecord],
    free: Sequence[RunnerRecord],
    origin: StreamOrigin | None,
    waited_s: float,
    origin_of: OriginOf,
) -> list[RunnerRecord]:
    """Return the runners at which an item may start now; none if it has to wait.

    ``ready`` are all runners that may get it, ``free`` those of them with a free slot. ``origin``
    is that of the text so far, None if there is no text or it can't be continued.
    """
    if origin is None:
        return list(free)
    continuing = [record for record in free if origin_of(record) == origin]
    if continuing:
        return continuing
    may_continue_later = any(origin_of(record) == origin for record in ready)
    return [] if may_continue_later and waited_s < ORIGIN_WAIT_S else list(free)
