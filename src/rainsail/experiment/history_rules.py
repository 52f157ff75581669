"""What a history must hold before checkers may judge it: every answer has its question."""

import math

from rainsail.experiment.history import (
    AnswerReceived,
    ChangeAnswered,
    ChangeSent,
    History,
    RequestSent,
)


def history_problem(history: History) -> str:
    """Return the first event that refers to nothing, by its number; empty when all are sound."""
    open_sends: dict[str, None] = {}
    changes: dict[str, None] = {}
    for number, event in enumerate(history.events):
        place = f"event {number} ({type(event).__name__})"
        if not math.isfinite(event.time_s):
            return f"{place}: time_s: expected seconds, got {event.time_s}"
        if isinstance(event, RequestSent):
            if event.send_id in open_sends:
                return f"{place}: send_id: {event.send_id!r} is under way already"
            open_sends[event.send_id] = None
        elif isinstance(event, AnswerReceived):
            if event.send_id not in open_sends:
                return f"{place}: send_id: no open send {event.send_id!r}"
            del open_sends[event.send_id]
        elif isinstance(event, ChangeSent):
            changes[event.change_id] = None
        elif isinstance(event, ChangeAnswered) and event.change_id not in changes:
            return f"{place}: change_id: no change {event.change_id!r} was sent"
    return ""
