"""Known-bad variants of the relay: each breaks one promise that the soak's checks have to see."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

from rainsail.relay import client_answer
from rainsail.relay.attempt import Attempt
from rainsail.relay.run import STATUS_UNAVAILABLE, RelayRun


@dataclass(frozen=True)
class Defect:
    """Replaces ``owner.attribute``; ``words`` are those of the check that has to see it."""

    owner: Any
    attribute: str
    make: Callable[[Any], Any]
    """Takes the original and returns what stands in for it."""
    words: str

    def patch(self) -> Any:
        """Return the patch, to be started."""
        return mock.patch.object(
            self.owner, self.attribute, self.make(getattr(self.owner, self.attribute))
        )


def _append_failures(original: Any) -> Any:
    """Take the end of any answer for the end of the client's answer."""

    def answer_came(self: RelayRun, attempt: Attempt) -> None:
        if not self._answer.begun:
            original(self, attempt)
            return
        self._attempt = None
        self._answer.write_body(attempt)
        self._answer.end()
        self._finish("completed")

    return answer_came


def _end_half_events(original: Any) -> Any:
    """End a stream as complete with whatever came last."""

    def answer_ended(self: Attempt) -> None:
        if not self.is_stream:
            original(self)
        elif self._end():
            run: Any = self._owner
            run._attempt = None
            run._answer._begin(self)
            run._exchange.write(self.splitter.rest)
            run._answer.end()
            run._finish("completed")

    return answer_ended


def _let_holes_through(original: Any) -> Any:
    """Take any event for the next one."""
    return lambda event, last_event: False


def _always_promise(original: Any) -> Any:
    """Refuse with 503 whether or not a runner may have run the request."""
    return lambda self, status, reason: original(self, STATUS_UNAVAILABLE, reason)


DEFECTS = {
    "appends a failure to a stream that goes on": Defect(
        RelayRun, "answer_came", _append_failures, "foreign bytes"
    ),
    "ends half an event as complete": Defect(
        Attempt, "answer_ended", _end_half_events, "half an event"
    ),
    "lets a hole through": Defect(client_answer, "leaves_hole", _let_holes_through, "a hole"),
    "tells 503 after a run": Defect(RelayRun, "_refuse", _always_promise, "told 503 after a run"),
}
