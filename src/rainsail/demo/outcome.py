"""What the demonstration came to, counted from the recorded history alone.

The history holds what callers, clients and the operator saw, and what the emulated engines (the
platform, not rainsail) were given to run. No counter of rainsail's own processes is read.
"""

import json
import math
from collections import Counter
from dataclasses import asdict, dataclass

from rainsail.errors import Outcome
from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import (
    AnswerReceived,
    DrainDeclared,
    EngineStarted,
    History,
    JobAccepted,
    JobRead,
    RequestSent,
    ResultRead,
)
from rainsail.experiment.measures import percentile
from rainsail.state.commands import ItemPhase

LATE_SEND_AFTER_S = 2.0
"""A drained engine may get work for this long after its drain was answered as accepted."""
MOST_BROKEN_NAMED = 20
_P99 = 0.99
_DECIMALS = 4


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """A request that was neither answered whole nor refused, and what its caller was told."""

    request_id: str
    told: str


@dataclass(frozen=True, slots=True)
class DemoOutcome:
    """The counts of a run; ``to_json`` is the command's last line.

    ``accepted_items`` are those of every job noted as accepted, ``earlier_items`` the part of
    them noted by earlier starts. ``online_p99_s`` runs from a request's first send to the first
    part of its answer, ``answer_p99_s`` to its end; NaN of nothing becomes None.
    """

    site: str
    run: int
    accepted_items: int
    earlier_items: int
    completed_items: int
    lost: int
    duplicated: int
    online_requests: int
    refused_requests: int
    broken_answers: int
    online_p99_s: float | None
    answer_p99_s: float | None
    drained_engine_late_sends: int
    replica_stopped: str
    violations: tuple[Violation, ...]
    broken: tuple[BrokenAnswer, ...]

    @property
    def clean(self) -> bool:
        """Whether nothing that must hold was broken."""
        counts = self.lost, self.duplicated, self.broken_answers, self.drained_engine_late_sends
        return not self.violations and not any(counts)

    def to_json(self) -> str:
        """Return the outcome as one JSON object on one line."""
        return json.dumps(asdict(self))


def judge(
    history: History, site: str, run: int, earlier_jobs: frozenset[str], replica_stopped: str
) -> DemoOutcome:
    """Count and check a whole run's history; ``earlier_jobs`` are job ids of earlier starts."""
    accepted = {event.job_id: event.item_count for event in history.of_type(JobAccepted)}
    completed = completed_items(history)
    requests = _requests(history)
    accepted_items = sum(accepted.values())
    return DemoOutcome(
        site=site,
        run=run,
        accepted_items=accepted_items,
        earlier_items=sum(count for job, count in accepted.items() if job in earlier_jobs),
        completed_items=completed,
        lost=accepted_items - completed,
        duplicated=duplicated_items(history),
        online_requests=len(requests),
        refused_requests=sum(1 for each in requests if each.refused),
        broken_answers=sum(1 for each in requests if each.broken),
        online_p99_s=_p99([each.first_part_s for each in requests if each.whole]),
        answer_p99_s=_p99([each.answer_s for each in requests if each.whole]),
        drained_engine_late_sends=late_sends(history),
        replica_stopped=replica_stopped,
        violations=tuple(check_history(history)),
        broken=tuple(BrokenAnswer(each.request_id, each.told) for each in requests if each.broken)[
            :MOST_BROKEN_NAMED
        ],
    )


def completed_items(history: History) -> int:
    """Count items whose right result was there when their job was last read."""
    last_pass: dict[str, set[int]] = {}
    for event in history.events:
        if isinstance(event, JobRead):
            last_pass[event.job_id] = set()
        elif isinstance(event, ResultRead):
            right = event.phase == ItemPhase.COMPLETED and event.text == event.expected_text
            if right:
                last_pass.setdefault(event.job_id, set()).add(event.index)
    return sum(len(indexes) for indexes in last_pass.values())


def duplicated_items(history: History) -> int:
    """Count results beyond one for an item within one reading, and items beyond a job's own."""
    counts: dict[str, Counter[int]] = {}
    sizes = {event.job_id: event.item_count for event in history.of_type(JobAccepted)}
    surplus = 0
    for event in history.events:
        if isinstance(event, JobRead):
            surplus += _surplus(counts.pop(event.job_id, Counter()))
            finished = event.completed + event.set_aside
            surplus += max(0, finished - sizes.get(event.job_id, finished))
        elif isinstance(event, ResultRead):
            counts.setdefault(event.job_id, Counter())[event.index] += 1
    return surplus + sum(_surplus(each) for each in counts.values())


def _surplus(count: Counter[int]) -> int:
    return sum(times - 1 for times in count.values())


def late_sends(history: History) -> int:
    """Count work that a drained engine was given later than LATE_SEND_AFTER_S."""
    drained: dict[str, float] = {}
    late = 0
    for event in history.events:
        if isinstance(event, DrainDeclared):
            drained.setdefault(event.runner, event.time_s)
        elif isinstance(event, EngineStarted) and event.runner in drained:
            late += event.time_s - drained[event.runner] > LATE_SEND_AFTER_S
    return late


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended over all its sends; times run from its first send."""

    request_id: str
    told: str
    whole: bool
    refused: bool
    first_part_s: float
    answer_s: float

    @property
    def broken(self) -> bool:
        """Neither answered whole nor refused as not run."""
        return not self.whole and not self.refused


def _requests(history: History) -> list[RequestEnd]:
    first_sent: dict[str, RequestSent] = {}
    last_answer: dict[str, AnswerReceived] = {}
    for event in history.events:
        if isinstance(event, RequestSent):
            first_sent.setdefault(event.request_id, event)
            last_answer.pop(event.request_id, None)
        elif isinstance(event, AnswerReceived):
            last_answer[event.request_id] = event
    return [_end(sent, last_answer.get(name)) for name, sent in first_sent.items()]


def _end(sent: RequestSent, answer: AnswerReceived | None) -> RequestEnd:
    if answer is None:
        return RequestEnd(sent.request_id, "nothing", False, False, math.nan, math.nan)
    whole = answer.outcome == Outcome.COMPLETED and answer.text == sent.expected_text
    refused = answer.outcome == Outcome.NOT_RUN and not answer.lost and not answer.text
    first_part_s = answer.first_part_s - sent.time_s
    told = answer.fault or f"another text of {len(answer.text)} characters"
    answer_s = answer.time_s - sent.time_s
    return RequestEnd(sent.request_id, told, whole, refused, first_part_s, answer_s)


def _p99(values_s: list[float]) -> float | None:
    return round(percentile(values_s, _P99), _DECIMALS) if values_s else None
