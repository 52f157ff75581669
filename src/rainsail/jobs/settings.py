"""How the dispatcher paces items: times that depend on the runners and on the ledger.

They are fixed in the code; only the policy switches of ``rainsail.mechanisms`` come from a node's
settings file.
"""

from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Pauses and periods of the dispatcher, in seconds, and the policies that are switched on."""

    preemption_pause_s: float = 0.4
    """A runner at which an item was preempted takes no item for this long.

    Online work is rising there: an item started at once would be preempted again, and each start
    reads the prompt anew. Measured on one run: a sixth fewer preemptions (674 to 561), no change
    of worth beyond the noise.
    """
    start_interval_s: float = 0.1
    """Least time between two starts at one runner.

    Not measured by itself; chosen because ten prompts that began together held a runner for 0.3 s.
    """
    progress_period_s: float = 0.5
    """Time between two commands that keep the progress of items; a new leader repeats this at most.

    Not measured; chosen so that the commands are few and little is run again.
    """
    report_wait_s: float = 1.5
    """A new leader waits this long at most for a first report of a gateway before it starts items.

    Not measured; chosen so that items also start where no gateway has anything to report.
    """
    mechanisms: Mechanisms = DEFAULTS
