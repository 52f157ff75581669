"""Drawn courses: what is handed in, what is fatal, and what crashes besides. Pure.

Some courses are left out, since nothing could tell a sound suspect in them from a fatal one: the
runner of each of its trials crashes for another reason, or by one of two fatal items of the part on
trial. So a crash for another reason spares the runners of an entry's trials once it has struck one
of them, and those of a part with two fatal items (``quarantine_courses``).
"""

import random
from dataclasses import dataclass

STREAM_S = 0.7
"""How long a client's request occupies a slot."""
FAULTS_FOR_S = 15.0
"""All crashes for other reasons, fatal requests of clients and streams end by then."""


@dataclass(frozen=True)
class JobPlan:
    """Items that share one prompt part."""

    at_s: float
    items: int
    fatal: tuple[int, ...]
    """The items that crash their runners, by number."""
    is_part_fatal: bool
    run_s: float


@dataclass(frozen=True)
class LeaderFault:
    """The leading controller is lost, or another one takes over."""

    at_s: float
    is_lost: bool


@dataclass(frozen=True)
class CoursePlan:
    """One course."""

    runners: int
    slots: int
    restart_after_s: float
    crash_after_s: float
    """Time from the beginning of a fatal run to the crash."""
    left_out_after_s: float
    """Time after a crash until the sender places nothing at that runner any more."""
    streams_per_s: float
    jobs: tuple[JobPlan, ...]
    fatal_bodies: tuple[float, ...]
    """The periods at which clients send a fatal body each."""
    crashes: tuple[tuple[float, int], ...]
    """Crashes for other reasons: when, and how many runners."""
    leader_faults: tuple[LeaderFault, ...]
    preemptions: tuple[float, ...]


def draw_plan(draw: random.Random) -> CoursePlan:
    """Draw a course whose streams leave at least half of the slots to the items."""
    runners, slots = draw.randint(8, 12), draw.choice((2, 3, 4))
    return CoursePlan(
        runners=runners,
        slots=slots,
        restart_after_s=draw.choice((0.8, 1.5, 2.0)),
        crash_after_s=draw.choice((0.05, 0.1, 0.3)),
        left_out_after_s=draw.choice((0.05, 0.05, 1.0)),
        streams_per_s=draw.choice((0.0, 0.2, 0.5)) * runners * slots / STREAM_S,
        jobs=tuple(_draw_job(draw) for _ in range(draw.randint(1, 4))),
        fatal_bodies=tuple(draw.uniform(0.3, 2.0) for _ in range(draw.choice((0, 0, 1)))),
        crashes=_draw_crashes(draw),
        leader_faults=_draw_leader_faults(draw),
        preemptions=tuple(draw.uniform(0.0, FAULTS_FOR_S) for _ in range(draw.choice((0, 10, 60)))),
    )


def _draw_job(draw: random.Random) -> JobPlan:
    items = draw.randint(2, 8)
    fatal = draw.choice((0, 0, 1, 2))
    numbers = tuple(sorted(draw.sample(range(items), min(fatal, items - 1))))
    at_s = draw.choice((0.0, draw.uniform(0.0, 8.0)))
    return JobPlan(at_s, items, numbers, draw.random() < 0.1, draw.choice((0.3, 1.0, 3.0)))


def _draw_crashes(draw: random.Random) -> tuple[tuple[float, int], ...]:
    if draw.random() < 0.3:
        return ()
    first_s = draw.uniform(0.5, 2.0)
    crashes = [(first_s, draw.randint(2, 5))]
    period_s = draw.uniform(0.5, 2.5)
    for number in range(1, draw.randint(1, 6)):
        at_s = first_s + number * period_s
        if at_s < FAULTS_FOR_S:
            crashes.append((at_s, draw.randint(1, 2)))
    return tuple(crashes)


def _draw_leader_faults(draw: random.Random) -> tuple[LeaderFault, ...]:
    count = draw.choice((0, 0, 1, 2))
    return tuple(
        LeaderFault(draw.uniform(1.0, FAULTS_FOR_S), draw.random() < 0.5) for _ in range(count)
    )
