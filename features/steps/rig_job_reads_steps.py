"""Steps of features/rig/job_reads.feature: the rig's client with a fake gateway."""

import json
import random
from types import SimpleNamespace

from behave import given, then, when
from rig.http import Reply
from rig.jobs import RigJobTraffic
from rig.traffic import Users
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from rainsail.emulator.answers import expected_answer
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import FaultsEnded, History, RunEnded
from rainsail.simulation.actors.job_clients import JobMix

JOB_ID = "job-1"
SERVICE = "reports"
ADDRESS = "http://gateway"
STATE_PATH = f"/v1/batches/{JOB_ID}"
OUTPUT_PATH = f"/v1/files/file-output-{JOB_ID}/content"
ERRORS_PATH = f"/v1/files/file-errors-{JOB_ID}/content"
HELD_PATHS = {
    "the job's state": STATE_PATH,
    "the job's output": OUTPUT_PATH,
    "the job's errors": ERRORS_PATH,
    "nothing": "",
}
HEAP_PERIOD_S = 1000.0
"""Longer than a scenario, so that only one client starts."""


class _Gateway:
    """Answers calls about one completed job; delays the answers of one path."""

    def __init__(self, held_path):
        self._held_path = held_path
        self._held = []
        self._output = []

    async def exchange(self, method, url, key, timeout_s, body=None, headers=None, file=None):
        """Answer a call as ``rig.http.RigHttpClient`` returns it."""
        if file is not None:
            self._output = [_result(json.loads(line)) for line in file.splitlines()]
        path = url.removeprefix(ADDRESS)
        if path == self._held_path:
            released = Deferred()
            self._held.append(released)
            await released
        return Reply(200, self._body(path), "")

    def answer(self):
        """Release the delayed answers, and delay no more."""
        self._held_path = ""
        held, self._held = self._held, []
        for released in held:
            released.callback(None)

    def lose_results(self):
        """Drop the results of the job."""
        self._output = []

    def _body(self, path):
        if path == OUTPUT_PATH:
            return b"\n".join(self._output)
        if path == ERRORS_PATH:
            return b""
        counts = {"completed": len(self._output), "failed": 0}
        job = {"id": JOB_ID, "status": "completed", "request_counts": counts}
        return json.dumps(job).encode()


def _result(line):
    asked = line["body"]
    text = expected_answer(SERVICE, asked["prompt"], asked["max_tokens"], 0)
    response = {"body": {"choices": [{"text": text}]}}
    result = {"custom_id": line["custom_id"], "error": None, "response": response}
    return json.dumps(result).encode()


def _layout():
    gateway = SimpleNamespace(name="gateway", url=lambda port: ADDRESS)
    return SimpleNamespace(tenants=("tenant",), gateways=(gateway,), tenant_key=lambda name: name)


@given("a rig client with a completed job of {items:d} items, whose gateway holds back {answer}")
def step_client(context, items, answer):
    context.rig_gateway = _Gateway(HELD_PATHS[answer])
    context.rig_clock = Clock()
    context.rig_seen = History()
    users = Users(
        _layout(), context.rig_gateway, context.rig_clock, context.rig_seen, random.Random(1)
    )
    mix = JobMix(
        service=SERVICE,
        heap_period_s=HEAP_PERIOD_S,
        jobs_per_heap=1,
        items_per_job=items,
        prompt_characters=100,
        max_tokens=8,
        cancel_probability=0.0,
        deadline_s=3600.0,
    )
    context.rig_failures = []
    context.rig_jobs = RigJobTraffic(users, mix, context.rig_failures.append)
    context.rig_jobs.start()


@when("the failures of the rig client's run end")
def step_failures_end(context):
    context.rig_clock.advance(1.0)
    context.rig_seen.record(FaultsEnded(context.rig_clock.seconds()))
    context.rig_jobs.read_again()


@when("the rig client's gateway answers")
def step_answer(context):
    context.rig_clock.advance(1.0)
    context.rig_gateway.answer()


@when("the results of the rig client's job are lost")
def step_lose(context):
    context.rig_gateway.lose_results()


@then("the rig client is not settled")
def step_not_settled(context):
    assert not context.rig_jobs.settled()


@then("the rig client is settled")
def step_settled(context):
    assert not context.rig_failures, context.rig_failures
    assert context.rig_jobs.settled()


def _violations(context):
    context.rig_seen.record(RunEnded(context.rig_clock.seconds(), True))
    return [(each.checker, each.detail) for each in check_history(context.rig_seen)]


@then("the checkers find each result of the rig client")
def step_whole(context):
    found = _violations(context)
    assert not found, found


@then("the checkers find that the rig client's job lost {lost}")
def step_lost(context, lost):
    found = _violations(context)
    assert found == [("exactly_once", f"{lost} of {JOB_ID} have no result")], found
