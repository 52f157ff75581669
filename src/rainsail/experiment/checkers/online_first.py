"""An online request never waits in an engine behind batch work."""

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import History, OnlineQueued

WAIT_LIMIT_S = 0.5
"""A few engine steps: an engine that gives a running batch slot to online work needs no more."""


class OnlineFirstChecker:
    """Reads the waits that engines recorded while batch attempts were running."""

    name = "online_first"

    def check(self, history: History) -> list[Violation]:
        """Find waits over the limit."""
        return [
            Violation(
                self.name,
                f"{event.request_id} waited {event.waited_s:.2f} s at {event.runner} behind batch",
            )
            for event in history.of_type(OnlineQueued)
            if event.waited_s > WAIT_LIMIT_S
        ]
