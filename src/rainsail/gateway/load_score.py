"""How loaded a runner is, from a lagged report and the gateway's own work since.

All functions are pure. The report is old and may be wrong: what the gateway itself has in
flight is a fact, so it bounds the estimate from below; what the report shows beyond that is
taken as the work of others and loses weight with age.

``routing.load`` estimates relayed runners otherwise: their reports come with answers and do not
say which requests are urgent.
"""

from rainsail.engine.interface import LoadReport

FULL_MEMORY_PENALTY = 8.0
"""Extra running requests that a full KV memory counts as. Not measured."""


def reported_high(report: LoadReport) -> float:
    """Return the reported high-priority requests, running and waiting; never negative.

    While low-priority items run nothing of high priority can be waiting, since it would have
    preempted them: what waits then is batch work.
    """
    waiting = 0 if report.running_low > 0 else max(0, report.waiting)
    return float(max(0, report.running - report.running_low) + waiting)


def decayed(amount: float, age_s: float, half_life_s: float) -> float:
    """Return ``amount`` after ``age_s`` seconds of ageing out."""
    return amount * 0.5 ** (max(0.0, age_s) / half_life_s)


def online_load(own_online: int, foreign_online: float) -> float:
    """Return the estimated number of online requests on a runner."""
    return own_online + foreign_online


def memory_penalty(used: int, total: int, pressure: float) -> float:
    """Return extra load for KV memory used beyond the share ``pressure``."""
    if total <= 0 or used <= 0:
        return 0.0
    share = min(1.0, used / total)
    if share <= pressure or pressure >= 1.0:
        return 0.0
    return FULL_MEMORY_PENALTY * (share - pressure) / (1.0 - pressure)
