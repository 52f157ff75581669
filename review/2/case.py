"""Items of an accepted job are given up, as their route is not known at the ledger's leader yet.

Rounds: the operator adds a batch route; once that is acknowledged, the machine that acknowledged it
freezes for some seconds. Clients hand jobs in on the new route at each front machine.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.case import run_case
from common.clients import batch_route, configuration, listed, service, submit
from common.fleet import CannotRunError, Fleet, wait_until
from common.runners import Runners

FRONTS = 4
ROUNDS = 6
SERVICE = "huvo11a"
ITEMS = 2
EVENTS = 5
EVENT_S = 0.02
SUBMIT_AFTER_S = 0.2
"""Clients use the new route from then on after its acknowledgement."""
FREEZE_S = 2.6
FINISH_S = 8.0
"""Items take a fifth of a second each; the jobs of a round are read for at most this long."""
BETWEEN_S = 5.0
"""Longer than ``catchUpS``: no two machines are lost at a time."""


def play(fleet: Fleet, runners: Runners, trouble: bool) -> bool:
    """Play rounds until an item has been given up that none of the rules lets be given up."""
    routes = [batch_route("r-first", "/pule252/", SERVICE)]
    services = [service(SERVICE)]
    fleet.configure(configuration(1, routes, services))
    for zone in ("guishan-hall", "luzhu-hall"):
        runners.add(SERVICE, zone, 12, EVENTS, EVENT_S)
    fleet.wait_ready()
    _check_first_job(fleet)
    for number in range(1, ROUNDS + 1):
        prefix = f"/jovu{number:03d}/"
        routes = [*routes, batch_route(f"r-added{number}", prefix, SERVICE)]
        core = fleet.leader("core") or "core-1"
        if fleet.replace(core, configuration(1 + number, routes, services)) != 200:
            raise CannotRunError("the configuration was not acknowledged")
        if trouble:
            fleet.freeze(core)
        accepted = _submit_for(fleet, prefix, number)
        if trouble:
            fleet.thaw(core)
        if _given_up(fleet, runners, accepted):
            return True
        time.sleep(BETWEEN_S)
    return False


def _check_first_job(fleet: Fleet) -> None:
    """A job on the first route is done before the rounds begin."""
    job = "7c41e09b52d60000"
    wait_until(lambda: submit(fleet, "front-1", "/pule252/", job, ITEMS) == 202, "first job")
    wait_until(lambda: len(listed(fleet, "front-2", job)) == ITEMS, "first results")


def _submit_for(fleet: Fleet, prefix: str, round_number: int) -> list[str]:
    """Hand in one job after another at the front machines; returns the accepted ones."""
    until_s = time.monotonic() + FREEZE_S
    accepted: list[str] = []
    count = 0
    time.sleep(SUBMIT_AFTER_S)
    while time.monotonic() < until_s:
        for node in fleet.of_class("front"):
            count += 1
            job = f"7c41e09b52{round_number:02x}{count:04x}"
            if submit(fleet, node.name, prefix, job, ITEMS) == 202:
                accepted.append(job)
        time.sleep(0.05)
    return accepted


def _given_up(fleet: Fleet, runners: Runners, jobs: list[str]) -> bool:
    """Tell whether an item of these jobs is listed as given up.

    Its job was not ended, its route is in every later configuration, ``keepS`` (60 s) is not over,
    and no runner answers 422 or 500 in this case.
    """
    broken = False
    until_s = time.monotonic() + FINISH_S
    for job in jobs:
        entries = listed(fleet, "front-1", job)
        while len(entries) < ITEMS and time.monotonic() < until_s:
            time.sleep(0.1)
            entries = listed(fleet, "front-1", job)
        for entry in entries:
            ran = sum(run.request == entry["id"] for run in runners.runs)
            fleet.record.note("result", job=job, item=entry["id"], state=entry["state"], runs=ran)
            broken = broken or entry["state"] == "dead_letter"
        if len(entries) < ITEMS:
            fleet.record.note("unlisted", job=job, listed=len(entries))
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play, FRONTS))
