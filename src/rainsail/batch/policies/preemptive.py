"""Low priority, immediate preemption and a reserve for the online work that is expected.

The reserve is what online requests may arrive while a preemption is under way: the mean over a
short horizon plus a number of standard deviations of a Poisson process. ``batch_weight`` sets
that number: a site that weighs harm first keeps more room.
"""

import math
from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, RunnerView


@dataclass(slots=True)
class PreemptivePolicy:
    """Fills the slots that online work leaves, less a predicted reserve.

    ``batch_weight`` is 0 (least harm) to 1 (most throughput); ``horizon_s`` the seconds of
    online arrivals that the reserve covers.
    """

    batch_weight: float = 0.5
    horizon_s: float = 0.5
    yield_prefill_tokens: int = 512
    yield_keep: float = 0.0
    overcommit: int = 0
    trust_reports: int = 1
    name: str = "preemptive"
    low_priority: bool = True

    def allowance(self, view: RunnerView) -> BatchAllowance:
        """Return the slots left by online work and the reserve."""
        reported_online = max(0, view.reported_running - view.reported_running_low)
        online = view.online_running
        if self.trust_reports:
            online = max(online, reported_online)
        reserve = self.reserve(view.online_arrivals_per_s)
        free = view.slots - online - reserve
        if view.batch_running > free:
            free = min(view.batch_running, view.slots - online + self.overcommit)
        if view.online_prefill_tokens > self.yield_prefill_tokens:
            free = min(free, int(view.slots * self.yield_keep))
        return BatchAllowance(max(0, free), f"{online} online, {reserve} reserved")

    def reserve(self, arrivals_per_s: float) -> int:
        """Return the slots kept free for online requests that are yet to come."""
        expected = arrivals_per_s * self.horizon_s
        deviations = 2.0 * (1.0 - self.batch_weight)
        weighed = (1.0 - self.batch_weight) * expected + deviations * math.sqrt(expected)
        return math.ceil(weighed - 1e-9)
