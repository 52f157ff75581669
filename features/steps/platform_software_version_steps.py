"""Steps on streams of runners of several software versions, with the adapter's real processes."""

import os
import random
import signal
import time

from behave import given, then, when
from features.support.platform_stand_in import wait_until
from features.support.reactor_thread import in_reactor
from features.support.stand_in_faults import BreakingStreams
from features.support.versioned_streams import StreamReaders

SEED = 63
BREAKING_SHARE = 0.5
EVENT_PAUSE_S = 0.02
MIN_COURSE_STREAMS = 40
"""Streams that are read between two steps of a course."""
MIN_SHARE_OF_RESUMED = 0.5
"""Resumed streams continue at least this share as often as new ones begin."""
FAULTS = 8
"""Random faults of a course in CI.

A longer run by hand sets SOFTWARE_VERSION_FAULTS and SOFTWARE_VERSION_SEED.
"""
IN_TOUCH_AFTER_S = 3.0
"""A gateway counts as in touch once it has followed all controllers for this long."""
MIN_RESUMED_IN_TOUCH = 12


@given("{first:d} runners of software version v1 and {second:d} of v1.2 whose streams break off")
def add_runners(context, first, second):
    context.breaks = BreakingStreams(SEED, BREAKING_SHARE)
    for version in ["v1"] * first + ["v1.2"] * second:
        _add_runner(context, version)


def _add_runner(context, version):
    runner = context.platform.add_runner(version)
    runner.faults = context.breaks
    runner.names_version = True
    runner.event_pause_s = EVENT_PAUSE_S


@when("{count:d} clients read streams and resume them at any gateway while {course}")
def read_streams(context, count, course):
    platform = context.platform
    for name in _gateways(platform):
        wait_until(lambda name=name: platform.is_ready(name), f"{name} ready")
    for runner in platform.runners:
        wait_until(lambda runner=runner: platform.beat(runner) == 200, "a heartbeat")
    readers = context.readers = StreamReaders(platform, SEED, count)
    context.out_of_touch_s = (0.0, 0.0)
    context.faults = int(os.environ.get("SOFTWARE_VERSION_FAULTS", FAULTS))
    readers.run_while(lambda: COURSES[course](context))


def _gateways(platform):
    return sorted(name for name in platform.nodes if name.startswith("gateway"))


def _controllers(platform):
    return sorted(name for name in platform.nodes if name.startswith("controller"))


def _wait_for_streams(context, count=MIN_COURSE_STREAMS):
    streams = context.readers.streams
    wanted = len(streams) + count
    wait_until(lambda: len(streams) >= wanted, f"{wanted} streams read")


def _nothing(context):
    _wait_for_streams(context, 4 * MIN_COURSE_STREAMS)


def _kill_gateways(context):
    platform = context.platform
    for name in _gateways(platform):
        _wait_for_streams(context)
        platform.kill(name)
        _wait_for_streams(context)
        platform.start(name)
        wait_until(lambda name=name: platform.is_ready(name), f"{name} ready")


def _replace_runners(context):
    platform = context.platform
    for runner in [each for each in platform.runners if each.version == "v1"]:
        _wait_for_streams(context)
        _add_runner(context, "v1.2")
        wait_until(lambda runner=runner: platform.beat(runner, "draining") == 200, "a drain")
    _wait_for_streams(context)


def _restart_controllers(context):
    platform = context.platform
    controllers = _controllers(platform)
    _wait_for_streams(context)
    begun_s = time.monotonic()
    for name in controllers:
        platform.kill(name)
    _wait_for_streams(context)
    for name in controllers:
        platform.start(name)
    for runner in platform.runners:
        wait_until(lambda runner=runner: platform.beat(runner) == 200, "a heartbeat")
    for name in _gateways(platform):
        wait_until(
            lambda name=name: platform.metric(name, "controllers_heard") == len(controllers),
            f"{name} hears all controllers",
        )
    ended_s = time.monotonic() + IN_TOUCH_AFTER_S
    wait_until(lambda: time.monotonic() >= ended_s, "gateways in touch")
    context.out_of_touch_s = begun_s, ended_s
    _wait_for_streams(context, 2 * MIN_COURSE_STREAMS)


class _RandomFaults:
    """Faults drawn from a seed, one after the other, while streams are read."""

    def __init__(self, context, draw):
        self._context = context
        self._platform = context.platform
        self._draw = draw
        self._strikes = (
            self._kill_gateway,
            self._freeze_gateway,
            self._stop_gateway,
            self._kill_controller,
            self._replace_runner,
            self._restart_runner_at_other_version,
        )

    def strike(self):
        """Inject one fault, and wait until streams are read again."""
        self._draw.choice(self._strikes)()
        _wait_for_streams(self._context)

    def _gateway(self):
        return self._draw.choice(_gateways(self._platform))

    def _start_again(self, name):
        self._platform.start(name)
        if name.startswith("gateway"):
            wait_until(lambda: self._platform.is_ready(name), f"{name} ready")

    def _kill_gateway(self):
        name = self._gateway()
        self._platform.kill(name)
        self._start_again(name)

    def _freeze_gateway(self):
        name = self._gateway()
        self._platform.signal(name, signal.SIGSTOP)
        _wait_for_streams(self._context, MIN_COURSE_STREAMS // 4)
        self._platform.signal(name, signal.SIGCONT)

    def _stop_gateway(self):
        name = self._gateway()
        process = self._platform.nodes[name].process
        self._platform.terminate(name)
        wait_until(lambda: process.poll() is not None, f"{name} ends")
        self._start_again(name)

    def _kill_controller(self):
        name = self._draw.choice(_controllers(self._platform))
        self._platform.kill(name)
        _wait_for_streams(self._context, MIN_COURSE_STREAMS // 4)
        self._start_again(name)

    def _runner(self):
        staying = [each for each in self._platform.runners if not each.leaving and not each.is_down]
        return self._draw.choice(staying)

    def _replace_runner(self):
        runner = self._runner()
        _add_runner(self._context, self._draw.choice(("v1", "v1.2")))
        runner.leaving = True
        wait_until(lambda: self._platform.beat(runner, "draining") == 200, "a drain")

    def _restart_runner_at_other_version(self):
        runner = self._runner()
        in_reactor(self._end_for_other_version, runner)
        wait_until(lambda: not runner.is_down, f"{runner.runner} is back")

    @staticmethod
    def _end_for_other_version(runner):
        runner.die()
        runner.version = "v1.2" if runner.version == "v1" else "v1"


def _strike_at_random(context):
    seed = int(os.environ.get("SOFTWARE_VERSION_SEED", SEED))
    faults = _RandomFaults(context, random.Random(seed))
    for _ in range(context.faults):
        faults.strike()


COURSES = {
    "nothing else happens": _nothing,
    "gateways are killed in turn": _kill_gateways,
    "runners of v1 are replaced one by one": _replace_runners,
    "all controllers are killed and restarted": _restart_controllers,
    "8 faults strike at random": _strike_at_random,
}


@then("at least {least:d} streams were resumed, and no stream has events of two versions")
def one_version_each(context, least):
    streams = context.readers.streams
    assert sum(each.is_resumed for each in streams) >= least, len(streams)
    mixed = [each for each in streams if len(each.versions) > 1]
    in_one_answer = sum(each.mixes_in_one_answer for each in mixed)
    assert not mixed, f"{len(mixed)} of {len(streams)} streams, {in_one_answer} in one answer"


@then("resumed streams continue at least half as often as new ones begin, at gateways in touch")
def resumed_continue(context):
    from_s, until_s = context.out_of_touch_s
    attempts = [
        attempt
        for stream in context.readers.streams
        for attempt in stream.attempts
        if not from_s <= attempt.sent_s <= until_s
    ]
    resumed = [bool(attempt.versions) for attempt in attempts if attempt.resumes]
    new = [bool(attempt.versions) for attempt in attempts if not attempt.resumes]
    counts = f"{sum(resumed)} of {len(resumed)} resumed, {sum(new)} of {len(new)} new"
    assert len(resumed) >= MIN_RESUMED_IN_TOUCH, counts
    assert sum(resumed) / len(resumed) >= MIN_SHARE_OF_RESUMED * sum(new) / len(new), counts
