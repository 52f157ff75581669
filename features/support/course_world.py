"""Requests, runs and runners of a drawn course, and fingerprints that show their names."""

from dataclasses import dataclass, field

from features.support.course_plans import JobPlan

from rainsail.quarantine.fingerprint import DIGEST_BYTES, Fingerprint
from rainsail.quarantine.messages import CrashedRun

SURVIVAL_SHOWN_AFTER_S = 1.0
"""A run that has written for this long has cleared the prompt's parts."""


@dataclass(eq=False)
class CourseRequest:
    """An item of a job, or a client's request."""

    name: str
    fingerprints: tuple[Fingerprint, ...]
    left_s: float
    """How long it still has to write until it is done."""
    is_item: bool
    cause: Fingerprint | None = None
    """The fingerprint by which it crashes its runners."""
    ends: int = 0
    permit: int = 0
    """The number of its permit, 0 without one."""
    permit_of: tuple[Fingerprint, ...] = ()
    permit_until_s: float = -1.0
    asked: int = 0
    """How many rounds it has asked for a permit."""
    is_running: bool = False
    was_preempted: bool = False
    is_done: bool = False


@dataclass(eq=False)
class CourseRun:
    """One run of a request at a runner."""

    request: CourseRequest
    sent_s: float
    trial_of: tuple[Fingerprint, ...]
    first_event_s: float | None = None

    def wrote_s(self, now: float) -> float:
        """Return for how long it has written."""
        return 0.0 if self.first_event_s is None else now - self.first_event_s


@dataclass(eq=False)
class CourseRunner:
    """A runner, and what the sender knows of it."""

    name: str
    zone: str
    incarnation: int = 1
    started_s: float = float("-inf")
    crashed_s: float = float("-inf")
    is_up: bool = True
    is_known_down: bool = False
    runs: list[CourseRun] = field(default_factory=list)

    @property
    def runner(self) -> str:
        """The runner id of this incarnation."""
        return f"{self.name}-{self.incarnation}"


def request_fingerprint(name: str) -> Fingerprint:
    """Return a fingerprint that shows a request's name in traces."""
    return name.encode().ljust(DIGEST_BYTES, b" ")


def part_fingerprint(name: str) -> Fingerprint:
    """Return the fingerprint of a prompt part."""
    return b"\x01" + request_fingerprint(name)


def names_of(fingerprints: tuple[Fingerprint, ...]) -> str:
    """Return the names behind fingerprints."""
    return "+".join(each.lstrip(b"\x01").decode().strip() for each in fingerprints)


def items_of(number: int, job: JobPlan) -> list[CourseRequest]:
    """Return the items of a job; the names of fatal ones end with an exclamation mark."""
    part = part_fingerprint(f"part {number}")
    items = []
    for item in range(job.items):
        name = f"item {number}.{item}" + ("!" if item in job.fatal else "")
        own = request_fingerprint(name)
        cause = part if job.is_part_fatal else own if item in job.fatal else None
        items.append(CourseRequest(name, (own, part), job.run_s, True, cause))
    return items


def crashed_runs(runs: list[CourseRun], at_s: float) -> tuple[CrashedRun, ...]:
    """Return what a node reports on the runs that a crash has ended, the youngest of each."""
    ages: dict[Fingerprint, CrashedRun] = {}
    for run in runs:
        wrote_s = run.wrote_s(at_s)
        suspects = run.request.fingerprints[: 1 if wrote_s >= SURVIVAL_SHOWN_AFTER_S else None]
        for each in suspects:
            known = ages.get(each)
            aged = CrashedRun(each, at_s - run.sent_s, wrote_s)
            if known is None or aged.ran_s < known.ran_s:
                ages[each] = aged
    return tuple(ages.values())
