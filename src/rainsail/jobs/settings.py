"""Timing parameters of the dispatcher.

They are fixed in the code; only the policy switches of ``rainsail.mechanisms`` come from a node's
settings file.
"""

from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Pauses and periods of the dispatcher, in seconds, and its enabled policies."""

    preemption_pause_s: float = 0.4
    """Pause of a runner after an item was preempted there.

    Online work is rising there: an item started at once would be preempted again, and each start
    repeats the prefill. Effect on one run: a sixth fewer preemptions (674 to 561), no significant
    change of the benchmark score.
    """
    start_interval_s: float = 0.1
    """Minimum time between two starts at one runner.

    Ten prompts that started together blocked a runner for 0.3 s.
    """
    progress_period_s: float = 0.5
    """Time between two commits of the items' progress.

    A new leader repeats at most this much of each run. A compromise between the rate of commands
    and the repeated work.
    """
    report_wait_s: float = 1.5
    """Maximum time that a new leader waits for a gateway's first report before it starts items.

    Bounded, so that items also start if no gateway has anything to report.
    """
    mechanisms: Mechanisms = DEFAULTS
