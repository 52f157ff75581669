"""Plays drawn courses against the product's quarantine in virtual time, without a network.

Runners have slots and crash; one sender applies the list of held requests and asks for permits of
trials as the product's nodes do. Both bounds are judged: a fatal suspect has a few late runs only,
and sound items are done some time after the last fault.
"""

import random
from collections import Counter

from features.support.course_controllers import CourseControllers
from features.support.course_plans import FAULTS_FOR_S, STREAM_S, CoursePlan, draw_plan
from features.support.course_sender import CoursePermits, CoursePlacement
from features.support.course_world import (
    SURVIVAL_SHOWN_AFTER_S,
    CourseRequest,
    CourseRun,
    CourseRunner,
    crashed_runs,
    items_of,
    names_of,
    part_fingerprint,
    request_fingerprint,
)

from rainsail.quarantine.fingerprint import Fingerprint, is_of_part
from rainsail.quarantine.messages import (
    RequestAnswered,
    RunnerCrashed,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import HoldRequest, ReleaseRequest

ROUND_S = 0.1
"""Period at which the sender looks for requests that may be sent."""
BEGIN_AFTER_S = 0.02
FIRST_EVENT_AFTER_S = 0.1
BEGINS_S = 5.0
"""Controllers that have started just before count evidence in another way."""
SEEN_AFTER_S = 0.05
"""Time until the sender knows that a connection has ended by a crash."""
STREAM_ATTEMPTS = 2
SOUND_WITHIN_S = 18.0
WATCHED_FOR_S = 45.0
KNOWN_AFTER_S = 3.0
CRASHES_COUNTED = 3
CRASHES_COUNTED_OF_PART = 5
LATE_RUNS_ALLOWED = 3
COMMON_PART = "streams"


class QuarantineCourse:
    """One course; ``violations`` lists broken bounds, ``counts`` what was checked."""

    def __init__(self, seed: int, plan: CoursePlan | None = None) -> None:
        self._draw = random.Random(seed)
        self.plan = plan or draw_plan(self._draw)
        self.clock = VirtualClock()
        self.controllers = CourseControllers(self.clock, self._note_command)
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.trace: list[str] = []
        self._runners = [
            CourseRunner(f"r{number}", f"zone-{number % 3}") for number in range(self.plan.runners)
        ]
        self._items: list[CourseRequest] = []
        self._waiting: list[CourseRequest] = []
        self._permits = CoursePermits(self.controllers, self._say)
        self._placement = CoursePlacement(
            self._draw, self._runners, self.plan.slots, self.controllers
        )
        self._crashes: dict[Fingerprint, list[float]] = {}
        """The times of the crashes that each fatal suspect has caused."""
        self._runs: dict[Fingerprint, list[tuple[float, bool]]] = {}
        """When runs of each fatal suspect began, and whether as a trial."""
        self._tried: set[Fingerprint] = set()
        """Entries of which a trial has begun."""
        self._hard_parts: set[Fingerprint] = {
            part_fingerprint(f"part {number}")
            for number, job in enumerate(self.plan.jobs)
            if len(job.fatal) > 1
        }
        self._struck: set[Fingerprint] = set()
        """Entries of which a trial has met a crash for another reason."""

    def run(self) -> None:
        """Play the course and judge it."""
        plan, clock = self.plan, self.clock
        clock.run_until(BEGINS_S)
        for number, job in enumerate(plan.jobs):
            clock.callLater(job.at_s, self._hand_in, items_of(number, job))
        self._send_stream(0)
        for number, period_s in enumerate(plan.fatal_bodies):
            self._send_fatal(number, period_s)
        for at_s, count in plan.crashes:
            clock.callLater(at_s, self._crash_others, count)
        for fault in plan.leader_faults:
            clock.callLater(fault.at_s, self._disturb_leader, fault.is_lost)
        for at_s in plan.preemptions:
            clock.callLater(at_s, self._preempt)
        self._look()
        clock.run_until(BEGINS_S + FAULTS_FOR_S + SOUND_WITHIN_S)
        self._judge_sound()
        clock.run_until(BEGINS_S + FAULTS_FOR_S + WATCHED_FOR_S)
        self._judge_fatal()

    def _say(self, text: str) -> None:
        self.trace.append(f"{self.clock.seconds():7.3f} {text}")

    # --- what is handed in ---------------------------------------------------------------

    def _hand_in(self, items: list[CourseRequest]) -> None:
        self._items += items
        self._waiting += items

    def _send_stream(self, number: int) -> None:
        if not self.plan.streams_per_s or self.clock.seconds() >= BEGINS_S + FAULTS_FOR_S:
            return
        name = f"stream {number}"
        fingerprints = (request_fingerprint(name), part_fingerprint(COMMON_PART))
        self._waiting.append(
            CourseRequest(name, fingerprints, STREAM_S - FIRST_EVENT_AFTER_S, False)
        )
        self.clock.callLater(1.0 / self.plan.streams_per_s, self._send_stream, number + 1)

    def _send_fatal(self, number: int, period_s: float) -> None:
        if self.clock.seconds() >= BEGINS_S + FAULTS_FOR_S:
            return
        name = f"fatal {number}!"
        own = request_fingerprint(name)
        fingerprints = (own, part_fingerprint(COMMON_PART))
        self._waiting.append(
            CourseRequest(name, fingerprints, STREAM_S - FIRST_EVENT_AFTER_S, False, own)
        )
        self.clock.callLater(period_s, self._send_fatal, number, period_s)

    # --- the sender ----------------------------------------------------------------------

    def _look(self) -> None:
        """Send the requests that may run, online ones first."""
        waiting, self._waiting = self._waiting, []
        for request in sorted(waiting, key=lambda each: each.is_item):
            if self._is_sent(request):
                continue
            if request.is_item or self._may_wait(request):
                self._waiting.append(request)
            else:
                self._permits.end(request, has_run=False)
        self.clock.callLater(ROUND_S, self._look)

    def _may_wait(self, request: CourseRequest) -> bool:
        """Tell whether a client's request waits on: for a slot, or for the reply on its permit."""
        held = not self.controllers.view.held.isdisjoint(request.fingerprints)
        return not held and request.asked <= 1

    def _is_sent(self, request: CourseRequest) -> bool:
        view = self.controllers.view
        if not view.held.isdisjoint(request.fingerprints):
            return False
        unproven = tuple(each for each in request.fingerprints if each in view.unproven)
        if unproven and not self._permits.may_run(request, unproven):
            return False
        runner = self._placement.place(request, bool(unproven))
        if runner is None:
            return False
        self._send(request, runner, unproven)
        return True

    def _send(
        self, request: CourseRequest, runner: CourseRunner, unproven: tuple[Fingerprint, ...]
    ) -> None:
        now = self.clock.seconds()
        if not runner.is_up:
            self._say(f"{request.name} refused by {runner.name}")
            self._permits.end(request, has_run=False)
            self._leave_out(runner, runner.incarnation)
            self._note_down(runner, ())
            self._waiting.append(request)
            return
        run = CourseRun(request, now, unproven)
        runner.runs.append(run)
        request.is_running = True
        self.clock.callLater(BEGIN_AFTER_S, self._begin, runner, run)

    # --- runs ----------------------------------------------------------------------------

    def _begin(self, runner: CourseRunner, run: CourseRun) -> None:
        if run not in runner.runs:
            return
        cause = run.request.cause
        self._tried.update(run.trial_of)
        if run.trial_of or cause is not None:
            beside = [each.request.name for each in runner.runs if each is not run]
            trial = f", trial of {names_of(run.trial_of)}" if run.trial_of else ""
            self._say(f"{run.request.name} begins at {runner.name}{trial}, beside {beside}")
        if cause is None:
            self.clock.callLater(FIRST_EVENT_AFTER_S, self._write, runner, run)
            return
        as_trial = cause in run.trial_of
        self._runs.setdefault(cause, []).append((self.clock.seconds(), as_trial))
        self.clock.callLater(self.plan.crash_after_s, self._crash_by, runner, run, cause)

    def _write(self, runner: CourseRunner, run: CourseRun) -> None:
        if run not in runner.runs:
            return
        run.first_event_s = self.clock.seconds()
        self.clock.callLater(SURVIVAL_SHOWN_AFTER_S, self._survive, runner, run)
        self.clock.callLater(run.request.left_s, self._finish, runner, run)

    def _survive(self, runner: CourseRunner, run: CourseRun) -> None:
        if run in runner.runs:
            self._permits.end(run.request, has_run=True)
            self._report_answered(run.request.fingerprints[1:])

    def _finish(self, runner: CourseRunner, run: CourseRun) -> None:
        if run not in runner.runs:
            return
        runner.runs.remove(run)
        run.request.is_running = False
        run.request.is_done = True
        self._permits.end(run.request, has_run=True)
        self._report_answered(run.request.fingerprints)

    def _report_answered(self, fingerprints: tuple[Fingerprint, ...]) -> None:
        for each in filter(self.controllers.view.wants_answer, fingerprints):
            self.controllers.view.unwatch(each)
            self.controllers.send(RequestAnswered(each))

    # --- crashes -------------------------------------------------------------------------

    def _crash_by(self, runner: CourseRunner, run: CourseRun, cause: Fingerprint) -> None:
        if run in runner.runs:
            self._crashes.setdefault(cause, []).append(self.clock.seconds())
            self._crash(runner, names_of((cause,)))

    def _crash_others(self, count: int) -> None:
        up = [runner for runner in self._runners if runner.is_up and self._may_strike(runner)]
        for runner in self._draw.sample(up, min(count, len(up))):
            self._struck.update(each for run in runner.runs for each in run.trial_of)
            self._crash(runner, "another reason")

    def _may_strike(self, runner: CourseRunner) -> bool:
        """Tell whether a crash for another reason leaves each trial here one that can tell more.

        A sound suspect whose trials are all struck is no different from a fatal one. Nor is a
        part if two of its items are fatal: they may be its other trials.
        """
        trials = {each for run in runner.runs for each in run.trial_of}
        return not trials.intersection(self._struck | self._hard_parts)

    def _crash(self, runner: CourseRunner, reason: str) -> None:
        runs, runner.runs = runner.runs, []
        self._say(f"{runner.name} crashes by {reason}, runs {[run.request.name for run in runs]}")
        runner.is_up = False
        now = runner.crashed_s = self.clock.seconds()
        self.clock.callLater(SEEN_AFTER_S, self._note_down, runner, tuple(runs), now)
        self.clock.callLater(
            self.plan.left_out_after_s, self._leave_out, runner, runner.incarnation
        )
        self.clock.callLater(self.plan.restart_after_s, self._restart, runner)

    @staticmethod
    def _leave_out(runner: CourseRunner, incarnation: int) -> None:
        """Place nothing at a crashed runner any more, until it is back."""
        runner.is_known_down = runner.incarnation == incarnation

    def _note_down(
        self, runner: CourseRunner, runs: tuple[CourseRun, ...], at_s: float | None = None
    ) -> None:
        """Report a crash, and have the runs that met it wait again."""
        now = self.clock.seconds()
        at_s = now if at_s is None else at_s
        for are_items in (False, True):
            met = [run for run in runs if run.request.is_item == are_items]
            if met:
                self._report_crash(runner, met, at_s)
        if not runs:
            self.controllers.send(RunnerCrashed(runner.runner, (), now - at_s))
        for run in runs:
            run.request.is_running = False
            run.request.ends += 1
            self._permits.forget(run.request)
            run.request.left_s = max(0.0, run.request.left_s - run.wrote_s(at_s))
            if run.request.is_item or run.request.ends < STREAM_ATTEMPTS:
                self._waiting.append(run.request)

    def _report_crash(self, runner: CourseRunner, runs: list[CourseRun], at_s: float) -> None:
        age_s = self.clock.seconds() - at_s
        self.controllers.send(RunnerCrashed(runner.runner, crashed_runs(runs, at_s), age_s))

    def _restart(self, runner: CourseRunner) -> None:
        runner.incarnation += 1
        runner.is_up = True
        runner.is_known_down = False
        runner.started_s = self.clock.seconds()

    # --- other faults --------------------------------------------------------------------

    def _disturb_leader(self, is_lost: bool) -> None:
        self._say("the leader is lost" if is_lost else "another controller leads")
        change = self.controllers.lose_leader if is_lost else self.controllers.change_leader
        change()

    def _preempt(self) -> None:
        """Preempt an item that is on no trial, each once; its run ends without a crash.

        A fatal run that is preempted before it crashes its runner tells nothing.
        """
        runs = [
            (runner, run)
            for runner in self._runners
            for run in runner.runs
            if run.request.is_item and not run.trial_of and not run.request.was_preempted
        ]
        if not runs:
            return
        runner, run = self._draw.choice(runs)
        runner.runs.remove(run)
        run.request.is_running = False
        run.request.was_preempted = True
        run.request.left_s = max(0.0, run.request.left_s - run.wrote_s(self.clock.seconds()))
        self._waiting.append(run.request)

    def _note_command(self, command: HoldRequest | ReleaseRequest) -> None:
        fingerprint = command.fingerprint
        entry = self.controllers.waits_for(fingerprint)
        self._say(f"{type(command).__name__} {names_of((fingerprint,))}: {entry}")

    # --- bounds --------------------------------------------------------------------------

    def _judge_sound(self) -> None:
        sound = [each for each in self._items if each.cause is None]
        left = [each for each in sound if not each.is_done]
        self.counts["sound items"] += len(sound)
        self.counts["sound items left"] += len(left)
        for item in left:
            reasons = [
                f"{names_of((each,))} {self.controllers.waits_for(each)}"
                for each in item.fingerprints
                if each in self.controllers.view.ever_held
            ]
            self.violations.append(f"{item.name} is not done: {reasons or 'waits for no entry'}")
        self.counts.update({f"broken, {self._cause_of(item)}" for item in left})

    def _cause_of(self, item: CourseRequest) -> str:
        view = self.controllers.view
        for each in item.fingerprints:
            kind = "part" if is_of_part(each) else "request"
            if each in view.held:
                how = "after trials" if each in self._tried else "without a trial"
                return f"sound {kind} held {how}"
        if view.unproven.intersection(item.fingerprints):
            return "sound entry waits for its trial"
        return "sound item runs late" if item.is_running else "sound item waits for no entry"

    def _judge_fatal(self) -> None:
        for cause, crashes in self._crashes.items():
            of_part = is_of_part(cause)
            counted = CRASHES_COUNTED_OF_PART if of_part else CRASHES_COUNTED
            if len(crashes) < counted:
                continue
            self.counts["fatal suspects judged"] += 1
            known_s = crashes[counted - 1] + KNOWN_AFTER_S
            late = [(at_s, trial) for at_s, trial in self._runs[cause] if at_s > known_s]
            late = [each for each in late if not self._is_disturbed(each[0])]
            self.counts["late runs"] += len(late)
            if len(late) <= LATE_RUNS_ALLOWED:
                continue
            free = sum(not trial for _, trial in late)
            kind = "part" if of_part else "request"
            name = names_of((cause,))
            self.violations.append(f"{name} ran {len(late)} times late, {free} of them free")
            how = "off the list" if free else "as trials"
            self.counts[f"broken, fatal {kind} runs {how}"] += 1

    def _is_disturbed(self, at_s: float) -> bool:
        """Tell whether the controllers had a fault shortly before."""
        return any(
            0.0 <= at_s - BEGINS_S - each.at_s <= KNOWN_AFTER_S for each in self.plan.leader_faults
        )
