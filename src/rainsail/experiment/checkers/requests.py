"""Each caller gets the whole answer to its own request; refusals are true; at most once."""

from rainsail.errors import Outcome
from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import (
    AnswerReceived,
    EngineStarted,
    History,
    RequestSent,
)
from rainsail.resources.specs import RequestClass


class WholeAnswerChecker:
    """A completed answer is the whole right answer; a broken one was a prefix of it."""

    name = "whole_answer"

    def check(self, history: History) -> list[Violation]:
        """Compare what callers put together with what they had to get."""
        expected = {event.send_id: event for event in history.of_type(RequestSent)}
        found = []
        for event in history.of_type(AnswerReceived):
            right = expected[event.send_id].expected_text
            if event.outcome == Outcome.COMPLETED and event.text != right:
                detail = f"{event.request_id} completed with another text ({len(event.text)} of "
                detail += f"{len(right)} characters)"
                found.append(Violation(self.name, detail))
            elif not right.startswith(event.text):
                detail = f"{event.request_id} received parts that are not of its answer"
                found.append(Violation(self.name, detail))
        return found


class RefusalTruthChecker:
    """A request refused as not run was not run (by that send, or by any send of its id)."""

    name = "refusal_truth"

    def check(self, history: History) -> list[Violation]:
        """Find work for requests refused throughout, and work during a refused send."""
        return self._refused_throughout(history) + self._refused_while_running(history)

    def _refused_while_running(self, history: History) -> list[Violation]:
        """Find engine starts during a refused send, unless an earlier send may still run."""
        ambiguous: set[str] = set()
        started: dict[str, str] = {}
        found = []
        for event in history.events:
            if isinstance(event, RequestSent):
                started.pop(event.request_id, None)
            elif isinstance(event, EngineStarted):
                started[event.request_id] = event.runner
            elif isinstance(event, AnswerReceived):
                refused = event.outcome == Outcome.NOT_RUN and not event.lost
                if not refused:
                    ambiguous.add(event.request_id)
                elif event.request_id in started and event.request_id not in ambiguous:
                    detail = f"{event.send_id} was refused as not run after "
                    detail += f"{started[event.request_id]} had begun it"
                    found.append(Violation(self.name, detail))
        return found

    def _refused_throughout(self, history: History) -> list[Violation]:
        outcomes: dict[str, set[Outcome]] = {}
        sends: dict[str, int] = {}
        answers: dict[str, int] = {}
        for event in history.events:
            if isinstance(event, RequestSent):
                sends[event.request_id] = sends.get(event.request_id, 0) + 1
            elif isinstance(event, AnswerReceived):
                answers[event.request_id] = answers.get(event.request_id, 0) + 1
                kind = Outcome.UNKNOWN if event.lost else event.outcome
                outcomes.setdefault(event.request_id, set()).add(kind)
        found = []
        for event in history.of_type(EngineStarted):
            refused = outcomes.get(event.request_id) == {Outcome.NOT_RUN}
            all_answered = sends.get(event.request_id) == answers.get(event.request_id)
            if refused and all_answered:
                detail = f"{event.request_id} was refused as not run but {event.runner} ran it"
                found.append(Violation(self.name, detail))
        return found


class AtMostOnceChecker:
    """A non-repeatable request is taken up by engines at most once over all its sends."""

    name = "at_most_once"

    def check(self, history: History) -> list[Violation]:
        """Count engine starts per non-repeatable request."""
        non_repeatable = {
            event.request_id
            for event in history.of_type(RequestSent)
            if event.class_ == RequestClass.NON_REPEATABLE
        }
        starts: dict[str, list[str]] = {}
        for event in history.of_type(EngineStarted):
            if event.request_id in non_repeatable:
                starts.setdefault(event.request_id, []).append(event.runner)
        return [
            Violation(self.name, f"{request_id} ran {len(runners)} times, on {runners}")
            for request_id, runners in starts.items()
            if len(runners) > 1
        ]


class AnsweredChecker:
    """Every request gets a final answer, and those after the failures complete."""

    name = "answered"

    def check(self, history: History) -> list[Violation]:
        """Find sends without any answer event."""
        answered = {event.send_id for event in history.of_type(AnswerReceived)}
        return [
            Violation(self.name, f"{event.request_id} ({event.send_id}) has no answer")
            for event in history.of_type(RequestSent)
            if event.send_id not in answered
        ]
