"""Notes closes of connections, and until when those of the same moment may still be noticed.

Closes that happen together are noticed in one poll of the reactor or in the next one. How long that
takes depends on what the process does between its polls, and on whether it is suspended.
"""

from rainsail.http.unframed_end import SAME_MOMENT_S, CloseNotice
from rainsail.runtime.clock import Clock

TURNS = 3
"""Calls without delay, one after the other: the reactor polls between each two of them."""


def note_close(clock: Clock) -> CloseNotice:
    """Return the notice of a close; its end moves until the reactor has polled twice more."""
    now_s = clock.seconds()
    notice = CloseNotice(now_s, now_s + SAME_MOMENT_S)

    def turn(turns_left: int) -> None:
        notice.until_s = max(notice.until_s, clock.seconds())
        if turns_left:
            clock.callLater(0, lambda: turn(turns_left - 1))

    turn(TURNS)
    return notice
