"""Load estimate of a runner from a lagged report and the gateway's own requests.

All functions are pure. A report is out of date and may be wrong. The requests that this gateway
has in flight are known exactly and are the lower bound of the estimate. Load that a report shows
beyond them is attributed to other gateways and decays with the age of the report.

``routing.load`` estimates the load of relayed runners differently: their reports arrive with
answers and do not distinguish high-priority requests.
"""

from rainsail.engine.interface import LoadReport

FULL_MEMORY_PENALTY = 8.0
"""Number of additional running requests that a full KV memory counts as."""


def reported_high(report: LoadReport) -> float:
    """Return the reported number of high-priority requests, running and waiting; never negative.

    While low-priority requests run, no high-priority request can be waiting, because it would have
    preempted one of them. All waiting requests are then batch requests.
    """
    waiting = 0 if report.running_low > 0 else max(0, report.waiting)
    return float(max(0, report.running - report.running_low) + waiting)


def decayed(amount: float, age_s: float, half_life_s: float) -> float:
    """Return ``amount`` after exponential decay for ``age_s`` seconds."""
    return amount * 0.5 ** (max(0.0, age_s) / half_life_s)


def online_load(own_online: int, foreign_online: float) -> float:
    """Return the estimated number of online requests on a runner."""
    return own_online + foreign_online


def memory_penalty(used: int, total: int, pressure: float) -> float:
    """Return the extra load, in requests, for KV memory use above the share ``pressure``."""
    if total <= 0 or used <= 0:
        return 0.0
    share = min(1.0, used / total)
    if share <= pressure or pressure >= 1.0:
        return 0.0
    return FULL_MEMORY_PENALTY * (share - pressure) / (1.0 - pressure)
