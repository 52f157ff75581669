"""Histories for the checkers' scenarios: one clean, and one event list per breach."""

from rainsail.errors import Outcome
from rainsail.experiment.history import (
    AnswerReceived,
    ChangeAnswered,
    ChangeSent,
    DrainDeclared,
    EngineFinished,
    EngineStarted,
    Event,
    GatewayAdmitted,
    GatewayApplied,
    History,
    InForceReported,
    JobAccepted,
    JobCancelAccepted,
    JobRead,
    OnlineQueued,
    PlannedStop,
    RequestSent,
    ResourceRead,
    ResultRead,
    RunEnded,
)
from rainsail.resources.specs import RequestClass

ONLINE = RequestClass.ONLINE
NON_REPEATABLE = RequestClass.NON_REPEATABLE


def sent(request_id: str, class_: RequestClass = ONLINE, gateway: str = "g1") -> RequestSent:
    """A caller's send; the right answer is ``answer of <request_id>``."""
    text = f"answer of {request_id}"
    return RequestSent(1.0, request_id, f"{request_id}#1", gateway, "t", class_, text)


def answered(request_id: str, outcome: Outcome, text: str, lost: bool = False) -> AnswerReceived:
    """The caller's final answer."""
    return AnswerReceived(2.0, request_id, f"{request_id}#1", outcome, text, 1.5, "", lost)


def started(request_id: str, runner: str = "r1", time_s: float = 1.5) -> EngineStarted:
    """An engine takes an attempt up."""
    return EngineStarted(time_s, runner, request_id, f"{request_id}/a", request_id.startswith("j"))


def clean_events() -> list[Event]:
    """A history in which every invariant holds."""
    return [
        sent("q1"),
        started("q1"),
        EngineFinished(1.9, "r1", "q1", "q1/a"),
        answered("q1", Outcome.COMPLETED, "answer of q1"),
        JobAccepted(3.0, "key", "j1", "digest", 1),
        started("j1/0"),
        ResultRead(4.0, "j1", 0, "completed", "right", "right"),
        ChangeSent(5.0, "o1", "c1", "tenant", 4, "a"),
        ChangeAnswered(5.1, "o1", "c1", "tenant", True, 5, ""),
        GatewayApplied(5.2, "g1", "i1", 5),
        InForceReported(6.0, 5),
        GatewayAdmitted(6.1, "g1", "i1", 5),
        ResourceRead(6.3, 6.2, "o1", "tenant", 5, "a"),
    ]


def breaches() -> dict[str, list[Event]]:
    """The events that turn the clean history into one with a breach."""
    return {
        "an item without a result": [JobAccepted(7.0, "key2", "j2", "digest", 2)],
        "a result that changed": [ResultRead(7.0, "j1", 0, "set_aside", "", "right")],
        "a result with the wrong text": [
            JobAccepted(7.0, "key2", "j2", "digest", 1),
            ResultRead(8.0, "j2", 0, "completed", "wrong", "right"),
        ],
        "one key accepted as two jobs": [
            JobAccepted(7.0, "key", "j2", "digest", 1),
            ResultRead(8.0, "j2", 0, "completed", "right", "right"),
        ],
        "work on a cancelled job": [JobCancelAccepted(7.0, "j1"), started("j1/0", "r1", 30.0)],
        "a result after the cancel": [
            JobCancelAccepted(7.0, "j9"),
            JobRead(8.0, "j9", "cancelled", 3, 0),
            JobRead(9.0, "j9", "cancelled", 4, 0),
        ],
        "an online request behind batch": [OnlineQueued(7.0, "r1", "q1", 3.0)],
        "an answer of another request": [
            sent("q2"),
            answered("q2", Outcome.COMPLETED, "answer of q1"),
        ],
        "parts of another answer, then a fault": [
            sent("q2"),
            answered("q2", Outcome.UNKNOWN, "other"),
        ],
        "a refusal of a request that ran": [
            sent("q2"),
            started("q2"),
            answered("q2", Outcome.NOT_RUN, ""),
        ],
        "a non-repeatable request run twice": [
            sent("q2", NON_REPEATABLE),
            started("q2", "r1"),
            started("q2", "r2"),
            answered("q2", Outcome.COMPLETED, "answer of q2"),
        ],
        "a request without an answer": [sent("q2")],
        "work at a drained runner": [DrainDeclared(7.0, "r1", True), started("q1", "r1", 30.0)],
        "a request cut by a planned stop": [
            sent("q2"),
            PlannedStop(1.5, "g1", False),
            answered("q2", Outcome.UNKNOWN, "", lost=True),
        ],
        "two winners of one revision": [
            ChangeSent(7.0, "o2", "c2", "tenant", 4, "b"),
            ChangeAnswered(7.1, "o2", "c2", "tenant", True, 6, ""),
            InForceReported(7.2, 6),
        ],
        "a change answered in two ways": [
            ChangeAnswered(7.1, "o1", "c1", "tenant", False, 6, "conflict")
        ],
        "a read behind an accepted change": [ResourceRead(8.0, 7.0, "o1", "tenant", 3, "z")],
        "a gateway that went back": [GatewayApplied(7.0, "g1", "i1", 4)],
        "work under a revision that was replaced": [GatewayAdmitted(7.0, "g2", "i2", 4)],
        "a change that never came into force": [
            ChangeSent(7.0, "o2", "c2", "tenant", 5, "b"),
            ChangeAnswered(7.1, "o2", "c2", "tenant", True, 6, ""),
            InForceReported(60.0, 5),
        ],
    }


def build(breach: str = "") -> History:
    """Return the clean history, with one breach when named, closed as complete."""
    history = History()
    for event in clean_events() + (breaches()[breach] if breach else []):
        history.record(event)
    history.record(RunEnded(100.0, True))
    return history
