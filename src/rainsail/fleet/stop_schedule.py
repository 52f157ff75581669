"""The moments of a relaying gateway's planned stop, by its grace time. Pure."""

from dataclasses import dataclass

from rainsail.http.graceful_shutdown import last_answers_s

CLIENT_DRAIN_DELAY_S = 2.3
"""After SIGTERM new clients still arrive until two readiness checks have failed."""
CLIENT_DRAIN_SHARE = 0.6
"""Upper bound of the same, as a share of the time until the end: the rest is for the answers."""
EXIT_MARGIN_S = 0.4
"""The process ends this long before SIGKILL would end it."""
EXIT_MARGIN_SHARE = 0.2
"""Upper bound of the same, as a share of the grace time."""


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Seconds after SIGTERM.

    At ``closes_s`` the port is closed, at ``answers_s`` what is still under way is ended, and at
    ``ends_s`` the process ends at the latest.
    """

    closes_s: float
    answers_s: float
    ends_s: float


def stop_schedule(grace_s: float) -> StopSchedule:
    """Return the moments for the time between SIGTERM and SIGKILL."""
    ends_s = grace_s - min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
    closes_s = min(CLIENT_DRAIN_DELAY_S, CLIENT_DRAIN_SHARE * ends_s)
    return StopSchedule(closes_s, ends_s - last_answers_s(ends_s - closes_s), ends_s)
