"""What clients, runners and operators saw during a soak, and which promises that breaks.

The checks read the history alone; times are seconds of one monotonic clock.
"""

from collections import Counter
from dataclasses import dataclass, field

EVENTS = 5
WHOLE_STREAM = "".join(f"id: {n}\ndata: text {n}\n\n" for n in range(1, EVENTS + 1)).encode()
WHOLE_TEXT = "\n".join(f"text {n}" for n in range(1, EVENTS + 1))
NOT_RUN_STATUSES = (408, 421, 429, 503)


def failure_body(request: str) -> bytes:
    """Return the body of a runner's own failure."""
    return f"{request} failed at its runner".encode()


@dataclass(frozen=True)
class Answer:
    """A client's request and what came back; status 0 stands for no whole answer."""

    request: str
    kind: str
    status: int
    sent: bytes
    body: bytes
    signed: bool


@dataclass(frozen=True)
class Call:
    """A call that was sent to a node, and whether the head of an answer came."""

    request: str
    node: str
    is_answered: bool
    is_first: bool
    """It was the first one on its connection."""
    sent_s: float
    ended_s: float


@dataclass(frozen=True)
class PlannedStop:
    """A node that was asked to end, and when its process was gone."""

    node: str
    begun_s: float
    ended_s: float
    exit_code: int


@dataclass(frozen=True)
class Kill:
    """A node whose process was killed."""

    node: str
    at_s: float


@dataclass(frozen=True)
class Read:
    """A read of the configuration: when it was begun, and the version it gave."""

    begun_s: float
    version: int


@dataclass(frozen=True)
class Page:
    """A page of a job's results, from the first position on; status as it came."""

    job: str
    status: int
    total: int = 0
    results: tuple[tuple[str, str, str], ...] = ()
    """Item, state and text by position."""


@dataclass
class History:
    """Everything that was seen, in the order in which it was noted."""

    answers: list[Answer] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    """When a version's acknowledgement came, and the version."""
    reads: list[Read] = field(default_factory=list)
    accepted: dict[str, int] = field(default_factory=dict)
    """Jobs that were accepted, with their number of items."""
    pages: list[Page] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    """The request of each run at a runner."""
    broken_off: set[str] = field(default_factory=set)
    """The requests whose streams some runner broke off."""
    calls: list[Call] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)


def violations(history: History) -> list[str]:
    """Return every broken promise in words, none when all were kept."""
    return [
        *_answer_violations(history),
        *_run_violations(history),
        *_configuration_violations(history),
        *_page_violations(history),
        *_stop_violations(history),
    ]


def _answer_violations(history: History) -> list[str]:
    found = []
    for answer in history.answers:
        if answer.status >= 400 and answer.body not in (b"", failure_body(answer.request)):
            found.append(f"not whole: {answer.request} failed with {answer.body!r}")
        if answer.status != 200:
            continue
        if not answer.signed:
            found.append(f"unsigned: {answer.request} succeeded without a runner's signature")
        wanted = WHOLE_STREAM if answer.kind == "stream" else b"echo " + answer.sent
        if answer.body != wanted:
            found.append(f"not whole: {answer.request} ended as complete with {answer.body!r}")
    return found


def _run_violations(history: History) -> list[str]:
    found = []
    runs = Counter(history.runs)
    for answer in history.answers:
        if answer.kind == "once" and runs[answer.request] > 1:
            found.append(f"ran twice: {answer.request}")
        if answer.status in NOT_RUN_STATUSES and runs[answer.request]:
            found.append(f"refused and run: {answer.request} was answered {answer.status}")
    return found


def _configuration_violations(history: History) -> list[str]:
    found = []
    for read in history.reads:
        before = [version for at_s, version in history.acknowledged if at_s < read.begun_s]
        newest = max(before, default=0)
        if read.version < newest:
            found.append(f"old configuration: {read.version} was read after {newest}")
    return found


def _page_violations(history: History) -> list[str]:
    found = []
    positions: dict[tuple[str, int], tuple[str, str, str]] = {}
    for page in history.pages:
        if page.status == 404:
            found.append(f"lost job: {page.job} is answered 404")
        if page.status == 200 and page.total != history.accepted[page.job]:
            found.append(f"wrong total: {page.job} has {page.total}")
        items = [item for item, _, _ in page.results]
        if len(set(items)) < len(items):
            found.append(f"listed twice: {page.job} has {items}")
        for position, result in enumerate(page.results):
            known = positions.setdefault((page.job, position), result)
            if known != result:
                found.append(f"changed result: {page.job} at {position}: {known}, then {result}")
            if result[1] == "done" and result[2] != WHOLE_TEXT:
                found.append(f"not whole: {result[0]} is done with {result[2]!r}")
    return found


def _stop_violations(history: History) -> list[str]:
    """A planned stop leaves no sent request without an answer, and ends with code 0.

    A stream that its runner broke off may be reset before its head has left the gateway.
    """
    found = [
        f"failed stop: {stop.node} ended with {stop.exit_code}"
        for stop in history.stops
        if stop.exit_code
    ]
    for call in history.calls:
        if call.request in history.broken_off:
            continue
        stop = None if call.is_answered else _stop_meanwhile(history, call)
        if stop is not None:
            after_s, took_s = call.sent_s - stop.begun_s, call.ended_s - call.sent_s
            which = "the first" if call.is_first else "a later one"
            found.append(
                f"cut by a planned stop: {call.request}, {which} of its connection, was sent to "
                f"{call.node} {after_s:.3f} s after SIGTERM and cut {took_s:.3f} s later"
            )
    return found


def _stop_meanwhile(history: History, call: Call) -> PlannedStop | None:
    """Return the planned stop during which a call was under way; none if its node was killed."""
    if any(k.node == call.node and call.sent_s <= k.at_s <= call.ended_s for k in history.kills):
        return None
    for stop in history.stops:
        overlaps = stop.begun_s <= call.ended_s and call.sent_s <= stop.ended_s
        if stop.node == call.node and overlaps:
            return stop
    return None


def unfinished(history: History) -> list[str]:
    """Return the jobs whose newest page lacks some item as done."""
    newest = {page.job: page for page in history.pages if page.status == 200}
    return [
        job
        for job, count in history.accepted.items()
        if job not in newest or sum(state == "done" for _, state, _ in newest[job].results) < count
    ]
