"""Decides whether a stream is complete behind an event, by what its runs have stated. Pure.

An end that a length or chunks state, behind an event of the same run, completes a stream. Two other
ends prove less:

* An answer with neither a length nor chunks ends with its connection, which may be cut between two
  events. This is one statement that the last event has come.
* A run that is asked to resume after event n and sends no event states the same of n, but an answer
  that has lost its events looks alike.

Where the stream may be resumed, another run is asked then. Two statements by different runners
complete a stream, if one of them comes with an event. Behind an empty run, the next one is asked to
resume one event earlier: it has to repeat event n, so an empty answer to it is certainly wrong.
Such a run only confirms the end: if it shows that more events follow, they are asked for after n.
"""

import re
from dataclasses import dataclass
from enum import StrEnum

from rainsail.relay.events import LINE_ENDS, parse_event

AGREEING_RUNS = 2
AGREEING_RUNS_OF_ONE_RUNNER = 3
"""Runs that complete a stream if all were at one runner although there are others."""
ENDS_AGAINST_A_PART = 3
"""Orderly ends of runs after which an event that came in part, or out of order, counts as damaged.
"""
FIELD_START = re.compile(rb"[A-Za-z][A-Za-z-]*(:|$)")


class EndVerdict(StrEnum):
    """Verdicts on the end of a run that has ended in order."""

    COMPLETE = "complete"
    ASK = "ask"
    """It is a statement that needs to be confirmed by another run."""
    WRONG = "wrong"
    """More events follow, or the run lacks an event that it had to repeat."""


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run whose answer has ended in order.

    ``after_event`` is the event that it was asked to resume after, None for a run from the start.
    ``last_number`` is the number of its own last event, None if it sent no numbered one.
    ``is_framed`` tells whether a length or chunks state its end. ``is_only_runner`` tells that no
    other runner can be asked, so that its next run counts as that of another one.
    """

    runner: str
    after_event: int | None
    last_number: int | None
    is_framed: bool
    is_only_runner: bool = False


class EndConfirmation:
    """The statements on the end of one stream."""

    def __init__(self) -> None:
        self._last_event: int | None = None
        """The event that the statements are about."""
        self._with_event: set[str] = set()
        """The runners that ended without a length or chunks behind that event."""
        self._empty: set[str] = set()
        """The runners that had nothing to send after that event."""
        self._statements = 0
        """The number of runs that ended so, also at the same runner."""
        self._refuted: set[str] = set()
        """The runners whose statements turned out to be wrong since ``take_refuted``."""
        self._has_more = False
        """An event after that one is known to exist."""
        self._ends_despite_more = 0
        """Runs that ended behind the last event although another one seems to exist."""
        self._was_refuted = False
        """More events came behind an earlier statement."""

    @property
    def stands_alone(self) -> bool:
        """Tell whether the stream is complete if no other run can be asked.

        So is one that ended behind an event, unless that end or an earlier one was wrong.
        """
        return bool(self._with_event) and not self._has_more and not self._was_refuted

    @property
    def has_statements(self) -> bool:
        """Tell whether a run has stated the end behind the last event."""
        return bool(self._with_event or self._empty)

    def resume_after(self, last_event: int | None) -> int | None:
        """Return the event after which the next run is asked to resume.

        ``last_event`` is the last one received. None asks for the stream from its start.
        """
        is_control = bool(self._empty) and last_event == self._last_event
        if last_event is None or not is_control:
            return last_event
        return last_event - 1 if last_event else None

    def run_ended(self, run: EndedRun, last_event: int | None) -> EndVerdict:
        """Take the end of a run, and judge whether the stream is complete after ``last_event``."""
        if last_event is None:
            return EndVerdict.COMPLETE
        self.received(last_event)
        is_control = run.after_event is None or run.after_event < last_event
        is_behind = run.last_number == last_event
        if is_control and not is_behind:
            return EndVerdict.WRONG
        if self._has_more and not self._is_disproved():
            return EndVerdict.WRONG
        if is_behind and run.is_framed:
            return EndVerdict.COMPLETE
        (self._with_event if is_behind else self._empty).add(run.runner)
        self._statements += 1
        return EndVerdict.COMPLETE if self._is_agreed(run) else EndVerdict.ASK

    def _is_disproved(self) -> bool:
        """Count an end against the event that is held to follow; tell whether it is given up.

        What was taken for a part of it may have been damaged, and an item would wait for it for
        ever. From then on the ends are judged as if nothing were known.
        """
        self._ends_despite_more += 1
        if self._ends_despite_more >= ENDS_AGAINST_A_PART:
            self._has_more = False
        return not self._has_more

    def _is_agreed(self, run: EndedRun) -> bool:
        if not self._with_event:
            return False
        if len(self._with_event | self._empty) >= AGREEING_RUNS:
            return True
        least = AGREEING_RUNS if run.is_only_runner else AGREEING_RUNS_OF_ONE_RUNNER
        return self._statements >= least

    def received(self, last_event: int) -> None:
        """Take the number of the last event received; more refute what was stated before it."""
        if last_event == self._last_event:
            return
        self._refute()
        self._last_event = last_event
        self._has_more = False
        self._ends_despite_more = 0

    def more_follow(self, last_event: int) -> None:
        """Note that an event after ``last_event`` exists: all that was stated is wrong."""
        self.received(last_event)
        self._refute()
        self._has_more = True
        self._ends_despite_more = 0

    def _refute(self) -> None:
        self._was_refuted = self._was_refuted or self.has_statements
        self._refuted |= self._with_event | self._empty
        self._statements = 0
        self._with_event.clear()
        self._empty.clear()

    def take_refuted(self) -> set[str]:
        """Return the runners whose statements turned out to be wrong since the last call."""
        refuted, self._refuted = self._refuted, set()
        return refuted


def shows_next_event(
    partial: bytes, last_number: int | None, after_event: int | None, last_event: int
) -> bool:
    """Tell whether the received part of an event shows that one follows ``last_event``.

    ``last_number`` and ``after_event`` are those of its run, as in ``EndedRun``. Comments, foreign
    bytes and the repetition of an earlier event show nothing.
    """
    partial = partial.strip(LINE_ENDS)
    if not FIELD_START.match(partial):
        return False
    number = parse_event(partial[: partial.rfind(b"\n") + 1]).number
    if number is not None:
        return number > last_event
    previous = after_event if last_number is None else last_number
    return previous is not None and previous >= last_event
