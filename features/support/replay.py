"""Small traces, outcomes and hand-made histories for the replay's scenarios."""

import tempfile
from pathlib import Path
from typing import Any

from rainsail.errors import Outcome
from rainsail.experiment.history import (
    AnswerReceived,
    EngineStarted,
    Event,
    History,
    JobAccepted,
    JobRead,
    RequestSent,
    ResultRead,
    history_in_order,
)
from rainsail.experiment.replay.judge import Judgement, judge
from rainsail.experiment.replay.observations import observe
from rainsail.experiment.replay.outcomes import OutcomesFile, read_outcomes
from rainsail.experiment.trace.records import (
    PromptShape,
    Trace,
    TracedItem,
    TracedJob,
    TracedRequest,
    TraceOrigin,
    TraceSource,
)
from rainsail.resources.specs import RequestClass

ONLINE = RequestClass.ONLINE
NON_REPEATABLE = RequestClass.NON_REPEATABLE
SHAPE = PromptShape("greeting", 40, 60)


def request(number: int, class_: RequestClass = ONLINE, session: str = "s") -> TracedRequest:
    """Return request ``number``, arriving at that second."""
    return TracedRequest(
        float(number),
        f"q{number}",
        "gye-a",
        "exporter",
        "reports",
        class_,
        SHAPE,
        8,
        number,
        5.0,
        session,
    )


def job(key: str = "j", items: int = 2) -> TracedJob:
    """Return a job that arrives at second 1."""
    bodies = tuple(TracedItem(f"i{index}", SHAPE, 4) for index in range(items))
    return TracedJob(1.0, key, "gye-a", "exporter", "reports", 60.0, bodies, items)


def trace() -> Trace:
    """Return three online requests of one session, one that may not be repeated, and a job."""
    requests = (request(1), request(2), request(3), request(4, NON_REPEATABLE, ""))
    return Trace(TraceOrigin("guayaquil", TraceSource.GENERATED, 1, 10.0), requests, (job(),))


def answered(number: int, seconds: float, **other: Any) -> list[Event]:
    """Return the events of a request that was answered whole after some seconds."""
    name, sent_s, right = f"q{number}", float(number), f"answer {number}"
    values: dict[str, Any] = {
        "outcome": Outcome.COMPLETED,
        "text": right,
        "lost": False,
        "starts": 1,
        **other,
    }
    class_ = NON_REPEATABLE if number == 4 else ONLINE
    events: list[Event] = [RequestSent(sent_s, name, f"{name}#1", "g", "exporter", class_, right)]
    for start in range(values["starts"]):
        events.append(EngineStarted(sent_s, f"r{start}", name, f"{name}/{start}", False))
    events.append(
        AnswerReceived(
            sent_s + seconds,
            name,
            f"{name}#1",
            values["outcome"],
            values["text"],
            sent_s + seconds / 2,
            "",
            values["lost"],
        )
    )
    return events


def job_done(seconds: float, text: str = "right", ids: tuple[str, ...] = ("job-1",)) -> list[Event]:
    """Return the events of the job, complete so many seconds after its submission."""
    events: list[Event] = [JobAccepted(1.5, "j", job_id, "d", 2) for job_id in ids]
    events.append(JobRead(1.0 + seconds, ids[0], "completed", 2, 0))
    for index in range(2):
        events.append(ResultRead(1.0 + seconds, ids[0], index, "completed", text, "right"))
    return events


def faultless() -> dict[str, list[Event]]:
    """Return the events of a replay in which everything went well, by request and job."""
    found = {f"q{number}": answered(number, 1.0) for number in (1, 2, 3, 4)}
    return {**found, "j": job_done(20.0)}


def flaws() -> dict[str, dict[str, list[Event]]]:
    """Return what replaces part of the faultless events in each flawed replay."""
    never = {"outcome": Outcome.UNKNOWN, "text": "", "lost": True}
    return {
        "nothing": {},
        "q2 lost": {"q2": answered(2, 1.0, **never)},
        "q2 refused": {"q2": answered(2, 1.0, outcome=Outcome.NOT_RUN, text="", starts=0)},
        "q2 with another's text": {"q2": answered(2, 1.0, text="answer 1")},
        "q2 cut and then unknown": {"q2": answered(2, 1.0, outcome=Outcome.UNKNOWN, text="answ")},
        "q2 slow": {"q2": answered(2, 6.0)},
        "q4 run twice": {"q4": answered(4, 1.0, starts=2)},
        "j as two jobs": {"j": job_done(20.0, ids=("job-1", "job-2"))},
        "j with a wrong result": {"j": job_done(20.0, "wrong")},
        "j late": {"j": job_done(80.0)},
        "j never accepted": {"j": []},
    }


def history_with(flaw: str) -> History:
    """Return a replay's history with one flaw."""
    parts = {**faultless(), **flaws()[flaw]}
    return history_in_order(event for part in parts.values() for event in part)


def outcomes_from(text: str) -> OutcomesFile:
    """Return the outcomes stated by a TOML text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "outcomes.toml"
        path.write_text(text)
        return read_outcomes(path).ok


def judged(stated: str, flaw: str, engines_seen: bool = True) -> Judgement:
    """Judge one outcome, stated in one line of keys, over a flawed replay."""
    text = "[[outcomes]]\nname = 'stated'\n" + stated.replace("; ", "\n")
    observed = observe(trace(), history_with(flaw), 0.0, 1.0, engines_seen)
    return judge(outcomes_from(text).outcomes[0], observed)


def folder_of(context: Any) -> Path:
    """Return the scenario's folder for files."""
    if "replay_folder" not in context:
        holder = tempfile.TemporaryDirectory()
        context.add_cleanup(holder.cleanup)
        context.replay_folder = Path(holder.name)
    return context.replay_folder
