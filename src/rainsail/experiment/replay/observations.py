"""What a replay's history says about each request and job of the trace."""

import math
from dataclasses import dataclass, field

from rainsail.errors import Outcome
from rainsail.experiment.history import (
    AnswerReceived,
    EngineStarted,
    History,
    JobAccepted,
    JobCancelAccepted,
    JobRead,
    RequestSent,
    ResultRead,
)
from rainsail.experiment.trace.records import Trace, TracedJob, TracedRequest
from rainsail.state.commands import ItemPhase, JobPhase

NEVER_S = math.inf


@dataclass(slots=True)
class RequestObservation:
    """One request over all its sends; times are seconds from the first send."""

    request: TracedRequest
    sent_s: float = NEVER_S
    first_part_s: float = NEVER_S
    ended_s: float = NEVER_S
    outcome: Outcome = Outcome.NOT_RUN
    sends: int = 0
    engine_starts: int = 0
    broken_answers: list[str] = field(default_factory=list)

    @property
    def completed(self) -> bool:
        """Whether the caller has a whole answer."""
        return self.outcome == Outcome.COMPLETED


@dataclass(slots=True)
class JobObservation:
    """One job; times are seconds from its submission, as its client saw them."""

    job: TracedJob
    submitted_s: float
    job_ids: list[str] = field(default_factory=list)
    cancelled: bool = False
    completed_s: float = NEVER_S
    results: dict[int, ResultRead] = field(default_factory=dict)
    broken_results: list[str] = field(default_factory=list)

    @property
    def completed(self) -> bool:
        """Whether the job and every result were read as complete (none set aside)."""
        done = sum(1 for result in self.results.values() if result.phase == ItemPhase.COMPLETED)
        return self.completed_s < NEVER_S and done == self.job.item_count

    @property
    def outcome(self) -> Outcome:
        """What became of the job; one that was never accepted was not run."""
        if self.completed:
            return Outcome.COMPLETED
        return Outcome.UNKNOWN if self.job_ids else Outcome.NOT_RUN


@dataclass(frozen=True, slots=True)
class Observations:
    """Everything observed; ``engines_seen`` tells whether engine starts were recorded."""

    requests: dict[str, RequestObservation]
    jobs: dict[str, JobObservation]
    engines_seen: bool


def observe(
    trace: Trace, history: History, first_arrival_s: float, speed: float, engines_seen: bool
) -> Observations:
    """Sort a history by the trace's ids.

    The trace began ``first_arrival_s`` into the history and ran ``speed`` times as fast.
    """
    requests = {each.request_id: RequestObservation(each) for each in trace.requests}
    jobs = {
        each.job_key: JobObservation(each, first_arrival_s + each.at_s / speed)
        for each in trace.jobs
    }
    _observe_requests(requests, history)
    _observe_jobs(jobs, history)
    return Observations(requests, jobs, engines_seen)


def _observe_requests(requests: dict[str, RequestObservation], history: History) -> None:
    expected = {event.send_id: event.expected_text for event in history.of_type(RequestSent)}
    for event in history.events:
        if not isinstance(event, RequestSent | AnswerReceived | EngineStarted):
            continue
        found = requests.get(event.request_id)
        if found is None:
            continue
        if isinstance(event, RequestSent):
            found.sends += 1
            found.sent_s = min(found.sent_s, event.time_s)
        elif isinstance(event, EngineStarted):
            found.engine_starts += 1
        else:
            _take_answer(found, event, expected[event.send_id])


def _take_answer(found: RequestObservation, event: AnswerReceived, expected: str) -> None:
    if not found.completed:
        found.outcome = Outcome.UNKNOWN if event.lost else event.outcome
    if found.ended_s == NEVER_S and found.completed:
        found.ended_s = event.time_s - found.sent_s
    if found.first_part_s == NEVER_S and event.first_part_s >= 0:
        found.first_part_s = event.first_part_s - found.sent_s
    whole = event.outcome == Outcome.COMPLETED and not event.lost
    if (whole and event.text != expected) or not expected.startswith(event.text):
        found.broken_answers.append(event.send_id)


def _observe_jobs(jobs: dict[str, JobObservation], history: History) -> None:
    by_id: dict[str, JobObservation] = {}
    for event in history.events:
        if isinstance(event, JobAccepted):
            found = jobs.get(event.job_key)
            if found is not None and event.job_id not in found.job_ids:
                found.job_ids.append(event.job_id)
                by_id[event.job_id] = found
        elif isinstance(event, JobCancelAccepted | JobRead | ResultRead):
            found = by_id.get(event.job_id)
            if found is not None:
                _take_job_event(found, event)


def _take_job_event(found: JobObservation, event: JobCancelAccepted | JobRead | ResultRead) -> None:
    if isinstance(event, JobCancelAccepted):
        found.cancelled = True
    elif isinstance(event, JobRead):
        if event.phase == JobPhase.COMPLETED and found.completed_s == NEVER_S:
            found.completed_s = event.time_s - found.submitted_s
    else:
        first = found.results.setdefault(event.index, event)
        changed = (first.phase, first.text) != (event.phase, event.text)
        wrong = event.phase == ItemPhase.COMPLETED and event.text != event.expected_text
        if changed or wrong:
            found.broken_results.append(f"{found.job.job_key}[{event.index}]")
