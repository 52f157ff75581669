"""Jobs in virtual time some items of which crash the runners that begin to run them.

Short streams run beside them, and runners crash for other reasons in some plays. All of that ends
some seconds after the jobs were handed in. Then the sound items have to be done within a bound, and
each fatal one may have run a few times only since it was known.
"""

import random
from dataclasses import dataclass

from features.support.crashing_runners import EVENTS
from features.support.fatal_request_fleet import FatalRequestFleet
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.jobs.messages import QueueLimit
from rainsail.state.job_commands import ItemHeader, RelayedItem

GATEWAYS = 3
RUNNERS = 10
SLOTS = 3
STREAMS_PER_S = 30
STREAM_PROMPT = "aa01:172,bb{n}:300,own{n}:90"
BEFORE_JOBS_S = 3.0
FAULTS_FOR_S = 15.0
"""Time from the jobs' arrival to the end of the streams and of the crashes for other reasons."""
RESTART_AFTER_S = 2.0
FIRST_CRASHES = 5
FIRST_CRASHES_AFTER_S = 1.0
CRASH_PERIOD_S = 2.0
CRASHES_FOR_S = 10.0
SOUND_WITHIN_S = 18.0
"""Time from the end of all faults until the sound items are done."""
WATCHED_FOR_S = 40.0
CRASHES_COUNTED = 3
KNOWN_AFTER_S = 3.0
LATE_RUNS_ALLOWED = 3


@dataclass(frozen=True)
class FatalItemsPlan:
    """What one play hands in, and what crashes beside it."""

    jobs: int
    items: int
    fatal: int
    """Fatal items of each job, the last ones."""
    crash_after_s: float
    has_other_crashes: bool
    events_before_crash: int = 0
    """Events by which a fatal item gets further with each run."""
    item_events: int = EVENTS
    """Length of the answer to a sound item, 0.1 s for each event."""
    preempted_runs_crash: bool = False
    """Whether a fatal run crashes its runner although it was preempted before."""


class FatalItemsPlay:
    """One play of a plan with a seed."""

    def __init__(self, seed: int, plan: FatalItemsPlan) -> None:
        self.fleet = FatalRequestFleet(seed, GATEWAYS, RUNNERS, slots=SLOTS)
        self._draw = random.Random(seed)
        self._plan = plan
        runners = self.fleet.runners
        assert runners is not None
        self._runners = runners
        runners.crash_after_s = plan.crash_after_s
        runners.restart_after_s = RESTART_AFTER_S
        runners.events_before_crash = plan.events_before_crash
        runners.item_events = plan.item_events
        runners.cancelled_runs_crash = plan.preempted_runs_crash
        runners.fatal_bodies = {
            _body(job, item) for job in range(plan.jobs) for item in self._fatal_items()
        }
        self.sound_left: dict[str, list[int]] = {}
        """By job, the sound items that were not done when the bound had passed."""
        self.late_runs: dict[bytes, int] = {}
        """Runs of each fatal item later than 3 s after its third crash."""

    def _fatal_items(self) -> range:
        return range(self._plan.items - self._plan.fatal, self._plan.items)

    def run(self) -> None:
        """Hand in the jobs, let the faults go by, and note the outcome."""
        fleet = self.fleet
        begun_s = fleet.clock.seconds() + BEFORE_JOBS_S
        self._send_streams(0, begun_s + FAULTS_FOR_S)
        fleet.run_for(BEFORE_JOBS_S)
        self._hand_in()
        if self._plan.has_other_crashes:
            fleet.clock.callLater(FIRST_CRASHES_AFTER_S, self._crash_several)
        fleet.run_for(begun_s + FAULTS_FOR_S + SOUND_WITHIN_S - fleet.clock.seconds())
        self.sound_left = self._sound_left()
        fleet.run_for(WATCHED_FOR_S - SOUND_WITHIN_S)
        self._count_late_runs()

    def _send_streams(self, number: int, until_s: float) -> None:
        fleet = self.fleet
        if fleet.clock.seconds() >= until_s:
            return
        prompt = STREAM_PROMPT.replace("{n}", str(number))
        fleet.request(fleet.any_gateway(), f"stream {number}".encode(), prompt=prompt)
        fleet.clock.callLater(1 / STREAMS_PER_S, self._send_streams, number + 1, until_s)

    def _hand_in(self) -> None:
        fleet, plan = self.fleet, self._plan
        for job in range(plan.jobs):
            items = tuple(
                RelayedItem(
                    f"job-{job}-{item}",
                    f"{JOB_PATH}/{item}",
                    (ItemHeader("prompt", f"part{job}:40,own{job}x{item}:9"),),
                    _body(job, item),
                    10,
                )
                for item in range(plan.items)
            )
            limit = QueueLimit("/jobs/", 0)
            gateway = fleet.jobs[fleet.any_gateway()]
            done = gateway.submit("", f"job-{job}", HOST, JOB_PATH, items, limit)
            assert fleet.result_of(done, "an answer to the job").is_ok()

    # --- crashes for other reasons -------------------------------------------------------

    def _crash_several(self) -> None:
        self._crash(FIRST_CRASHES)
        until_s = self.fleet.clock.seconds() + CRASHES_FOR_S
        self.fleet.clock.callLater(CRASH_PERIOD_S, self._crash_two, until_s)

    def _crash_two(self, until_s: float) -> None:
        self._crash(2)
        if self.fleet.clock.seconds() + CRASH_PERIOD_S <= until_s:
            self.fleet.clock.callLater(CRASH_PERIOD_S, self._crash_two, until_s)

    def _crash(self, count: int) -> None:
        up = [each for each in self._runners.runners if each.is_up]
        for runner in self._draw.sample(up, min(count, len(up))):
            self._runners.crash(runner, runner.incarnation, RESTART_AFTER_S)

    # --- outcome -------------------------------------------------------------------------

    def _sound_left(self) -> dict[str, list[int]]:
        state = self.fleet.nodes[self.fleet.leader("storage")].role.state
        assert len(state.jobs) == self._plan.jobs, sorted(state.jobs)
        sound = set(range(self._plan.items)).difference(self._fatal_items())
        left = {
            name: sorted(sound - {each.index for each in job.listed if each.done})
            for name, job in state.jobs.items()
        }
        return {name: items for name, items in left.items() if items}

    def _count_late_runs(self) -> None:
        runners = self._runners
        for body in sorted(runners.fatal_bodies):
            crashes = sorted(runners.fatal_crashes.get(body, ()))
            if len(crashes) < CRASHES_COUNTED:
                continue
            known_s = crashes[CRASHES_COUNTED - 1] + KNOWN_AFTER_S
            runs = [run for run in runners.fatal_runs if run.body == body]
            self.late_runs[body] = sum(run.at_s > known_s for run in runs)


def _body(job: int, item: int) -> bytes:
    return f"job {job} item {item}".encode()
