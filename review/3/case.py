"""Streams go on at another software version, after their runners have started again at it.

All runners of a service crash at once and come back under their ids at a newer version. Clients
take their streams up at another front machine, with ``Resumes`` and ``Last-Event-Id``.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.case import run_case
from common.clients import Stream, attempt, configuration, service, stream_route
from common.fleet import CannotRunError, Fleet, wait_until
from common.runners import Runners

FRONTS = 4
SERVICE = "huvo11a"
PREFIX = "/pufi791/"
STREAMS = 8
EVENTS = 12
EVENT_S = 0.15
CRASH_AFTER_S = 0.8
"""Each stream has some of its events by then."""
DOWN_S = 0.6
DEADLINE_S = 5.0
RETRY_PAUSES_S = (1.2,)
"""One retry, as the sheet of the site says."""
ALLOWED = 2
"""The rule is broken by more than two streams."""


def play(fleet: Fleet, runners: Runners, trouble: bool) -> bool:
    """Tell whether more than two streams hold events of two versions."""
    routes = [stream_route("r-i9n73hh", PREFIX, SERVICE)]
    fleet.configure(configuration(1, routes, [service(SERVICE)]))
    for zone in ("guishan-hall", "luzhu-hall"):
        runners.add(SERVICE, zone, 12, EVENTS, EVENT_S, version="v1")
    fleet.wait_ready()
    wait_until(lambda: _is_served(fleet), "a first stream")
    time.sleep(3.0)
    streams = [Stream(f"9c41d07be2a3{number:02x}") for number in range(STREAMS)]
    clients = [
        threading.Thread(target=_follow, args=(fleet, number, stream))
        for number, stream in enumerate(streams)
    ]
    for client in clients:
        client.start()
    if trouble:
        time.sleep(CRASH_AFTER_S)
        _restart_at_new_version(runners)
    for client in clients:
        client.join()
    return _judge(fleet, streams, trouble)


def _is_served(fleet: Fleet) -> bool:
    stream = Stream("9c41d07be2a3ff")
    attempt(fleet, "front-1", PREFIX, stream, DEADLINE_S)
    return stream.is_complete


def _restart_at_new_version(runners: Runners) -> None:
    """Crash every runner, and start each again under its id at version v2."""
    runners.crash(runners.all)
    time.sleep(DOWN_S)
    for runner in runners.all:
        runner.start_again("v2")


def _follow(fleet: Fleet, number: int, stream: Stream) -> None:
    """Be a client: one attempt and one retry, at another front machine."""
    until_s = time.monotonic() + DEADLINE_S
    for turn in range(1 + len(RETRY_PAUSES_S)):
        left_s = until_s - time.monotonic()
        if left_s <= 0 or stream.is_complete:
            return
        front = f"front-{1 + (number + turn) % FRONTS}"
        attempt(fleet, front, PREFIX, stream, left_s)
        if not stream.is_complete and turn < len(RETRY_PAUSES_S):
            time.sleep(RETRY_PAUSES_S[turn])


def _judge(fleet: Fleet, streams: list[Stream], trouble: bool) -> bool:
    mixed = 0
    for stream in streams:
        versions = sorted({data.rpartition(" ")[2] for _, data in stream.events})
        mixed += len(versions) > 1
        fleet.record.note(
            "stream",
            stream=stream.name,
            events=len(stream.events),
            versions=",".join(versions),
            complete=stream.is_complete,
        )
    fleet.record.note("streams_of_two_versions", count=mixed, allowed=ALLOWED)
    if not trouble and not all(stream.is_complete for stream in streams):
        raise CannotRunError("a stream was not served without the disruption")
    return mixed > ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play, FRONTS, names_version=True))
