"""Items are left lying, as a sound part of their prompts is held after a crash of some runners.

Ten runners serve short streams and the items of one job. Four of the runners, those that run the
items, crash at the same moment and are back after 4 s. No request crashes a runner.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.case import run_case
from common.clients import (
    Stream,
    attempt,
    batch_route,
    configuration,
    listed,
    service,
    stream_route,
    submit,
)
from common.fleet import BOUNDS, Fleet, wait_until
from common.runners import Run, Runner, Runners

FRONTS = 3
SERVICE = "huvo11a"
BATCH_PREFIX, STREAM_PREFIX = "/pule252/", "/pufi791/"
RUNNERS = 10
SLOTS = 3
EVENT_S = 0.1
JOB = "7c41e09b52d6a401"
PART = "4be7720d"
ITEMS = 4
OUT_TOKENS = 800
"""Eighty events, eight seconds; a stream of the clients has three events."""
CLIENTS = 23
STREAM_DEADLINE_S = 5.0
CRASH_AFTER_S = 2.0
CRASHED = 4
LEAST_BUSY = 3
DOWN_S = 4.0
BUSY_AFTER_S = 1.0
FINISH_S = float(BOUNDS["finishS"])
CALM_BEFORE_END_S = 5.0
NOTHING_FINISHED_S = 3.0


def play(fleet: Fleet, runners: Runners, trouble: bool) -> bool:
    """Tell whether items are unlisted at the end, though runners could have run them."""
    routes = [
        batch_route("r-batch", BATCH_PREFIX, SERVICE),
        stream_route("r-stream", STREAM_PREFIX, SERVICE),
    ]
    fleet.configure(configuration(1, routes, [service(SERVICE)]))
    zones = ("guishan-hall", "luzhu-hall", "dayuan-hall")
    for number in range(RUNNERS):
        runners.add(SERVICE, zones[number % len(zones)], SLOTS, 0, EVENT_S)
    fleet.wait_ready()
    stopped = threading.Event()
    clients = [
        threading.Thread(target=_keep_streaming, args=(fleet, number, stopped))
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    try:
        time.sleep(3.0)
        _submit(fleet)
        time.sleep(CRASH_AFTER_S)
        if trouble:
            _crash(runners)
            time.sleep(BUSY_AFTER_S)
    finally:
        stopped.set()
    for client in clients:
        client.join()
    return _judge_at_end(fleet, runners)


def _keep_streaming(fleet: Fleet, number: int, stopped: threading.Event) -> None:
    """Be a client with one short stream after another, at all front machines."""
    count = 0
    while not stopped.is_set():
        stream = Stream(f"9c41d07b{number:02x}{count:04x}")
        attempt(fleet, f"front-{1 + count % FRONTS}", STREAM_PREFIX, stream, STREAM_DEADLINE_S)
        count += 1


def _submit(fleet: Fleet) -> None:
    def accepted() -> bool:
        return submit(fleet, "front-1", BATCH_PREFIX, JOB, ITEMS, OUT_TOKENS, PART) == 202

    wait_until(accepted, "the job accepted")


def _crash(runners: Runners) -> None:
    """Crash four of ten runners, those at which items run first; start them again later."""
    wait_until(
        lambda: len(_busy_with_items(runners)) >= LEAST_BUSY, "items run at enough runners", 12.0
    )
    busy = _busy_with_items(runners)
    others = [each for each in runners.all if each not in busy]
    chosen = [*busy, *others][:CRASHED]
    runners.crash(chosen)
    time.sleep(DOWN_S)
    for runner in chosen:
        runner.start_again("v1")


def _busy_with_items(runners: Runners) -> list[Runner]:
    running = {run.runner for run in _item_runs(runners) if run.ended_s is None}
    return [each for each in runners.all if each.name in running]


def _item_runs(runners: Runners) -> list[Run]:
    return [run for run in list(runners.runs) if run.request.startswith(JOB)]


def _judge_at_end(fleet: Fleet, runners: Runners) -> bool:
    """Judge ``finishS`` after the last client has ended, which ends the traffic."""
    time.sleep(FINISH_S)
    record = fleet.record
    end_s = record.now_s()
    entries = listed(fleet, "front-1", JOB)
    held = [
        run
        for run in _item_runs(runners)
        if run.ended_s is None or run.ended_s > end_s - CALM_BEFORE_END_S
    ]
    finished = [
        run
        for run in list(runners.runs)
        if run.ended_s is not None and run.ended_s > end_s - NOTHING_FINISHED_S
    ]
    busy = [
        run
        for run in list(runners.runs)
        if run.ended_s is None or run.ended_s > end_s - CALM_BEFORE_END_S
    ]
    states = ",".join(sorted(entry["state"] for entry in entries))
    record.note(
        "end",
        items=ITEMS,
        listed=len(entries),
        states=states,
        runs_ever=len(_item_runs(runners)),
        held_in_last_5_s=len(held),
        any_runs_in_last_5_s=len(busy),
        ended_in_last_3_s=len(finished),
    )
    has_room = 2 * len(busy) < RUNNERS * SLOTS
    return len(entries) < ITEMS and has_room and not held and not finished


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play, FRONTS))
